package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
)

// A refused connection ejects a server at once, and for longer each time. A good response resets the count of
// ejections.
func TestEjectionTimeDoubles(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(2)...)
	s := e.servers.byID["s0"]
	q := &request{}
	var last time.Duration
	for i := 1; i <= 6; i++ {
		e.now = s.ejectedUntil
		if i == 1 {
			e.now = t0
		}
		e.actions = r
		e.learnFromAttempt(q, s, AttemptResult{Result: ConnectFailed})
		span := s.ejectedUntil - e.now
		if span <= last && span != maxEjectionTime {
			t.Errorf("ejection %d lasts %v, want longer than the previous %v", i, span, last)
		}
		last = span
	}
	e.learnFromAttempt(q, s, AttemptResult{Result: OK, Latency: ms})
	if s.consecutiveEjections != 0 {
		t.Errorf("got %d consecutive ejections after a good response, want 0", s.consecutiveEjections)
	}
}

// A server that has left a health check and everything since unanswered gets no request until it responds to a health
// check. A response received after the check was sent shows that the server is up.
func TestUnresponsiveServerGetsNoRequestsUntilItResponds(t *testing.T) {
	e, r := newEngine(t, healthCheckSettings(), testServers(2)...)
	s, now := e.servers.byID["s0"], t0
	sentTo := func(id string) (n int) {
		for i := range 30 {
			now += 50 * ms
			r.actions = nil
			e.RequestReceived(now, newRequest(int(now/ms), "safe", "rate", uint64(i)), r)
			n += r.count(fmt.Sprintf("send r%d %s", now/ms, id))
			completeAttempts(e, r, now, ms, OK)
		}
		return n
	}
	s.lastHealthCheckAt = now
	e.HealthCheckCompleted(now+ms, "s0", TimedOut, nil, r)
	if n := sentTo("s0"); n != 0 {
		t.Errorf("got %d requests sent to an unresponsive server, want 0", n)
	}
	e.HealthCheckCompleted(now, "s0", OK, nil, r)
	if n := sentTo("s0"); n == 0 {
		t.Error("no request sent to a server that responds again")
	}
	e.RequestReceived(now+ms, newRequest(1, "safe", "rate", 9), r)
	s.lastHealthCheckAt, s.lastResponseAt = now, now+ms
	e.HealthCheckCompleted(now+2*ms, "s0", TimedOut, nil, r)
	if s.isUnresponsive {
		t.Error("a server that has responded since the health check counts as unresponsive")
	}
	// A restarted server does not count as unresponsive either.
	s.isUnresponsive = true
	e.EndpointsChanged(now, EndpointsDelta, []Server{{ID: "s0", Kind: "k", Zone: "a", StartedAt: now}}, r)
	if s.isUnresponsive {
		t.Error("a restarted server counts as unresponsive")
	}
}

// Health checks are sent to all servers in turn, although server selection shuffles the servers.
func TestHealthChecksRotate(t *testing.T) {
	e, r := newEngine(t, healthCheckSettings(), testServers(10)...)
	checks := map[string]int{}
	for i := range 200 {
		now := t0 + time.Duration(i)*5*ms
		e.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		completeAttempts(e, r, now, ms, OK)
		if i%10 == 9 {
			setFleetMean(e, overload.MeanAccepted, 2)
			e.TimerFired(now, timerToken(timerSample, 0), r)
			for id := range e.servers.byID {
				checks[id] += r.count("check " + id)
			}
			r.actions = nil
		}
	}
	for id := range e.servers.byID {
		if checks[id] != 2 {
			t.Errorf("got %d health checks of %s, want 2 of each server in 20", checks[id], id)
		}
	}
}

// failConnection passes a request to an engine whose only server then refuses the connection.
func failConnection(e *Engine, r *recorder, n int, at time.Duration) {
	r.actions = nil
	e.RequestReceived(at, newRequest(n, "unsafe", "rate", uint64(n)), r)
	e.AttemptCompleted(at, AttemptResult{ID: fmt.Sprint("r", n), Result: ConnectFailed, Server: "s0"}, r)
}

