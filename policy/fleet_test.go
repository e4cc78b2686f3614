package policy

import (
	"fmt"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
	"mulleinmux/subset"
)

// 70 instances use servers that accept 42 connections each: with subsets no connection is refused, and few attempts
// open one.
func TestFleetWithFewConnectionsPerServer(t *testing.T) {
	t.Parallel()
	with, without := withAndWithoutSubsets(t, func(t *testing.T, sizing subset.Sizing) fleetTotals {
		_, after := fleetRun{seed: 1, sizing: sizing, load: 0.6, seconds: 5}.run(t)
		return sumTotals(after)
	})
	if with.connectionsFailed > 0 || float64(with.connectionsOpened) > 0.2*float64(with.attempts) {
		t.Errorf("with subsets: %d connections opened for %d attempts, %d failed; want 0.2 per attempt, 0 failed",
			with.connectionsOpened, with.attempts, with.connectionsFailed)
	}
	if without.connectionsOpened < 2*with.connectionsOpened || without.connectionsFailed == 0 {
		t.Error("without subsets: want failed connections, and at least twice as many opened as with subsets")
	}
}

// All servers are replaced by cold ones within 7 s: the subsets change, no server is overloaded while cold, and the
// fleet serves more than without subsets.
func TestFleetReplacedInSevenSeconds(t *testing.T) {
	t.Parallel()
	with, without := withAndWithoutSubsets(t, func(t *testing.T, sizing subset.Sizing) fleetTotals {
		replace := func(s *fleetSim) { s.replaceServers(40, 7*time.Second) }
		_, after := fleetRun{seed: 2, sizing: sizing, load: 0.4, seconds: 12, disturb: replace}.run(t)
		return sumTotals(after)
	})
	if with.serversOverloaded > 0 || with.servedFraction() < without.servedFraction()+0.05 {
		t.Errorf("%d servers overloaded while cold, want 0; %.2f of the value served, want 0.05 above no subsets",
			with.serversOverloaded, with.servedFraction())
	}
}

// All servers restart at once under full load: each subset is cold, and widens. The warm-up budgets of all instances
// together overload no server, and the fleet recovers.
func TestFleetAllColdAtOnce(t *testing.T) {
	t.Parallel()
	restartAll := func(s *fleetSim) {
		for _, e := range s.engines {
			e.settings.SlowStartMinFraction = 0.2
		}
		s.settings.SlowStartMinFraction = 0.2
		s.failZone("a", 300*ms)
		s.failZone("b", 300*ms)
	}
	results := seedtest.Collect(t, 2, 2, func(t *testing.T, seed uint64) []fleetTotals {
		run := fleetRun{seed: seed, sizing: defaultSubsetSizing, load: 1, seconds: 8, disturb: restartAll}
		_, after := run.run(t)
		if all := sumTotals(after); all.serversOverloaded > 0 {
			t.Errorf("seed %d: %d servers overloaded while cold, want none", seed, all.serversOverloaded)
		}
		return after
	})
	var first, last fleetTotals
	for _, after := range results {
		first, last = sumTotals(append(after[1:3], first)), sumTotals(append(after[6:], last))
	}
	if last.servedFraction() < 1.3*first.servedFraction() {
		t.Errorf("%.2f of the value served at first, %.2f at the end, want 1.3 times as much",
			first.servedFraction(), last.servedFraction())
	}
}

// Two in three instances are killed and restart within a second without any state. After two seconds the fleet again
// serves at least 0.9 of the fraction of the value that it served before.
func TestFleetMassRestart(t *testing.T) {
	t.Parallel()
	killMostEngines := func(s *fleetSim) { s.killEngines(0.67, 500*ms) }
	run := fleetRun{seed: 4, sizing: defaultSubsetSizing, load: 0.55, seconds: 6, disturb: killMostEngines}
	before, after := run.run(t)
	if w := sumTotals(after[2:]).servedFraction(); w < 0.9*before.servedFraction() {
		t.Errorf("%.2f of the value served from the third second on, want 0.9 of %.2f", w, before.servedFraction())
	}
}

