package policy

import (
	"math"
	"testing"
	"time"

	"mulleinmux/policy/quota"
)

// All instances together must not send a cold server more than its budget. That includes hundreds of instances that
// each would send it one request, a server of unknown size, and a fleet whose servers all are cold.
func TestWarmingServerStaysWithinBudget(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		s := testSettings()
		s.InstanceCount = n
		work, sent := 0.0, 0
		for instance := 0; instance < n; instance++ {
			s.InstanceIndex = instance
			e, err := New(s, uint64(instance))
			if err != nil {
				t.Fatal(err)
			}
			r := &recorder{}
			e.Start(t0, r)
			e.EndpointsChanged(
				t0, EndpointsComplete, []Server{{ID: "cold", Kind: "k", Zone: "a", StartedAt: t0 - ms}}, r,
			)
			for at := time.Duration(0); at < s.ColdOverloadWindow; at += 50 * ms {
				sent += offerRequests(e, r, t0+at, 2, newRequest(int(at/ms), "safe", "rate", 1))
			}
			work = float64(sent) * e.latencies.expectedWork(e.settings.Classes, 0)
		}
		// The budget is derived from the work of one core, which is the least that a warm server can do.
		age := s.ColdOverloadWindow.Seconds() / s.SlowStartWindow.Seconds()
		capacity := s.SlowStartMinFraction + (1-s.SlowStartMinFraction)*age
		budget := s.ColdOverloadMultiple * capacity * s.ColdOverloadWindow.Seconds()
		if sent == 0 && n > 100 || work > math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()) {
			t.Errorf("%d instances sent %d requests of work %.2f to a cold server, want at most %.2f",
				n, sent, work, budget)
		}
	}
}

// A refused connection may be due to a restart that the endpoint list shows later. A reset connection is not taken for
// a restart: connections also break one by one, and all servers would count as cold.
func TestRefusedConnectionStartsWarmUp(t *testing.T) {
	for res, cold := range map[Result]bool{ConnectFailed: true, ConnectionReset: false, ErrorResponse: false} {
		e, r := newEngine(t, testSettings(), testServers(1)...)
		e.RequestReceived(t0, newRequest(1, "unsafe", "rate", 1), r)
		e.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: res, Server: "s0"}, r)
		if got := e.servers.list[0].capacityFraction(e.now, &e.settings) < 1; got != cold {
			t.Errorf("after result %d: server is cold: %v, want %v", res, got, cold)
		}
		r.actions = nil
		if n := offerRequests(e, r, t0+2*ms, 30, newRequest(0, "safe", "rate", 2)); cold && n > 1 {
			t.Errorf("%d requests sent after the refused connection, want at most 1", n)
		}
	}
}

// Only the instances that have a cold server in their subset warm it up: they use its whole budget, and requests of
// others would exceed it.
func TestNoWarmupBudgetOutsideSubset(t *testing.T) {
	e, _ := newSubsetEngine(t)
	for _, s := range e.servers.list {
		s.StartedAt = t0 - 100*ms
		s.warmup.work = 100
		if !s.inSubset && e.slowStart.admits(e.now, s, 0, e.zones.of(s)) {
			t.Fatalf("cold server %s outside the subset was admitted", s.ID)
		}
	}
}

// coldSubset is an engine with a subset in which every second server is cold. It has a light class, and a heavy one of
// twice the work: until the work is measured, it is taken as a quarter of the latency objective.
type coldSubset struct {
	*Engine
	light, heavy int
	cold         map[string]bool // by ID
}

// newColdSubset returns an engine whose cold servers have saved budget for 4 s, while they were checked for light
// requests.
func newColdSubset(t *testing.T) coldSubset {
	t.Helper()
	e, r := newSubsetEngine(t)
	e.now, e.actions, e.load.warmRate = t0+10*time.Second, r, 0.1
	c := coldSubset{Engine: e, light: 0, heavy: 1, cold: map[string]bool{}}
	e.settings.Classes = append([]Class{}, e.settings.Classes[:2]...)
	e.settings.Classes[c.light].LatencyObjective, e.settings.Classes[c.heavy].LatencyObjective = 400*ms, 800*ms
	for i, s := range e.subset.members {
		e.failures.recordResponse(e.now, s)
		if i%2 == 0 {
			s.StartedAt, s.warmup.work, s.warmup.updatedAt = e.now-e.settings.SlowStartWindow/4, 0, e.now
			c.cold[s.ID] = true
		} else {
			s.expectedConnections, s.lastUsedAt = 1, e.now
		}
	}
	for range 40 {
		e.now += 100 * ms
		for _, s := range e.subset.members {
			if c.cold[s.ID] {
				e.slowStart.admits(e.now, s, c.light, e.zones.of(s))
			}
		}
	}
	return c
}

