package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The rule checker: seeded random legal sequences drive several gateways, and
// what they do is held against the text of the five rules. Outcomes are drawn
// at random; there is no model of how servers perform.

type ruleAttempt struct {
	server        string
	sentAt        time.Duration
	isDone        bool
	neverExecuted bool
	timeout       time.Duration
	endedAt       time.Duration
}

type ruleRequest struct {
	request      Request
	engine       int
	incarnation  int // incarnation of the gateway
	receivedAt   time.Duration
	attempts     []ruleAttempt
	finalAnswers int
	isKilled     bool
}

type trueHardLimit struct {
	tokens     float64
	refilledAt time.Duration
}

type ruleChecker struct {
	t               *testing.T
	rng             *rand.Rand
	settings        Settings
	now             time.Duration
	queue           simQueue
	events          int
	engines         []*Engine
	incarnations    []int
	requests        map[string]*ruleRequest
	servers         map[string]Server
	serverIDs       []string
	drainNotifiedAt []map[string]time.Duration // per gateway: when a server was told not to take work
	bootedAt        map[string]time.Duration
	sendsTo         map[string][]time.Duration // to each server
	responsesOf     map[string][]time.Duration
	hardLimits      map[uint64]*trueHardLimit
	loss            float64
	log             []string
	served          int
}

const serverRate = 40 // requests a second that a warm server answers; more is turned away as Full

type ruleHost struct {
	checker     *ruleChecker
	engine      int
	incarnation int
}

func (w *ruleChecker) after(d time.Duration, run func()) {
	w.events++
	heap.Push(&w.queue, simEvent{w.now + max(d, ms), w.events, run})
}

func (w *ruleChecker) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func (p ruleHost) record(format string, args ...any) {
	p.checker.log = append(p.checker.log, fmt.Sprintf("%v %d ", p.checker.now, p.engine)+fmt.Sprintf(format, args...))
}

