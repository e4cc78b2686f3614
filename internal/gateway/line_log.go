package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

const (
	lineLogQueueLength   = 4096                   // lines
	lineLogFlushInterval = 200 * time.Millisecond // between flushes of buffered lines
)

// lineLog writes values as lines of JSON. It never blocks a request: a line is dropped and counted if the queue is
// full.
type lineLog[T any] struct {
	lines   chan T
	done    chan struct{} // closed when run has ended
	dropped atomic.Int64
	err     error // first write error of run; may be read once done is closed
}

// newLineLog starts a log that writes to w. close stops it.
func newLineLog[T any](w io.Writer) *lineLog[T] {
	l := &lineLog[T]{lines: make(chan T, lineLogQueueLength), done: make(chan struct{})}
	go l.run(w)
	return l
}

// record queues a line.
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
	recordError := func(err error) {
		if l.err == nil {
			l.err = err
		}
	}
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				if n := l.dropped.Load(); n > 0 {
					recordError(enc.Encode(map[string]any{"time": time.Now(), "dropped": n}))
				}
				recordError(out.Flush())
				return
			}
			recordError(enc.Encode(line))
		case <-tick.C:
			recordError(out.Flush())
		}
	}
}

// close writes the queued lines and returns the first write error. record must not be called after close.
func (l *lineLog[T]) close() error {
	close(l.lines)
	<-l.done
	return l.err
}
