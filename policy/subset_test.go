package policy

import (
	"strings"
	"testing"
)

// newSubsetEngine is gateway 5 of 300 over 170 servers, half of them in each of two zones.
func newSubsetEngine(t *testing.T) (*Engine, *recorder) {
	t.Helper()
	set := newFleet(1, 1, 2, 0.1).settings
	set.InstanceCount, set.InstanceIndex = 300, 5
	set.Plans[0].HardLimitRate = 0
	list := testServers(170)
	for i := range list {
		list[i].Zone = []string{"a", "b"}[i%2]
	}
	return newEngine(t, set, list...)
}

// A keyed request that may have run at a server of zone a goes on only there, outside of the part if need be.
func TestKeyedRetryLeavesSubset(t *testing.T) {
	g, r := newSubsetEngine(t)
	if g.usesAllServers() {
		t.Fatal("the part is whole")
	}
	g.retries.tokens = 5
	g.RequestReceived(t0, newRequest(1, "keyed", "kubwa", 1), r)
	for _, a := range r.actions {
		if strings.HasPrefix(a, "refuse") {
			t.Fatal(a)
		}
	}
	first := g.requests.byID["r1"].attempts[0].server
	for _, s := range g.subset.members {
		if s.Zone == first.Zone {
			s.isUnresponsive = s != first
			s.Server.State = map[bool]ServerState{true: Up, false: Draining}[s == first]
		}
	}
	first.Server.State = Draining
	g.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: ErrorResponse, Server: first.ID}, r)
	at := g.requests.byID["r1"].attempts
	if len(at) != 2 || at[1].server.Zone != first.Zone || at[1].server.inSubset {
		t.Fatalf("%d attempts, the last at %+v", len(at), at[len(at)-1].server.Server)
	}
}

// A part that has widened to all servers, since all seemed silent, shrinks again when they are not; so does that of a node
// with more attempts out than its part has servers.
func TestWidenedSubsetShrinks(t *testing.T) {
	for _, why := range []string{"silent", "load"} {
		g, r := newSubsetEngine(t)
		g.now, g.actions = t0, r
		narrow, widest := len(g.subset.members), 0
		step := func(pressed bool) {
			g.now += sampleInterval
			for _, s := range g.servers.list {
				s.isUnresponsive = pressed && why == "silent"
			}
			if g.load.inFlight = 0; pressed && why == "load" {
				g.load.inFlight = 8 * narrow
			}
			if g.needsNewSubset() {
				g.formSubset()
			}
			widest = max(widest, len(g.subset.members))
		}
		for range 100 {
			step(true)
		}
		if want := map[string]int{"silent": 170, "load": 4 * narrow}[why]; widest < want {
			t.Errorf("%s: the part grew from %d to %d servers, want %d", why, narrow, widest, want)
		}
		for range 600 {
			step(false)
		}
		if len(g.subset.members) != narrow {
			t.Errorf("%s: a minute later the part has %d servers, not %d", why, len(g.subset.members), narrow)
		}
	}
}
