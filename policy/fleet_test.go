package policy

import (
	"testing"
	"time"

	"mulleinmux/subset"
)

// Servers that hold 42 connections each, for 70 instances: with subsets no connection is refused, and few attempts
// open one.
func TestFleetWithFewConnectionsPerServer(t *testing.T) {
	with, without := withAndWithoutSubsets(t, func() fleetTotals {
		_, after := runFleet(t, 1, 0.6, 5, func(*fleetSim) {})
		return sumTotals(after)
	})
	if with.connectionsFailed > 0 || float64(with.connectionsOpened) > 0.2*float64(with.attempts) {
		t.Errorf("%d connections opened for %d attempts, %d not made",
			with.connectionsOpened, with.attempts, with.connectionsFailed)
	}
	if without.connectionsOpened < 2*with.connectionsOpened || without.connectionsFailed == 0 {
		t.Error("it is no better than without subsets")
	}
}

// All servers are replaced by cold ones within 7 s: subsets move, no server is overloaded while cold, and the
// fleet goes on serving.
func TestFleetReplacedInSevenSeconds(t *testing.T) {
	with, without := withAndWithoutSubsets(t, func() fleetTotals {
		_, after := runFleet(t, 2, 0.4, 12, func(s *fleetSim) { s.replaceServers(40, 7*time.Second) })
		return sumTotals(after)
	})
	if with.serversOverloaded > 0 || with.servedFraction() < without.servedFraction()+0.05 {
		t.Errorf("%d servers were overloaded while cold, %.2f of the value served",
			with.serversOverloaded, with.servedFraction())
	}
}

// All servers restart at once under full load: each subset is cold, and widens. The warm-up budget holds over all
// instances together, and lets the fleet recover.
func TestFleetAllColdAtOnce(t *testing.T) {
	var first, last fleetTotals
	for seed := uint64(2); seed < 4; seed++ {
		_, after := runFleet(t, seed, 1, 8, func(s *fleetSim) {
			for _, e := range s.engines {
				e.settings.SlowStartMinFraction = 0.2
			}
			s.settings.SlowStartMinFraction = 0.2
			s.loseZone("a", 300*ms)
			s.loseZone("b", 300*ms)
		})
		if all := sumTotals(after); all.serversOverloaded > 0 {
			t.Errorf("seed %d: %d servers were overloaded while cold", seed, all.serversOverloaded)
		}
		first, last = sumTotals(append(after[1:3], first)), sumTotals(append(after[6:], last))
	}
	if last.servedFraction() < 1.3*first.servedFraction() {
		t.Errorf("%.2f of the value served at first, %.2f at the end", first.servedFraction(), last.servedFraction())
	}
}

// Two in three instances are killed and start again within a second, knowing nothing: the fleet goes on at once.
func TestFleetMassRestart(t *testing.T) {
	before, after := runFleet(t, 4, 0.55, 6, func(s *fleetSim) { s.killEngines(0.67, 500*ms) })
	if w := sumTotals(after[2:]).servedFraction(); w < 0.9*before.servedFraction() {
		t.Errorf("from the third second on %.2f of the value is served, %.2f before", w, before.servedFraction())
	}
}

// Three times the load for 2 s: soon after it, as much is served as before.
func TestFleetRecoversAfterSurge(t *testing.T) {
	var calm, back fleetTotals
	for seed := uint64(5); seed < 7; seed++ { // one fleet's second is 500 requests, and few of them decide
		before, after := runFleet(t, seed, 0.5, 6, func(s *fleetSim) {
			rate, from := s.load(0), s.now
			s.load = func(at time.Duration) float64 {
				if at < from+2*time.Second {
					return 3 * rate
				}
				return rate
			}
		})
		calm, back = sumTotals([]fleetTotals{calm, before}), sumTotals(append(after[3:], back))
	}
	if w := back.servedFraction(); w < 0.95*calm.servedFraction() {
		t.Errorf("from the second second after it %.2f of the value is served, %.2f before", w, calm.servedFraction())
	}
}

// No gossip arrives and the list is late: once that is known, no request waits for a response that does not come.
func TestFleetWithoutGossip(t *testing.T) {
	_, after := runFleet(t, 6, 0.5, 5, func(s *fleetSim) { s.dropsGossip, s.listDelay = true, 5*time.Second })
	all := sumTotals(after[1:])
	if wait := all.firstAttemptDelay / time.Duration(max(all.tries-all.rejected, 1)); wait > 10*ms {
		t.Errorf("first attempts wait for %v on average", wait)
	}
	if all.servedFraction() < 0.75 {
		t.Errorf("%.2f of the value is served", all.servedFraction())
	}
}

// Where the rule gives every instance all servers, nothing differs from a fleet without subsets: few servers for many
// instances, and many for few.
func TestFleetWhereSubsetIsAllServers(t *testing.T) {
	for _, size := range [][2]int{{300, 3}, {3, 200}, {4, 20}} {
		var got [2]string
		for i, rule := range []subset.Sizing{subsetRule, {}} {
			withSubsetRule(rule, func() {
				s := newFleet(7, size[0], size[1], 0.5)
				s.run(s.now + time.Second)
				s.loseZone("a", 300*ms)
				s.run(s.now + time.Second)
				got[i] = s.summary()
			})
		}
		if got[0] != got[1] {
			t.Errorf("%d instances, %d servers: with the rule %s\nwithout %s", size[0], size[1], got[0], got[1])
		}
	}
}

// One server takes 30 connections, and there are 300 instances: with subsets few of them use it.
func TestFleetWithOneServerOfThirtyConnections(t *testing.T) {
	with, without := withAndWithoutSubsets(t, func() fleetTotals {
		s := newFleet(9, 300, 170, 0.5)
		s.servers[17].maxConnections = 30
		s.run(s.now + 4*time.Second)
		return s.total
	})
	if without.connectionsFailed == 0 || 4*with.connectionsFailed > without.connectionsFailed {
		t.Errorf("%d connections not made, %d without subsets", with.connectionsFailed, without.connectionsFailed)
	}
}
