package logging

import (
	"io"
	"testing"
	"time"
)

// Guards against the end of a program that waits once more for a log whose reader stopped long ago: with several logs,
// the platform killed the program meanwhile.
func TestStallDetectorCountsTimeBeforeEnd(t *testing.T) {
	for name, c := range map[string]struct {
		stalledFor time.Duration // before the call of AwaitEnd
		maxWait    time.Duration // of the call
	}{
		"reader stopped long ago": {2 * flushTimeout, flushTimeout / 2},
		"reader stopped just now": {0, 5 * flushTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			reader, writer := io.Pipe()
			defer reader.Close()
			d := NewStallDetector(writer)
			done := make(chan struct{})
			began := time.Now()
			go func() {
				defer close(done)
				d.Write([]byte("line\n"))
			}()
			time.Sleep(c.stalledFor)
			calledAt := time.Now()
			if d.AwaitEnd(done) {
				t.Error("AwaitEnd reports an end, while a write is in progress")
			}
			if waited := time.Since(calledAt); waited > c.maxWait {
				t.Errorf("waited %v, want %v at most", waited, c.maxWait)
			}
			if stalled := time.Since(began); stalled < flushTimeout {
				t.Errorf("gave up %v after the write began, want %v", stalled, flushTimeout)
			}
		})
	}
}

// A write that succeeds meanwhile ends the wait.
func TestStallDetectorAwaitsWrite(t *testing.T) {
	reader, writer := io.Pipe()
	d := NewStallDetector(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Write([]byte("line\n"))
	}()
	go func() {
		time.Sleep(flushTimeout / 4)
		reader.Read(make([]byte, 100))
	}()
	if !d.AwaitEnd(done) {
		t.Error("AwaitEnd reports no end, though the line was read in time")
	}
}
