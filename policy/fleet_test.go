package policy

import (
	"testing"
	"time"

	"mulleinmux/subset"
)

// Servers that hold 42 connections each, for 70 gateways: with parts none is turned away, and few attempts open one.
func TestFleetOfServersThatHoldFewConnections(t *testing.T) {
	with, without := both(t, func() fleetTotals {
		_, after, _ := playFleet(t, 1, 0.6, 5, func(*fleetSim) {})
		return sum(after)
	})
	if with.noConn > 0 || float64(with.opened) > 0.2*float64(with.attempts) {
		t.Errorf("%d connections opened for %d attempts, %d not made", with.opened, with.attempts, with.noConn)
	}
	if without.opened < 2*with.opened || without.noConn == 0 {
		t.Error("it is no better than without parts")
	}
}

// All servers are replaced by cold ones within 7 s: parts move, no cold server is pushed over, and the fleet serves on.
func TestFleetReplacedInSevenSeconds(t *testing.T) {
	with, without := both(t, func() fleetTotals {
		_, after, _ := playFleet(t, 2, 0.4, 12, func(s *fleetSim) { s.replaceServers(40, 7*time.Second) })
		return sum(after)
	})
	if with.falls > 0 || with.worth() < without.worth()+0.05 {
		t.Errorf("%d servers were pushed over, %.2f of the worth served", with.falls, with.worth())
	}
}

// All servers restart at once under full load: each part is cold, and widens. The ramp holds over all gateways together, and lets the
// fleet come back.
func TestFleetAllColdAtOnce(t *testing.T) {
	var first, last fleetTotals
	for seed := uint64(2); seed < 4; seed++ {
		_, after, _ := playFleet(t, seed, 1, 8, func(s *fleetSim) {
			for _, g := range s.gates {
				g.settings.SlowStartMinFraction = 0.2
			}
			s.set.SlowStartMinFraction = 0.2
			s.loseZone("a", 300*ms)
			s.loseZone("b", 300*ms)
		})
		if all := sum(after); all.falls > 0 {
			t.Errorf("seed %d: %d servers were pushed over", seed, all.falls)
		}
		first, last = sum(append(after[1:3], first)), sum(append(after[6:], last))
	}
	if last.worth() < 1.3*first.worth() {
		t.Errorf("%.2f of the worth served at first, %.2f at the end", first.worth(), last.worth())
	}
}

// Two in three gateways are killed and back within a second, with nothing known: the others and they go on at once.
func TestFleetHerd(t *testing.T) {
	before, after, _ := playFleet(t, 4, 0.55, 6, func(s *fleetSim) { s.killGates(0.67, 500*ms) })
	if w := sum(after[2:]).worth(); w < 0.9*before.worth() {
		t.Errorf("from the third second on %.2f of the worth is served, %.2f before", w, before.worth())
	}
}

// Three times the load for 2 s: when it is over, what was served before is served again, and soon.
func TestFleetComesBackAfterASurge(t *testing.T) {
	var calm, back fleetTotals
	for seed := uint64(5); seed < 7; seed++ { // one fleet's second is 500 requests, and few of them decide
		before, after, _ := playFleet(t, seed, 0.5, 6, func(s *fleetSim) {
			rate, from := s.load(0), s.now
			s.load = func(at time.Duration) float64 {
				if at < from+2*time.Second {
					return 3 * rate
				}
				return rate
			}
		})
		calm, back = sum([]fleetTotals{calm, before}), sum(append(after[3:], back))
	}
	if w := back.worth(); w < 0.95*calm.worth() {
		t.Errorf("from the second second after it %.2f of the worth is served, %.2f before", w, calm.worth())
	}
}

// Peers don't hear each other and the list is late: once that is known, no request waits for an answer that does not come.
func TestFleetDeaf(t *testing.T) {
	_, after, _ := playFleet(t, 6, 0.5, 5, func(s *fleetSim) { s.deaf, s.listDelay = true, 5*time.Second })
	all := sum(after[1:])
	if wait := all.wait / time.Duration(max(all.tries-all.refused, 1)); wait > 10*ms {
		t.Errorf("first attempts wait for %v on average", wait)
	}
	if all.worth() < 0.75 {
		t.Errorf("%.2f of the worth is served", all.worth())
	}
}

// Where the rule gives every gateway all servers, nothing differs from a fleet without parts: few servers for many
// gateways, and many for few.
func TestFleetSmall(t *testing.T) {
	for _, size := range [][2]int{{300, 3}, {3, 200}, {4, 20}} {
		var got [2]string
		for i, rule := range []subset.Rule{subsetRule, {}} {
			withParts(rule, func() {
				s := newFleet(7, size[0], size[1], 0.5)
				s.run(s.now + time.Second)
				s.loseZone("a", 300*ms)
				s.run(s.now + time.Second)
				got[i] = s.told()
			})
		}
		if got[0] != got[1] {
			t.Errorf("%d gateways, %d servers: with a part %s\nwithout %s", size[0], size[1], got[0], got[1])
		}
	}
}

// One server takes 30 connections, and there are 300 gateways: with parts few of them come to it.
func TestFleetOneServerOfThirtyConnections(t *testing.T) {
	with, without := both(t, func() fleetTotals {
		s := newFleet(9, 300, 170, 0.5)
		s.booths[17].cap = 30
		s.run(s.now + 4*time.Second)
		return s.total
	})
	if without.noConn == 0 || 4*with.noConn > without.noConn {
		t.Errorf("%d connections not made, %d without parts", with.noConn, without.noConn)
	}
}
