package raftnode

import (
	"fmt"
	"testing"

	"mulleinmux/internal/seedtest"
)

const simClientCount = 4

// runSeed runs a simulated cluster with clients under faults for a number of ticks, then without faults until all
// members have converged. It checks the clients' history and returns the cluster.
func runSeed(t testing.TB, seed uint64, ticks int) *simCluster {
	memberCount := 3 + int(seed%2)*2
	c := newSimCluster(t, seed, memberCount)
	clients := make([]*simClient, simClientCount)
	for i := range clients {
		clients[i] = &simClient{}
	}
	for c.tick < ticks {
		c.step()
		for _, client := range clients {
			c.runClient(client)
		}
	}
	c.endFaults()
	c.awaitConvergence(400)
	for _, client := range clients {
		if client.isWaiting {
			c.completeRequest(client, registerResponse{unknown: true})
		}
	}
	c.checkHistory()
	return c
}

// awaitConvergence steps until the cluster has converged and more than 60 ticks have passed. It fails the test after
// maxTicks.
func (c *simCluster) awaitConvergence(maxTicks int) {
	begin := c.tick
	for {
		c.step()
		if c.hasConverged() && c.tick > begin+60 {
			return
		}
		if c.tick > begin+maxTicks {
			c.logMembers()
			c.fatalf("the members have not converged %d ticks after the last fault", maxTicks)
		}
	}
}

// hasConverged reports whether all members are running and ready, know a leader, and have the same state.
func (c *simCluster) hasConverged() bool {
	first := c.members[0].core
	for _, m := range c.members {
		if m.core == nil || !m.core.IsReady() || m.core.Leader() == 0 {
			return false
		}
		if m.core.AppliedIndex() != first.AppliedIndex() || m.core.State().Hash() != first.State().Hash() {
			return false
		}
	}
	return true
}

func (c *simCluster) logMembers() {
	for _, m := range c.members {
		if m.core != nil {
			c.t.Logf(
				"member %d: leader %d, index %d, ready %v",
				m.id, m.core.Leader(), m.core.AppliedIndex(), m.core.IsReady(),
			)
		}
	}
}

// Tests simulated clusters under killed members, cut links, lost, duplicated and reordered messages and failing fsyncs.
// All members must apply the same entries in the same order, the clients' histories must be linearizable, no member may
// be ready with an older version than before, and the members must converge soon after the last fault.
func TestSeedsAreLinearizable(t *testing.T) {
	seedCount := 500
	if testing.Short() {
		seedCount = 20
	} else if raceEnabled { // ten times slower with the race detector; all seeds run without it
		seedCount = 60
	}
	type counts struct {
		operations int
		versions   uint64
	}
	results := seedtest.Collect(t, 0, uint64(seedCount), func(t *testing.T, seed uint64) counts {
		c := runSeed(t, seed, 500)
		return counts{c.operationCount, c.members[0].core.State().Version()}
	})
	operations := 0
	versions := uint64(0)
	for _, result := range results {
		operations += result.operations
		versions += result.versions
	}
	t.Logf("%d seeds, %d operations, %d versions", seedCount, operations, versions)
	if versions < uint64(5*seedCount) {
		t.Errorf("only %d versions were committed in all seeds: the clusters were unavailable most of the time", versions)
	}
}

// Tests that runs with the same seed are identical.
func TestSeedIsDeterministic(t *testing.T) {
	t.Parallel()
	var results []string
	for range 3 {
		c := runSeed(t, 11, 400)
		results = append(results, fmt.Sprint(c.members[0].core.State().Hash(), c.sentCount, c.operationCount))
	}
	if results[0] != results[1] || results[1] != results[2] {
		t.Errorf("runs with the same seed differ: %v", results)
	}
}
