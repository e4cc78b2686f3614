package discovery

import (
	"math/rand/v2"
	"time"
)

// Pace of the calls for lists.
const (
	backoffLeast = 100 * time.Millisecond // before the first new try of a watch that ended
	backoffMost  = time.Second

	fewNodes  = 8                      // so many nodes may all call again soon
	callApart = 100 * time.Millisecond // between the calls of more, on average: a register that serves one from each in 8 s keeps up with 80
	spreadMax = 5 * time.Second        // over which calls after a failure are spread at most, at first
	pauseMax  = 4                      // spreads that a pause grows to
)

// Backoff decides when a node of a fleet calls the register. A first call is made at once, and so is the first after a watch
// that ended: what the register has to tell counts as told to a node that could have asked. But a register serves calls in turn
// and works on those too that nobody waits for any more. Nodes that lost their watches at the same moment, or started together, fill its
// line with calls of which most give up before their turn; if they come back sooner than it serves them, the line
// never gets shorter, and no call is ever answered. So after a call that failed the nodes of a large fleet wait for half of a time that
// grows with their number, in which the line gets shorter, and spread their calls over as long; after each further failure both
// grow. Few nodes come back soon, as there the line is short.
//
// Pace does no I/O; its chance comes from the seed.
type Backoff struct {
	spread, pause time.Duration
	rng           *rand.Rand
}

// NewBackoff returns the pace of one of a number of nodes.
func NewBackoff(nodes int, seed uint64) *Backoff {
	p := &Backoff{rng: rand.New(rand.NewPCG(seed, 0x9ace))}
	if nodes > fewNodes {
		p.spread = min(time.Duration(nodes)*callApart, spreadMax)
	}
	return p
}

// NextDelay is the wait before the call after a watch that ended or, where nothing was heard on it, after a call that failed.
func (p *Backoff) NextDelay(heard bool) time.Duration {
	switch {
	case heard:
		p.pause = backoffLeast
		return p.pause
	case p.spread == 0:
		p.pause = min(max(2*p.pause, backoffLeast), backoffMost)
		return p.pause
	}
	p.pause = min(max(p.pause+p.spread/2, p.spread), pauseMax*p.spread)
	return p.pause/2 + time.Duration(p.rng.Int64N(int64(p.pause)))
}
