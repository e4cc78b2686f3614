package register

import (
	"math/rand/v2"
	"time"
)

// Pace of the calls for lists.
const (
	backoffLeast = 100 * time.Millisecond // before the first new try of a watch that ended
	backoffMost  = time.Second

	fewNodes  = 8                      // so many nodes may all call at once
	callApart = 100 * time.Millisecond // between the calls of more, on average: a register that serves one from each in 8 s keeps up with 80
	spreadMax = 5 * time.Second        // over which first calls are spread at most: what the register has to tell counts as told 6 s later
	pauseMax  = 4                      // spreads that a pause grows to
)

// Pace decides when a node of a fleet calls the register. A register serves calls in turn and works on those too that
// nobody waits for any more; nodes that lost their watches at the same moment, or started together, and all call at
// once fill its line with calls that each give up before their turn, and as long as they come back sooner than
// it serves them the line never gets shorter and no call is ever answered. So the nodes of a large fleet spread their first
// calls over a time that grows with their number, and each pause after a failure is drawn anew from a range that doubles.
// Few nodes call at once and come back soon, as there the line is short.
//
// Pace does no I/O; its chance comes from the seed.
type Pace struct {
	spread, pause time.Duration
	rng           *rand.Rand
}

// NewPace returns the pace of one of a number of nodes.
func NewPace(nodes int, seed uint64) *Pace {
	p := &Pace{rng: rand.New(rand.NewPCG(seed, 0x9ace))}
	if nodes > fewNodes {
		p.spread = min(time.Duration(nodes)*callApart, spreadMax)
	}
	p.Heard()
	return p
}

// Heard takes in that the register answered: the next pause is the shortest again.
func (p *Pace) Heard() { p.pause = 0 }

// First is the wait before the first call of a node that holds a list.
func (p *Pace) First() time.Duration { return p.draw(p.spread) }

// Next is the wait before the call after one that failed, or after a watch that ended.
func (p *Pace) Next() time.Duration {
	if p.spread == 0 {
		p.pause = min(max(2*p.pause, backoffLeast), backoffMost)
		return p.pause
	}
	if p.pause == 0 { // a watch that ended: others may have ended with it
		p.pause = p.spread
		return p.draw(p.spread)
	}
	wait := p.pause/2 + p.draw(p.pause)
	p.pause = min(2*p.pause, pauseMax*p.spread)
	return wait
}

func (p *Pace) draw(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(p.rng.Int64N(int64(most)))
}
