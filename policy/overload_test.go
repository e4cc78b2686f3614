package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// ARO: full refusals drive f down, calm brings it back, and the throttle is even.
func TestOverloadControl(t *testing.T) {
	a := aro{f: 1}
	for i := 0; i < 50; i++ {
		a.sent[a.slot()] = 10
		a.sample(1)
		a.assess(0, 0)
	}
	if a.f > 0.9 {
		t.Errorf("f %v after 5 s at occupancy 1", a.f)
	}
	low := a.f
	for i := 0; i < 50; i++ {
		a.sample(0.3)
		a.assess(0, 0)
	}
	if a.f != 1 || low < fLeast {
		t.Errorf("f %v after 5 s of calm, least %v", a.f, low)
	}
}

// Work that piles up unanswered must be bounded before latencies tell of it.
func TestPiledUpWorkIsRefused(t *testing.T) {
	s := testSettings()
	s.Plans[1].Burst = 1e6
	g, r := newGate(t, s, fleet(4)...)
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
func TestRateIsKnownSoonAfterStart(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	for i := 0; i < 200; i++ {
		now := t0 + time.Duration(i)*ms
		g.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		answer(g, r, now, ms, OK)
		if i%100 == 99 {
			g.TimerFired(now, timerProbe, r)
		}
	}
	if g.okRate < 500 {
		t.Errorf("rate %v after 200 ms at 1000 a second", g.okRate)
	}
}

// Attempts stuck at one silent server must not read as a jam of all.
func TestOldAttemptsDoNotCountInThePool(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	aim := g.set.Classes[g.class["safe"]].LatencyObjective
	if n, _, _ := g.ages(jamAge); n != 1 {
		t.Errorf("%v young at once", n)
	}
	g.now = t0 + aim
	if n, _, _ := g.ages(jamAge); n != 0 {
		t.Errorf("%v young after the aim", n)
	}
}

// Attempts that a server leaves unanswered for good, while it answers others, are no work that waits: those past
// their aim must not keep new requests out. A server held for lost has its own taken off already.
func TestOverdueAttemptsAreNoJam(t *testing.T) {
	g, r := newGate(t, probing(), fleet(2)...)
	for i := 0; !g.jammed(g.class["safe"], "", 1); i++ {
		g.RequestReceived(t0, newRequest(i, "safe", "rate", uint64(i)), r)
	}
	now := t0 + g.set.Classes[g.class["safe"]].LatencyObjective + ms
	g.TimerFired(now, timerProbe, r)
	if g.jammed(g.class["safe"], "", 1) {
		t.Errorf("%d attempts past their aim read as a jam", g.held)
	}
	for _, s := range g.servers {
		s.lost = true
	}
	if g.TimerFired(now+probeEvery, timerProbe, r); g.overdue != 0 {
		t.Errorf("%v attempts at lost servers are taken off twice", g.overdue)
	}
}

// Attempts at silent servers wait for nothing that the others do.
func TestSilentServersAreNoJam(t *testing.T) {
	g, _ := newGate(t, probing(), fleet(2)...)
	g.byID["s0"].out, g.held = 9, 9
	if !g.jammed(0, "", 1) {
		t.Fatal("9 attempts out at two servers are no jam")
	}
	g.byID["s0"].lost = true
	if g.jammed(0, "", 1) {
		t.Error("attempts at a silent server read as a jam of all")
	}
}

// What a jam may leave out at least follows the servers that are alive, each as warm as it
// is, not the list, which tells of a lost hall seconds late.
func TestLeastWorkOutFollowsServersAlive(t *testing.T) {
	const n = 12
	g, _ := newGate(t, probing(), fleet(n)...)
	most := func() (out int) {
		for g.held = 0; !g.jammed(0, "", 1); g.held++ {
		}
		return g.held
	}
	if got := most(); got != jamFloor*n {
		t.Errorf("%d out with all servers up, want %v", got, jamFloor*n)
	}
	for i := range n / 2 {
		g.byID[fmt.Sprintf("s%d", i)].lost = true
	}
	if got := most(); got != jamFloor*n/2 {
		t.Errorf("%d out with half of the servers silent, want %v", got, jamFloor*n/2)
	}
	g.now = t0
	for _, s := range g.servers {
		s.lost = false
		if s.ID < "s5" {
			s.broke = t0
		}
	}
	if got := most(); got >= jamFloor*n {
		t.Errorf("%d out with some servers cold, as many as with all warm", got)
	}
}

// Where few attempts are out, the mean that tells chance from a jam comes seconds late: a
// burst that can't be chance must not wait for it.
func TestBurstIsNotLetInWhole(t *testing.T) {
	const n = 4
	g, r := newGate(t, testSettings(), fleet(n)...)
	g.inboxRate = 10
	for i := range 200 {
		q := newRequest(i, "safe", "rate", uint64(i))
		q.InstanceCount = 1
		g.RequestReceived(t0, q, r)
	}
	if got := r.count("send"); got <= jamFloor*n || got > jamSure*jamFloor*n {
		t.Errorf("%d of a burst sent, want more than %v and at most %v", got, jamFloor*n, jamSure*jamFloor*n)
	}
}

// An attempt at a server that says nothing is no work that waits; one at a server that answers others is.
func TestSilentAttemptsAreNoWork(t *testing.T) {
	g, r := partGate(t)
	g.lat[0] = classLatency{mean: 0.05, n: 100}
	quiet, busy := g.near[0], g.near[1]
	for i, s := range []*server{quiet, busy} {
		id := fmt.Sprint("r", i)
		g.reqs[id] = &request{Request: Request{ID: id}, attempts: []attempt{{server: s, sent: t0}}}
	}
	g.now, g.out = t0+180*ms, r
	busy.heard = t0 + 100*ms
	if young, overdue, _ := g.ages(jamAge); young != 1 || overdue != 1 {
		t.Errorf("%.0f count as work, %.0f as overdue, want 1 and 1", young, overdue)
	}
	g.now = t0 + 90*ms
	if young, overdue, _ := g.ages(jamAge); young != 2 || overdue != 0 {
		t.Errorf("early on %.0f count as work, %.0f as overdue, want 2 and 0", young, overdue)
	}
}

// Once any server has reported, latencies stand for no report: they would outweigh the reports, and read too low.
func TestReportsAloneTellTheOccupancy(t *testing.T) {
	g, r := partGate(t)
	g.now, g.out = t0, r
	g.report(g.near[0], &LoadReport{InFlight: -1, QueueLength: 0, Utilization: 0.9})
	for i := range 50 {
		g.observe(0, g.near[1+i%8], 60*ms)
	}
	if slot := g.aro.slot(); g.aro.n[slot] != 1 || g.aro.occ[slot] != 0.9 {
		t.Errorf("%.1f samples that sum to %.2f, want the report's alone", g.aro.n[slot], g.aro.occ[slot])
	}
	g.now += forgetAfter + ms
	if g.observe(0, g.near[1], 60*ms); g.aro.n[g.aro.slot()] == 1 {
		t.Error("without reports for long, latencies don't count")
	}
}

// A gateway that has just started tells no means of its own, and takes the first that it hears as they are.
func TestMeansAfterAHerd(t *testing.T) {
	fresh, _ := partGate(t)
	fresh.aro.mix(1, [poolSize]float64{0.01, 0.02, 0.1, 0.1, 0.1})
	old, _ := partGate(t)
	old.aro.heard = true
	means := [poolSize]float64{0.5, 1, 2, 0.75, 1.25}
	old.aro.pool = means
	tell := func(from, to *Engine) {
		m, ok := to.decodeAsk(from.encodeAnswer(7, true, 0, 1))
		if !ok {
			t.Fatal("malformed")
		}
		to.aro.hear(m.pool)
	}
	if tell(fresh, old); old.aro.pool != means {
		t.Errorf("a fresh gateway made %v of the means", old.aro.pool)
	}
	if tell(old, fresh); fresh.aro.pool != means {
		t.Errorf("a fresh gateway has %v, and heard %v", fresh.aro.pool, means)
	}
	if tell(old, fresh); !fresh.aro.knows() {
		t.Error("it has heard means and does not know them")
	}
	alone, _ := partGate(t)
	for range knowsAfter {
		alone.aro.assess(1, 1)
	}
	if !alone.aro.knows() || alone.aro.heard {
		t.Error("what it measured for two seconds is not told")
	}
}

// The bound on work out counts what servers are left by the part: the others are held to be as those are, not to be well because
// they are never met.
func TestTheBoundCountsServersByThePart(t *testing.T) {
	g, _ := partGate(t)
	g.now = t0 + 10*time.Second
	if _, n := g.inReach(); n != 170 {
		t.Errorf("%v of 170 servers in reach", n)
	}
	for i, s := range g.near {
		switch i % 4 {
		case 0:
			s.lost = true
		case 1:
			s.suspect = g.now + time.Second
		}
	}
	left := 0
	for _, s := range g.near {
		left += b2i(!s.lost && g.now >= s.suspect)
	}
	want := 170 * float64(left) / float64(len(g.near))
	if _, n := g.inReach(); math.Abs(n-want) > 1e-9 {
		t.Errorf("%v servers in reach with %d of the part's %d left, want %v", n, left, len(g.near), want)
	}
}
