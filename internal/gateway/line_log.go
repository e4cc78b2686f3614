package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

const (
	lineLogQueue         = 4096                   // lines
	lineLogFlushInterval = 200 * time.Millisecond // between writes of buffered lines
)

// lineLog writes values as lines of JSON. It never holds a request up: a line that finds the queue full is dropped and
// counted.
type lineLog[T any] struct {
	lines   chan T
	done    chan struct{} // closed when run has ended
	dropped atomic.Int64
	err     error // of run; read once done is closed
}

// newLineLog starts a log on w. close ends it.
func newLineLog[T any](w io.Writer) *lineLog[T] {
	l := &lineLog[T]{lines: make(chan T, lineLogQueue), done: make(chan struct{})}
	go l.run(w)
	return l
}

// record takes a line.
func (l *lineLog[T]) record(line T) {
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *lineLog[T]) run(w io.Writer) {
	defer close(l.done)
	out := bufio.NewWriterSize(w, 64<<10)
	enc := json.NewEncoder(out)
	tick := time.NewTicker(lineLogFlushInterval)
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

// close writes what is queued and returns the first error of writing. record must not be called after it.
func (l *lineLog[T]) close() error {
	close(l.lines)
	<-l.done
	return l.err
}
