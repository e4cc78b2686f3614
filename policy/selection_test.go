package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestDrainingServerGetsNoRequests(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(2)...)
	g.EndpointsChanged(t0, EndpointsDelta, []Server{{ID: "s0", State: Draining}}, r)
	q := newRequest(0, "safe", "rate", 1)
	offerRequests(g, r, t0, 20, q)
	if r.count("send") == 0 {
		t.Fatal("nothing sent")
	}
	for _, a := range r.actions {
		if strings.HasSuffix(a, " s0") {
			t.Fatalf("%q", a)
		}
	}
	g.EndpointsChanged(t0, EndpointsComplete, nil, r)
	r.actions = nil
	if n := offerRequests(g, r, t0, 5, q); n != 0 {
		t.Errorf("%d sent to servers gone from the list", n)
	}
}

// Of two servers alike, the silent, the failing, the slow, the cold and the full one costs more.
func TestServerCostRisesWithSymptoms(t *testing.T) {
	for name, spoil := range map[string]func(*server){
		"silent":    func(s *server) { s.lastProgressAt = t0 - time.Second },
		"failing":   func(s *server) { s.failureRate = 0.3 },
		"slow":      func(s *server) { s.latencyRatio = 2 },
		"cold":      func(s *server) { s.StartedAt = t0 - ms },
		"queueing":  func(s *server) { s.queueLength = 3 },
		"more out":  func(s *server) { s.inFlight = 2 },
		"was reset": func(s *server) { s.connectFailedAt = t0 },
	} {
		g, _ := newEngine(t, testSettings(), testServers(2)...)
		a, b := g.servers.list[0], g.servers.list[1]
		for _, s := range g.servers.list {
			s.inFlight, s.lastProgressAt = 1, t0
		}
		g.latencies.classes[0].mean = 0.1
		spoil(b)
		if g.cost(b) < 1.3*g.cost(a) {
			t.Errorf("%s: cost %v against %v", name, g.cost(b), g.cost(a))
		}
	}
}

// A server that fails fast must not draw traffic; the last one must not be ejected.
func TestFastFailingServerIsAvoided(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(4)...)
	bad := 0
	for i := 0; i < 400; i++ {
		now := t0 + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		g.RequestReceived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			bad++
			g.AttemptCompleted(now+ms, AttemptResult{ID: q.ID, Result: ErrorResponse, Server: "s0", Latency: ms}, r)
		} else {
			g.AttemptCompleted(now+10*ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Server: a[2], Latency: 50 * ms}, r)
		}
	}
	if bad > 20 {
		t.Errorf("%d of 400 requests went to the failing server", bad)
	}
	g.EndpointsChanged(t0+9*time.Second, EndpointsComplete, testServers(1), r)
	g.RequestReceived(t0+9*time.Second, newRequest(1000, "safe", "rate", 5000), r)
	if r.last() != "send r1000 s0" {
		t.Errorf("the last server is not used: %q", r.last())
	}
}

// Silence with work out counts as latency.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(2)...)
	toSilent := 0
	for i := 0; i < 200; i++ {
		now := t0 + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		g.RequestReceived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			toSilent++
		} else {
			g.AttemptCompleted(now+10*ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Server: a[2], Latency: 50 * ms}, r)
		}
	}
	if toSilent > 10 {
		t.Errorf("%d of 200 requests went to the silent server", toSilent)
	}
}

// Servers that are out must not use up the looks: the choice among the others would be blind.
func TestEjectedServersUseNoCandidateSlot(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(12)...)
	g.settings.InstanceCount = 6
	for i := range 9 {
		g.servers.byID[fmt.Sprintf("s%d", i)].ejectedUntil = t0 + time.Hour
	}
	for _, id := range []string{"s9", "s10"} {
		g.servers.byID[id].inFlight, g.servers.byID[id].lastProgressAt = 9, t0
	}
	blind := 0
	for i := range 100 {
		g.actions, g.now = r, t0
		if s := g.selectServer(&request{number: uint64(i)}); s.ID != "s11" {
			blind++
		}
	}
	if blind > 5 {
		t.Errorf("%d of 100 went past the idle server of three", blind)
	}
}

// Of two servers alike, one to which a connection stands is chosen.
func TestIdleConnectionsArePreferred(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.now, g.actions = t0+time.Second, r
	for i, s := range g.subset.members {
		if i%2 == 0 {
			s.expectedConnections, s.lastUsedAt = 1, g.now
		}
	}
	stand := 0
	for range 400 {
		stand += boolToInt(g.selectServer(&request{Request: Request{ID: "x"}}).hasIdleConnection(g.now))
	}
	if stand < 260 {
		t.Errorf("%d of 400 went where a connection stood, and to half of the part one does", stand)
	}
	s := g.subset.members[0]
	s.expectedConnections, s.lastUsedAt = 1, g.now-idleConnectionTimeout
	if s.hasIdleConnection(g.now) {
		t.Error("a connection idle for long counts as standing")
	}
}

// A request that is kept to a zone goes to its servers alone, and to none where it has none.
func TestRequestRestrictedToZone(t *testing.T) {
	s := Settings{InstanceCount: 1, MaxAttempts: 3, Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}}}
	g, r := newEngine(t, s, Server{ID: "x", Kind: "k", Zone: "a"}, Server{ID: "y", Kind: "k", Zone: "b"})
	for i := range 20 {
		q := newRequest(i, "a", "wide", 7)
		q.Zone = []string{"a", "b", "c"}[i%3]
		want := []string{"send " + q.ID + " x", "send " + q.ID + " y", "refuse " + q.ID}[i%3]
		if g.RequestReceived(t0, q, r); r.last() != want {
			t.Errorf("%s, want %s", r.last(), want)
		}
		g.AttemptCompleted(t0, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Latency: ms}, r)
	}
}

func TestWatchesEndpointsWhenPolling(t *testing.T) {
	s := testSettings()
	s.PollsEndpoints = true
	g, r := newEngine(t, s)
	if r.count("watch true") != 1 {
		t.Fatalf("%q", r.actions)
	}
	g.EndpointsChanged(t0, EndpointsUnavailable, nil, r)
	last := r.timers[len(r.timers)-1]
	g.TimerFired(t0+last.after, last.token, r)
	if r.count("watch true") != 2 {
		t.Errorf("no new subscription after an error: %q", r.actions)
	}
}
