package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// warmupBudget is the work that a node may send to a server while it warms up: a token bucket in seconds of
// work. Invariant: work is below 0 as long as the budget has not begun, and else at most its limit.
type warmupBudget struct {
	work      float64
	updatedAt time.Duration
}

// reset ends the budget; it begins anew with the next refill.
func (b *warmupBudget) reset() { b.work = -1 }

// refill adds the work of the time since the last refill, at a rate per second. It begins by chance: hundreds
// of nodes with less than one request a window to send must not all send it at once.
func (b *warmupBudget) refill(now time.Duration, rate, limit float64, rng *rand.Rand) {
	if b.work < 0 {
		b.work = limit * rng.Float64()
	} else {
		b.work = math.Min(b.work+rate*(now-b.updatedAt).Seconds(), limit)
	}
	b.updatedAt = now
}

// spend takes the work of a request that was sent.
func (b *warmupBudget) spend(work float64) { b.work = math.Max(b.work-work, 0) }
