package policy

import (
	"strings"
	"testing"
)

// newSubsetEngine returns instance 5 of 300, with 170 servers, half of them in each of two zones.
func newSubsetEngine(t *testing.T) (*Engine, *recorder) {
	t.Helper()
	set := fleetSettings(1)
	set.InstanceCount, set.InstanceIndex = 300, 5
	set.Plans[0].HardLimitRate = 0
	list := testServers(170)
	for i := range list {
		list[i].Zone = []string{"a", "b"}[i%2]
	}
	return newEngine(t, set, list...)
}

// A request with an idempotency key that may have run in one zone is retried only there, outside the subset if
// necessary.
func TestKeyedRetryLeavesSubset(t *testing.T) {
	e, r := newSubsetEngine(t)
	if e.subset.usesAllServers() {
		t.Fatal("subset has all servers, want a part of them")
	}
	e.retries.tokens = 5
	e.RequestReceived(t0, newRequest(1, "keyed", "kubwa", 1), r)
	for _, a := range r.actions {
		if strings.HasPrefix(a, "reject") {
			t.Fatal(a)
		}
	}
	first := e.requests.byID["r1"].attempts[0].server
	for _, s := range e.subset.members {
		if s.Zone == first.Zone {
			s.isUnresponsive = s != first
			s.Server.State = map[bool]ServerState{true: Up, false: Draining}[s == first]
		}
	}
	first.Server.State = Draining
	e.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: ErrorResponse, Server: first.ID}, r)
	attempts := e.requests.byID["r1"].attempts
	if len(attempts) != 2 || attempts[1].server.Zone != first.Zone || attempts[1].server.inSubset {
		t.Fatalf("%d attempts, the last at %+v; want a second one in the same zone, outside the subset",
			len(attempts), attempts[len(attempts)-1].server.Server)
	}
}

// A subset that has widened to all servers, because all were unresponsive, shrinks again when they respond. So does one
// that has widened for its attempts in flight.
func TestWidenedSubsetShrinks(t *testing.T) {
	for _, cause := range []string{"silent", "load"} {
		e, r := newSubsetEngine(t)
		e.now, e.actions = t0, r
		narrow, widest := len(e.subset.members), 0
		step := func(isActive bool) {
			e.now += sampleInterval
			for _, s := range e.servers.list {
				s.isUnresponsive = isActive && cause == "silent"
			}
			e.load.inFlight = 0
			if isActive && cause == "load" {
				e.load.inFlight = 8 * narrow
			}
			if e.subset.needsResize(e.now, &e.settings, e.load.inFlight) {
				e.subset.form(e.servers.list)
			}
			widest = max(widest, len(e.subset.members))
		}
		for range 100 {
			step(true)
		}
		if want := map[string]int{"silent": 170, "load": 4 * narrow}[cause]; widest < want {
			t.Errorf("%s: subset grew from %d to %d servers, want at least %d", cause, narrow, widest, want)
		}
		for range 600 {
			step(false)
		}
		if len(e.subset.members) != narrow {
			t.Errorf("%s: subset has %d servers a minute later, want %d", cause, len(e.subset.members), narrow)
		}
	}
}
