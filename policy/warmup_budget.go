package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// warmupBudget is a token bucket for the work that a node may send to a server that is warming up.
// Invariant: work is negative before the first refill and after a reset, else at most the limit of the last refill.
type warmupBudget struct {
	work      float64       // seconds of work
	updatedAt time.Duration // clock reading of the last refill
}

// reset empties the budget; the next refill starts it again.
func (b *warmupBudget) reset() { b.work = -1 }

// refill adds the work for the time since the last refill, at a rate per second, up to a limit. The first refill sets a
// random fraction of the limit: otherwise hundreds of nodes, each with budget for less than one request, would all send
// one at once.
func (b *warmupBudget) refill(now time.Duration, rate, limit float64, rng *rand.Rand) {
	if b.work < 0 {
		b.work = limit * rng.Float64()
	} else {
		b.work = math.Min(b.work+rate*(now-b.updatedAt).Seconds(), limit)
	}
	b.updatedAt = now
}

// spend takes the work of a request that is sent from the budget.
func (b *warmupBudget) spend(work float64) { b.work = math.Max(b.work-work, 0) }
