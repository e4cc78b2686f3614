package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy/overload"
)

// newTwoZoneEngine returns an engine with a warm server in zone a, and a server in zone b that has just started or, if
// isRemote, is a gateway of another site.
func newTwoZoneEngine(t *testing.T, isRemote bool) (*Engine, *recorder) {
	t.Helper()
	startedAt := t0 - ms
	if isRemote {
		startedAt = 0
	}
	e, r := newEngine(t, testSettings(),
		Server{ID: "s0", Kind: "k", Zone: "a"}, Server{ID: "s1", Kind: "k", Zone: "b", StartedAt: startedAt})
	e.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	e.SetZoneLimits("b", ZoneLimits{IsRemote: isRemote, WarmServerRate: 1, InFlightFraction: 1, RemoteServerCount: 4})
	return e, r
}

// A cold server is sent work in proportion to the zone's warm server rate, and nothing if the rate is 0.
func TestWarmupFollowsZoneLimits(t *testing.T) {
	sent := func(warmServerRate float64, startedAt time.Duration, class string) float64 {
		e, r := newEngine(t, testSettings(), Server{ID: "s1", Kind: "k", Zone: "b", StartedAt: startedAt})
		e.SetZoneLimits("b", ZoneLimits{WarmServerRate: warmServerRate, InFlightFraction: 1})
		n := 0
		for at := time.Duration(0); at < 6*time.Second; at += 20 * ms {
			q := newRequest(int(at/ms), class, "rate", 1)
			q.Zone = "b"
			n += offerRequests(e, r, t0+at, 1, q)
			completeAttempts(e, r, t0+at, 10*ms, RejectedByServer)
			e.servers.byID["s1"].ejectedUntil = 0
		}
		return float64(n) * e.latencies.expectedWork(e.settings.Classes, e.index.classes[class])
	}
	half, whole := sent(0.5, t0-ms, "safe"), sent(1, t0-ms, "safe")
	if half == 0 || whole/half < 1.6 || whole/half > 3 {
		t.Errorf("sent work of %.2f at half the warm server rate, %.2f at the whole, want twice as much", half, whole)
	}
	if n := sent(0, t0-ms, "safe"); n != 0 {
		t.Errorf("sent work of %.2f to a cold server at a rate of 0, want none", n)
	}
	if n := sent(0, 0, "safe"); n == 0 {
		t.Error("warm server was sent no work at a rate of 0")
	}
}

// ColdServerWork reports the work for which cold servers had no budget, with their capacity and the work sent to them.
func TestColdServerWork(t *testing.T) {
	e, r := newTwoZoneEngine(t, false)
	q := newRequest(0, "keyed", "rate", 1)
	q.Zone = "b"
	n := offerRequests(e, r, t0, 20, q)
	servers, sent, unmet := e.ColdServerWork(t0, "b")
	w := e.latencies.expectedWork(e.settings.Classes, e.index.classes["keyed"])
	if n == 20 || math.Abs(sent-float64(n)*w) > 1e-9 || unmet <= 0 || servers <= 0 || servers >= 1 {
		t.Errorf("%d requests sent: got capacity %.2f, sent work %.2f, unmet work %.2f", n, servers, sent, unmet)
	}
	_, sent, unmet = e.ColdServerWork(t0, "b")
	if sent != 0 || unmet != 0 {
		t.Errorf("work reported twice: sent %.2f, unmet %.2f", sent, unmet)
	}
	if s, _, _ := e.ColdServerWork(t0, "a"); s != 0 {
		t.Errorf("warm zone: got cold capacity %.2f, want 0", s)
	}
}

