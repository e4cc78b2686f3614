package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// ARO: full refusals drive f down, calm brings it back, and the throttle is even.
func TestAdmitFractionFollowsOccupancy(t *testing.T) {
	a := overloadController{admitFraction: 1}
	for i := 0; i < 50; i++ {
		a.accepted[a.sampleIndex()] = 10
		a.addOccupancy(1)
		a.closeSample(0, 0)
	}
	if a.admitFraction > 0.9 {
		t.Errorf("f %v after 5 s at occupancy 1", a.admitFraction)
	}
	low := a.admitFraction
	for i := 0; i < 50; i++ {
		a.addOccupancy(0.3)
		a.closeSample(0, 0)
	}
	if a.admitFraction != 1 || low < minAdmitFraction {
		t.Errorf("f %v after 5 s of calm, least %v", a.admitFraction, low)
	}
}

// Work that piles up unanswered must be bounded before latencies tell of it.
func TestQueuedWorkIsBounded(t *testing.T) {
	s := testSettings()
	s.Plans[1].Burst = 1e6
	g, r := newEngine(t, s, testServers(4)...)
	sent := 0
	for i := 0; i < 200; i++ {
		g.RequestReceived(t0+time.Duration(i)*ms, newRequest(i, "safe", "rate", 1), r)
	}
	if sent = r.count("send"); sent == 0 || sent > 8 {
		t.Errorf("%d sent to 4 silent servers, want 1 to 8", sent)
	}
	if r.count("refuse") != 200-sent {
		t.Errorf("%d refused", r.count("refuse"))
	}
}

// The bound on piled-up work must not refuse the first second after a start.
func TestResponseRateIsKnownSoonAfterStart(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(4)...)
	for i := 0; i < 200; i++ {
		now := t0 + time.Duration(i)*ms
		g.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		completeAttempts(g, r, now, ms, OK)
		if i%100 == 99 {
			g.TimerFired(now, timerToken(timerSample, 0), r)
		}
	}
	if g.load.responseRate < 500 {
		t.Errorf("rate %v after 200 ms at 1000 a second", g.load.responseRate)
	}
}

// Attempts stuck at one silent server must not read as a jam of all.
func TestOldAttemptsDoNotCountAsInFlight(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(4)...)
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	aim := g.settings.Classes[g.classIndex["safe"]].LatencyObjective
	if n := g.attemptAges(youngAttemptFraction).young; n != 1 {
		t.Errorf("%v young at once", n)
	}
	g.now = t0 + aim
	if n := g.attemptAges(youngAttemptFraction).young; n != 0 {
		t.Errorf("%v young after the aim", n)
	}
}

// Attempts that a server leaves unanswered for good, while it answers others, are no work that waits: those past
// their aim must not keep new requests out. A server held for lost has its own taken off already.
func TestOverdueAttemptsAreNotOverload(t *testing.T) {
	g, r := newEngine(t, healthCheckSettings(), testServers(2)...)
	for i := 0; !g.isOverloaded(g.classIndex["safe"], "", 1); i++ {
		g.RequestReceived(t0, newRequest(i, "safe", "rate", uint64(i)), r)
	}
	now := t0 + g.settings.Classes[g.classIndex["safe"]].LatencyObjective + ms
	g.TimerFired(now, timerToken(timerSample, 0), r)
	if g.isOverloaded(g.classIndex["safe"], "", 1) {
		t.Errorf("%d attempts past their aim read as a jam", g.load.inFlight)
	}
	for _, s := range g.servers.list {
		s.isUnresponsive = true
	}
	if g.TimerFired(now+sampleInterval, timerToken(timerSample, 0), r); g.load.overdue != 0 {
		t.Errorf("%v attempts at lost servers are taken off twice", g.load.overdue)
	}
}

// Attempts at silent servers wait for nothing that the others do.
func TestUnresponsiveServersAreNotOverload(t *testing.T) {
	g, _ := newEngine(t, healthCheckSettings(), testServers(2)...)
	g.servers.byID["s0"].inFlight, g.load.inFlight = 9, 9
	if !g.isOverloaded(0, "", 1) {
		t.Fatal("9 attempts out at two servers are no jam")
	}
	g.servers.byID["s0"].isUnresponsive = true
	if g.isOverloaded(0, "", 1) {
		t.Error("attempts at a silent server read as a jam of all")
	}
}

// What a jam may leave out at least follows the servers that are alive, each as warm as it
// is, not the list, which tells of a lost hall seconds late.
func TestMinInFlightFollowsResponsiveServers(t *testing.T) {
	const n = 12
	g, _ := newEngine(t, healthCheckSettings(), testServers(n)...)
	most := func() (out int) {
		for g.load.inFlight = 0; !g.isOverloaded(0, "", 1); g.load.inFlight++ {
		}
		return g.load.inFlight
	}
	if got := most(); got != minInFlightPerServer*n {
		t.Errorf("%d out with all servers up, want %v", got, minInFlightPerServer*n)
	}
	for i := range n / 2 {
		g.servers.byID[fmt.Sprintf("s%d", i)].isUnresponsive = true
	}
	if got := most(); got != minInFlightPerServer*n/2 {
		t.Errorf("%d out with half of the servers silent, want %v", got, minInFlightPerServer*n/2)
	}
	g.now = t0
	for _, s := range g.servers.list {
		s.isUnresponsive = false
		if s.ID < "s5" {
			s.connectFailedAt = t0
		}
	}
	if got := most(); got >= minInFlightPerServer*n {
		t.Errorf("%d out with some servers cold, as many as with all warm", got)
	}
}

