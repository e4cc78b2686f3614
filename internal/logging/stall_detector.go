package logging

import (
	"io"
	"sync"
	"time"
)

// flushTimeout is how long the end of a program waits for a write to its log.
const flushTimeout = 200 * time.Millisecond

// StallDetector is a writer that knows since when a write has been in progress, so that the end of a program need not
// wait for a log whose reader stopped long ago. One goroutine at a time may call Write.
type StallDetector struct {
	out io.Writer

	mu           sync.Mutex
	writingSince time.Time // zero: no write is in progress
}

// NewStallDetector returns a detector that writes to out.
func NewStallDetector(out io.Writer) *StallDetector { return &StallDetector{out: out} }

// Write writes to the underlying writer and returns its result.
func (d *StallDetector) Write(p []byte) (int, error) {
	d.setWritingSince(time.Now())
	defer d.setWritingSince(time.Time{})
	return d.out.Write(p)
}

func (d *StallDetector) setWritingSince(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writingSince = at
}

// AwaitEnd waits until done is closed, and reports whether it was. It gives up after 0.2 s, and sooner once a write has
// taken that long, including the time before the call.
func (d *StallDetector) AwaitEnd(done <-chan struct{}) bool {
	calledAt := time.Now()
	for {
		select {
		case <-done:
			return true
		case <-time.After(time.Until(d.givesUpAt(calledAt))):
		}
		if !time.Now().Before(d.givesUpAt(calledAt)) {
			return false
		}
	}
}

// givesUpAt returns when a call of AwaitEnd gives up if nothing changes: for a write that began before the call,
// flushTimeout after it began, else flushTimeout after the call.
func (d *StallDetector) givesUpAt(calledAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.writingSince.IsZero() && d.writingSince.Before(calledAt) {
		return d.writingSince.Add(flushTimeout)
	}
	return calledAt.Add(flushTimeout)
}
