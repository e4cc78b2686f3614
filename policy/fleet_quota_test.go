package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
)

// fleetLedger compares the units that a fleet admits with each customer's true quota.
type fleetLedger struct {
	plan          Plan
	fleetQuotas   map[int]*trueQuota // charged with the requests that the fleet forwards
	idealQuotas   map[int]*trueQuota // charged with all requests, as by one instance that receives them all
	idealValue    float64            // value of the requests inside idealQuotas
	overQuotaCost float64            // cost of the requests that the fleet forwards beyond fleetQuotas
	units         [2]int             // admitted inside fleetQuotas and inside idealQuotas
}

// trueQuota is a customer's quota over all instances together.
type trueQuota struct {
	tokens     float64
	refilledAt time.Duration
}

// take takes a unit from the customer's quota, and reports whether there was one.
func (l *fleetLedger) take(quotas map[int]*trueQuota, now time.Duration, customer int) bool {
	quota := quotas[customer]
	if quota == nil {
		quota = &trueQuota{tokens: l.plan.Burst, refilledAt: now}
		quotas[customer] = quota
	}
	quota.tokens = math.Min(quota.tokens+l.plan.Rate*(now-quota.refilledAt).Seconds(), l.plan.Burst)
	quota.refilledAt = now
	if quota.tokens < 1 {
		return false
	}
	quota.tokens--
	return true
}

func requestValue(r *fleetRequest) float64 {
	if r.class == "keyed" {
		return 9
	}
	return 3
}

// requestReceived records a request of a client.
func (l *fleetLedger) requestReceived(now time.Duration, r *fleetRequest) {
	if l != nil && l.take(l.idealQuotas, now, r.customer) {
		l.units[1]++
		l.idealValue += requestValue(r)
	}
}

// requestForwarded records a request that is forwarded.
func (l *fleetLedger) requestForwarded(now time.Duration, r *fleetRequest) {
	switch {
	case l == nil:
	case l.take(l.fleetQuotas, now, r.customer):
		l.units[0]++
	default:
		l.overQuotaCost += requestValue(r) * l.plan.OverQuotaCost
	}
}

// makeCustomersHeavy multiplies the request rate of every customer whose index is a multiple of interval. The total
// load grows accordingly.
func (s *fleetSim) makeCustomersHeavy(interval int, factor float64) {
	oldSum, sum, last := s.cumulativeRates[len(s.cumulativeRates)-1], 0.0, 0.0
	for i, cumulativeRate := range s.cumulativeRates {
		rate := cumulativeRate - last
		last = cumulativeRate
		if i%interval == 0 {
			rate *= factor
		}
		sum += rate
		s.cumulativeRates[i] = sum
	}
	oldRate := s.requestRate
	s.requestRate = func(at time.Duration) float64 { return oldRate(at) * sum / oldSum }
}

// At normal load, with one in eight customers sending four times as much as the others and with messages lost, delayed
// and duplicated, the units forwarded beyond the quotas cost at most 0.1 of the value. The target is a cost of at most
// 0.1 more than that of a policy that sees the true state late, whose cost is taken as 0 here.
func TestQuotasHoldOnAQuietDay(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ engines, servers int }{{3, 12}, {8, 16}, {70, 40}} {
		t.Run(fmt.Sprintf("%d_engines", c.engines), func(t *testing.T) {
			t.Parallel()
			seedtest.ForEach(t, 0, 3, func(t *testing.T, seed uint64) {
				ledger := runNormalLoad(seed, c.engines, c.servers)
				cost := ledger.overQuotaCost / ledger.idealValue
				const text = "%d instances: %d of %d units admitted inside quotas, cost beyond them %.3f of the value"
				result := fmt.Sprintf(text, c.engines, ledger.units[0], ledger.units[1], cost)
				t.Log(result)
				if cost > 0.1 || 2*ledger.units[0] < ledger.units[1] {
					t.Error(result)
				}
			})
		})
	}
}

// runNormalLoad runs a fleet at normal load with some heavy customers, and returns what it admitted.
func runNormalLoad(seed uint64, engines, servers int) *fleetLedger {
	s := newFleet(seed, engines, servers, 0.3)
	s.gossipLoss, s.reordersGossip = 0.08, true
	s.settings.Plans[0].HardLimitRate = 0 // only the quota limits the units that are forwarded
	s.makeCustomersHeavy(8, 4)
	for i := range s.engines {
		s.startEngine(i)
	}
	s.ledger = &fleetLedger{
		plan:        s.settings.Plans[0],
		fleetQuotas: map[int]*trueQuota{},
		idealQuotas: map[int]*trueQuota{},
	}
	s.run(s.now + 20*time.Second)
	return s.ledger
}
