package policy

import (
	"math"
	"testing"
	"time"
)

// Rule 4: all gateways together must keep a cold server within the budget, also when there are hundreds that
// each would send it one request, when nothing is known of its size, and when all servers are cold.
func TestWarmingServerStaysWithinBudget(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		s := testSettings()
		s.InstanceCount = n
		work, sent := 0.0, 0
		for me := 0; me < n; me++ {
			s.InstanceIndex = me
			g, err := New(s, uint64(me))
			if err != nil {
				t.Fatal(err)
			}
			r := &recorder{}
			g.Start(t0, r)
			g.EndpointsChanged(t0, EndpointsComplete, []Server{{ID: "cold", Kind: "k", Zone: "a", StartedAt: t0 - ms}}, r)
			for at := time.Duration(0); at < s.ColdOverloadWindow; at += 50 * ms {
				sent += offerRequests(g, r, t0+at, 2, newRequest(int(at/ms), "safe", "rate", 1))
			}
			work = float64(sent) * g.expectedWork(0)
		}
		// One core's work, the least that a server can do when warm, is what the budget is taken of.
		share := s.SlowStartMinFraction + (1-s.SlowStartMinFraction)*s.ColdOverloadWindow.Seconds()/s.SlowStartWindow.Seconds()
		budget := s.ColdOverloadMultiple * share * s.ColdOverloadWindow.Seconds()
		if sent == 0 && n > 100 || work > math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()) {
			t.Errorf("%d gateways sent %d requests of work %.2f to a cold server, budget %.2f", n, sent, work, budget)
		}
	}
}

// A connection that does not come up may mean a restart that the list tells later. One that
// broke does not: connections break one by one as well, and all servers would count as cold.
func TestRefusedConnectionStartsWarmUp(t *testing.T) {
	for res, cold := range map[Result]bool{ConnectFailed: true, ConnectionReset: false, ErrorResponse: false} {
		g, r := newEngine(t, testSettings(), testServers(1)...)
		g.RequestReceived(t0, newRequest(1, "unsafe", "rate", 1), r)
		g.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: res, Server: "s0"}, r)
		if got := g.capacityFraction(g.servers.list[0]) < 1; got != cold {
			t.Errorf("after result %d: cold %v, want %v", res, got, cold)
		}
		r.actions = nil
		if n := offerRequests(g, r, t0+2*ms, 30, newRequest(0, "safe", "rate", 2)); cold && n > 1 {
			t.Errorf("%d sent after the refused connection, want 1 at most", n)
		}
	}
}

// A cold server is its holders' to warm up: others would add to what these send, which is all that it can bear.
func TestNoWarmupBudgetOutsideSubset(t *testing.T) {
	g, _ := newSubsetEngine(t)
	for _, s := range g.servers.list {
		s.StartedAt = t0 - 100*ms
		if s.warmup.work = 100; !s.inSubset && g.hasWarmupBudget(s, 0) {
			t.Fatalf("cold server %s has room and is not in the part", s.ID)
		}
	}
}

// Part of the servers is new and cold: what may be sent there is sent there, before warm servers get it, and look-ups that look in don't cut off
// what has been saved for bookings, which are heavier.
func TestWarmingServersOfSubsetGetTheirBudget(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.now, g.actions, g.load.warmRate = t0+10*time.Second, r, 0.1
	light, heavy := 0, 1
	g.settings.Classes = append([]Class{}, g.settings.Classes[:2]...)
	g.settings.Classes[light].LatencyObjective, g.settings.Classes[heavy].LatencyObjective = 400*ms, 800*ms // a quarter of it is the work until that is learned
	cold := map[string]bool{}
	for i, s := range g.subset.members {
		if g.serverResponded(s); i%2 == 0 {
			s.StartedAt, s.warmup.work, s.warmup.updatedAt = g.now-g.settings.SlowStartWindow/4, 0, g.now
			cold[s.ID] = true
		} else {
			s.expectedConnections, s.lastUsedAt = 1, g.now
		}
	}
	for range 40 {
		g.now += 100 * ms
		for _, s := range g.subset.members {
			if cold[s.ID] {
				g.hasWarmupBudget(s, light)
			}
		}
	}
	ready := 0
	for _, s := range g.subset.members {
		s.lastUsedAt = g.now
		ready += boolToInt(cold[s.ID] && g.hasWarmupBudget(s, heavy))
	}
	if ready < len(cold)/2 {
		t.Fatalf("%d of %d cold servers may be sent a heavy request after 4 s", ready, len(cold))
	}
	asked, toCold := 0, 0
	for ; toCold < ready && asked < 100; asked++ { // two warm ones may be looked at first
		if s := g.selectServer(&request{Request: Request{ID: "x"}, class: heavy}); cold[s.ID] {
			toCold++
			s.warmup.work = 0
		}
	}
	if toCold < ready || asked > 2*ready {
		t.Errorf("%d of %d requests go to cold servers that may be sent %d", toCold, asked, ready)
	}
	if s := g.selectServer(&request{Request: Request{ID: "x"}, class: heavy}); cold[s.ID] {
		t.Error("a cold server is sent more than it may")
	}
}

// What a cold server may be sent is shared out among those that have it in their part: they do all the work of a warm one,
// and no others take of it. Where nothing is known that is a second's work a second over them all.
func TestSubsetHoldersShareWarmupBudget(t *testing.T) {
	g, _ := newSubsetEngine(t)
	g.now = t0 + time.Second
	held := map[string]int{}
	for node := range g.settings.InstanceCount {
		other := *g
		other.settings.InstanceIndex = node
		other.servers.list = nil
		for _, s := range g.servers.list {
			own := *s
			other.servers.list = append(other.servers.list, &own)
		}
		other.formSubset()
		for _, s := range other.subset.members {
			held[s.ID]++
		}
	}
	for _, s := range g.subset.members {
		s.StartedAt, s.warmup.work, s.warmup.updatedAt = g.now, 0, g.now-10*ms
		g.hasWarmupBudget(s, 0)
		all := s.warmup.work * float64(held[s.ID]) / 0.01
		if most := coldBudgetFraction * g.settings.ColdOverloadMultiple * g.capacityFraction(s); math.Abs(all/most-1) > 0.15 {
			t.Errorf("%s: %d holders may send it %.3f of a second's work a second, want %.3f", s.ID, held[s.ID], all, most)
		}
	}
	g.latencies.classes[0].kinds = []kindLatency{{lowest: 0.05}}
	r := &request{Request: Request{ID: "r"}, quota: &customerQuota{}}
	for _, s := range g.servers.list {
		if s.StartedAt = 0; !s.inSubset {
			g.updateHealth(r, s, AttemptResult{Result: OK, Latency: 50 * ms})
		}
	}
	if g.load.warmWork != 0 {
		t.Error("work of servers outside of the part counts for what its members carry")
	}
	if g.updateHealth(r, g.subset.members[0], AttemptResult{Result: OK, Latency: 50 * ms}); g.load.warmWork == 0 {
		t.Error("work of a member does not count")
	}
}
