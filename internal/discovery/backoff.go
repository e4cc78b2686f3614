package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the delay before the first retry of a watch that ended.
	minBackoff = 100 * time.Millisecond
	// maxBackoff bounds the delay in a small tier.
	maxBackoff = time.Second

	// smallTier is how many nodes may all call again soon.
	smallTier = 8
	// callInterval is the average time between the calls of a larger tier: a discovery server that serves one call of
	// each node in 8 s keeps up with 80.
	callInterval = 100 * time.Millisecond
	// maxSpread bounds the time over which calls after a first failure are spread.
	maxSpread = 5 * time.Second
	// maxDelaySpreads is how many spreads a delay grows to.
	maxDelaySpreads = 4

	// backoffStream tells the random numbers of the backoff from others of the same seed.
	backoffStream = 0x9ace
)

// Backoff decides when a node of a tier calls the discovery server. A first call is made at once, and so is
// the first after a watch that ended: what the server has to tell counts as known to a node that could have
// asked. But a server serves calls in turn and works on those too that nobody waits for any more. Nodes that
// lost their watches at the same moment, or started together, fill its queue with calls of which most time
// out before their turn; if they come back sooner than it serves them, the queue never gets shorter, and no
// call is ever answered. So after a call that failed the nodes of a large tier wait for half of a time that
// grows with their number, in which the queue gets shorter, and spread their calls over as long; after each
// further failure both grow. Few nodes come back soon, as there the queue is short.
//
// Backoff does no I/O; its random numbers come from the seed.
type Backoff struct {
	spread, delay time.Duration
	rng           *rand.Rand
}

// NewBackoff returns the backoff of one of a number of nodes.
func NewBackoff(nodes int, seed uint64) *Backoff {
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, backoffStream))}
	if nodes > smallTier {
		b.spread = min(time.Duration(nodes)*callInterval, maxSpread)
	}
	return b
}

// NextDelay is the delay before the call after a watch that ended or, where nothing was heard on it, after a
// call that failed.
func (b *Backoff) NextDelay(hasHeard bool) time.Duration {
	switch {
	case hasHeard:
		b.delay = minBackoff
		return b.delay
	case b.spread == 0:
		b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
		return b.delay
	}
	b.delay = min(max(b.delay+b.spread/2, b.spread), maxDelaySpreads*b.spread)
	return b.delay/2 + time.Duration(b.rng.Int64N(int64(b.delay)))
}