// countReady returns how many cold servers may be sent a heavy request.
func (c coldSubset) countReady() (ready int) {
	for _, s := range c.subset.members {
		s.lastUsedAt = c.now
		ready += boolToInt(c.cold[s.ID] && c.slowStart.admits(c.now, s, c.heavy, c.zones.of(s)))
	}
	return ready
}

// selectHeavy selects the server of a heavy request.
func (c coldSubset) selectHeavy() *server {
	return c.selector.selectServer(c.now, &request{Request: Request{ID: "x"}, class: c.heavy})
}

// Checks for light requests do not reduce the budget saved for heavier ones.
func TestLightRequestsLeaveBudgetToHeavyOnes(t *testing.T) {
	c := newColdSubset(t)
	if ready := c.countReady(); ready < len(c.cold)/2 {
		t.Fatalf("%d of %d cold servers may be sent a heavy request after 4 s, want at least half", ready, len(c.cold))
	}
}

// If some servers of the subset are cold, their budget is used up before warm servers get requests. They are not sent
// more than their budget.
func TestWarmingServersOfSubsetGetTheirBudget(t *testing.T) {
	c := newColdSubset(t)
	ready := c.countReady()
	selected, toCold := 0, 0
	for ; toCold < ready && selected < 100; selected++ { // two warm servers may be compared first
		if s := c.selectHeavy(); c.cold[s.ID] {
			toCold++
			s.warmup.work = 0
		}
	}
	if toCold < ready || selected > 2*ready {
		t.Errorf("%d of %d requests went to cold servers, which have budget for %d", toCold, selected, ready)
	}
	if c.cold[c.selectHeavy().ID] {
		t.Error("cold server without budget was selected")
	}
}

// countHolders returns, by server ID, the number of nodes that have the server in their subset.
func countHolders(e *Engine) map[string]int {
	holders := map[string]int{}
	for node := range e.settings.InstanceCount {
		other := newServerSubset(node, e.settings.InstanceCount)
		other.sizing = e.subset.sizing
		var servers []*server
		for _, s := range e.servers.list {
			own := *s
			servers = append(servers, &own)
		}
		other.form(servers)
		for _, s := range other.members {
			holders[s.ID]++
		}
	}
	return holders
}

// The warm-up budget of a server is shared by the instances that have it in their subset, and by no others. Before any
// work is measured, the server is assumed to do one second of work per second.
func TestSubsetHoldersShareWarmupBudget(t *testing.T) {
	e, _ := newSubsetEngine(t)
	e.now = t0 + time.Second
	holders := countHolders(e)
	for _, s := range e.subset.members {
		s.StartedAt, s.warmup.work, s.warmup.updatedAt = e.now, 0, e.now-10*ms
		e.slowStart.admits(e.now, s, 0, e.zones.of(s))
		all := s.warmup.work * float64(holders[s.ID]) / 0.01
		limit := coldBudgetFraction * e.settings.ColdOverloadMultiple * s.capacityFraction(e.now, &e.settings)
		if math.Abs(all/limit-1) > 0.15 {
			t.Errorf(
				"server %s: its %d holders may send it %.3f seconds of work per second, want %.3f",
				s.ID, holders[s.ID], all, limit,
			)
		}
	}
}

// The rate of warm servers is measured at the members of the subset alone.
func TestWarmRateCountsSubsetMembers(t *testing.T) {
	e, _ := newSubsetEngine(t)
	e.now = t0 + time.Second
	e.latencies.classes[0].kinds = []kindLatency{{lowest: 0.05}}
	r := &request{Request: Request{ID: "r"}, quota: &quota.Quota{}}
	success := AttemptResult{Result: OK, Latency: 50 * ms}
	for _, s := range e.servers.list {
		if !s.inSubset {
			e.learnFromAttempt(r, s, success)
		}
	}
	if e.load.warmWork != 0 {
		t.Error("work of servers outside the subset counts in the rate of its members")
	}
	if e.learnFromAttempt(r, e.subset.members[0], success); e.load.warmWork == 0 {
		t.Error("work of a member does not count in the rate")
	}
}
