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
	proposalRetryTicks   = 4       // ticks between attempts while no leader is known
	proposalElections    = 3       // election timeouts until a small proposal is repeated
	proposalBytesPerWait = 1 << 20 // bytes of values for which it is one election timeout more
)

// errNotEnqueued and errNoAnswer are errors of an attempt besides those of the Core.
var (
	errNotEnqueued = errors.New("the event loop has ended, or the caller's time")
	errNoAnswer    = errors.New("no answer came in time")
)

// proposalRetry decides whether a proposal is repeated after an attempt. A repeat has the same id, so that the proposal
// is applied at most once.
type proposalRetry struct {
	answerTimeout time.Duration // of the next attempt
	lastErr       error
	mayBeApplied  bool // an attempt has reached a leader, and its result was lost
}

// retryVerdict is what follows an attempt.
type retryVerdict int

const (
	retryNever retryVerdict = iota // the result stands
	retryNow
	retryLater // after proposalRetryTicks
)

// newProposalRetry returns the state before a proposal's first attempt. A long proposal that is repeated too early adds
// to the load that delays it, so that the wait for an answer, of proposalElections election timeouts, grows with its
// size.
func newProposalRetry(p *clusterconfig.Proposal, electionTimeout time.Duration) *proposalRetry {
	size := 0
	for _, change := range p.Changes {
		size += len(change.Value)
	}
	elections := time.Duration(proposalElections + size/proposalBytesPerWait)
	return &proposalRetry{answerTimeout: elections * electionTimeout, lastErr: ErrNoLeader}
}

// afterAttempt decides what follows an attempt that ended with an error, or nil. Without an answer the next attempt
// follows at once and waits twice as long; without a leader it waits for one.
func (r *proposalRetry) afterAttempt(err error) retryVerdict {
	switch {
	case err == nil:
		return retryNever
	case errors.Is(err, errNoAnswer):
		r.lastErr = ErrOutcomeUnknown
		r.mayBeApplied = true
		r.answerTimeout *= 2
		return retryNow
	case errors.Is(err, ErrOutcomeUnknown):
		r.lastErr = err
		r.mayBeApplied = true
		return retryLater
	case errors.Is(err, ErrNoLeader):
		r.lastErr = err
		return retryLater
	}
	return retryNever
}

// giveUp returns the error at the end of the caller's time.
func (r *proposalRetry) giveUp(ctxErr error) error {
	if r.mayBeApplied {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctxErr)
	}
	return fmt.Errorf("%w: %w", r.lastErr, ctxErr)
}

// Propose has a proposal replicated and returns its outcome. If the result is lost (for
// example with a leader), it repeats the proposal with the same id until ctx ends, which
// applies it at most once. At ctx's end the error wraps ctx.Err() and [ErrNoLeader] if the
// proposal has reached no leader, or else [ErrOutcomeUnknown].
func (n *Node) Propose(ctx context.Context, p *clusterconfig.Proposal) (clusterconfig.Outcome, error) {
	retry := newProposalRetry(p, n.electionTimeout())
	for {
		outcome, err := n.proposeOnce(ctx, p, retry.answerTimeout)
		if errors.Is(err, errNotEnqueued) {
			err := n.loop.enqueueError(ctx)
			if !errors.Is(err, ErrStopped) {
				return clusterconfig.Outcome{}, retry.giveUp(err)
			}
			return clusterconfig.Outcome{}, errors.Join(err, retry.lastErr)
		}
		switch retry.afterAttempt(err) {
		case retryNever:
			return outcome, err
		case retryLater:
			sleepContext(ctx, proposalRetryTicks*n.cfg.TickInterval)
		}
		if ctx.Err() != nil {
			n.loop.enqueue(context.Background(), func() { n.core.AbandonProposal(p.ID) })
			return clusterconfig.Outcome{}, retry.giveUp(ctx.Err())
		}
	}
}

// electionTimeout returns the least time without a leader after which an election begins.
func (n *Node) electionTimeout() time.Duration {
	return time.Duration(n.core.cfg.ElectionTicks) * n.cfg.TickInterval
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
	if !n.loop.enqueue(ctx, func() { n.core.Propose(p, done) }) {
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
