package raftnode

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"mulleinmux/clusterconfig"
)

// LinearizableRead calls read with the state as soon as this member has applied all entries that were committed in the
// cluster at the time of the call. read runs on the event loop: it must not block or retain the state. It is not called
// after LinearizableRead has returned. The error is or wraps [ErrStopped] if the member has stopped, or [ErrNoLeader]
// if ctx ends before the read is confirmed.
func (n *Node) LinearizableRead(ctx context.Context, read func(*clusterconfig.State)) error {
	results := make(chan error, 1)
	var mu sync.Mutex // guards hasReturned, and delays the return while read runs
	hasReturned := false
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		hasReturned = true
	}()
	done := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && !hasReturned {
			read(n.core.State())
		}
		results <- err
	}
	if !n.loop.enqueue(ctx, func() { n.core.ReadIndex(done) }) {
		return n.loop.enqueueError(ctx)
	}
	select {
	case err := <-results:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoLeader, ctx.Err())
	case <-n.loop.done:
	}
	select {
	case err := <-results:
		return err
	default: // the loop has ended without running the queued read
		return ErrStopped
	}
}

// Status is a member's local view of the cluster.
type Status struct {
	ID           uint64   `json:"id"`
	Leader       uint64   `json:"leader"` // id of the leader, or 0 if none is known
	Ready        bool     `json:"ready"`  // see [Core.IsReady]
	Version      uint64   `json:"version"`
	AppliedIndex uint64   `json:"index"`
	Hash         string   `json:"hash"`
	Voters       []uint64 `json:"voters"`
	Learners     []uint64 `json:"learners"`
}

// Status returns the member's local view, without contacting other members.
func (n *Node) Status(ctx context.Context) (Status, error) {
	statuses := make(chan Status, 1)
	if !n.loop.enqueue(ctx, func() { statuses <- n.core.status() }) {
		return Status{}, n.loop.enqueueError(ctx)
	}
	select {
	case status := <-statuses:
		return status, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-n.loop.done:
		return Status{}, ErrStopped
	}
}

// status returns the member's local view.
func (c *Core) status() Status {
	voters, learners := c.Members()
	return Status{
		ID:           c.cfg.ID,
		Leader:       c.Leader(),
		Ready:        c.IsReady(),
		Version:      c.state.Version(),
		AppliedIndex: c.appliedIndex,
		Hash:         c.state.Hash(),
		Voters:       voters,
		Learners:     learners,
	}
}

// AppliedState returns the configuration as applied by this member, without contacting other members.
func (n *Node) AppliedState(ctx context.Context) (*clusterconfig.State, error) {
	var state *clusterconfig.State
	err := n.loop.call(ctx, func() { state = n.core.State().Freeze() })
	return state, err
}

// Membership is the cluster's membership as of an index of the log.
type Membership struct {
	AppliedIndex uint64
	Members      []uint64 // voters and learners
	Voters       []uint64
	IsJoint      bool // a joint configuration: a change of the voters is in progress

	ChangeIndex uint64 // index of the last change of the membership, or of the snapshot that it was restored from
	IndexBefore uint64 // ChangeIndex of the membership that directly preceded it; 0 if unknown
}

// AppliedStateAndMembership returns the result of [Node.AppliedState] and the membership as of the same index.
func (n *Node) AppliedStateAndMembership(ctx context.Context) (*clusterconfig.State, Membership, error) {
	var state *clusterconfig.State
	var membership Membership
	err := n.loop.call(ctx, func() {
		voters, _ := n.core.Members()
		state = n.core.State().Freeze()
		membership = Membership{
			AppliedIndex: n.core.AppliedIndex(),
			Members:      n.core.membership.ids(),
			Voters:       slices.Clone(voters),
			IsJoint:      n.core.membership.isJoint(),
			ChangeIndex:  n.core.membership.index,
			IndexBefore:  n.core.membership.before,
		}
	})
	return state, membership, err
}

// FenceIndex returns the result of [Core.FenceIndex].
func (n *Node) FenceIndex() uint64 { return n.core.FenceIndex() }

// ReplicationLag returns the result of [Core.ReplicationLag].
func (n *Node) ReplicationLag(ctx context.Context, member uint64) (entries uint64, known bool, err error) {
	err = n.loop.call(ctx, func() { entries, known = n.core.ReplicationLag(member) })
	return entries, known, err
}
