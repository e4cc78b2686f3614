package logging

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
)

// maxQueuedBytes is the size of the lines that wait to be written.
const maxQueuedBytes = 128 << 10

// QueuedWriter passes lines on to another writer without making its callers wait for that one: the reader of a log may
// be slow or stopped, and the program has to serve and to shut down all the same. Lines that find the queue full are
// dropped and counted in a line that follows. It is safe for concurrent use.
type QueuedWriter struct {
	out     *StallDetector
	pending chan struct{} // holds a token while run has something to do
	done    chan struct{} // closed when run has ended

	mu           sync.Mutex // guards the fields below
	queue        []byte
	droppedCount int
	isClosed     bool
}

// NewQueuedWriter returns a writer that passes lines on to out until Close is called.
func NewQueuedWriter(out io.Writer) *QueuedWriter {
	w := &QueuedWriter{out: NewStallDetector(out), pending: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.isClosed:
	case len(w.queue)+len(line) > maxQueuedBytes:
		w.droppedCount++
	default:
		w.queue = append(w.queue, line...)
		w.notify()
	}
	return len(line), nil
}

// Close waits until the queued lines are written, as long as [StallDetector.AwaitEnd] does. Later lines are dropped.
func (w *QueuedWriter) Close() {
	w.mu.Lock()
	w.isClosed = true
	w.notify()
	w.mu.Unlock()
	w.out.AwaitEnd(w.done)
}

// notify wakes run.
func (w *QueuedWriter) notify() {
	select {
	case w.pending <- struct{}{}:
	default:
	}
}

// run writes the queued lines until the writer is closed and nothing is left.
func (w *QueuedWriter) run() {
	defer close(w.done)
	var lines []byte
	for isClosed := false; !isClosed; {
		<-w.pending
		lines, isClosed = w.take(lines)
		// As with any writer of a log, there is nobody to report an error to.
		_, _ = w.out.Write(lines)
	}
}

// take returns the queued lines, and a line about those that were dropped. spare becomes the new queue's buffer.
func (w *QueuedWriter) take(spare []byte) (lines []byte, isClosed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.queue = w.queue, spare[:0]
	if w.droppedCount > 0 {
		lines = append(lines, droppedLine(w.droppedCount)...)
		w.droppedCount = 0
	}
	return lines, w.isClosed
}

// droppedLine returns a log line with the number of lines that were dropped.
func droppedLine(count int) []byte {
	var line bytes.Buffer
	New(&line).Warn("log lines dropped", slog.Int(KeyCount, count))
	return line.Bytes()
}
