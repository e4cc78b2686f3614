package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/internal/eventqueue"
)

// The rule checker: seeded random but valid sequences of events are passed to several engines, and their actions are
// checked against five rules. Results of attempts are drawn at random; the performance of servers is not modelled.
//
//  1. Each request gets exactly one final answer, in time, and is not sent to a server after it.
//  2. No request runs twice unless its class allows it. Otherwise, one that may have run is neither sent again nor
//     rejected, which would state to its client that a retry is safe. Without hedging, it has one attempt in flight.
//  3. No attempt is sent to a server later than DrainGracePeriod after it was reported to be draining.
//  4. All engines together send a cold server no more than it can take without being overloaded.
//  5. The units forwarded for a customer exceed its hard limit by no more than the slack.

// ruleAttempt is an attempt that an engine has sent.
type ruleAttempt struct {
	server        string
	sentAt        time.Duration
	isDone        bool
	neverExecuted bool
	endedAt       time.Duration
}

// ruleRequest is a request, its attempts and its final answers.
type ruleRequest struct {
	request         Request
	engine          int
	incarnation     int // incarnation of the engine that received it
	receivedAt      time.Duration
	attempts        []ruleAttempt
	finalAnswers    int
	engineRestarted bool
}

// referenceHardLimit is the token bucket of a customer's hard limit over all engines together, against which rule 5 is
// checked.
type referenceHardLimit struct {
	tokens     float64
	refilledAt time.Duration
}

// ruleChecker hosts several engines in simulated time and checks their actions.
type ruleChecker struct {
	t               *testing.T
	rng             *rand.Rand
	settings        Settings
	now             time.Duration
	queue           eventqueue.Queue
	events          int
	engines         []*Engine
	incarnations    []int
	requests        map[string]*ruleRequest
	servers         map[string]Server
	serverIDs       []string
	drainNotifiedAt []map[string]time.Duration // by engine: when it was notified that a server is draining
	bootedAt        map[string]time.Duration
	sendsTo         map[string][]time.Duration // times of the attempts sent to each server
	responsesOf     map[string][]time.Duration
	hardLimits      map[uint64]*referenceHardLimit
	gossipLoss      float64
	log             []string
	served          int
}

const serverRate = 40 // requests per second that a warm server answers; it rejects more

// ruleHost is the host of one process of an engine.
type ruleHost struct {
	checker     *ruleChecker
	engine      int
	incarnation int
}

func (c *ruleChecker) schedule(d time.Duration, run func()) {
	c.events++
	c.queue.Push(eventqueue.Event{At: c.now + max(d, ms), Order: c.events, Run: run})
}

