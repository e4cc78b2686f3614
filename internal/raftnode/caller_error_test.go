package raftnode

import (
	"context"
	"errors"
	"testing"

	"mulleinmux/clusterconfig"
)

// A caller whose own time is over, while the member's queue is full, does not read that the member has stopped; one of
// a member that has stopped does.
func TestCallersDeadlineIsNoStop(t *testing.T) {
	loop := newEventLoop()
	for range eventQueueSize {
		loop.events <- func() {}
	}
	n := &Node{loop: loop, core: &Core{cfg: Config{ElectionTicks: 10}}}
	ended, end := context.WithCancel(context.Background())
	end()
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
		if err := call(ended); !errors.Is(err, context.Canceled) || errors.Is(err, ErrStopped) {
			t.Errorf("%s, running: %v", name, err)
		}
	}
	close(loop.done)
	for name, call := range calls {
		if err := call(context.Background()); !errors.Is(err, ErrStopped) {
			t.Errorf("%s, stopped: %v", name, err)
		}
	}
}

// A read beyond the limit is rejected as such: the member runs.
func TestReadBeyondLimitIsNoStop(t *testing.T) {
	c := &Core{reads: newPendingReads()}
	for !c.reads.isFull() {
		c.reads.add(func(error) {})
	}
	var got error
	c.ReadIndex(func(err error) { got = err })
	if !errors.Is(got, errTooManyReads) || errors.Is(got, ErrStopped) {
		t.Errorf("over the limit: %v", got)
	}
}
