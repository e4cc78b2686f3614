package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A refused connection ejects at once, for longer each time, and an answer ends it.
func TestEjectionTimeDoubles(t *testing.T) {
	g, r := newEngine(t, testSettings(), testServers(2)...)
	s := g.servers.byID["s0"]
	q := &request{}
	var last time.Duration
	for i := 1; i <= 6; i++ {
		g.now = s.ejectedUntil
		if i == 1 {
			g.now = t0
		}
		g.actions = r
		g.updateHealth(q, s, AttemptResult{Result: ConnectFailed})
		span := s.ejectedUntil - g.now
		if span <= last && span != maxEjectionTime {
			t.Errorf("ejection %d lasts %v after %v", i, span, last)
		}
		last = span
	}
	g.updateHealth(q, s, AttemptResult{Result: OK, Latency: ms})
	if s.consecutiveEjections != 0 {
		t.Errorf("%d strikes after an answer", s.consecutiveEjections)
	}
}

// A server that is silent to a probe and to all else since gets no request until it answers
// one; an answer that came meanwhile tells that it lives.
func TestUnresponsiveServerIsOutUntilItAnswers(t *testing.T) {
	g, r := newEngine(t, healthCheckSettings(), testServers(2)...)
	s, now := g.servers.byID["s0"], t0
	sentTo := func(id string) (n int) {
		for i := range 30 {
			now += 50 * ms
			r.actions = nil
			g.RequestReceived(now, newRequest(int(now/ms), "safe", "rate", uint64(i)), r)
			n += r.count(fmt.Sprintf("send r%d %s", now/ms, id))
			completeAttempts(g, r, now, ms, OK)
		}
		return n
	}
	s.lastHealthCheckAt = now
	g.HealthCheckCompleted(now+ms, "s0", TimedOut, nil, r)
	if n := sentTo("s0"); n != 0 {
		t.Errorf("%d requests sent to a server that is silent to probes", n)
	}
	g.HealthCheckCompleted(now, "s0", OK, nil, r)
	if n := sentTo("s0"); n == 0 {
		t.Error("no request sent to a server that answers again")
	}
	g.RequestReceived(now+ms, newRequest(1, "safe", "rate", 9), r)
	s.lastHealthCheckAt, s.lastHeardAt = now, now+ms
	g.HealthCheckCompleted(now+2*ms, "s0", TimedOut, nil, r)
	if s.isUnresponsive {
		t.Error("a server that has answered since the probe counts as silent")
	}
	// Nor does one that was restarted.
	s.isUnresponsive = true
	g.EndpointsChanged(now, EndpointsDelta, []Server{{ID: "s0", Kind: "k", Zone: "a", StartedAt: now}}, r)
	if s.isUnresponsive {
		t.Error("a restarted server counts as silent")
	}
}

// Probes reach all servers in turn, though the choice of a server shuffles them.
func TestHealthChecksRotate(t *testing.T) {
	g, r := newEngine(t, healthCheckSettings(), testServers(10)...)
	probes := map[string]int{}
	for i := range 200 {
		now := t0 + time.Duration(i)*5*ms
		g.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		completeAttempts(g, r, now, ms, OK)
		if i%10 == 9 {
			g.overload.fleetMeans[meanAccepted] = 2
			g.TimerFired(now, timerToken(timerSample, 0), r)
			for id := range g.servers.byID {
				probes[id] += r.count("probe " + id)
			}
			r.actions = nil
		}
	}
	for id := range g.servers.byID {
		if probes[id] != 2 {
			t.Errorf("%d probes of %s, want 2 of each in 20", probes[id], id)
		}
	}
}

// A connection that failed is no restart where an answer on an older one, or to a probe sent
// at once, shows the process up. What failed before that is still in doubt.
func TestFailedConnectionIsChecked(t *testing.T) {
	fail := func(g *Engine, r *recorder, n int, at time.Duration) {
		r.actions = nil
		g.RequestReceived(at, newRequest(n, "unsafe", "rate", uint64(n)), r)
		g.AttemptCompleted(at, AttemptResult{ID: fmt.Sprint("r", n), Result: ConnectFailed, Server: "s0"}, r)
	}
	g, r := newEngine(t, healthCheckSettings(), testServers(1)...)
	s := g.servers.list[0]
	fail(g, r, 1, t0)
	if r.count("probe s0") != 1 || g.capacityFraction(s) == 1 {
		t.Errorf("%d probes sent, warmth %v after a failed connection", r.count("probe s0"), g.capacityFraction(s))
	}
	if g.HealthCheckCompleted(t0+5*ms, "s0", OK, nil, r); g.capacityFraction(s) != 1 {
		t.Error("cold though a probe sent at once was answered")
	}
	if fail(g, r, 2, t0+time.Second); r.count("probe s0") != 1 {
		t.Errorf("%d probes sent", r.count("probe s0"))
	}
	if g.HealthCheckCompleted(t0+time.Second, "s0", ConnectFailed, nil, r); g.capacityFraction(s) == 1 {
		t.Error("warm though the probe failed as well")
	}
	if g.HealthCheckCompleted(t0+2*time.Second, "s0", OK, nil, r); g.capacityFraction(s) == 1 {
		t.Error("warm after a later probe's answer: the process may have started since")
	}

	g, r = newEngine(t, testSettings(), testServers(1)...)
	s = g.servers.list[0]
	for i := range 2 * maxConnectFailures {
		s.recordConnectFailure(t0 + time.Duration(i+1)*ms)
	}
	g.now, g.actions = t0+time.Second, r
	g.recordLatency(0, s, ms) // its class is known
	q := &request{}
	g.updateHealth(q, s, AttemptResult{Result: OK, Latency: ms, ConnectedAt: t0 + 3*ms/2})
	if s.connectFailedAt != t0+ms {
		t.Errorf("in doubt since %v, want the failure before the connection was made", s.connectFailedAt-t0)
	}
	if g.updateHealth(q, s, AttemptResult{Result: OK, Latency: ms, ConnectedAt: t0 + ms/2}); s.connectFailedAt != 0 {
		t.Error("cold after an answer on a connection older than all failures")
	}
}

