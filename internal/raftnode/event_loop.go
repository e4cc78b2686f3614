package raftnode

import (
	"context"
	"errors"
)

const (
	eventQueueSize = 1024 // events
	// maxEventBatch limits the events that are handled before the Core's Ready is processed.
	// Proposals of one batch are synced together.
	maxEventBatch = 256
)

// eventLoop passes events to the one goroutine that uses the Core, [Node.runEventLoop]. Its methods
// may be called by any goroutine, but for runQueued.
type eventLoop struct {
	events chan func()
	done   chan struct{} // closed when the goroutine, and the transport after it, have ended
	err    error         // why the goroutine has ended; written before done is closed
}

func newEventLoop() *eventLoop {
	return &eventLoop{events: make(chan func(), eventQueueSize), done: make(chan struct{})}
}

// enqueue queues an event. It returns false, without having queued it, when ctx or the loop has ended.
func (l *eventLoop) enqueue(ctx context.Context, event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// enqueueError is the error where enqueue has returned false: ErrStopped if the loop has ended, else that of ctx, whose
// caller could not wait any longer.
func (l *eventLoop) enqueueError(ctx context.Context) error {
	select {
	case <-l.done:
		return errors.Join(ErrStopped, ctx.Err())
	default:
		return ctx.Err()
	}
}

// call runs f on the loop and waits for its end. ctx limits only the wait until f is queued, so that f may use the
// caller's variables.
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

// runQueued runs a batch of the events that are queued. Only the loop's goroutine calls it.
func (l *eventLoop) runQueued() {
	for i := 0; i < maxEventBatch && len(l.events) > 0; i++ {
		event := <-l.events
		event()
	}
}
