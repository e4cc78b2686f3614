package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// newTwoZoneEngine has a warm server in zone a, and one in zone b that started just now or, with far, stands for another site.
func newTwoZoneEngine(t *testing.T, far bool) (*Engine, *recorder) {
	boot := t0 - ms
	if far {
		boot = 0
	}
	g, r := newEngine(t, testSettings(), Server{ID: "s0", Kind: "k", Zone: "a"}, Server{ID: "s1", Kind: "k", Zone: "b", StartedAt: boot})
	g.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	g.SetZoneLimits("b", ZoneLimits{IsRemote: far, WarmServerRate: 1, InFlightFraction: 1, RemoteServerCount: 4})
	return g, r
}

// A cold server is sent what the ramp that is told allows, in proportion, and nothing without one.
func TestWarmupFollowsZoneLimits(t *testing.T) {
	sent := func(ramp float64, boot time.Duration, class string) float64 {
		g, r := newEngine(t, testSettings(), Server{ID: "s1", Kind: "k", Zone: "b", StartedAt: boot})
		g.SetZoneLimits("b", ZoneLimits{WarmServerRate: ramp, InFlightFraction: 1})
		n := 0
		for at := time.Duration(0); at < 6*time.Second; at += 20 * ms {
			q := newRequest(int(at/ms), class, "rate", 1)
			q.Zone = "b"
			n += offerRequests(g, r, t0+at, 1, q)
			completeAttempts(g, r, t0+at, 10*ms, RejectedByServer)
			g.servers.byID["s1"].ejectedUntil = 0
		}
		return float64(n) * g.expectedWork(g.classIndex[class])
	}
	half, whole := sent(0.5, t0-ms, "safe"), sent(1, t0-ms, "safe")
	if half == 0 || whole/half < 1.6 || whole/half > 3 {
		t.Errorf("sent work of %.2f with half of the ramp and %.2f with the whole", half, whole)
	}
	if n := sent(0, t0-ms, "safe"); n != 0 {
		t.Errorf("sent work of %.2f without a ramp", n)
	}
	if n := sent(0, 0, "safe"); n == 0 {
		t.Error("a warm server needs a ramp")
	}
}

// What found no room at cold servers is told, with what they are worth and what was sent.
func TestColdServerWork(t *testing.T) {
	g, r := newTwoZoneEngine(t, false)
	q := newRequest(0, "keyed", "rate", 1)
	q.Zone = "b"
	n := offerRequests(g, r, t0, 20, q)
	servers, sent, short := g.ColdServerWork(t0, "b")
	w := g.expectedWork(g.classIndex["keyed"])
	if n == 20 || math.Abs(sent-float64(n)*w) > 1e-9 || short <= 0 || servers <= 0 || servers >= 1 {
		t.Errorf("%d sent: worth %.2f, sent %.2f, short %.2f", n, servers, sent, short)
	}
	if _, sent, short = g.ColdServerWork(t0, "b"); sent != 0 || short != 0 {
		t.Errorf("told twice: %.2f, %.2f", sent, short)
	}
	if s, _, _ := g.ColdServerWork(t0, "a"); s != 0 {
		t.Errorf("warm servers are told as cold ones: %.2f", s)
	}
}

// The class that is worth less for its work leaves a cold server's room to the others.
func TestWarmupBudgetPrefersHigherPriority(t *testing.T) {
	g, r := newTwoZoneEngine(t, false)
	s := g.servers.byID["s1"]
	g.SetZoneLimits("b", ZoneLimits{WarmServerRate: 20, InFlightFraction: 1}) // so that the store holds several requests
	g.now, g.actions, s.warmup.updatedAt = t0, r, t0
	s.warmup.work = 1.1 * g.expectedWork(g.classIndex["keyed"])
	if g.hasWarmupBudget(s, g.classIndex["safe"]) || !g.hasWarmupBudget(s, g.classIndex["keyed"]) {
		t.Errorf("room of %.2f goes to the class of work %.2f that is worth least, before %.2f", s.warmup.work, g.expectedWork(g.classIndex["safe"]), g.expectedWork(g.classIndex["keyed"]))
	}
	if s.warmup.work = 100; !g.hasWarmupBudget(s, g.classIndex["safe"]) {
		t.Error("room that nobody needs is kept")
	}
}

// Work that piles up at one zone keeps requests from that one alone.
func TestOverloadOfOneZone(t *testing.T) {
	for _, far := range []bool{false, true} {
		g, _ := newTwoZoneEngine(t, far)
		g.servers.byID["s1"].inFlight, g.load.inFlight = 50, 50
		safe := g.classIndex["safe"]
		if !g.isOverloaded(safe, "b", 1) || g.isOverloaded(safe, "a", 1) || g.isOverloaded(safe, "", 1) {
			t.Errorf("far %v: 50 attempts out at b: jammed there %v, at a %v, at both %v", far, g.isOverloaded(safe, "b", 1), g.isOverloaded(safe, "a", 1), g.isOverloaded(safe, "", 1))
		}
		if g.servers.byID["s0"].inFlight = 50; !g.isOverloaded(safe, "", 1) {
			t.Errorf("far %v: 50 attempts out at each", far)
		}
	}
}

