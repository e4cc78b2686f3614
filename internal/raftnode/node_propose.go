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
	proposalRetryTicks       = 4       // ticks between attempts while no leader is known
	proposalTimeoutElections = 3       // election timeouts after which a small proposal is repeated
	proposalBytesPerElection = 1 << 20 // bytes of values for which the wait is one election timeout longer
)

// errNotRun and errNoResult are the errors of an attempt to propose that do not come from the Core. They are not
// returned to callers.
var (
	errNotRun   = errors.New("proposal not run: the event loop or the context has ended")
	errNoResult = errors.New("no result of the proposal before the timeout or the end of the context")
)

// proposalRetry decides after each attempt whether a proposal is repeated. A repeated proposal has the same id, so that
// it is applied at most once.
type proposalRetry struct {
	resultTimeout time.Duration // longest wait for the result of the next attempt
	lastErr       error
	mayBeApplied  bool // an attempt may have reached a leader, and its result was lost
}

// retryDecision is the decision whether a proposal is repeated after an attempt.
type retryDecision int

const (
	retryNever retryDecision = iota // the attempt's result is final
	retryNow
	retryLater // after proposalRetryTicks
)

// newProposalRetry returns the state before a proposal's first attempt. The wait for a result is
// proposalTimeoutElections election timeouts and grows with the proposal's size: a long proposal that is repeated too
// early adds to the load that delays it.
func newProposalRetry(p *clusterconfig.Proposal, electionTimeout time.Duration) *proposalRetry {
	size := 0
	for _, change := range p.Changes {
		size += len(change.Value)
	}
	elections := time.Duration(proposalTimeoutElections + size/proposalBytesPerElection)
	return &proposalRetry{resultTimeout: elections * electionTimeout, lastErr: ErrNoLeader}
}

// afterAttempt decides whether a proposal is repeated after an attempt that ended with err, which may be nil. Without a
// result it is repeated at once, with twice the wait; while no leader is known it is repeated after a delay.
func (r *proposalRetry) afterAttempt(err error) retryDecision {
	switch {
	case err == nil:
		return retryNever
	case errors.Is(err, errNoResult):
		r.lastErr = ErrOutcomeUnknown
		r.mayBeApplied = true
		r.resultTimeout *= 2
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

// contextError returns the error of a proposal whose caller's context has ended, with ctxErr.
func (r *proposalRetry) contextError(ctxErr error) error {
	if r.mayBeApplied {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctxErr)
	}
	return fmt.Errorf("%w: %w", r.lastErr, ctxErr)
}

// Propose replicates a proposal and returns its outcome. If the result is lost, for example because the leader failed,
// it repeats the proposal with the same id until ctx ends; the proposal is applied at most once. If ctx ends first, the
// error wraps ctx.Err(), and also [ErrNoLeader] if no leader can have received the proposal, or else
// [ErrOutcomeUnknown].
func (n *Node) Propose(ctx context.Context, p *clusterconfig.Proposal) (clusterconfig.Outcome, error) {
	retry := newProposalRetry(p, n.electionTimeout())
	for {
		outcome, err := n.proposeOnce(ctx, p, retry.resultTimeout)
		if errors.Is(err, errNotRun) {
			err := n.loop.enqueueError(ctx)
			if !errors.Is(err, ErrStopped) {
				return clusterconfig.Outcome{}, retry.contextError(err)
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
			return clusterconfig.Outcome{}, retry.contextError(ctx.Err())
		}
	}
}

// electionTimeout returns the least time without a message from the leader after which a member starts an election.
func (n *Node) electionTimeout() time.Duration {
	return time.Duration(n.core.cfg.ElectionTicks) * n.cfg.TickInterval
}

// proposeOnce makes one attempt to propose. Besides the Core's errors, it returns errNotRun if the event loop or ctx
// has ended before the attempt was run, and errNoResult if the timeout or ctx ends before there is a result.
func (n *Node) proposeOnce(ctx context.Context, p *clusterconfig.Proposal,
	timeout time.Duration) (clusterconfig.Outcome, error) {
	type result struct {
		outcome clusterconfig.Outcome
		err     error
	}
	results := make(chan result, 1)
	var once sync.Once // done may be called twice, since several attempts may wait for one id
	done := func(outcome clusterconfig.Outcome, err error) {
		once.Do(func() { results <- result{outcome, err} })
	}
	if !n.loop.enqueue(ctx, func() { n.core.Propose(p, done) }) {
		return clusterconfig.Outcome{}, errNotRun
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.outcome, r.err
	case <-timer.C:
		return clusterconfig.Outcome{}, errNoResult
	case <-ctx.Done():
		return clusterconfig.Outcome{}, errNoResult
	case <-n.loop.done:
	}
	select {
	case r := <-results:
		return r.outcome, r.err
	default: // the loop has ended without running the queued attempt
		return clusterconfig.Outcome{}, errNotRun
	}
}