// Where few attempts are out, the mean that tells chance from a jam comes seconds late: a
// burst that can't be chance must not wait for it.
func TestBurstIsPartlyRejected(t *testing.T) {
	const n = 4
	g, r := newEngine(t, testSettings(), testServers(n)...)
	g.gossip.rate = 10
	for i := range 200 {
		q := newRequest(i, "safe", "rate", uint64(i))
		q.InstanceCount = 1
		g.RequestReceived(t0, q, r)
	}
	if got := r.count("send"); got <= minInFlightPerServer*n || got > certainOverloadFactor*minInFlightPerServer*n {
		t.Errorf("%d of a burst sent, want more than %v and at most %v", got, minInFlightPerServer*n, certainOverloadFactor*minInFlightPerServer*n)
	}
}

// An attempt at a server that says nothing is no work that waits; one at a server that answers others is.
func TestUnansweredAttemptsAreNotLoad(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.latencies.classes[0] = classLatency{mean: 0.05, samples: 100}
	quiet, busy := g.subset.members[0], g.subset.members[1]
	for i, s := range []*server{quiet, busy} {
		id := fmt.Sprint("r", i)
		g.requests.byID[id] = &request{Request: Request{ID: id}, attempts: []attempt{{server: s, sentAt: t0}}}
	}
	g.now, g.actions = t0+180*ms, r
	busy.lastHeardAt = t0 + 100*ms
	if ages := g.attemptAges(youngAttemptFraction); ages.young != 1 || ages.overdue != 1 {
		t.Errorf("%.0f count as work, %.0f as overdue, want 1 and 1", ages.young, ages.overdue)
	}
	g.now = t0 + 90*ms
	if ages := g.attemptAges(youngAttemptFraction); ages.young != 2 || ages.overdue != 0 {
		t.Errorf("early on %.0f count as work, %.0f as overdue, want 2 and 0", ages.young, ages.overdue)
	}
}

// Once any server has reported, latencies stand for no report: they would outweigh the reports, and read too low.
func TestLoadReportsAloneSetOccupancy(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.now, g.actions = t0, r
	g.recordLoadReport(g.subset.members[0], &LoadReport{InFlight: -1, QueueLength: 0, Utilization: 0.9})
	for i := range 50 {
		g.recordLatency(0, g.subset.members[1+i%8], 60*ms)
	}
	if slot := g.overload.sampleIndex(); g.overload.occupancySamples[slot] != 1 || g.overload.occupancySums[slot] != 0.9 {
		t.Errorf("%.1f samples that sum to %.2f, want the report's alone", g.overload.occupancySamples[slot], g.overload.occupancySums[slot])
	}
	g.now += decayTime + ms
	if g.recordLatency(0, g.subset.members[1], 60*ms); g.overload.occupancySamples[g.overload.sampleIndex()] == 1 {
		t.Error("without reports for long, latencies don't count")
	}
}

// A gateway that has just started tells no means of its own, and takes the first that it hears as they are.
func TestFleetMeansAfterMassRestart(t *testing.T) {
	fresh, _ := newSubsetEngine(t)
	fresh.overload.mergeMeans(1, [fleetMeanCount]float64{0.01, 0.02, 0.1, 0.1, 0.1})
	old, _ := newSubsetEngine(t)
	old.overload.hasPeerMeans = true
	means := [fleetMeanCount]float64{0.5, 1, 2, 0.75, 1.25}
	old.overload.fleetMeans = means
	tell := func(from, to *Engine) {
		to.overload.receiveMeans(sentReport(t, from, to).fleetMeans)
	}
	if tell(fresh, old); old.overload.fleetMeans != means {
		t.Errorf("a fresh gateway made %v of the means", old.overload.fleetMeans)
	}
	if tell(old, fresh); fresh.overload.fleetMeans != means {
		t.Errorf("a fresh gateway has %v, and heard %v", fresh.overload.fleetMeans, means)
	}
	if tell(old, fresh); !fresh.overload.hasMeans() {
		t.Error("it has heard means and does not know them")
	}
	alone, _ := newSubsetEngine(t)
	for range minMeanSamples {
		alone.overload.closeSample(1, 1)
	}
	if !alone.overload.hasMeans() || alone.overload.hasPeerMeans {
		t.Error("what it measured for two seconds is not told")
	}
}

// The bound on work out counts what servers are left by the part: the others are held to be as those are, not to be well because
// they are never met.
func TestInFlightBoundScalesWithSubset(t *testing.T) {
	g, _ := newSubsetEngine(t)
	g.now = t0 + 10*time.Second
	if _, n := g.reachableInFlight(); n != 170 {
		t.Errorf("%v of 170 servers in reach", n)
	}
	for i, s := range g.subset.members {
		switch i % 4 {
		case 0:
			s.isUnresponsive = true
		case 1:
			s.suspectedUntil = g.now + time.Second
		}
	}
	left := 0
	for _, s := range g.subset.members {
		left += boolToInt(!s.isUnresponsive && g.now >= s.suspectedUntil)
	}
	want := 170 * float64(left) / float64(len(g.subset.members))
	if _, n := g.reachableInFlight(); math.Abs(n-want) > 1e-9 {
		t.Errorf("%v servers in reach with %d of the part's %d left, want %v", n, left, len(g.subset.members), want)
	}
}