// After 2 s of three times the load, the fleet soon serves at least 0.95 of the fraction of the value that it served
// before.
func TestFleetRecoversAfterSurge(t *testing.T) {
	t.Parallel()
	type surgeTotals struct {
		before fleetTotals
		after  []fleetTotals
	}
	tripleLoad := func(s *fleetSim) {
		rate, from := s.requestRate(0), s.now
		s.requestRate = func(at time.Duration) float64 {
			if at < from+2*time.Second {
				return 3 * rate
			}
			return rate
		}
	}
	// A fleet gets 500 requests per second, too few for a check on one run.
	results := seedtest.Collect(t, 5, 2, func(t *testing.T, seed uint64) surgeTotals {
		run := fleetRun{seed: seed, sizing: defaultSubsetSizing, load: 0.5, seconds: 6, disturb: tripleLoad}
		before, after := run.run(t)
		return surgeTotals{before, after}
	})
	var beforeSurge, afterSurge fleetTotals
	for _, totals := range results {
		beforeSurge, afterSurge = sumTotals([]fleetTotals{beforeSurge, totals.before}),
			sumTotals(append(totals.after[3:], afterSurge))
	}
	if w := afterSurge.servedFraction(); w < 0.95*beforeSurge.servedFraction() {
		t.Errorf("%.2f of the value served after the surge, want 0.95 of %.2f", w, beforeSurge.servedFraction())
	}
}

// No gossip arrives and the endpoint list is late: once owners are known to be unresponsive, requests no longer wait
// for their responses.
func TestFleetWithoutGossip(t *testing.T) {
	t.Parallel()
	dropGossip := func(s *fleetSim) { s.dropsGossip, s.endpointListDelay = true, 5*time.Second }
	_, after := fleetRun{seed: 6, sizing: defaultSubsetSizing, load: 0.5, seconds: 5, disturb: dropGossip}.run(t)
	all := sumTotals(after[1:])
	if wait := all.firstAttemptDelay / time.Duration(max(all.tries-all.rejected, 1)); wait > 10*ms {
		t.Errorf("mean delay of first attempts is %v, want at most 10ms", wait)
	}
	if all.servedFraction() < 0.75 {
		t.Errorf("%.2f of the value served, want at least 0.75", all.servedFraction())
	}
}

// Where the sizing gives every instance all servers, nothing differs from a fleet without subsets. That is so with few
// servers for many instances, and with many servers for few.
func TestFleetWhereSubsetIsAllServers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ engines, servers int }{{300, 3}, {3, 200}, {4, 20}} {
		t.Run(fmt.Sprintf("%d_engines_%d_servers", c.engines, c.servers), func(t *testing.T) {
			t.Parallel()
			with := summaryAfterZoneFailure(defaultSubsetSizing, c.engines, c.servers)
			without := summaryAfterZoneFailure(subset.Sizing{}, c.engines, c.servers)
			if with != without {
				t.Errorf("%d instances, %d servers: got %s\nwant (as without subsets) %s",
					c.engines, c.servers, with, without)
			}
		})
	}
}

// summaryAfterZoneFailure returns the summary of a fleet in which a zone fails.
func summaryAfterZoneFailure(sizing subset.Sizing, engines, servers int) string {
	s := newFleetWithSubsets(sizing, 7, engines, servers, 0.5)
	s.run(s.now + time.Second)
	s.failZone("a", 300*ms)
	s.run(s.now + time.Second)
	return s.summary()
}

// One server accepts 30 connections, and there are 300 instances: with subsets few of them use it.
func TestFleetWithOneServerOfThirtyConnections(t *testing.T) {
	t.Parallel()
	with, without := withAndWithoutSubsets(t, func(_ *testing.T, sizing subset.Sizing) fleetTotals {
		s := newFleetWithSubsets(sizing, 9, 300, 170, 0.5)
		s.servers[17].maxConnections = 30
		s.run(s.now + 4*time.Second)
		return s.total
	})
	if without.connectionsFailed == 0 || 4*with.connectionsFailed > without.connectionsFailed {
		t.Errorf("%d connections failed, want at most a quarter of the %d without subsets",
			with.connectionsFailed, without.connectionsFailed)
	}
}
