package gateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"mulleinmux/internal/logging"
)

const (
	lineLogQueueLength   = 4096                   // lines
	lineLogFlushInterval = 200 * time.Millisecond // between flushes of buffered lines
)

// errLogNotRead is returned if the lines that were left at the end could not be written in time.
var errLogNotRead = errors.New("the last lines could not be written in time")

// lineLog writes values as lines of JSON. It never blocks a request: a line is dropped and counted if the queue is
// full.
type lineLog[T any] struct {
	out     *logging.StallDetector
	lines   chan T
	done    chan struct{} // closed when run has ended
	dropped atomic.Int64
	err     error // first write error of run; may be read once done is closed
}

// newLineLog starts a log that writes to w. close stops it.
func newLineLog[T any](w io.Writer) *lineLog[T] {
	l := &lineLog[T]{out: logging.NewStallDetector(w), lines: make(chan T, lineLogQueueLength), done: make(chan struct{})}
	go l.run()
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

func (l *lineLog[T]) run() {
	defer close(l.done)
	out := bufio.NewWriterSize(l.out, 64<<10)
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

// close writes the queued lines, as long as [logging.StallDetector.AwaitEnd] waits, and returns the first write error.
// record must not be called after close.
func (l *lineLog[T]) close() error {
	close(l.lines)
	if !l.out.AwaitEnd(l.done) {
		return errLogNotRead
	}
	return l.err
}