// The class with the lowest priority weight for its work leaves a cold server's budget to the others.
func TestWarmupBudgetPrefersHigherPriority(t *testing.T) {
	e, r := newTwoZoneEngine(t, false)
	s := e.servers.byID["s1"]
	// so that the budget holds several requests
	e.SetZoneLimits("b", ZoneLimits{WarmServerRate: 20, InFlightFraction: 1})
	e.now, e.actions, s.warmup.updatedAt = t0, r, t0
	admits := func(class string) bool { return e.slowStart.admits(e.now, s, e.index.classes[class], e.zones.of(s)) }
	work := func(class string) float64 {
		return e.latencies.expectedWork(e.settings.Classes, e.index.classes[class])
	}
	s.warmup.work = 1.1 * work("keyed")
	if admits("safe") || !admits("keyed") {
		t.Errorf(
			"budget of %.2f admits the class of lowest value (work %.2f), or not that of highest value (work %.2f)",
			s.warmup.work, work("safe"), work("keyed"),
		)
	}
	s.warmup.work = 100
	if !admits("safe") {
		t.Error("class of lowest value was not admitted with budget for all classes")
	}
}

// A queue in one zone makes that zone overloaded, and no other.
func TestOverloadOfOneZone(t *testing.T) {
	for _, isRemote := range []bool{false, true} {
		e, _ := newTwoZoneEngine(t, isRemote)
		e.servers.byID["s1"].inFlight, e.load.inFlight = 50, 50
		safe := e.index.classes["safe"]
		isOverloaded := func(zone string) bool { return e.inFlightBound.isOverloaded(e.now, safe, zone, 1) }
		if !isOverloaded("b") || isOverloaded("a") || isOverloaded("") {
			t.Errorf("remote %v, 50 attempts in flight at b: overloaded at b %v, a %v, both %v; want b only", isRemote,
				isOverloaded("b"), isOverloaded("a"), isOverloaded(""))
		}
		e.servers.byID["s0"].inFlight = 50
		if !isOverloaded("") {
			t.Errorf("remote %v, 50 attempts in flight at each zone: not overloaded", isRemote)
		}
	}
}

// A request that is admitted because one zone has capacity is sent to that zone.
func TestOverloadedZoneIsAvoided(t *testing.T) {
	e, r := newEngine(t, testSettings(), Server{ID: "s0", Kind: "k", Zone: "a"}, Server{ID: "s1", Kind: "k", Zone: "b"})
	e.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	e.SetZoneLimits("b", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	s := e.servers.byID["s1"]
	s.inFlight, s.latencyRatio, s.lastProgressAt = 50, 0.0001, t0
	e.servers.byID["s0"].latencyRatio, e.servers.byID["s0"].queueLength = 100, 100 // much more costly than s1
	e.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	if got := r.last(); !strings.HasPrefix(got, "send r1 s0") {
		t.Errorf("got action %q, want the request sent to s0", got)
	}
}

// The minimum of the in-flight bound of a remote zone is proportional to the servers there and to this instance's
// fraction.
func TestMinInFlightOfRemoteZone(t *testing.T) {
	for _, fraction := range []float64{1, 0.5} {
		e, _ := newTwoZoneEngine(t, true)
		e.SetZoneLimits("b", ZoneLimits{IsRemote: true, InFlightFraction: fraction, RemoteServerCount: 4})
		e.zones.updateRates(e.now, &e.servers, &e.settings)
		s := e.servers.byID["s1"]
		for s.inFlight = 0; !e.inFlightBound.isOverloaded(e.now, 0, "b", 1) && s.inFlight < 1000; s.inFlight++ {
		}
		if want := int(overload.MinInFlightPerServer * 4 * fraction); s.inFlight != want {
			t.Errorf("fraction %v: overloaded at %d attempts in flight, want %d", fraction, s.inFlight, want)
		}
	}
}

// After a rejection a remote gateway is not ejected and gives no sample of occupancy, and after a failed connection it
// needs no warm-up. A server is ejected, gives a sample, and does need a warm-up.
func TestRemoteRejectionIsNotOverload(t *testing.T) {
	for _, isRemote := range []bool{true, false} {
		e, r := newTwoZoneEngine(t, isRemote)
		if !isRemote {
			e.EndpointsChanged(t0, EndpointsDelta, []Server{{ID: "s1", Kind: "k", Zone: "b"}}, r)
		}
		q := newRequest(1, "safe", "rate", 1)
		q.Zone = "b"
		e.RequestReceived(t0, q, r)
		_, n := openReadings(e)
		e.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: RejectedByServer, Server: "s1"}, r)
		_, after := openReadings(e)
		s, samples := e.servers.byID["s1"], after-n
		if isRemote == s.isEjected(t0+2*ms) || isRemote == (samples > 0) {
			t.Errorf("remote %v: got ejected %v, %v samples of occupancy", isRemote, s.isEjected(t0+2*ms), samples)
		}
		s.recordConnectFailure(t0)
		e.actions = r
		admitted := 0
		for range 50 {
			if e.slowStart.admits(e.now, s, 0, e.zones.of(s)) {
				s.warmup.work -= e.latencies.expectedWork(e.settings.Classes, 0)
				admitted++
			}
		}
		if isRemote != (admitted == 50) {
			t.Errorf("remote %v: %d of 50 requests admitted after a failed connection", isRemote, admitted)
		}
	}
}