func (p ruleHost) SendAttempt(id, server string, timeout time.Duration) {
	w := p.checker
	p.record("send %s %s %v", id, server, timeout)
	r := w.requests[id]
	if r == nil || r.engine != p.engine {
		w.fail("send of unknown request %s", id)
		return
	}
	if r.finalAnswers > 0 {
		w.fail("rule 1: %s sent after its final answer", id)
	}
	c := w.settings.Classes[0]
	for _, k := range w.settings.Classes {
		if k.Name == r.request.Class {
			c = k
		}
	}
	out := 0
	for _, a := range r.attempts {
		if !a.isDone {
			out++
		}
		if a.neverExecuted {
			continue
		}
		was, is := w.servers[a.server], w.servers[server]
		switch {
		case c.Idempotency == NonIdempotent:
			w.fail("rule 2: unsafe %s sent again", id)
		case c.Idempotency == IdempotentWithKey && w.now-a.sentAt > c.DedupWindow:
			w.fail("rule 2: keyed %s sent again after %v", id, w.now-a.sentAt)
		case c.Idempotency == IdempotentWithKey && c.DedupScope == DedupZone && was.Zone != is.Zone,
			c.Idempotency == IdempotentWithKey && c.DedupScope == DedupCell && was.Cell != is.Cell:
			w.fail("rule 2: keyed %s sent outside its group", id)
		}
	}
	if out > 0 && !w.settings.AllowsHedging {
		w.fail("rule 2: %s has two attempts out", id)
	}
	if at, ok := w.drainNotifiedAt[p.engine][server]; ok && w.now-at > w.settings.DrainGracePeriod {
		w.fail("rule 3: send to %s %v after its drain was told", server, w.now-at)
	}
	if len(r.attempts) == 0 {
		w.chargeHardLimit(r.request)
	}
	w.checkCold(server)
	n := len(r.attempts)
	end := r.receivedAt + r.request.Timeout
	took := time.Duration(w.rng.ExpFloat64() * float64(60*ms))
	res := OK
	switch w.rng.IntN(24) {
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
	if w.isOverRate(server) {
		res, took = RejectedByServer, ms
	}
	limit := end - w.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if took > limit {
		res, took = TimedOut, limit
	}
	r.attempts = append(r.attempts, ruleAttempt{server: server, sentAt: w.now})
	w.after(took, func() { w.finish(p, r, n, res) })
}

func (w *ruleChecker) isOverRate(server string) bool {
	n := 0
	for _, at := range w.responsesOf[server] {
		if w.now-at < time.Second {
			n++
		}
	}
	return n >= serverRate
}

func (w *ruleChecker) finish(p ruleHost, r *ruleRequest, n int, res Result) {
	a := &r.attempts[n]
	if a.isDone {
		return
	}
	a.isDone, a.neverExecuted, a.endedAt = true, res == RejectedByServer || res == ConnectFailed || res == NotSent, w.now
	if res == OK {
		w.responsesOf[a.server] = append(w.responsesOf[a.server], w.now)
		if r.finalAnswers == 0 {
			r.finalAnswers++
			w.served++
		}
	}
	if r.isKilled || w.incarnations[p.engine] != p.incarnation {
		return
	}
	o := AttemptResult{ID: r.request.ID, Attempt: n, RequestAnswered: r.finalAnswers > 0, Result: res, Server: a.server, Latency: w.now - a.sentAt}
	w.engines[p.engine].AttemptCompleted(w.now, o, p)
}

// chargeHardLimit takes the first send of a try from its customer's ceiling: rule 5.
func (w *ruleChecker) chargeHardLimit(q Request) {
	p := w.settings.Plans[0]
	if q.Plan != p.Name {
		return
	}
	s := w.hardLimits[q.Customer]
	if s == nil {
		s = &trueHardLimit{p.HardLimitBurst, 0}
		w.hardLimits[q.Customer] = s
	}
	s.tokens = math.Min(p.HardLimitBurst, s.tokens+p.HardLimitRate*(w.now-s.refilledAt).Seconds()) - q.Units
	s.refilledAt = w.now
	if s.tokens < -p.HardLimitSlack-1e-6 {
		w.fail("rule 5: ceiling of customer %d at %.2f", q.Customer, s.tokens)
	}
}

// checkCold counts what all gateways send a cold server in any window: rule 4.
func (w *ruleChecker) checkCold(server string) {
	w.sendsTo[server] = append(w.sendsTo[server], w.now)
	boot, ok := w.bootedAt[server]
	if !ok || w.now-boot >= w.settings.SlowStartWindow {
		return
	}
	age := (w.now - boot).Seconds() / w.settings.SlowStartWindow.Seconds()
	share := w.settings.SlowStartMinFraction + (1-w.settings.SlowStartMinFraction)*age
	n := 0.0
	for _, at := range w.sendsTo[server] {
		if at >= boot && w.now-at <= w.settings.ColdOverloadWindow {
			n++
		}
	}
	if n > w.settings.ColdOverloadMultiple*share*serverRate*w.settings.ColdOverloadWindow.Seconds() {
		w.fail("rule 4: %v sends in %v to cold %s at %.2f", n, w.settings.ColdOverloadWindow, server, share)
	}
}

func (p ruleHost) finalAnswer(id, how string) *ruleRequest {
	r := p.checker.requests[id]
	p.record("%s %s", how, id)
	if r == nil || r.engine != p.engine {
		p.checker.fail("answer to unknown request %s", id)
		return nil
	}
	if r.finalAnswers > 0 {
		p.checker.fail("rule 1: second answer to %s", id)
	}
	if p.checker.now > r.receivedAt+r.request.Timeout+p.checker.settings.ResponseSlack {
		p.checker.fail("rule 1: answer to %s late", id)
	}
	r.finalAnswers++
	return r
}

func (p ruleHost) RejectRequest(id string, _ time.Duration) {
	r := p.finalAnswer(id, "refuse")
	if r == nil {
		return
	}
	for _, c := range p.checker.settings.Classes {
		if c.Name != r.request.Class || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAllServers {
			continue
		}
		for _, a := range r.attempts {
			if !a.neverExecuted {
				p.checker.fail("rule 2: %s refused though it may have run", id)
			}
		}
	}
}

func (p ruleHost) FailRequest(id string) { p.finalAnswer(id, "fail") }

func (p ruleHost) CancelAttempt(id string, n int) {
	p.record("cancel %s %d", id, n)
	r := p.checker.requests[id]
	p.checker.after(ms, func() { p.checker.finish(p, r, n, Cancelled) })
}

func (p ruleHost) SetTimer(token uint64, d time.Duration) {
	p.checker.after(d, func() {
		if p.checker.incarnations[p.engine] == p.incarnation {
			p.checker.engines[p.engine].TimerFired(p.checker.now, token, p)
		}
	})
}

func (p ruleHost) CheckHealth(string) {}

func (p ruleHost) SendGossip(to int, m []byte) {
	if len(m) > 256 {
		p.checker.fail("message of %d bytes", len(m))
	}
	b := append([]byte(nil), m...)
	p.record("tell %d %x", to, b)
	for k := p.checker.rng.IntN(2); k >= 0; k-- { // some come twice
		if p.checker.rng.Float64() < p.checker.loss {
			continue
		}
		p.checker.after(time.Duration(p.checker.rng.IntN(150))*ms, func() {
			p.checker.engines[to].GossipReceived(p.checker.now, p.engine, b, ruleHost{p.checker, to, p.checker.incarnations[to]})
		})
	}
}

func (p ruleHost) WatchEndpoints(bool) {}
func (p ruleHost) Log(string)          {}

func (w *ruleChecker) start(i int) {
	w.incarnations[i]++
	for _, r := range w.requests {
		if r.engine == i && r.finalAnswers == 0 {
			r.isKilled = true
		}
	}
	s := w.settings
	s.InstanceIndex = i
	g, err := New(s, w.rng.Uint64())
	if err != nil {
		w.t.Fatal(err)
	}
	w.engines[i] = g
	p := ruleHost{w, i, w.incarnations[i]}
	g.Start(w.now, p)
	w.sendEndpoints(i, EndpointsSaved, w.serverIDs...)
}

func (w *ruleChecker) sendEndpoints(i int, form EndpointUpdateKind, ids ...string) {
	var list []Server
	for _, id := range ids {
		s := w.servers[id]
		list = append(list, s)
		if s.State == Up {
			delete(w.drainNotifiedAt[i], id)
		} else if _, ok := w.drainNotifiedAt[i][id]; !ok {
			w.drainNotifiedAt[i][id] = w.now
		}
	}
	w.engines[i].EndpointsChanged(w.now, form, list, ruleHost{w, i, w.incarnations[i]})
}

// runRandomSequence runs one random sequence on so many gateways and returns the gateways' actions.
func runRandomSequence(t *testing.T, seed uint64, parallel bool, group DedupScope, loss float64, gates int) *ruleChecker {
	w := &ruleChecker{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[string]*ruleRequest{}, servers: map[string]Server{},
		bootedAt: map[string]time.Duration{}, sendsTo: map[string][]time.Duration{}, responsesOf: map[string][]time.Duration{},
		hardLimits: map[uint64]*trueHardLimit{}, loss: loss}
	w.settings = testSettings()
	w.settings.InstanceCount, w.settings.AllowsHedging = gates, parallel
	w.settings.Classes[1].DedupScope = group
	w.engines, w.incarnations = make([]*Engine, gates), make([]int, gates)
	for i := 0; i < 8; i++ {
		id := fmt.Sprintf("s%d", i)
		w.serverIDs = append(w.serverIDs, id)
		w.servers[id] = Server{ID: id, Kind: "k", Zone: []string{"a", "b"}[i%2], Cell: i / 3}
	}
	for i := range w.engines {
		w.drainNotifiedAt = append(w.drainNotifiedAt, map[string]time.Duration{})
		w.start(i)
	}
	const day = 12 * time.Second
	var arrive func()
	arrive = func() {
		if w.now > day {
			return
		}
		w.after(time.Duration(w.rng.ExpFloat64()*float64(5*ms)), arrive)
		q := Request{ID: fmt.Sprintf("r%d", w.events), Class: w.settings.Classes[w.rng.IntN(3)].Name, Plan: w.settings.Plans[w.rng.IntN(3)].Name,
			Timeout: time.Duration(300+w.rng.IntN(1700)) * ms, Units: float64(1 + w.rng.IntN(3)), InstanceCount: min(gates, 12)}
		q.Customer = uint64(w.rng.IntN(4))
		if q.Plan != w.settings.Plans[0].Name {
			q.Customer += 100 * uint64(1+w.rng.IntN(2))
			if q.Plan == w.settings.Plans[2].Name {
				q.Customer += 1000
			}
		}
		q.FirstInstance = int(q.Customer*7) % gates
		g := (q.FirstInstance + w.rng.IntN(q.InstanceCount)) % gates
		w.requests[q.ID] = &ruleRequest{request: q, engine: g, incarnation: w.incarnations[g], receivedAt: w.now}
		w.engines[g].RequestReceived(w.now, q, ruleHost{w, g, w.incarnations[g]})
	}
	w.after(0, arrive)
	for i := 0; i < 14; i++ {
		w.after(time.Duration(w.rng.Int64N(int64(day))), func() {
			id := w.serverIDs[w.rng.IntN(len(w.serverIDs))]
			s := w.servers[id]
			switch w.rng.IntN(4) {
			case 0:
				w.start(w.rng.IntN(gates))
				return
			case 1:
				s.State = Draining
			case 2:
				s.State = Removed
			case 3:
				s.State, s.StartedAt = Up, w.now
				w.bootedAt[id], w.responsesOf[id] = w.now, nil
			}
			w.servers[id] = s
			for g := range w.engines {
				w.sendEndpoints(g, EndpointsDelta, id)
			}
		})
	}
	for w.queue.Len() > 0 && w.now < day+5*time.Second {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.run()
	}
	for id, r := range w.requests {
		if r.finalAnswers != 1 && !r.isKilled {
			w.fail("rule 1: %s has %d final answers", id, r.finalAnswers)
		}
	}
	return w
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	t.Parallel()
	served, total := 0, 0
	for seed := uint64(1); seed <= 48; seed++ {
		loss := []float64{0, 0.1, 1}[seed%3]
		// Every sixth has hundreds of gateways around the same few servers, where holders are asked.
		gates := 3
		if seed%6 == 0 {
			gates = 300
		}
		if gates > 3 {
			loss = []float64{0, 0.1, 1}[seed/6%3]
		}
		w := runRandomSequence(t, seed, seed%2 == 0, DedupScope(seed%3), loss, gates)
		served, total = served+w.served, total+len(w.requests)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if served < total/4 {
		t.Errorf("%d of %d requests served: the sequences exercise too little", served, total)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := runRandomSequence(t, 7, true, DedupCell, 0.1, 3), runRandomSequence(t, 7, true, DedupCell, 0.1, 3)
	if len(a.log) < 1000 || len(a.log) != len(b.log) {
		t.Fatalf("%d and %d actions", len(a.log), len(b.log))
	}
	for i := range a.log {
		if a.log[i] != b.log[i] {
			t.Fatalf("action %d: %q and %q", i, a.log[i], b.log[i])
		}
	}
}
