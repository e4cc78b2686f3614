package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// localRetryDelay is the delay between two watches of a local agent. The grace period of a server that starts
	// draining in between is several times as long.
	localRetryDelay = 50 * time.Millisecond

	// minBackoff is the delay before the first retry of a watch that ended.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest delay in a small tier.
	maxBackoff = time.Second

	// maxSmallTierNodes is the largest tier whose nodes may all retry within maxBackoff.
	maxSmallTierNodes = 8
	// callInterval is the average time between two calls from all nodes of a larger tier together.
	callInterval = 100 * time.Millisecond
	// maxSpread is the longest time over which a larger tier spreads its calls after a first failure.
	maxSpread = 5 * time.Second
	// maxDelaySpreads is the longest delay before its random part, in multiples of the spread.
	maxDelaySpreads = 4

	// backoffStream separates the random numbers of the backoff from others with the same seed.
	backoffStream = 0x9ace
)

// retrySchedule decides how long to wait before a watch that ended is opened again.
type retrySchedule struct {
	isLocalAgent bool
	backoff      *Backoff
}

// newRetrySchedule returns the schedule of a node. A nil backoff means that of a tier of one node.
func newRetrySchedule(isLocalAgent bool, backoff *Backoff) retrySchedule {
	if backoff == nil || isLocalAgent { // an agent serves only this node
		backoff = NewBackoff(1, 0)
	}
	return retrySchedule{isLocalAgent, backoff}
}

// nextDelay returns the delay before the next watch, given the outcome of the last one. A local agent serves only this
// node, and the node is expected to act on what the agent publishes whether or not a watch is open. Therefore only
// malformed lists make the delay grow.
func (s retrySchedule) nextDelay(outcome watchOutcome) time.Duration {
	if s.isLocalAgent && outcome != watchMalformed {
		s.backoff.reset()
		return localRetryDelay
	}
	return s.backoff.NextDelay(outcome == watchReceived)
}

// Backoff decides how long one node of a tier waits before it calls the discovery server again. The server handles
// calls one after another, including those whose callers have timed out. Backoff does no I/O; its random numbers come
// from the seed.
type Backoff struct {
	spread time.Duration // time over which the nodes of a large tier spread their calls; 0 in a small tier
	delay  time.Duration // last delay, before its random part
	rng    *rand.Rand
}

// NewBackoff returns the backoff of one node in a tier of the given number of nodes.
func NewBackoff(nodes int, seed uint64) *Backoff {
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, backoffStream))}
	if nodes > maxSmallTierNodes {
		b.spread = min(time.Duration(nodes)*callInterval, maxSpread)
	}
	return b
}

// NextDelay returns how long the node waits before its next call.
//
// After a watch that received something the delay is 100 ms, because a node that can reach the server is expected to
// act on the lists that it publishes. After a failed call the delay in a small tier is 100 ms, or 200 ms if the call
// before received something, and doubles up to 1 s. In a large tier it is 0.5 to 1.5 times a value that grows with the
// size of the tier and with each failure; otherwise the queue of calls at the server would never get shorter.
func (b *Backoff) NextDelay(hasReceived bool) time.Duration {
	switch {
	case hasReceived:
		b.reset()
		return b.delay
	case b.spread == 0:
		b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
		return b.delay
	}
	b.delay = min(max(b.delay+b.spread/2, b.spread), maxDelaySpreads*b.spread)
	return b.delay/2 + time.Duration(b.rng.Int64N(int64(b.delay)))
}

// reset sets the delay to its minimum.
func (b *Backoff) reset() { b.delay = minBackoff }