// A failed connection is no sign of a restart if a health check sent at once is answered, which shows that the process
// is up.
func TestFailedConnectionIsChecked(t *testing.T) {
	e, r := newEngine(t, healthCheckSettings(), testServers(1)...)
	s := e.servers.list[0]
	isCold := func() bool { return s.capacityFraction(e.now, &e.settings) < 1 }
	failConnection(e, r, 1, t0)
	if r.count("check s0") != 1 || !isCold() {
		t.Errorf("after a failed connection: got %d health checks and cold %v, want 1 and true",
			r.count("check s0"), isCold())
	}
	e.HealthCheckCompleted(t0+5*ms, "s0", OK, nil, r)
	if isCold() {
		t.Error("server is cold although a health check sent at once was answered")
	}
	failConnection(e, r, 2, t0+time.Second)
	if r.count("check s0") != 1 {
		t.Errorf("after a second failed connection: got %d health checks, want 1", r.count("check s0"))
	}
	e.HealthCheckCompleted(t0+time.Second, "s0", ConnectFailed, nil, r)
	if !isCold() {
		t.Error("server is warm although the health check failed as well")
	}
	e.HealthCheckCompleted(t0+2*time.Second, "s0", OK, nil, r)
	if !isCold() {
		t.Error("server is warm after a later health check was answered, although the process may have started since")
	}
}

// The result of a health check that was sent before a connection failed neither shows that the process has been running
// since, nor ends the wait for the result of the check that the failed connection caused.
func TestEarlierHealthCheckDoesNotClearFailures(t *testing.T) {
	for _, earlier := range []Result{OK, TimedOut} {
		t.Run(earlier.String(), func(t *testing.T) {
			e, r := newEngine(t, healthCheckSettings(), testServers(1)...)
			s := e.servers.list[0]
			isCold := func() bool { return s.capacityFraction(e.now, &e.settings) < 1 }
			e.healthChecks.send(t0-20*ms, s, r)
			failConnection(e, r, 1, t0)
			e.HealthCheckCompleted(t0+5*ms, "s0", earlier, nil, r)
			if !isCold() {
				t.Error("server is warm after the result of a check that was sent before the connection failed")
			}
			e.HealthCheckCompleted(t0+10*ms, "s0", OK, nil, r)
			if isCold() {
				t.Error("server is cold although the check that was sent at once was answered")
			}
		})
	}
}

// A health check whose result is lost neither takes the result of a later check, nor keeps a later failed connection
// from causing a check.
func TestLostHealthCheckResult(t *testing.T) {
	e, r := newEngine(t, healthCheckSettings(), testServers(1)...)
	s := e.servers.list[0]
	if !e.failures.recordConnectFailure(t0, s) {
		t.Fatal("a failed connection needs no health check")
	}
	e.healthChecks.sendForFailedConnect(t0, s, r)
	if e.failures.recordConnectFailure(t0+healthCheckExpiry-ms, s) {
		t.Error("a failed connection needs a health check while the result of an earlier one is due")
	}
	failedAt := t0 + healthCheckExpiry
	if !e.failures.recordConnectFailure(failedAt, s) {
		t.Error("a failed connection needs no health check after the result of an earlier one was lost")
	}
	e.healthChecks.sendForFailedConnect(failedAt, s, r)
	e.HealthCheckCompleted(failedAt+5*ms, "s0", OK, nil, r)
	if want := []time.Duration{t0, failedAt - ms}; !slices.Equal(s.connectFailures, want) {
		t.Errorf("failed connections after the response: got %v, want those before its check, %v",
			s.connectFailures, want)
	}
	if len(s.checksInFlight) != 0 {
		t.Errorf("got %d health checks in flight, want 0", len(s.checksInFlight))
	}
}

// A response on a connection that was established before a failed connection shows that the process was up. Connections
// that failed before it was established still count as a sign of a restart.
func TestResponseOnOlderConnectionClearsFailures(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(1)...)
	s := e.servers.list[0]
	for i := range 2 * maxConnectFailures {
		s.recordConnectFailure(t0 + time.Duration(i+1)*ms)
	}
	e.now, e.actions = t0+time.Second, r
	e.occupancy.recordLatency(e.now, s, 0, ms) // so that the latency of the class is known
	q := &request{}
	e.learnFromAttempt(q, s, AttemptResult{Result: OK, Latency: ms, ConnectedAt: t0 + 3*ms/2})
	if s.connectFailedAt != t0+ms {
		t.Errorf("got last failed connection at %v, want 1ms, before the response's connection", s.connectFailedAt-t0)
	}
	e.learnFromAttempt(q, s, AttemptResult{Result: OK, Latency: ms, ConnectedAt: t0 + ms/2})
	if s.connectFailedAt != 0 {
		t.Error("server is cold after a response on a connection older than all failures")
	}
}

