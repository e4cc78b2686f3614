package raftnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
)

const (
	proposalRetryTicks   = 4       // between attempts while no leader is known
	proposalElections    = 3       // election timeouts until a small proposal is repeated
	proposalBytesPerWait = 1 << 20 // of values, for each of which it is one election timeout more
)

// errNotEnqueued and errNoAnswer are errors of an attempt besides those of the Core.
var (
	errNotEnqueued = errors.New("the event loop has ended")
	errNoAnswer    = errors.New("no answer came in time")
)

// Propose has a proposal replicated and returns its outcome. If the result is lost (for
// example with a leader), it repeats the proposal with the same id until ctx ends, which
// applies it at most once. At ctx's end the error wraps ctx.Err() and [ErrNoLeader] if the
// proposal has reached no leader, or else [ErrOutcomeUnknown].
func (n *Node) Propose(ctx context.Context, p *clusterconfig.Proposal) (clusterconfig.Outcome, error) {
	retryDelay := proposalRetryTicks * n.cfg.TickInterval
	answerTimeout := n.proposalTimeout(p)
	lastErr := ErrNoLeader
	mayBeApplied := false
	for {
		outcome, err := n.proposeOnce(ctx, p, answerTimeout)
		switch {
		case err == nil:
			return outcome, nil
		case errors.Is(err, errNotEnqueued):
			return clusterconfig.Outcome{}, errors.Join(ErrStopped, lastErr, ctx.Err())
		case errors.Is(err, errNoAnswer):
			lastErr = ErrOutcomeUnknown
			mayBeApplied = true
			answerTimeout *= 2
		case errors.Is(err, ErrOutcomeUnknown):
			lastErr = err
			mayBeApplied = true
			sleepContext(ctx, retryDelay)
		case errors.Is(err, ErrNoLeader):
			lastErr = err
			sleepContext(ctx, retryDelay)
		default:
			return clusterconfig.Outcome{}, err
		}
		if ctx.Err() != nil {
			n.enqueue(context.Background(), func() { n.core.AbandonProposal(p.ID) })
			if mayBeApplied {
				lastErr = ErrOutcomeUnknown
			}
			return clusterconfig.Outcome{}, fmt.Errorf("%w: %w", lastErr, ctx.Err())
		}
	}
}

// proposalTimeout returns how long to wait for a proposal's result before it is repeated. A
// long proposal that is repeated too early adds to the load that delays it.
func (n *Node) proposalTimeout(p *clusterconfig.Proposal) time.Duration {
	size := 0
	for _, change := range p.Changes {
		size += len(change.Value)
	}
	elections := proposalElections + size/proposalBytesPerWait
	return time.Duration(elections*n.core.cfg.ElectionTicks) * n.cfg.TickInterval
}

// proposeOnce makes one attempt. Besides the Core's errors it returns errNotEnqueued, and
// errNoAnswer where the timeout has passed or ctx has ended first.
func (n *Node) proposeOnce(ctx context.Context, p *clusterconfig.Proposal,
	timeout time.Duration) (clusterconfig.Outcome, error) {
	type result struct {
		outcome clusterconfig.Outcome
		err     error
	}
	results := make(chan result, 1)
	var once sync.Once // several attempts may wait for one id, so that done may be called twice
	done := func(outcome clusterconfig.Outcome, err error) {
		once.Do(func() { results <- result{outcome, err} })
	}
	if !n.enqueue(ctx, func() { n.core.Propose(p, done) }) {
		return clusterconfig.Outcome{}, errNotEnqueued
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.outcome, r.err
	case <-timer.C:
		return clusterconfig.Outcome{}, errNoAnswer
	case <-ctx.Done():
		return clusterconfig.Outcome{}, errNoAnswer
	}
}
