package raftnode

import (
	"context"
	"errors"
)

const (
	eventQueueSize = 1024 // events
	// maxEventBatch limits the number of events that are handled before the Core's Ready is processed. The proposals of
	// one batch are synced together.
	maxEventBatch = 256
)

// eventLoop passes events to [Node.runEventLoop], the only goroutine that uses the Core. Its methods are safe for
// concurrent use, except for runQueued.
type eventLoop struct {
	events chan func()
	done   chan struct{} // closed when the goroutine, and the transport after it, have ended
	err    error         // the reason why the goroutine has ended; written before done is closed
}

func newEventLoop() *eventLoop {
	return &eventLoop{events: make(chan func(), eventQueueSize), done: make(chan struct{})}
}

// enqueue queues an event. It returns false, without queuing it, if ctx or the loop ends first.
func (l *eventLoop) enqueue(ctx context.Context, event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// enqueueError returns the reason why enqueue has returned false: ErrStopped if the loop has ended, or else the error
// of ctx.
func (l *eventLoop) enqueueError(ctx context.Context) error {
	select {
	case <-l.done:
		return errors.Join(ErrStopped, ctx.Err())
	default:
		return ctx.Err()
	}
}

// call runs f on the loop and waits until f has returned. ctx limits only the wait until f is queued: call does not
// return while f runs, so that f may use the caller's variables.
func (l *eventLoop) call(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	event := func() {
		f()
		close(finished)
	}
	if !l.enqueue(ctx, event) {
		return l.enqueueError(ctx)
	}
	select {
	case <-finished:
		return nil
	case <-l.done:
		return ErrStopped
	}
}

// runQueued runs up to maxEventBatch queued events. Only the loop's goroutine may call it.
func (l *eventLoop) runQueued() {
	for i := 0; i < maxEventBatch && len(l.events) > 0; i++ {
		event := <-l.events
		event()
	}
}