// One gateway that says that all servers are silent changes nothing. Two put no server out: a probe goes to each, and
// no more than half of the part is passed over for it.
func TestSuspicionNeedsTwoPeers(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.now = t0 + 10*time.Second
	say := func(from int, up bool) {
		for _, s := range g.servers.list {
			g.receiveFinding(from, serverFinding{serverID: s.gossipID, isUp: up})
		}
	}
	suspects := func() (n int) {
		for _, s := range g.subset.members {
			n += boolToInt(g.now < s.suspectedUntil)
			if s.isUnresponsive {
				t.Fatalf("%s counts as silent by hearsay", s.ID)
			}
		}
		return n
	}
	g.actions = r
	for range 5 {
		say(9, false)
	}
	if n := suspects(); n > 0 || r.count("probe") > 0 {
		t.Fatalf("one voice: %d servers in doubt, %d probes", n, r.count("probe"))
	}
	say(10, false)
	if n := suspects(); n == 0 || 2*n > len(g.subset.members)+1 || r.count("probe") == 0 {
		t.Fatalf("two voices: %d of %d servers in doubt, %d probes", n, len(g.subset.members), r.count("probe"))
	}
	for range 40 {
		if s := g.selectServer(&request{Request: Request{ID: "x"}}); s == nil || g.now < s.suspectedUntil {
			t.Fatalf("a server in doubt was chosen: %+v", s)
		}
	}
	for _, s := range g.subset.members {
		g.serverResponded(s)
	}
	if n := suspects(); n != 0 {
		t.Errorf("%d servers in doubt that have answered since", n)
	}
	g.now += 10 * time.Second
	say(9, false)
	if n := suspects(); n != 0 {
		t.Errorf("an old voice counted: %d servers in doubt", n)
	}
	for _, s := range g.subset.members {
		s.lastHeardAt = g.now - freshEvidenceAge/2
	}
	if say(10, false); suspects() != 0 {
		t.Error("peers count for more than what was heard a moment ago")
	}
}

// A zone that falls silent gets no more requests as soon as two of its servers have failed, though the gateway has met none of the others,
// and the bound counts without it; one answer from any of them brings it back.
func TestUnresponsiveZone(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.now = t0 + 10*time.Second
	g.actions = r
	var in [2][]*server
	for _, s := range g.subset.members {
		in[boolToInt(s.Zone == "b")] = append(in[boolToInt(s.Zone == "b")], s)
		g.serverResponded(s)
	}
	step := func(d time.Duration) {
		g.now += d
		g.serverResponded(in[0][0])
		g.runSample()
	}
	asked := func() (n int) {
		for range 100 {
			n += boolToInt(g.selectServer(&request{Request: Request{ID: "x"}}).Zone == "b")
		}
		return n
	}
	step(100 * ms)
	if asked() == 0 {
		t.Fatal("zone b gets no requests while all is well")
	}
	sent := g.now
	step(300 * ms)
	g.attemptUnanswered(in[1][0], sent)
	g.attemptUnanswered(in[1][0], sent)
	if step(100 * ms); asked() == 0 {
		t.Fatal("one silent server put its zone out")
	}
	g.attemptUnanswered(in[1][1], sent)
	if step(100 * ms); asked() > 0 {
		t.Errorf("%d of 100 requests go to a zone of which nothing is heard", asked())
	}
	want := 170 * float64(len(in[0])) / float64(len(g.subset.members))
	if _, n := g.reachableInFlight(); math.Abs(n-want) > 1e-9 {
		t.Errorf("%v servers in reach, want %v", n, want)
	}
	if step(5 * time.Second); asked() > 0 {
		t.Error("the zone is back by itself")
	}
	if g.serverResponded(in[1][2]); true {
		step(300 * ms)
	}
	if asked() == 0 {
		t.Error("the zone stays out though one of its servers has answered")
	}
	step(time.Second)
	for peer := range 3 {
		g.receiveFinding(peer+10, serverFinding{serverID: in[1][peer+3].gossipID})
	}
	if step(100 * ms); asked() > 0 {
		t.Error("what three peers say of a zone of which nothing is heard counts for nothing")
	}
}

// A silent server's turn to be probed comes earlier.
func TestUnresponsiveServersAreCheckedEarlier(t *testing.T) {
	g, r := newSubsetEngine(t)
	g.now, g.actions = t0+10*time.Second, r
	for _, s := range g.subset.members {
		s.lastHealthCheckAt = g.now - time.Second
	}
	g.subset.members[3].isUnresponsive, g.subset.members[3].lastHealthCheckAt = true, g.now-ms
	want := "probe " + g.subset.members[3].ID
	g.healthChecks.credit = 1
	g.runSample()
	if r.count(want) != 1 {
		t.Errorf("%v, want %s", r.actions, want)
	}
}