func (c *ruleChecker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (h ruleHost) record(format string, args ...any) {
	h.checker.log = append(h.checker.log, fmt.Sprintf("%v %d ", h.checker.now, h.engine)+fmt.Sprintf(format, args...))
}

func (h ruleHost) SendAttempt(id, server string, timeout time.Duration) {
	checker := h.checker
	h.record("send %s %s %v", id, server, timeout)
	r := checker.requests[id]
	if r == nil || r.engine != h.engine {
		checker.fail("attempt of unknown request %s sent", id)
		return
	}
	if r.finalAnswers > 0 {
		checker.fail("rule 1: attempt of %s sent after its final answer", id)
	}
	checker.checkRetry(r, server)
	if at, ok := checker.drainNotifiedAt[h.engine][server]; ok && checker.now-at > checker.settings.DrainGracePeriod {
		checker.fail("rule 3: attempt sent to %s %v after its draining was reported", server, checker.now-at)
	}
	if len(r.attempts) == 0 {
		checker.chargeHardLimit(r.request)
	}
	checker.checkColdServer(server)
	res, took := checker.drawResult(server)
	limit := r.receivedAt + r.request.Timeout - checker.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if took > limit {
		res, took = TimedOut, limit
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, ruleAttempt{server: server, sentAt: checker.now})
	checker.schedule(took, func() { checker.completeAttempt(h, r, n, res) })
}

// classOf returns the class of a request.
func (c *ruleChecker) classOf(q Request) Class {
	for _, class := range c.settings.Classes {
		if class.Name == q.Class {
			return class
		}
	}
	return c.settings.Classes[0]
}

// checkRetry checks a further attempt against the earlier ones: rule 2.
func (c *ruleChecker) checkRetry(r *ruleRequest, server string) {
	id, class, inFlight := r.request.ID, c.classOf(r.request), 0
	for _, a := range r.attempts {
		if !a.isDone {
			inFlight++
		}
		if a.neverExecuted {
			continue
		}
		was, is := c.servers[a.server], c.servers[server]
		switch {
		case class.Idempotency == NonIdempotent:
			c.fail("rule 2: non-idempotent %s sent again", id)
		case class.Idempotency == IdempotentWithKey && c.now-a.sentAt > class.DedupWindow:
			c.fail("rule 2: keyed %s sent again after %v, past its deduplication window", id, c.now-a.sentAt)
		case class.Idempotency == IdempotentWithKey && class.DedupScope == DedupZone && was.Zone != is.Zone,
			class.Idempotency == IdempotentWithKey && class.DedupScope == DedupCell && was.Cell != is.Cell:
			c.fail("rule 2: keyed %s sent again outside its deduplication scope", id)
		}
	}
	if inFlight > 0 && !c.settings.AllowsHedging {
		c.fail("rule 2: %s has two attempts in flight", id)
	}
}

// drawResult draws the result of an attempt at a server and its latency.
func (c *ruleChecker) drawResult(server string) (Result, time.Duration) {
	took := time.Duration(c.rng.ExpFloat64() * float64(60*ms))
	res := OK
	switch c.rng.IntN(24) {
	case 0:
		res = ErrorResponse
	case 1:
		res, took = RejectedByServer, ms
	case 2:
		res = ConnectionReset
	case 3:
		res, took = ConnectFailed, 50*ms
	case 4:
		took = time.Hour
	}
	if c.isOverRate(server) {
		res, took = RejectedByServer, ms
	}
	return res, took
}

// isOverRate reports whether a server has answered as many requests in the last second as it can.
func (c *ruleChecker) isOverRate(server string) bool {
	n := 0
	for _, at := range c.responsesOf[server] {
		if c.now-at < time.Second {
			n++
		}
	}
	return n >= serverRate
}

func (c *ruleChecker) completeAttempt(host ruleHost, r *ruleRequest, n int, res Result) {
	a := &r.attempts[n]
	if a.isDone {
		return
	}
	a.isDone, a.endedAt = true, c.now
	a.neverExecuted = res == RejectedByServer || res == ConnectFailed || res == NotSent
	if res == OK {
		c.responsesOf[a.server] = append(c.responsesOf[a.server], c.now)
		if r.finalAnswers == 0 {
			r.finalAnswers++
			c.served++
		}
	}
	if r.engineRestarted || c.incarnations[host.engine] != host.incarnation {
		return
	}
	result := AttemptResult{ID: r.request.ID, Attempt: n, RequestAnswered: r.finalAnswers > 0, Result: res,
		Server: a.server, Latency: c.now - a.sentAt}
	c.engines[host.engine].AttemptCompleted(c.now, result, host)
}

// chargeHardLimit charges a request's first attempt to its customer's hard limit, and checks rule 5.
func (c *ruleChecker) chargeHardLimit(q Request) {
	p := c.settings.Plans[0]
	if q.Plan != p.Name {
		return
	}
	s := c.hardLimits[q.Customer]
	if s == nil {
		s = &referenceHardLimit{p.HardLimitBurst, 0}
		c.hardLimits[q.Customer] = s
	}
	s.tokens = math.Min(p.HardLimitBurst, s.tokens+p.HardLimitRate*(c.now-s.refilledAt).Seconds()) - q.Units
	s.refilledAt = c.now
	if s.tokens < -p.HardLimitSlack-1e-6 {
		c.fail("rule 5: hard limit of customer %d exceeded: %.2f tokens left", q.Customer, s.tokens)
	}
}

// checkColdServer checks the number of attempts that all engines send to a cold server in any window: rule 4.
func (c *ruleChecker) checkColdServer(server string) {
	c.sendsTo[server] = append(c.sendsTo[server], c.now)
	boot, ok := c.bootedAt[server]
	if !ok || c.now-boot >= c.settings.SlowStartWindow {
		return
	}
	age := (c.now - boot).Seconds() / c.settings.SlowStartWindow.Seconds()
	capacity := c.settings.SlowStartMinFraction + (1-c.settings.SlowStartMinFraction)*age
	n := 0.0
	for _, at := range c.sendsTo[server] {
		if at >= boot && c.now-at <= c.settings.ColdOverloadWindow {
			n++
		}
	}
	if n > c.settings.ColdOverloadMultiple*capacity*serverRate*c.settings.ColdOverloadWindow.Seconds() {
		c.fail("rule 4: %v attempts in %v sent to cold server %s with %.2f of its capacity",
			n, c.settings.ColdOverloadWindow, server, capacity)
	}
}

func (h ruleHost) recordFinalAnswer(id, action string) *ruleRequest {
	r := h.checker.requests[id]
	h.record("%s %s", action, id)
	if r == nil || r.engine != h.engine {
		h.checker.fail("final answer to unknown request %s", id)
		return nil
	}
	if r.finalAnswers > 0 {
		h.checker.fail("rule 1: second final answer to %s", id)
	}
	if h.checker.now > r.receivedAt+r.request.Timeout+h.checker.settings.ResponseSlack {
		h.checker.fail("rule 1: final answer to %s is late", id)
	}
	r.finalAnswers++
	return r
}

func (h ruleHost) RejectRequest(id string, _ time.Duration) {
	r := h.recordFinalAnswer(id, "reject")
	if r == nil {
		return
	}
	for _, c := range h.checker.settings.Classes {
		isHarmless := c.Idempotency == Idempotent ||
			c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAllServers
		if c.Name != r.request.Class || isHarmless {
			continue
		}
		for _, a := range r.attempts {
			if !a.neverExecuted {
				h.checker.fail("rule 2: %s rejected although it may have run", id)
			}
		}
	}
}

func (h ruleHost) FailRequest(id string) { h.recordFinalAnswer(id, "fail") }

func (h ruleHost) CancelAttempt(id string, n int) {
	h.record("cancel %s %d", id, n)
	r := h.checker.requests[id]
	h.checker.schedule(ms, func() { h.checker.completeAttempt(h, r, n, Cancelled) })
}

func (h ruleHost) SetTimer(token uint64, d time.Duration) {
	h.checker.schedule(d, func() {
		if h.checker.incarnations[h.engine] == h.incarnation {
			h.checker.engines[h.engine].TimerFired(h.checker.now, token, h)
		}
	})
}

func (h ruleHost) CheckHealth(string) {}

func (h ruleHost) SendGossip(to int, m []byte) {
	if len(m) > 256 {
		h.checker.fail("gossip message has %d bytes, want at most 256", len(m))
	}
	b := append([]byte(nil), m...)
	h.record("tell %d %x", to, b)
	for k := h.checker.rng.IntN(2); k >= 0; k-- { // some are delivered twice
		if h.checker.rng.Float64() < h.checker.gossipLoss {
			continue
		}
		h.checker.schedule(time.Duration(h.checker.rng.IntN(150))*ms, func() {
			h.checker.engines[to].GossipReceived(
				h.checker.now, h.engine, b, ruleHost{h.checker, to, h.checker.incarnations[to]},
			)
		})
	}
}

func (h ruleHost) WatchEndpoints(bool) {}

func (h ruleHost) Log(LogEvent) {}

func (c *ruleChecker) startEngine(i int) {
	c.incarnations[i]++
	for _, r := range c.requests {
		if r.engine == i && r.finalAnswers == 0 {
			r.engineRestarted = true
		}
	}
	s := c.settings
	s.InstanceIndex = i
	e, err := New(s, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	c.engines[i] = e
	host := ruleHost{c, i, c.incarnations[i]}
	e.Start(c.now, host)
	c.sendEndpoints(i, EndpointsSaved, c.serverIDs...)
}

func (c *ruleChecker) sendEndpoints(i int, kind EndpointUpdateKind, ids ...string) {
	var list []Server
	for _, id := range ids {
		s := c.servers[id]
		list = append(list, s)
		if s.State == Up {
			delete(c.drainNotifiedAt[i], id)
		} else if _, ok := c.drainNotifiedAt[i][id]; !ok {
			c.drainNotifiedAt[i][id] = c.now
		}
	}
	c.engines[i].EndpointsChanged(c.now, kind, list, ruleHost{c, i, c.incarnations[i]})
}
