package policy

import (
	"fmt"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
	"mulleinmux/subset"
)

// Servers that hold 42 connections each, for 70 instances: with subsets no connection is refused, and few attempts
// open one.
func TestFleetWithFewConnectionsPerServer(t *testing.T) {
	t.Parallel()
	with, without := withAndWithoutSubsets(t, func(t *testing.T, sizing subset.Sizing) fleetTotals {
		_, after := fleetRun{seed: 1, sizing: sizing, load: 0.6, seconds: 5}.run(t)
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
	t.Parallel()
	with, without := withAndWithoutSubsets(t, func(t *testing.T, sizing subset.Sizing) fleetTotals {
		replace := func(s *fleetSim) { s.replaceServers(40, 7*time.Second) }
		_, after := fleetRun{seed: 2, sizing: sizing, load: 0.4, seconds: 12, disturb: replace}.run(t)
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
	t.Parallel()
	restartAll := func(s *fleetSim) {
		for _, e := range s.engines {
			e.settings.SlowStartMinFraction = 0.2
		}
		s.settings.SlowStartMinFraction = 0.2
		s.loseZone("a", 300*ms)
		s.loseZone("b", 300*ms)
	}
	results := seedtest.Collect(t, 2, 2, func(t *testing.T, seed uint64) []fleetTotals {
		run := fleetRun{seed: seed, sizing: defaultSubsetSizing, load: 1, seconds: 8, disturb: restartAll}
		_, after := run.run(t)
		if all := sumTotals(after); all.serversOverloaded > 0 {
			t.Errorf("seed %d: %d servers were overloaded while cold", seed, all.serversOverloaded)
		}
		return after
	})
	var first, last fleetTotals
	for _, after := range results {
		first, last = sumTotals(append(after[1:3], first)), sumTotals(append(after[6:], last))
	}
	if last.servedFraction() < 1.3*first.servedFraction() {
		t.Errorf("%.2f of the value served at first, %.2f at the end", first.servedFraction(), last.servedFraction())
	}
}

// Two in three instances are killed and start again within a second, knowing nothing: the fleet goes on at once.
func TestFleetMassRestart(t *testing.T) {
	t.Parallel()
	kill := func(s *fleetSim) { s.killEngines(0.67, 500*ms) }
	run := fleetRun{seed: 4, sizing: defaultSubsetSizing, load: 0.55, seconds: 6, disturb: kill}
	before, after := run.run(t)
	if w := sumTotals(after[2:]).servedFraction(); w < 0.9*before.servedFraction() {
		t.Errorf("from the third second on %.2f of the value is served, %.2f before", w, before.servedFraction())
	}
}

// Three times the load for 2 s: soon after it, as much is served as before.
func TestFleetRecoversAfterSurge(t *testing.T) {
	t.Parallel()
	type surgeTotals struct {
		before fleetTotals
		after  []fleetTotals
	}
	tripleLoad := func(s *fleetSim) {
		rate, from := s.load(0), s.now
		s.load = func(at time.Duration) float64 {
			if at < from+2*time.Second {
				return 3 * rate
			}
			return rate
		}
	}
	// One fleet's second is 500 requests, and few of them decide.
	results := seedtest.Collect(t, 5, 2, func(t *testing.T, seed uint64) surgeTotals {
		run := fleetRun{seed: seed, sizing: defaultSubsetSizing, load: 0.5, seconds: 6, disturb: tripleLoad}
		before, after := run.run(t)
		return surgeTotals{before, after}
	})
	var calm, back fleetTotals
	for _, totals := range results {
		calm, back = sumTotals([]fleetTotals{calm, totals.before}), sumTotals(append(totals.after[3:], back))
	}
	if w := back.servedFraction(); w < 0.95*calm.servedFraction() {
		t.Errorf("from the second second after it %.2f of the value is served, %.2f before", w, calm.servedFraction())
	}
}

// No gossip arrives and the list is late: once that is known, no request waits for a response that does not come.
func TestFleetWithoutGossip(t *testing.T) {
	t.Parallel()
	silence := func(s *fleetSim) { s.dropsGossip, s.listDelay = true, 5*time.Second }
	_, after := fleetRun{seed: 6, sizing: defaultSubsetSizing, load: 0.5, seconds: 5, disturb: silence}.run(t)
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
	t.Parallel()
	for _, c := range []struct{ engines, servers int }{{300, 3}, {3, 200}, {4, 20}} {
		t.Run(fmt.Sprintf("%d_engines_%d_servers", c.engines, c.servers), func(t *testing.T) {
			t.Parallel()
			with := summaryAfterZoneLoss(defaultSubsetSizing, c.engines, c.servers)
			without := summaryAfterZoneLoss(subset.Sizing{}, c.engines, c.servers)
			if with != without {
				t.Errorf("%d instances, %d servers: with the rule %s\nwithout %s", c.engines, c.servers, with, without)
			}
		})
	}
}

// summaryAfterZoneLoss returns what happens in a fleet that loses a zone.
func summaryAfterZoneLoss(sizing subset.Sizing, engines, servers int) string {
	s := newFleetWithSubsets(sizing, 7, engines, servers, 0.5)
	s.run(s.now + time.Second)
	s.loseZone("a", 300*ms)
	s.run(s.now + time.Second)
	return s.summary()
}

// One server takes 30 connections, and there are 300 instances: with subsets few of them use it.
func TestFleetWithOneServerOfThirtyConnections(t *testing.T) {
	t.Parallel()
	with, without := withAndWithoutSubsets(t, func(_ *testing.T, sizing subset.Sizing) fleetTotals {
		s := newFleetWithSubsets(sizing, 9, 300, 170, 0.5)
		s.servers[17].maxConnections = 30
		s.run(s.now + 4*time.Second)
		return s.total
	})
	if without.connectionsFailed == 0 || 4*with.connectionsFailed > without.connectionsFailed {
		t.Errorf("%d connections not made, %d without subsets", with.connectionsFailed, without.connectionsFailed)
	}
}
