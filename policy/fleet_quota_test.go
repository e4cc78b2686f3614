package policy

import (
	"math"
	"testing"
	"time"
)

// fleetLedger holds what a fleet lets through against each customer's quota as it is.
type fleetLedger struct {
	plan    Plan
	own     map[int]*trueStore // filled and spent as by the fleet
	wanted  map[int]*trueStore // as by one gateway that sees all tries and lets in what the quota holds
	offered float64            // worth that the latter lets in
	beyond  float64            // what the fleet let through beyond quotas costs
	units   [2]int             // that were let through inside the quotas, by each
}

// trueStore is a customer's quota over all gateways together.
type trueStore struct {
	level float64
	at    time.Duration
}

// take takes a unit of the customer's store if it holds one, and tells whether it did.
func (l *fleetLedger) take(of map[int]*trueStore, now time.Duration, customer int) bool {
	st := of[customer]
	if st == nil {
		st = &trueStore{level: l.plan.Burst, at: now}
		of[customer] = st
	}
	st.level = math.Min(st.level+l.plan.Rate*(now-st.at).Seconds(), l.plan.Burst)
	if st.at = now; st.level < 1 {
		return false
	}
	st.level--
	return true
}

func worthOf(r *fleetTry) float64 {
	if r.class == "keyed" {
		return 9
	}
	return 3
}

// asked takes in a try of a client.
func (l *fleetLedger) asked(now time.Duration, r *fleetTry) {
	if l != nil && l.take(l.wanted, now, r.customer) {
		l.units[1]++
		l.offered += worthOf(r)
	}
}

// sent takes in a try that is sent on.
func (l *fleetLedger) sent(now time.Duration, r *fleetTry) {
	switch {
	case l == nil:
	case l.take(l.own, now, r.customer):
		l.units[0]++
	default:
		l.beyond += worthOf(r) * l.plan.OverQuotaCost
	}
}

// heavy has each so many-th customer ask for several times as much, on top of the rest.
func (s *fleetSim) heavy(each int, times float64) {
	was, sum, last := s.rates[len(s.rates)-1], 0.0, 0.0
	for i, upTo := range s.rates {
		mine := upTo - last
		last = upTo
		if i%each == 0 {
			mine *= times
		}
		sum += mine
		s.rates[i] = sum
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
			s.loss, s.spoilt = 0.08, true
			s.set.Plans[0].HardLimitRate = 0 // nothing but the quota bounds what passes
			s.heavy(8, 4)
			for i := range s.gates {
				s.start(i)
			}
			l := &fleetLedger{plan: s.set.Plans[0], own: map[int]*trueStore{}, wanted: map[int]*trueStore{}}
			s.ledger = l
			s.run(s.now + 20*time.Second)
			cost := l.beyond / l.offered
			t.Logf("%d gateways: %d of %d units let through inside quotas, beyond them at %.3f of the worth", c.gates, l.units[0], l.units[1], cost)
			if cost > 0.1 || 2*l.units[0] < l.units[1] {
				t.Errorf("%d gateways: %d of %d units, beyond quotas at %.3f of the worth", c.gates, l.units[0], l.units[1], cost)
			}
		}
	}
}