// At its limit, the record of failed connections has the first one and the latest. A response on a connection that was
// established among the latest leaves the last failure before it.
func TestLatestConnectFailuresAreKept(t *testing.T) {
	s := newServer("s0")
	for i := range 2 * maxConnectFailures {
		s.recordConnectFailure(t0 + time.Duration(i)*ms)
	}
	want := []time.Duration{t0}
	for i := maxConnectFailures + 1; i < 2*maxConnectFailures; i++ {
		want = append(want, t0+time.Duration(i)*ms)
	}
	if !slices.Equal(s.connectFailures, want) {
		t.Errorf("failed connections: got %v, want %v", s.connectFailures, want)
	}
	upSince := t0 + (2*maxConnectFailures-4)*ms
	s.clearConnectFailuresSince(upSince)
	if s.connectFailedAt != upSince-ms {
		t.Errorf("last failed connection: got %v, want %v", s.connectFailedAt, upSince-ms)
	}
}

// receiveDownFindings passes a peer's findings that all servers are unresponsive to an engine.
func receiveDownFindings(e *Engine, from int) {
	for _, s := range e.servers.list {
		receiveFinding(e, from, quota.Finding{ServerID: s.gossipID})
	}
}

// countSuspected returns how many members of the subset are suspected. It fails the test if any counts as unresponsive.
func countSuspected(t *testing.T, e *Engine) (suspected int) {
	t.Helper()
	for _, s := range e.subset.members {
		suspected += boolToInt(e.now < s.suspectedUntil)
		if s.isUnresponsive {
			t.Fatalf("server %s counts as unresponsive by suspicion alone", s.ID)
		}
	}
	return suspected
}

// The findings of one peer that all servers are unresponsive have no effect. Those of two peers make no server
// unresponsive: each server is checked, and at most half of the subset is suspected and avoided.
func TestSuspicionNeedsTwoPeers(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0+10*time.Second, r
	for range 5 {
		receiveDownFindings(e, 9)
	}
	if n := countSuspected(t, e); n > 0 || r.count("check") > 0 {
		t.Fatalf("findings of one peer: got %d servers suspected and %d health checks, want none", n, r.count("check"))
	}
	receiveDownFindings(e, 10)
	if n := countSuspected(t, e); n == 0 || 2*n > len(e.subset.members)+1 || r.count("check") == 0 {
		t.Fatalf(
			"findings of two peers: got %d of %d servers suspected and %d health checks, want up to half",
			n, len(e.subset.members), r.count("check"),
		)
	}
	for range 40 {
		s := e.selector.selectServer(e.now, &request{Request: Request{ID: "x"}})
		if s == nil || e.now < s.suspectedUntil {
			t.Fatalf("got server %+v, want one that is not suspected", s)
		}
	}
	for _, s := range e.subset.members {
		e.failures.recordResponse(e.now, s)
	}
	if n := countSuspected(t, e); n != 0 {
		t.Errorf("got %d suspected servers after all have responded, want 0", n)
	}
}

// Findings of peers that may be about another server with the same ID in findings make no server suspected. The server
// is checked, so that this node gets evidence of its own.
func TestAmbiguousFindingsSuspectNoServer(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0+10*time.Second, r
	member := e.subset.members[0]
	outside := e.servers.list[slices.IndexFunc(e.servers.list, func(s *server) bool { return !s.inSubset })]
	outside.gossipID = member.gossipID
	for _, peer := range []int{9, 10} {
		receiveFinding(e, peer, quota.Finding{ServerID: outside.gossipID})
	}
	if member.isSuspected(e.now) {
		t.Errorf("server %s is suspected by findings that may be about %s", member.ID, outside.ID)
	}
	if want := "check " + member.ID; r.count(want) != 1 {
		t.Errorf("got actions %v, want %s", r.actions, want)
	}
}

// Old findings of peers do not count, and findings of peers count for less than a response received a moment ago.
func TestSuspicionYieldsToEvidence(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0+10*time.Second, r
	receiveDownFindings(e, 10)
	e.now += 10 * time.Second
	receiveDownFindings(e, 9)
	if n := countSuspected(t, e); n != 0 {
		t.Errorf("got %d servers suspected by an old finding, want 0", n)
	}
	for _, s := range e.subset.members {
		s.lastResponseAt = e.now - freshEvidenceAge/2
	}
	receiveDownFindings(e, 10)
	if countSuspected(t, e) != 0 {
		t.Error("servers that have just responded are suspected")
	}
}

// twoZones is an engine with a subset of servers in the zones a and b, all of which have just responded.
type twoZones struct {
	*Engine
	a, b []*server // members of the subset
}