// A request that is let in for the sake of a zone with room goes to that zone.
func TestOverloadedZoneIsAvoided(t *testing.T) {
	g, r := newEngine(t, testSettings(), Server{ID: "s0", Kind: "k", Zone: "a"}, Server{ID: "s1", Kind: "k", Zone: "b"})
	g.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	g.SetZoneLimits("b", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	s := g.servers.byID["s1"]
	s.inFlight, s.latencyRatio, s.lastProgressAt = 50, 0.0001, t0
	g.servers.byID["s0"].latencyRatio, g.servers.byID["s0"].queueLength = 100, 100 // dearer by far
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	if got := r.last(); !strings.HasPrefix(got, "send r1 s0") {
		t.Errorf("%q", got)
	}
}

// The least that may be out behind a far gateway follows the servers there, and this gateway's part of them.
func TestMinInFlightOfRemoteZone(t *testing.T) {
	for _, part := range []float64{1, 0.5} {
		g, _ := newTwoZoneEngine(t, true)
		g.SetZoneLimits("b", ZoneLimits{IsRemote: true, InFlightFraction: part, RemoteServerCount: 4})
		g.updateZoneRates()
		s := g.servers.byID["s1"]
		for s.inFlight = 0; !g.isOverloaded(0, "b", 1) && s.inFlight < 1000; s.inFlight++ {
		}
		if want := int(minInFlightPerServer * 4 * part); s.inFlight != want {
			t.Errorf("part %v: %d out, want %d", part, s.inFlight, want)
		}
	}
}

// A far gateway that refuses one request is not overloaded for others, needs no ramp after a failed connection, and
// stays in the choice. A server is and does.
func TestRemoteRejectionIsNotOverload(t *testing.T) {
	for _, far := range []bool{true, false} {
		g, r := newTwoZoneEngine(t, far)
		if !far {
			g.EndpointsChanged(t0, EndpointsDelta, []Server{{ID: "s1", Kind: "k", Zone: "b"}}, r)
		}
		q := newRequest(1, "safe", "rate", 1)
		q.Zone = "b"
		g.RequestReceived(t0, q, r)
		n := g.overload.occupancySamples[g.overload.sampleIndex()]
		g.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: RejectedByServer, Server: "s1"}, r)
		if s := g.servers.byID["s1"]; far == s.isEjected(t0+2*ms) || far == (g.overload.occupancySamples[g.overload.sampleIndex()] > n) {
			t.Errorf("far %v: aside %v, %v samples of occupancy", far, s.isEjected(t0+2*ms), g.overload.occupancySamples[g.overload.sampleIndex()]-n)
		}
		s := g.servers.byID["s1"]
		s.recordConnectFailure(t0)
		g.actions = r
		room := 0
		for range 50 {
			if g.hasWarmupBudget(s, 0) {
				s.warmup.work -= g.expectedWork(0)
				room++
			}
		}
		if far != (room == 50) {
			t.Errorf("far %v: room for %d of 50 after a connection that failed", far, room)
		}
	}
}

// What a warm server carries is learned by zone, and how busy it is by reports.
func TestWarmServerLoadByZone(t *testing.T) {
	set := testSettings()
	set.LoadReports = LoadReportsInResponses
	g, r := newEngine(t, set, Server{ID: "s0", Kind: "k", Zone: "a"})
	g.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	if rate, util := g.WarmServerLoad(t0, "a"); rate != 0 || util >= 0 {
		t.Errorf("%.2f, %.2f before anything was sent", rate, util)
	}
	for i := range 2000 {
		now := t0 + time.Duration(i)*10*ms
		q := newRequest(i, "safe", "rate", uint64(i))
		q.Zone = "a"
		g.RequestReceived(now, q, r)
		for _, a := range r.actions {
			var id, server string
			if n, _ := fmt.Sscanf(a, "send %s %s", &id, &server); n == 2 {
				g.AttemptCompleted(now, AttemptResult{ID: id, Result: OK, Server: server, RequestAnswered: true, Latency: 20 * ms, LoadReport: &LoadReport{InFlight: -1, QueueLength: -1, Utilization: 0.5}}, r)
			}
		}
		if r.actions = nil; i%int(sampleInterval/(10*ms)) == 0 {
			g.TimerFired(now, timerToken(timerSample, 0), r)
		}
	}
	rate, util := g.WarmServerLoad(t0+20*time.Second, "a")
	if want := 100 * g.expectedWork(0); math.Abs(rate/want-1) > 0.15 || math.Abs(util-0.5) > 0.01 {
		t.Errorf("%.2f a second and %.2f busy, want about %.2f and 0.5", rate, util, want)
	}
	g.RemoveZoneLimits("a")
	if rate, _ := g.WarmServerLoad(t0+20*time.Second, "a"); rate != 0 {
		t.Error("a zone that was dropped is remembered")
	}
}

// Of two requests of a class that with the higher price may come later into a zone that fills up.
func TestPriorityFactorInZone(t *testing.T) {
	set := testSettings()
	set.Plans[1].PriorityFactor = 4
	g, _ := newEngine(t, set, Server{ID: "s0", Kind: "k", Zone: "a"})
	g.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	g.zones["a"].responseRate = 100
	keyed, s := g.classIndex["keyed"], g.servers.byID["s0"]
	most := func(price float64) int {
		for s.inFlight = 0; !g.isOverloaded(keyed, "a", price); s.inFlight++ {
		}
		return s.inFlight
	}
	if low, high := most(1), most(4); low >= high || low < high/2 {
		t.Errorf("%d out at price 1 and %d at 4", low, high)
	}
}
