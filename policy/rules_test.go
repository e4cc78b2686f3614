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

type sent struct {
	server  string
	at      time.Duration
	done    bool
	noRun   bool
	timeout time.Duration
	end     time.Duration
}

type tracked struct {
	q      Request
	gate   int
	life   int // incarnation of the gateway
	at     time.Duration
	tries  []sent
	final  int
	killed bool
}

type ceilingStore struct {
	level float64
	at    time.Duration
}

type world struct {
	t       *testing.T
	rng     *rand.Rand
	set     Settings
	now     time.Duration
	queue   queue
	n       int
	gates   []*Engine
	lives   []int
	reqs    map[string]*tracked
	servers map[string]Server
	ids     []string
	told    []map[string]time.Duration // per gateway: when a server was told not to take work
	boots   map[string]time.Duration
	sends   map[string][]time.Duration // to each server
	oks     map[string][]time.Duration
	ceil    map[uint64]*ceilingStore
	loss    float64
	log     []string
	served  int
}

const serverRate = 40 // requests a second that a warm server answers; more is turned away as Full

type port struct {
	w    *world
	gate int
	life int
}

func (w *world) after(d time.Duration, run func()) {
	w.n++
	heap.Push(&w.queue, event{w.now + max(d, ms), w.n, run})
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func (p port) note(format string, args ...any) {
	p.w.log = append(p.w.log, fmt.Sprintf("%v %d ", p.w.now, p.gate)+fmt.Sprintf(format, args...))
}

func (p port) SendAttempt(id, server string, timeout time.Duration) {
	w := p.w
	p.note("send %s %s %v", id, server, timeout)
	r := w.reqs[id]
	if r == nil || r.gate != p.gate {
		w.fail("send of unknown request %s", id)
		return
	}
	if r.final > 0 {
		w.fail("rule 1: %s sent after its final answer", id)
	}
	c := w.set.Classes[0]
	for _, k := range w.set.Classes {
		if k.Name == r.q.Class {
			c = k
		}
	}
	out := 0
	for _, a := range r.tries {
		if !a.done {
			out++
		}
		if a.noRun {
			continue
		}
		was, is := w.servers[a.server], w.servers[server]
		switch {
		case c.Idempotency == NonIdempotent:
			w.fail("rule 2: unsafe %s sent again", id)
		case c.Idempotency == IdempotentWithKey && w.now-a.at > c.DedupWindow:
			w.fail("rule 2: keyed %s sent again after %v", id, w.now-a.at)
		case c.Idempotency == IdempotentWithKey && c.DedupScope == DedupZone && was.Zone != is.Zone,
			c.Idempotency == IdempotentWithKey && c.DedupScope == DedupCell && was.Cell != is.Cell:
			w.fail("rule 2: keyed %s sent outside its group", id)
		}
	}
	if out > 0 && !w.set.AllowsHedging {
		w.fail("rule 2: %s has two attempts out", id)
	}
	if at, ok := w.told[p.gate][server]; ok && w.now-at > w.set.DrainGracePeriod {
		w.fail("rule 3: send to %s %v after its drain was told", server, w.now-at)
	}
	if len(r.tries) == 0 {
		w.draw(r.q)
	}
	w.checkCold(server)
	n := len(r.tries)
	end := r.at + r.q.Timeout
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
	if w.overRate(server) {
		res, took = RejectedByServer, ms
	}
	limit := end - w.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if took > limit {
		res, took = TimedOut, limit
	}
	r.tries = append(r.tries, sent{server: server, at: w.now})
	w.after(took, func() { w.finish(p, r, n, res) })
}

func (w *world) overRate(server string) bool {
	n := 0
	for _, at := range w.oks[server] {
		if w.now-at < time.Second {
			n++
		}
	}
	return n >= serverRate
}

func (w *world) finish(p port, r *tracked, n int, res Result) {
	a := &r.tries[n]
	if a.done {
		return
	}
	a.done, a.noRun, a.end = true, res == RejectedByServer || res == ConnectFailed || res == NotSent, w.now
	if res == OK {
		w.oks[a.server] = append(w.oks[a.server], w.now)
		if r.final == 0 {
			r.final++
			w.served++
		}
	}
	if r.killed || w.lives[p.gate] != p.life {
		return
	}
	o := AttemptResult{ID: r.q.ID, Attempt: n, RequestAnswered: r.final > 0, Result: res, Server: a.server, Latency: w.now - a.at}
	w.gates[p.gate].AttemptCompleted(w.now, o, p)
}

// draw takes the first send of a try from its customer's ceiling: rule 5.
func (w *world) draw(q Request) {
	p := w.set.Plans[0]
	if q.Plan != p.Name {
		return
	}
	s := w.ceil[q.Customer]
	if s == nil {
		s = &ceilingStore{p.HardLimitBurst, 0}
		w.ceil[q.Customer] = s
	}
	s.level = math.Min(p.HardLimitBurst, s.level+p.HardLimitRate*(w.now-s.at).Seconds()) - q.Units
	s.at = w.now
	if s.level < -p.HardLimitSlack-1e-6 {
		w.fail("rule 5: ceiling of customer %d at %.2f", q.Customer, s.level)
	}
}

// checkCold counts what all gateways send a cold server in any window: rule 4.
func (w *world) checkCold(server string) {
	w.sends[server] = append(w.sends[server], w.now)
	boot, ok := w.boots[server]
	if !ok || w.now-boot >= w.set.SlowStartWindow {
		return
	}
	age := (w.now - boot).Seconds() / w.set.SlowStartWindow.Seconds()
	share := w.set.SlowStartMinFraction + (1-w.set.SlowStartMinFraction)*age
	n := 0.0
	for _, at := range w.sends[server] {
		if at >= boot && w.now-at <= w.set.ColdOverloadWindow {
			n++
		}
	}
	if n > w.set.ColdOverloadMultiple*share*serverRate*w.set.ColdOverloadWindow.Seconds() {
		w.fail("rule 4: %v sends in %v to cold %s at %.2f", n, w.set.ColdOverloadWindow, server, share)
	}
}

func (p port) end(id, how string) *tracked {
	r := p.w.reqs[id]
	p.note("%s %s", how, id)
	if r == nil || r.gate != p.gate {
		p.w.fail("answer to unknown request %s", id)
		return nil
	}
	if r.final > 0 {
		p.w.fail("rule 1: second answer to %s", id)
	}
	if p.w.now > r.at+r.q.Timeout+p.w.set.ResponseSlack {
		p.w.fail("rule 1: answer to %s late", id)
	}
	r.final++
	return r
}

func (p port) RejectRequest(id string, _ time.Duration) {
	r := p.end(id, "refuse")
	if r == nil {
		return
	}
	for _, c := range p.w.set.Classes {
		if c.Name != r.q.Class || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAllServers {
			continue
		}
		for _, a := range r.tries {
			if !a.noRun {
				p.w.fail("rule 2: %s refused though it may have run", id)
			}
		}
	}
}

func (p port) FailRequest(id string) { p.end(id, "fail") }

func (p port) CancelAttempt(id string, n int) {
	p.note("cancel %s %d", id, n)
	r := p.w.reqs[id]
	p.w.after(ms, func() { p.w.finish(p, r, n, Cancelled) })
}

func (p port) SetTimer(token uint64, d time.Duration) {
	p.w.after(d, func() {
		if p.w.lives[p.gate] == p.life {
			p.w.gates[p.gate].TimerFired(p.w.now, token, p)
		}
	})
}

func (p port) CheckHealth(string) {}

func (p port) SendGossip(to int, m []byte) {
	if len(m) > 256 {
		p.w.fail("message of %d bytes", len(m))
	}
	b := append([]byte(nil), m...)
	p.note("tell %d %x", to, b)
	for k := p.w.rng.IntN(2); k >= 0; k-- { // some come twice
		if p.w.rng.Float64() < p.w.loss {
			continue
		}
		p.w.after(time.Duration(p.w.rng.IntN(150))*ms, func() {
			p.w.gates[to].GossipReceived(p.w.now, p.gate, b, port{p.w, to, p.w.lives[to]})
		})
	}
}

func (p port) WatchEndpoints(bool) {}
func (p port) Log(string)          {}

func (w *world) start(i int) {
	w.lives[i]++
	for _, r := range w.reqs {
		if r.gate == i && r.final == 0 {
			r.killed = true
		}
	}
	s := w.set
	s.InstanceIndex = i
	g, err := New(s, w.rng.Uint64())
	if err != nil {
		w.t.Fatal(err)
	}
	w.gates[i] = g
	p := port{w, i, w.lives[i]}
	g.Start(w.now, p)
	w.tellList(i, EndpointsSaved, w.ids...)
}

func (w *world) tellList(i int, form EndpointUpdateKind, ids ...string) {
	var list []Server
	for _, id := range ids {
		s := w.servers[id]
		list = append(list, s)
		if s.State == Up {
			delete(w.told[i], id)
		} else if _, ok := w.told[i][id]; !ok {
			w.told[i][id] = w.now
		}
	}
	w.gates[i].EndpointsChanged(w.now, form, list, port{w, i, w.lives[i]})
}

// play runs one random sequence on so many gateways and returns the gateways' actions.
func play(t *testing.T, seed uint64, parallel bool, group DedupScope, loss float64, gates int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), reqs: map[string]*tracked{}, servers: map[string]Server{},
		boots: map[string]time.Duration{}, sends: map[string][]time.Duration{}, oks: map[string][]time.Duration{},
		ceil: map[uint64]*ceilingStore{}, loss: loss}
	w.set = testSettings()
	w.set.InstanceCount, w.set.AllowsHedging = gates, parallel
	w.set.Classes[1].DedupScope = group
	w.gates, w.lives = make([]*Engine, gates), make([]int, gates)
	for i := 0; i < 8; i++ {
		id := fmt.Sprintf("s%d", i)
		w.ids = append(w.ids, id)
		w.servers[id] = Server{ID: id, Kind: "k", Zone: []string{"a", "b"}[i%2], Cell: i / 3}
	}
	for i := range w.gates {
		w.told = append(w.told, map[string]time.Duration{})
		w.start(i)
	}
	const day = 12 * time.Second
	var arrive func()
	arrive = func() {
		if w.now > day {
			return
		}
		w.after(time.Duration(w.rng.ExpFloat64()*float64(5*ms)), arrive)
		q := Request{ID: fmt.Sprintf("r%d", w.n), Class: w.set.Classes[w.rng.IntN(3)].Name, Plan: w.set.Plans[w.rng.IntN(3)].Name,
			Timeout: time.Duration(300+w.rng.IntN(1700)) * ms, Units: float64(1 + w.rng.IntN(3)), InstanceCount: min(gates, 12)}
		q.Customer = uint64(w.rng.IntN(4))
		if q.Plan != w.set.Plans[0].Name {
			q.Customer += 100 * uint64(1+w.rng.IntN(2))
			if q.Plan == w.set.Plans[2].Name {
				q.Customer += 1000
			}
		}
		q.FirstInstance = int(q.Customer*7) % gates
		g := (q.FirstInstance + w.rng.IntN(q.InstanceCount)) % gates
		w.reqs[q.ID] = &tracked{q: q, gate: g, life: w.lives[g], at: w.now}
		w.gates[g].RequestReceived(w.now, q, port{w, g, w.lives[g]})
	}
	w.after(0, arrive)
	for i := 0; i < 14; i++ {
		w.after(time.Duration(w.rng.Int64N(int64(day))), func() {
			id := w.ids[w.rng.IntN(len(w.ids))]
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
				w.boots[id], w.oks[id] = w.now, nil
			}
			w.servers[id] = s
			for g := range w.gates {
				w.tellList(g, EndpointsDelta, id)
			}
		})
	}
	for w.queue.Len() > 0 && w.now < day+5*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	for id, r := range w.reqs {
		if r.final != 1 && !r.killed {
			w.fail("rule 1: %s has %d final answers", id, r.final)
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
		w := play(t, seed, seed%2 == 0, DedupScope(seed%3), loss, gates)
		served, total = served+w.served, total+len(w.reqs)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if served < total/4 {
		t.Errorf("%d of %d requests served: the sequences exercise too little", served, total)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := play(t, 7, true, DedupCell, 0.1, 3), play(t, 7, true, DedupCell, 0.1, 3)
	if len(a.log) < 1000 || len(a.log) != len(b.log) {
		t.Fatalf("%d and %d actions", len(a.log), len(b.log))
	}
	for i := range a.log {
		if a.log[i] != b.log[i] {
			t.Fatalf("action %d: %q and %q", i, a.log[i], b.log[i])
		}
	}
}