func newTwoZones(t *testing.T) *twoZones {
	t.Helper()
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0+10*time.Second, r
	z := &twoZones{Engine: e}
	for _, s := range e.subset.members {
		if s.Zone == "b" {
			z.b = append(z.b, s)
		} else {
			z.a = append(z.a, s)
		}
		e.failures.recordResponse(e.now, s)
	}
	z.advance(100 * ms)
	return z
}

// advance advances the time, records a response of zone a, and closes a sample.
func (z *twoZones) advance(d time.Duration) {
	z.now += d
	z.failures.recordResponse(z.now, z.a[0])
	z.closeSample()
}

// countRequestsToB returns how many of 100 requests would be sent to zone b.
func (z *twoZones) countRequestsToB() (n int) {
	for range 100 {
		n += boolToInt(z.selector.selectServer(z.now, &request{Request: Request{ID: "x"}}).Zone == "b")
	}
	return n
}

// failTwoServersOfB makes two servers of zone b leave unanswered what was sent to them.
func (z *twoZones) failTwoServersOfB() {
	sent := z.now
	z.advance(300 * ms)
	z.failures.recordNoResponse(z.now, z.b[0], sent)
	z.failures.recordNoResponse(z.now, z.b[1], sent)
	z.advance(100 * ms)
}

// One unresponsive server does not make its zone unresponsive, however often it fails.
func TestOneUnresponsiveServerIsNotAZoneFailure(t *testing.T) {
	z := newTwoZones(t)
	if z.countRequestsToB() == 0 {
		t.Fatal("zone b gets no requests while all servers respond")
	}
	sent := z.now
	z.advance(300 * ms)
	z.failures.recordNoResponse(z.now, z.b[0], sent)
	z.failures.recordNoResponse(z.now, z.b[0], sent)
	z.advance(100 * ms)
	if z.countRequestsToB() == 0 {
		t.Fatal("one unresponsive server made its zone unresponsive")
	}
}

// A zone is unresponsive as soon as two of its servers have failed: it gets no more requests, although nothing was sent
// to its other servers, and does not count in the bound on work in flight. One response of any of its servers ends
// that.
func TestUnresponsiveZone(t *testing.T) {
	z := newTwoZones(t)
	z.failTwoServersOfB()
	if n := z.countRequestsToB(); n > 0 {
		t.Errorf("got %d of 100 requests sent to an unresponsive zone, want 0", n)
	}
	want := 170 * float64(len(z.a)) / float64(len(z.subset.members))
	if _, n := z.load.reachableInFlight(z.now, z.servers.list, &z.settings); math.Abs(n-want) > 1e-9 {
		t.Errorf("got %v reachable servers, want %v", n, want)
	}
	z.advance(5 * time.Second)
	if z.countRequestsToB() > 0 {
		t.Error("the unresponsive zone gets requests again without a response")
	}
	z.failures.recordResponse(z.now, z.b[2])
	z.advance(300 * ms)
	if z.countRequestsToB() == 0 {
		t.Error("the zone gets no requests although one of its servers has responded")
	}
}

// The findings of three peers make a zone unresponsive although this node has no evidence of its own.
func TestPeersFindUnresponsiveZone(t *testing.T) {
	z := newTwoZones(t)
	z.advance(time.Second)
	for peer := range 3 {
		receiveFinding(z.Engine, peer+10, quota.Finding{ServerID: z.b[peer+3].gossipID})
	}
	z.advance(100 * ms)
	if z.countRequestsToB() > 0 {
		t.Error("the zone gets requests despite the findings of three peers")
	}
}

// The next health check of an unresponsive server is due earlier.
func TestUnresponsiveServersAreCheckedEarlier(t *testing.T) {
	e, r := newSubsetEngine(t)
	e.now, e.actions = t0+10*time.Second, r
	for _, s := range e.subset.members {
		s.lastHealthCheckAt = e.now - time.Second
	}
	e.subset.members[3].isUnresponsive, e.subset.members[3].lastHealthCheckAt = true, e.now-ms
	want := "check " + e.subset.members[3].ID
	e.healthChecks.credit = 1
	e.closeSample()
	if r.count(want) != 1 {
		t.Errorf("got actions %v, want %s", r.actions, want)
	}
}

// receiveFinding passes a finding of a peer to an engine, and sends the health checks that follow from it.
func receiveFinding(e *Engine, from int, finding quota.Finding) {
	for _, s := range e.failures.receiveFinding(e.now, from, finding) {
		e.healthChecks.send(e.now, s, e.actions)
	}
}

// setFleetMean sets one of the fleet's means of an engine.
func setFleetMean(e *Engine, mean int, value float64) {
	state := e.overload.State()
	state.FleetMeans[mean] = value
	e.overload.Restore(state)
}
