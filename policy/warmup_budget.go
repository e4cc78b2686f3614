package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// warmupBudget is the work that a node may send to a server while it warms up: a token bucket.
// Invariant: work is negative until the first refill, and at most the limit of the last refill after it.
type warmupBudget struct {
	work      float64       // seconds of work
	updatedAt time.Duration // clock reading of the last refill
}

// reset empties the budget; it begins again with the next refill.
func (b *warmupBudget) reset() { b.work = -1 }

// refill adds the work of the time since the last refill, at a rate per second, up to a limit. It begins at a random
// fraction of the limit: otherwise hundreds of nodes with budget for less than one request each would send it at once.
func (b *warmupBudget) refill(now time.Duration, rate, limit float64, rng *rand.Rand) {
	if b.work < 0 {
		b.work = limit * rng.Float64()
	} else {
		b.work = math.Min(b.work+rate*(now-b.updatedAt).Seconds(), limit)
	}
	b.updatedAt = now
}

// spend takes the work of a request that is sent.
func (b *warmupBudget) spend(work float64) { b.work = math.Max(b.work-work, 0) }
