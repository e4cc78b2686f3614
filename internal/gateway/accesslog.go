package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AccessLog writes a line of JSON for each request that was charged or refused. It never
// holds a request up: a line that finds the queue full is dropped and counted.
type AccessLog struct {
	lines   chan accessLine
	done    chan struct{}
	dropped atomic.Int64
	err     error
}

type accessLine struct {
	Time time.Time `json:"time"`
	RequestRecord
}

const (
	accessQueue = 4096                   // lines
	accessFlush = 200 * time.Millisecond // at the latest after a line was taken
)

// NewAccessLog starts a log on w. Close ends it.
func NewAccessLog(w io.Writer) *AccessLog {
	l := &AccessLog{lines: make(chan accessLine, accessQueue), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Record takes a record; it is a [Config.Observe].
func (l *AccessLog) Record(r RequestRecord) {
	select {
	case l.lines <- accessLine{time.Now(), r}:
	default:
		l.dropped.Add(1)
	}
}

func (l *AccessLog) run(w io.Writer) {
	defer close(l.done)
	out := bufio.NewWriterSize(w, 64<<10)
	enc := json.NewEncoder(out)
	tick := time.NewTicker(accessFlush)
	defer tick.Stop()
	keep := func(err error) {
		if l.err == nil {
			l.err = err
		}
	}
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				if n := l.dropped.Load(); n > 0 {
					keep(enc.Encode(map[string]any{"time": time.Now(), "dropped": n}))
				}
				keep(out.Flush())
				return
			}
			keep(enc.Encode(line))
		case <-tick.C:
			keep(out.Flush())
		}
	}
}

// Close writes what is queued and returns the first error of writing. Observe must not be
// called after it.
func (l *AccessLog) Close() error {
	close(l.lines)
	<-l.done
	if l.err != nil {
		return fmt.Errorf("access log: %w", l.err)
	}
	return nil
}