// WarmServerLoad measures the work of warm servers by zone, and their utilization from load reports.
func TestWarmServerLoadByZone(t *testing.T) {
	set := testSettings()
	set.LoadReports = LoadReportsInResponses
	e, r := newEngine(t, set, Server{ID: "s0", Kind: "k", Zone: "a"})
	e.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	if rate, util := e.WarmServerLoad(t0, "a"); rate != 0 || util >= 0 {
		t.Errorf("before any request: got rate %.2f, utilization %.2f, want 0 and negative", rate, util)
	}
	for i := range 2000 {
		now := t0 + time.Duration(i)*10*ms
		q := newRequest(i, "safe", "rate", uint64(i))
		q.Zone = "a"
		e.RequestReceived(now, q, r)
		for _, a := range r.actions {
			var id, server string
			if n, _ := fmt.Sscanf(a, "send %s %s", &id, &server); n == 2 {
				report := &LoadReport{InFlight: -1, QueueLength: -1, Utilization: 0.5}
				e.AttemptCompleted(now, AttemptResult{ID: id, Result: OK, Server: server, RequestAnswered: true,
					Latency: 20 * ms, LoadReport: report}, r)
			}
		}
		r.actions = nil
		if i%int(sampleInterval/(10*ms)) == 0 {
			e.TimerFired(now, timerToken(timerSample, 0), r)
		}
	}
	rate, util := e.WarmServerLoad(t0+20*time.Second, "a")
	want := 100 * e.latencies.expectedWork(e.settings.Classes, 0)
	if math.Abs(rate/want-1) > 0.15 || math.Abs(util-0.5) > 0.01 {
		t.Errorf("got rate %.2f, utilization %.2f, want about %.2f and 0.5", rate, util, want)
	}
	e.RemoveZoneLimits("a")
	if rate, _ := e.WarmServerLoad(t0+20*time.Second, "a"); rate != 0 {
		t.Error("zone without limits still has a rate")
	}
}

// When a zone fills up, requests of a higher priority factor are admitted up to more attempts in flight.
func TestPriorityFactorInZone(t *testing.T) {
	set := testSettings()
	set.Plans[1].PriorityFactor = 4
	e, _ := newEngine(t, set, Server{ID: "s0", Kind: "k", Zone: "a"})
	e.SetZoneLimits("a", ZoneLimits{WarmServerRate: 1, InFlightFraction: 1})
	e.zones["a"].responseRate = 100
	keyed, s := e.index.classes["keyed"], e.servers.byID["s0"]
	maxInFlight := func(priorityFactor float64) int {
		for s.inFlight = 0; !e.inFlightBound.isOverloaded(e.now, keyed, "a", priorityFactor); s.inFlight++ {
		}
		return s.inFlight
	}
	if low, high := maxInFlight(1), maxInFlight(4); low >= high || low < high/2 {
		t.Errorf("overloaded at %d attempts in flight at priority factor 1, at %d at factor 4", low, high)
	}
}
