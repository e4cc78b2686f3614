package raftnode

import (
	"context"
	"errors"
	"runtime"
	"testing"

	"mulleinmux/clusterconfig"
)

// Tests that a call whose context ends while the member's event queue is full returns the context's error and not
// ErrStopped, and that a call to a stopped member returns ErrStopped.
func TestCallerDeadlineIsNotErrStopped(t *testing.T) {
	loop := newEventLoop()
	for range eventQueueSize {
		loop.events <- func() {}
	}
	n := &Node{loop: loop, core: &Core{cfg: Config{ElectionTicks: 10}}}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	calls := map[string]func(context.Context) error{
		"call":   func(ctx context.Context) error { return loop.call(ctx, func() {}) },
		"status": func(ctx context.Context) error { _, err := n.Status(ctx); return err },
		"read":   func(ctx context.Context) error { return n.LinearizableRead(ctx, func(*clusterconfig.State) {}) },
		"propose": func(ctx context.Context) error {
			_, err := n.Propose(ctx, &clusterconfig.Proposal{})
			return err
		},
	}
	for name, call := range calls {
		if err := call(canceled); !errors.Is(err, context.Canceled) || errors.Is(err, ErrStopped) {
			t.Errorf("%s, member running: got error %v, want context.Canceled without ErrStopped", name, err)
		}
	}
	close(loop.done)
	for name, call := range calls {
		if err := call(context.Background()); !errors.Is(err, ErrStopped) {
			t.Errorf("%s, member stopped: got error %v, want ErrStopped", name, err)
		}
	}
}

// Tests that a request that is queued just as the member's event loop ends returns ErrStopped, before its context ends.
func TestRequestQueuedAtStopReturnsErrStopped(t *testing.T) {
	t.Parallel()
	for name, call := range map[string]func(context.Context, *Node) error{
		"read": func(ctx context.Context, n *Node) error {
			return n.LinearizableRead(ctx, func(*clusterconfig.State) { t.Error("the state was read") })
		},
		"status": func(ctx context.Context, n *Node) error { _, err := n.Status(ctx); return err },
		"propose": func(ctx context.Context, n *Node) error {
			_, err := n.Propose(ctx, &clusterconfig.Proposal{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			loop := newEventLoop()
			n := &Node{
				cfg:  NodeConfig{TickInterval: testTimeout}, // no attempt ends by its own timeout
				loop: loop,
				core: &Core{cfg: Config{ElectionTicks: 1}},
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			result := make(chan error, 1)
			go func() { result <- call(ctx, n) }()
			for len(loop.events) == 0 && ctx.Err() == nil {
				runtime.Gosched()
			}
			close(loop.done)
			if err := <-result; !errors.Is(err, ErrStopped) || ctx.Err() != nil {
				t.Errorf("got error %v, context error %v; want ErrStopped before the context ends", err, ctx.Err())
			}
		})
	}
}

// Tests that a read beyond the limit of pending reads is rejected with errTooManyReads and not with ErrStopped.
func TestReadBeyondLimitIsNotErrStopped(t *testing.T) {
	c := &Core{reads: newPendingReads()}
	for !c.reads.isFull() {
		c.reads.add(func(error) {})
	}
	var got error
	c.ReadIndex(func(err error) { got = err })
	if !errors.Is(got, errTooManyReads) || errors.Is(got, ErrStopped) {
		t.Errorf("read beyond the limit: got error %v, want errTooManyReads", got)
	}
}
