package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestDrainingServerGetsNoRequests(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(2)...)
	e.EndpointsChanged(t0, EndpointsDelta, []Server{{ID: "s0", State: Draining}}, r)
	q := newRequest(0, "safe", "rate", 1)
	offerRequests(e, r, t0, 20, q)
	if r.count("send") == 0 {
		t.Fatal("no request was sent")
	}
	for _, a := range r.actions {
		if strings.HasSuffix(a, " s0") {
			t.Fatalf("action %q selects the draining server s0", a)
		}
	}
	e.EndpointsChanged(t0, EndpointsComplete, nil, r)
	r.actions = nil
	if n := offerRequests(e, r, t0, 5, q); n != 0 {
		t.Errorf("got %d requests sent to servers removed from the list, want 0", n)
	}
}

// Of two otherwise equal servers, the one that is unresponsive, failing, slow, cold or busy costs more.
func TestServerCostRisesWithSymptoms(t *testing.T) {
	for name, degrade := range map[string]func(*server){
		"silent":    func(s *server) { s.lastProgressAt = t0 - time.Second },
		"failing":   func(s *server) { s.failureRate = 0.3 },
		"slow":      func(s *server) { s.latencyRatio = 2 },
		"cold":      func(s *server) { s.StartedAt = t0 - ms },
		"queueing":  func(s *server) { s.queueLength = 3 },
		"more out":  func(s *server) { s.inFlight = 2 },
		"was reset": func(s *server) { s.connectFailedAt = t0 },
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := newEngine(t, testSettings(), testServers(2)...)
			a, b := e.servers.list[0], e.servers.list[1]
			for _, s := range e.servers.list {
				s.inFlight, s.lastProgressAt = 1, t0
			}
			e.latencies.classes[0].mean = 0.1
			degrade(b)
			if e.selector.cost(e.now, b) < 1.3*e.selector.cost(e.now, a) {
				t.Errorf("%s: got cost %v, want at least 1.3 times %v",
					name, e.selector.cost(e.now, b), e.selector.cost(e.now, a))
			}
		})
	}
}

// offerUnsafeRequests passes n non-idempotent requests to an engine, one after the other. The parameter complete
// completes those sent to s0; the others are answered. It returns how many were sent to s0.
func offerUnsafeRequests(e *Engine, r *recorder, n int, complete func(now time.Duration, id string)) (sentToFirst int) {
	for i := range n {
		now := t0 + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		e.RequestReceived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			sentToFirst++
			complete(now, q.ID)
		} else {
			completed := AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Server: a[2], Latency: 50 * ms}
			e.AttemptCompleted(now+10*ms, completed, r)
		}
	}
	return sentToFirst
}

// A server that fails fast must not attract requests, but is used when it is the only one.
func TestFastFailingServerIsAvoided(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(4)...)
	sentToFailing := offerUnsafeRequests(e, r, 400, func(now time.Duration, id string) {
		e.AttemptCompleted(now+ms, AttemptResult{ID: id, Result: ErrorResponse, Server: "s0", Latency: ms}, r)
	})
	if sentToFailing > 20 {
		t.Errorf("got %d of 400 requests sent to the failing server, want at most 20", sentToFailing)
	}
	e.EndpointsChanged(t0+9*time.Second, EndpointsComplete, testServers(1), r)
	e.RequestReceived(t0+9*time.Second, newRequest(1000, "safe", "rate", 5000), r)
	if r.last() != "send r1000 s0" {
		t.Errorf("got action %q, want the request sent to the only server", r.last())
	}
}

// Time without a response while attempts are in flight counts as latency.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(2)...)
	sentToUnresponsive := offerUnsafeRequests(e, r, 200, func(time.Duration, string) {})
	if sentToUnresponsive > 10 {
		t.Errorf("got %d of 200 requests sent to the unresponsive server, want at most 10", sentToUnresponsive)
	}
}

// Ejected servers must not count as candidates: otherwise too few of the other servers would be compared.
func TestEjectedServersUseNoCandidateSlot(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(12)...)
	e.settings.InstanceCount = 6
	for i := range 9 {
		e.servers.byID[fmt.Sprintf("s%d", i)].ejectedUntil = t0 + time.Hour
	}
	for _, id := range []string{"s9", "s10"} {
		e.servers.byID[id].inFlight, e.servers.byID[id].lastProgressAt = 9, t0
	}
	suboptimal := 0
	for i := range 100 {
		e.actions, e.now = r, t0
		if s := e.selector.selectServer(e.now, &request{number: uint64(i)}); s.ID != "s11" {
			suboptimal++
		}
	}
	if suboptimal > 5 {
		t.Errorf("got %d of 100 selections that missed the only idle server, want at most 5", suboptimal)
	}
}

// Of two otherwise equal servers, the one with an idle connection is selected.
func TestIdleConnectionsArePreferred(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0+time.Second, r
	for i, s := range e.subset.members {
		if i%2 == 0 {
			s.expectedConnections, s.lastUsedAt = 1, e.now
		}
	}
	idle := 0
	for range 400 {
		idle += boolToInt(e.selector.selectServer(e.now, &request{Request: Request{ID: "x"}}).hasIdleConnection(e.now))
	}
	if idle < 260 {
		t.Errorf("got %d of 400 selections with an idle connection, which half of the subset has, want at least 260",
			idle)
	}
	s := e.subset.members[0]
	s.expectedConnections, s.lastUsedAt = 1, e.now-idleConnectionTimeout
	if s.hasIdleConnection(e.now) {
		t.Error("a connection that has been idle for idleConnectionTimeout counts as open")
	}
}

// A request restricted to a zone is sent only to servers of that zone, and rejected if there are none.
func TestRequestRestrictedToZone(t *testing.T) {
	s := Settings{InstanceCount: 1, MaxAttempts: 3,
		Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}}}
	e, r := newEngine(t, s, Server{ID: "x", Kind: "k", Zone: "a"}, Server{ID: "y", Kind: "k", Zone: "b"})
	for i := range 20 {
		q := newRequest(i, "a", "wide", 7)
		q.Zone = []string{"a", "b", "c"}[i%3]
		want := []string{"send " + q.ID + " x", "send " + q.ID + " y", "reject " + q.ID}[i%3]
		e.RequestReceived(t0, q, r)
		if r.last() != want {
			t.Errorf("got action %s, want %s", r.last(), want)
		}
		e.AttemptCompleted(t0, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Latency: ms}, r)
	}
}

func TestWatchesEndpointsWhenPolling(t *testing.T) {
	s := testSettings()
	s.PollsEndpoints = true
	e, r := newEngine(t, s)
	if r.count("watch true") != 1 {
		t.Fatalf("got actions %q, want one watch of the endpoint list", r.actions)
	}
	e.EndpointsChanged(t0, EndpointsUnavailable, nil, r)
	last := r.timers[len(r.timers)-1]
	e.TimerFired(t0+last.after, last.token, r)
	if r.count("watch true") != 2 {
		t.Errorf("got actions %q after a failed poll, want a second watch of the endpoint list", r.actions)
	}
}
