package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"mulleinmux/policy/overload"
)

// Queued work must be bounded before latencies show it: here no attempt is answered, so that no latency is known.
func TestQueuedWorkIsBounded(t *testing.T) {
	s := testSettings()
	s.Plans[1].Burst = 1e6
	e, r := newEngine(t, s, testServers(4)...)
	sent := 0
	for i := 0; i < 200; i++ {
		e.RequestReceived(t0+time.Duration(i)*ms, newRequest(i, "safe", "rate", 1), r)
	}
	sent = r.count("send")
	if sent == 0 || sent > 8 {
		t.Errorf("got %d requests sent to 4 unresponsive servers, want 1 to 8", sent)
	}
	if r.count("reject") != 200-sent {
		t.Errorf("got %d requests rejected, want all that were not sent", r.count("reject"))
	}
}

// The bound on work in flight must not reject the requests of the first second after a start: the rate of responses
// must be known soon.
func TestResponseRateIsKnownSoonAfterStart(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(4)...)
	for i := 0; i < 200; i++ {
		now := t0 + time.Duration(i)*ms
		e.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		completeAttempts(e, r, now, ms, OK)
		if i%100 == 99 {
			e.TimerFired(now, timerToken(timerSample, 0), r)
		}
	}
	if e.load.responseRate < 500 {
		t.Errorf("got a response rate of %v after 200 ms at 1000 per second, want at least 500", e.load.responseRate)
	}
}

// Attempts stuck at one unresponsive server must not count as an overload of all servers.
func TestOldAttemptsDoNotCountAsInFlight(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(4)...)
	e.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	objective := e.settings.Classes[e.index.classes["safe"]].LatencyObjective
	if n := measureAges(e).young; n != 1 {
		t.Errorf("got %v young attempts at once, want 1", n)
	}
	e.now = t0 + objective
	if n := measureAges(e).young; n != 0 {
		t.Errorf("got %v young attempts after the latency objective, want 0", n)
	}
}

// Attempts that a server leaves unanswered while it answers others are not queued work: those past their latency
// objective must not cause new requests to be rejected. Attempts at an unresponsive server are not counted in the first
// place.
func TestOverdueAttemptsAreNotOverload(t *testing.T) {
	e, r := newEngine(t, healthCheckSettings(), testServers(2)...)
	for i := 0; !e.inFlightBound.isOverloaded(e.now, e.index.classes["safe"], "", 1); i++ {
		e.RequestReceived(t0, newRequest(i, "safe", "rate", uint64(i)), r)
	}
	now := t0 + e.settings.Classes[e.index.classes["safe"]].LatencyObjective + ms
	e.TimerFired(now, timerToken(timerSample, 0), r)
	if e.inFlightBound.isOverloaded(e.now, e.index.classes["safe"], "", 1) {
		t.Errorf("%d attempts past their latency objective count as an overload", e.load.inFlight)
	}
	for _, s := range e.servers.list {
		s.isUnresponsive = true
	}
	e.TimerFired(now+sampleInterval, timerToken(timerSample, 0), r)
	if e.load.overdue != 0 {
		t.Errorf("got %v overdue attempts at unresponsive servers, want 0: they are subtracted already", e.load.overdue)
	}
}

// Attempts at unresponsive servers do not count as load of the others.
func TestUnresponsiveServersAreNotOverload(t *testing.T) {
	e, _ := newEngine(t, healthCheckSettings(), testServers(2)...)
	e.servers.byID["s0"].inFlight, e.load.inFlight = 9, 9
	if !e.inFlightBound.isOverloaded(e.now, 0, "", 1) {
		t.Fatal("9 attempts in flight at two servers do not count as an overload")
	}
	e.servers.byID["s0"].isUnresponsive = true
	if e.inFlightBound.isOverloaded(e.now, 0, "", 1) {
		t.Error("attempts at an unresponsive server count as an overload of all servers")
	}
}

// The lower limit of the bound on work in flight follows the responsive servers, each with its current capacity. It
// does not follow the endpoint list, which shows the loss of a zone seconds later.
func TestMinInFlightFollowsResponsiveServers(t *testing.T) {
	const n = 12
	e, _ := newEngine(t, healthCheckSettings(), testServers(n)...)
	maxInFlight := func() (out int) {
		for e.load.inFlight = 0; !e.inFlightBound.isOverloaded(e.now, 0, "", 1); e.load.inFlight++ {
		}
		return e.load.inFlight
	}
	if got := maxInFlight(); got != overload.MinInFlightPerServer*n {
		t.Errorf("got %d in flight with all servers up, want %v", got, overload.MinInFlightPerServer*n)
	}
	for i := range n / 2 {
		e.servers.byID[fmt.Sprintf("s%d", i)].isUnresponsive = true
	}
	if got := maxInFlight(); got != overload.MinInFlightPerServer*n/2 {
		t.Errorf("got %d in flight with half of the servers unresponsive, want %v",
			got, overload.MinInFlightPerServer*n/2)
	}
	e.now = t0
	for _, s := range e.servers.list {
		s.isUnresponsive = false
		if s.ID < "s5" {
			s.connectFailedAt = t0
		}
	}
	if got := maxInFlight(); got >= overload.MinInFlightPerServer*n {
		t.Errorf("got %d in flight with some servers cold, want fewer than with all warm", got)
	}
}

