package policy

import (
	"math"
	"testing"
	"time"
)

// fleetLedger holds what a fleet lets through against each customer's quota as it is.
type fleetLedger struct {
	plan          Plan
	fleetQuotas   map[int]*trueQuota // filled and spent as by the fleet
	idealQuotas   map[int]*trueQuota // as by one gateway that sees all tries and lets in what the quota holds
	idealValue    float64            // worth that the latter lets in
	overQuotaCost float64            // what the fleet let through beyond quotas costs
	units         [2]int             // that were let through inside the quotas, by each
}

// trueQuota is a customer's quota over all gateways together.
type trueQuota struct {
	tokens     float64
	refilledAt time.Duration
}

// take takes a unit of the customer's store if it holds one, and tells whether it did.
func (l *fleetLedger) take(of map[int]*trueQuota, now time.Duration, customer int) bool {
	st := of[customer]
	if st == nil {
		st = &trueQuota{tokens: l.plan.Burst, refilledAt: now}
		of[customer] = st
	}
	st.tokens = math.Min(st.tokens+l.plan.Rate*(now-st.refilledAt).Seconds(), l.plan.Burst)
	if st.refilledAt = now; st.tokens < 1 {
		return false
	}
	st.tokens--
	return true
}

func valueOf(r *fleetRequest) float64 {
	if r.class == "keyed" {
		return 9
	}
	return 3
}

// requestReceived takes in a try of a client.
func (l *fleetLedger) requestReceived(now time.Duration, r *fleetRequest) {
	if l != nil && l.take(l.idealQuotas, now, r.customer) {
		l.units[1]++
		l.idealValue += valueOf(r)
	}
}

// requestForwarded takes in a try that is sent on.
func (l *fleetLedger) requestForwarded(now time.Duration, r *fleetRequest) {
	switch {
	case l == nil:
	case l.take(l.fleetQuotas, now, r.customer):
		l.units[0]++
	default:
		l.overQuotaCost += valueOf(r) * l.plan.OverQuotaCost
	}
}

// makeCustomersHeavy has each so many-th customer ask for several times as much, on top of the rest.
func (s *fleetSim) makeCustomersHeavy(each int, times float64) {
	was, sum, last := s.cumulativeRates[len(s.cumulativeRates)-1], 0.0, 0.0
	for i, upTo := range s.cumulativeRates {
		mine := upTo - last
		last = upTo
		if i%each == 0 {
			mine *= times
		}
		sum += mine
		s.cumulativeRates[i] = sum
	}
	load := s.load
	s.load = func(at time.Duration) float64 { return load(at) * sum / was }
}

// On a quiet day, on which each eighth customer asks for four times as much as the others, with messages lost, late and doubled, what
// passes beyond the quotas costs at most 0.1 of the worth: it may be 0.1 more than under a policy that sees the true state late, which is
// held to cost nothing here.
func TestQuotasHoldOnAQuietDay(t *testing.T) {
	for _, c := range []struct{ gates, servers int }{{3, 12}, {8, 16}, {70, 40}} {
		for seed := range uint64(3) {
			s := newFleet(seed, c.gates, c.servers, 0.3)
			s.loss, s.reordersGossip = 0.08, true
			s.settings.Plans[0].HardLimitRate = 0 // nothing but the quota bounds what passes
			s.makeCustomersHeavy(8, 4)
			for i := range s.engines {
				s.start(i)
			}
			l := &fleetLedger{plan: s.settings.Plans[0], fleetQuotas: map[int]*trueQuota{}, idealQuotas: map[int]*trueQuota{}}
			s.ledger = l
			s.run(s.now + 20*time.Second)
			cost := l.overQuotaCost / l.idealValue
			t.Logf("%d gateways: %d of %d units let through inside quotas, beyond them at %.3f of the worth", c.gates, l.units[0], l.units[1], cost)
			if cost > 0.1 || 2*l.units[0] < l.units[1] {
				t.Errorf("%d gateways: %d of %d units, beyond quotas at %.3f of the worth", c.gates, l.units[0], l.units[1], cost)
			}
		}
	}
}
