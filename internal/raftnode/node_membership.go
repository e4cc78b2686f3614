package raftnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// transferPollTicks is the number of ticks between two checks whether the leadership was transferred.
const transferPollTicks = 2

// ChangeMembership changes the membership. It calls remaining on the event loop with the current voters and learners.
// remaining returns the changes that remain to be made; they are proposed, and remaining is called again until it
// returns none. Several changes at once use a joint configuration. The caller may repeat a call whose result was lost.
func (n *Node) ChangeMembership(ctx context.Context,
	remaining func(voters, learners []uint64) []*pb.ConfChangeSingle) error {
	for round := 0; ; round++ {
		id := fmt.Sprintf("%d-%d-%d", n.cfg.ID, time.Now().UnixNano(), round)
		results := make(chan error, 1)
		changeCount, err := n.proposeRemaining(ctx, id, remaining, results)
		if err != nil {
			return err
		}
		if changeCount == 0 {
			return nil
		}
		err = n.awaitMembershipChange(ctx, results)
		if err != nil && !errors.Is(err, ErrNoLeader) {
			return err
		}
		n.loop.enqueue(context.Background(), func() { n.core.AbandonMembershipChange(id) })
		if ctx.Err() == nil {
			continue
		}
		if err != nil {
			return fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return fmt.Errorf("no quorum has committed the membership change yet: %w", ctx.Err())
	}
}

// proposeRemaining proposes the changes that remain to be made, and returns their number. The result of the proposal is
// sent to results.
func (n *Node) proposeRemaining(ctx context.Context, id string,
	remaining func(voters, learners []uint64) []*pb.ConfChangeSingle, results chan<- error) (int, error) {
	changeCount := 0
	err := n.loop.call(ctx, func() {
		changes := remaining(n.core.Members())
		changeCount = len(changes)
		if changeCount == 0 {
			return
		}
		var once sync.Once
		n.core.ProposeConfChange(id, changes, func(err error) {
			once.Do(func() { results <- err })
		})
	})
	return changeCount, err
}

// awaitMembershipChange waits for the result of a membership change, for at most one election timeout. It returns nil
// at the end of that time or of ctx: a change that was lost, or that was dropped because another one is in progress,
// has to be proposed again. If no leader is known, it returns [ErrNoLeader] after the election timeout.
func (n *Node) awaitMembershipChange(ctx context.Context, results <-chan error) error {
	timer := time.NewTimer(n.electionTimeout())
	defer timer.Stop()
	select {
	case err := <-results:
		if errors.Is(err, ErrNoLeader) {
			<-timer.C
		}
		return err
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// TransferLeadership requests that the leader transfer its leadership to a voter, and repeats the request until this
// member knows the voter as leader.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) error {
	for {
		var leader uint64
		err := n.loop.call(ctx, func() {
			leader = n.core.Leader()
			if leader != to && leader != 0 {
				n.core.TransferLeadership(to)
			}
		})
		if err != nil {
			return err
		}
		if leader == to {
			return nil
		}
		sleepContext(ctx, transferPollTicks*n.cfg.TickInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("member %d is not the leader yet: %w", to, ctx.Err())
		}
	}
}

// ResignLeadership makes another voter the leader if this member leads, so that its end causes no election timeout. It
// tries one voter after the other, each for an election timeout, since a voter that has just died looks like the others.
func (n *Node) ResignLeadership(ctx context.Context) error {
	var candidates []uint64
	if err := n.loop.call(ctx, func() { candidates = n.core.TransferCandidates() }); err != nil {
		return err
	}
	var err error
	for _, voter := range candidates {
		attempt, cancel := context.WithTimeout(ctx, n.electionTimeout())
		err = n.TransferLeadership(attempt, voter)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// CheckPeerAddress returns an error if a member does not accept connections of other members at an address. It verifies
// the member's certificate and sends no message.
func (n *Node) CheckPeerAddress(ctx context.Context, member uint64, address string) error {
	conn, err := n.transport.dial(ctx, member, address)
	if err != nil {
		return err
	}
	conn.Close() // nothing was sent, so that a failure to close loses nothing
	return nil
}