// With few attempts in flight, the fleet's mean distinguishes a random fluctuation from an overload, but is seconds
// late. A burst that cannot be a random fluctuation must be rejected without it.
func TestBurstIsPartlyRejected(t *testing.T) {
	const n = 4
	const maxBurst = 24 // three times the lower limit of the bound: more cannot be a random fluctuation
	e, r := newEngine(t, testSettings(), testServers(n)...)
	e.gossip.InboxRate = 10
	for i := range 200 {
		q := newRequest(i, "safe", "rate", uint64(i))
		q.InstanceCount = 1
		e.RequestReceived(t0, q, r)
	}
	if got := r.count("send"); got <= overload.MinInFlightPerServer*n || got > maxBurst {
		t.Errorf("got %d requests of a burst sent, want more than %v and at most %v",
			got, overload.MinInFlightPerServer*n, maxBurst)
	}
}

// An attempt at a server that sends no responses is not queued work; an attempt at a server that responds to others is.
func TestUnansweredAttemptsAreNotLoad(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.latencies.classes[0] = classLatency{mean: 0.05, samples: 100}
	quiet, busy := e.subset.members[0], e.subset.members[1]
	for i, s := range []*server{quiet, busy} {
		id := fmt.Sprint("r", i)
		e.requests.byID[id] = &request{Request: Request{ID: id}, attempts: []attempt{{server: s, sentAt: t0}}}
	}
	e.now, e.actions = t0+180*ms, r
	busy.lastResponseAt = t0 + 100*ms
	if ages := measureAges(e); ages.young != 1 || ages.overdue != 1 {
		t.Errorf("got %.0f young and %.0f overdue attempts, want 1 and 1", ages.young, ages.overdue)
	}
	e.now = t0 + 90*ms
	if ages := measureAges(e); ages.young != 2 || ages.overdue != 0 {
		t.Errorf("earlier: got %.0f young and %.0f overdue attempts, want 2 and 0", ages.young, ages.overdue)
	}
}

// Once any server has sent a load report, latencies do not replace reports: they would outweigh the reports, and their
// readings are too low.
func TestLoadReportsAloneSetOccupancy(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0, r
	report := &LoadReport{InFlight: -1, QueueLength: 0, Utilization: 0.9}
	e.occupancy.recordLoadReport(e.now, e.subset.members[0], report)
	for i := range 50 {
		e.occupancy.recordLatency(e.now, e.subset.members[1+i%8], 0, 60*ms)
	}
	if sum, count := openReadings(e); count != 1 || sum != 0.9 {
		t.Errorf("got %.1f readings with the sum %.2f, want only that of the report (0.90)", count, sum)
	}
	e.now += decayTime + ms
	e.occupancy.recordLatency(e.now, e.subset.members[1], 0, 60*ms)
	if _, count := openReadings(e); count == 1 {
		t.Error("latencies do not count although no report was received for longer than decayTime")
	}
}

// openReadings returns the readings of the occupancy in the open sample: their sum and their number.
func openReadings(e *Engine) (sum, count float64) {
	state := e.overload.State()
	open := state.SampleCount % len(state.OccupancySums)
	return state.OccupancySums[open], state.OccupancySamples[open]
}

// An instance that has just started sends no means of its own, and replaces its means with the first that it receives.
func TestFleetMeansAfterMassRestart(t *testing.T) {
	fresh, _ := newSubsetEngine(t)
	for mean, value := range (overload.Means{0.01, 0.02, 0.1, 0.1, 0.1}) {
		setFleetMean(fresh, mean, value)
	}
	old, _ := newSubsetEngine(t)
	means := overload.Means{0.5, 1, 2, 0.75, 1.25}
	old.overload.ReceiveMeans(means)
	sendMeans := func(from, to *Engine) {
		to.overload.ReceiveMeans(sentReport(t, from, to).FleetMeans)
	}
	sendMeans(fresh, old)
	if got := old.overload.FleetMeans(); got != means {
		t.Errorf("the message of a new instance changed the means to %v", got)
	}
	sendMeans(old, fresh)
	if got := fresh.overload.FleetMeans(); got != means {
		t.Errorf("got means %v at a new instance, want those received: %v", got, means)
	}
	sendMeans(old, fresh)
	if !fresh.overload.HasMeansToShare() {
		t.Error("a new instance that has received means has none to share")
	}
}

// The bound on work in flight estimates the number of responsive servers from the subset. Servers outside the subset
// are not assumed to be up merely because nothing is sent to them.
func TestInFlightBoundScalesWithSubset(t *testing.T) {
	e, _ := newSubsetEngine(t)
	e.now = t0 + 10*time.Second
	if _, n := e.load.reachableInFlight(e.now, e.servers.list, &e.settings); n != 170 {
		t.Errorf("got %v reachable servers, want 170", n)
	}
	for i, s := range e.subset.members {
		switch i % 4 {
		case 0:
			s.isUnresponsive = true
		case 1:
			s.suspectedUntil = e.now + time.Second
		}
	}
	responsive := 0
	for _, s := range e.subset.members {
		responsive += boolToInt(!s.isUnresponsive && e.now >= s.suspectedUntil)
	}
	want := 170 * float64(responsive) / float64(len(e.subset.members))
	if _, n := e.load.reachableInFlight(e.now, e.servers.list, &e.settings); math.Abs(n-want) > 1e-9 {
		t.Errorf("got %v reachable servers with %d of the subset's %d responsive, want %v",
			n, responsive, len(e.subset.members), want)
	}
}

// measureAges measures the ages of an engine's attempts in flight.
func measureAges(e *Engine) attemptAges {
	return e.requests.measureAges(e.now, &e.settings, &e.latencies, !e.subset.usesAllServers())
}
