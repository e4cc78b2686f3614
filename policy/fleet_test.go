package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"mulleinmux/subset"
)

// A fleet on a virtual clock: gateways as they are, over servers that work, queue, hold only so many connections,
// start cold and fall over. Unlike the rule checker's world, this one has servers that get slower for what is sent.

const (
	fleetCores   = 2
	fleetQueue   = 30
	fleetIdle    = 30 * time.Second
	fleetShake   = 3 * ms // until a new connection stands
	fleetConfirm = 400 * ms
)

type booth struct {
	Server
	n       int
	free    [fleetCores]time.Duration // when each core is
	held    int                       // requests
	conns   int                       // connections
	cap     int
	boot    time.Duration // 0: long ago
	dead    bool
	served  int
	sent    []time.Duration // work begun of late, while cold: at
	work    []float64
	fallen  bool
	got     float64 // work in all
	full    int
	reports [4]float64 // busy share, of late
}

type link struct {
	idle []time.Duration // since when
	out  int
}

type fleetTry struct {
	id       string
	gate     int
	class    string
	customer int
	at, ends time.Duration
	tries    int
	first    time.Duration
	done     bool
	attempts []fleetAttempt
}

type fleetAttempt struct {
	server *booth
	life   int
	cancel bool
	done   bool
	reused bool
	at     time.Duration
}

type fleetTotals struct {
	offered, served            float64 // worth
	asked, tries, ok, refused  int
	attempts, opened, probes   int
	tells, noConn, full, falls int
	wait                       time.Duration // until first attempts, summed
}

type fleetSim struct {
	rng       *rand.Rand
	now       time.Duration
	queue     queue
	n         int
	set       Settings
	gates     []*Engine
	lives     []int
	acts      []*fleetActs
	booths    []*booth
	byID      map[string]*booth
	links     []map[string]*link
	reqs      map[string]*fleetTry
	loss      float64
	rates     []float64 // of customers
	firsts    []int
	spreads   []int
	load      func(at time.Duration) float64 // requests a second
	total     fleetTotals
	byWindow  []fleetTotals
	window    time.Duration
	deaf      bool // peers don't hear each other
	honour    float64
	listDelay time.Duration
	spoilt    bool         // some messages come doubled, and some late
	ledger    *fleetLedger // of units let through; nil: none is kept
}

type fleetActs struct {
	s    *fleetSim
	gate int
	life int
}

func (s *fleetSim) after(d time.Duration, run func()) {
	s.n++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.n, run})
}

func (a *fleetActs) live() bool { return a.s.lives[a.gate] == a.life }

func (a *fleetActs) SendAttempt(id, server string, timeout time.Duration) {
	s := a.s
	r := s.reqs[id]
	b := s.byID[server]
	n := len(r.attempts)
	r.attempts = append(r.attempts, fleetAttempt{server: b, life: a.life, at: s.now})
	if n == 0 {
		s.total.wait += s.now - r.at
		s.ledger.sent(s.now, r)
	}
	s.total.attempts++
	if timeout <= 0 || timeout > r.ends-s.now {
		timeout = r.ends - s.now
	}
	l := s.link(a.gate, server)
	l.out++
	for len(l.idle) > 0 {
		last := l.idle[len(l.idle)-1]
		if l.idle = l.idle[:len(l.idle)-1]; s.now-last < fleetIdle && b != nil && !b.dead && (b.boot == 0 || last > b.boot) {
			r.attempts[n].reused = true
			break
		}
		if b != nil {
			b.conns--
		}
	}
	finish := func(res Result, took time.Duration) {
		s.after(took, func() {
			at := &r.attempts[n]
			if at.done {
				return
			}
			at.done = true
			l.out--
			if b != nil && (res == OK || res == RejectedByServer) && !b.dead && !at.cancel {
				l.idle = append(l.idle, s.now)
			} else if b != nil && res != ConnectFailed {
				b.conns--
			}
			if res == OK && !r.done {
				s.answer(r, true, 0)
			}
			if a.live() {
				s.gates[a.gate].AttemptCompleted(s.now, AttemptResult{ID: id, Attempt: n, RequestAnswered: r.done, Result: res, Server: server, Latency: s.now - at.at, ConnectedAt: at.at}, a)
			}
		})
	}
	if b == nil || b.dead {
		s.total.noConn++
		if b == nil || r.attempts[n].reused {
			finish(TimedOut, timeout)
		} else {
			finish(ConnectFailed, min(timeout, 250*ms))
		}
		return
	}
	delay := ms
	if !r.attempts[n].reused {
		s.total.opened++
		if b.conns >= b.cap {
			s.total.noConn++
			finish(ConnectFailed, ms)
			return
		}
		b.conns++
		delay += fleetShake
		b.use(s, 0.0015)
	}
	boot := b.boot
	s.after(delay, func() {
		at := &r.attempts[n]
		if at.done {
			return
		}
		if b.held >= fleetQueue {
			b.full++
			s.total.full++
			finish(RejectedByServer, ms)
			return
		}
		b.held++
		end := b.use(s, s.work(r.class))
		s.after(end-s.now, func() {
			b.held--
			if b.boot == boot && !b.dead {
				b.served++
			}
		})
		if left := at.at + timeout - s.now; end-s.now > left || b.fallen {
			finish(TimedOut, left)
		} else {
			finish(OK, end-s.now+ms)
		}
	})
}

func (s *fleetSim) work(class string) float64 {
	mean := 0.06
	if class == "keyed" {
		mean = 0.09
	}
	return mean * s.rng.ExpFloat64()
}

// use takes work, in seconds of a warm core, and returns when it is done.
func (b *booth) use(s *fleetSim, work float64) time.Duration {
	warmth := 1.0
	if b.boot > 0 {
		warmth = min(s.set.SlowStartMinFraction+(1-s.set.SlowStartMinFraction)*float64(b.served)/200, 1)
		// Rule 4: what was sent in a window against what the server could do in it.
		b.sent, b.work = append(b.sent, s.now), append(b.work, work)
		for s.now-b.sent[0] > s.set.ColdOverloadWindow {
			b.sent, b.work = b.sent[1:], b.work[1:]
		}
		sum := 0.0
		for _, w := range b.work {
			sum += w
		}
		if can := fleetCores * warmth * s.set.ColdOverloadWindow.Seconds(); warmth < 1 && sum > s.set.ColdOverloadMultiple*can+0.5 && !b.fallen {
			b.fallen = true
			s.total.falls++
		}
	}
	b.got += work
	core := 0
	for c := range b.free {
		if b.free[c] < b.free[core] {
			core = c
		}
	}
	b.free[core] = max(b.free[core], s.now) + time.Duration(work/warmth*float64(time.Second))
	return b.free[core]
}

func (s *fleetSim) link(gate int, server string) *link {
	l := s.links[gate][server]
	if l == nil {
		l = &link{}
		s.links[gate][server] = l
	}
	return l
}

func (s *fleetSim) answer(r *fleetTry, ok bool, wait time.Duration) {
	if r.done {
		return
	}
	r.done = true
	w := &s.byWindow[int(s.now/s.window)]
	worth, aim := 3.0, 400*ms
	if r.class == "keyed" {
		worth, aim = 9, 750*ms
	}
	if ok {
		s.total.ok++
		if s.now-r.first <= aim {
			s.total.served += worth
			w.served += worth
		}
		return
	}
	s.total.refused++
	w.refused++
	if r.tries < 3 {
		pause := time.Duration((0.05 + 0.1*s.rng.Float64()) * float64(time.Second))
		if s.rng.Float64() < s.honour {
			pause = max(pause, wait)
		}
		s.after(pause, func() { s.try(r.class, r.customer, r.first, r.tries+1) })
	}
}

func (a *fleetActs) RejectRequest(id string, d time.Duration) { a.s.answer(a.s.reqs[id], false, d) }
func (a *fleetActs) FailRequest(id string)                    { a.s.answer(a.s.reqs[id], false, 0) }
func (a *fleetActs) WatchEndpoints(bool)                      {}
func (a *fleetActs) Log(string)                               {}
func (a *fleetActs) SetTimer(t uint64, d time.Duration) {
	a.s.after(d, func() {
		if a.live() {
			a.s.gates[a.gate].TimerFired(a.s.now, t, a)
		}
	})
}
func (a *fleetActs) CancelAttempt(id string, n int) {
	r := a.s.reqs[id]
	at := &r.attempts[n]
	if at.done {
		return
	}
	at.done, at.cancel = true, true
	a.s.link(a.gate, at.server.ID).out--
	at.server.conns--
	a.s.after(0, func() {
		if a.live() {
			a.s.gates[a.gate].AttemptCompleted(a.s.now, AttemptResult{ID: id, Attempt: n, RequestAnswered: r.done, Result: Cancelled, Server: at.server.ID, Latency: a.s.now - at.at}, a)
		}
	})
}
func (a *fleetActs) CheckHealth(server string) {
	s, b := a.s, a.s.byID[server]
	s.total.probes++
	l := s.link(a.gate, server)
	res, took := OK, 4*ms
	if b == nil || b.dead {
		res, took = ConnectFailed, 250*ms
	} else if len(l.idle) == 0 {
		if b.conns >= b.cap {
			res = ConnectFailed
		} else {
			b.conns++
			s.total.opened++
			l.idle = append(l.idle, s.now)
			b.use(s, 0.0015)
		}
	}
	var load *LoadReport
	if res == OK {
		busy := 0.0
		for _, f := range b.free {
			if f > s.now {
				busy += 1.0 / fleetCores
			}
		}
		b.use(s, 0.0002)
		b.reports[s.rng.IntN(4)] = busy
		util := 0.0
		for _, u := range b.reports {
			util += u / 4
		}
		load = &LoadReport{InFlight: -1, Utilization: util, QueueLength: max(float64(b.held-fleetCores), 0)}
	}
	s.after(took, func() {
		if a.live() {
			s.gates[a.gate].HealthCheckCompleted(s.now, server, res, load, a)
		}
	})
}
func (a *fleetActs) SendGossip(peer int, m []byte) {
	s := a.s
	s.total.tells++
	if s.deaf || s.rng.Float64() < s.loss {
		return
	}
	m = append([]byte(nil), m...)
	hear := func() { s.gates[peer].GossipReceived(s.now, a.gate, m, s.acts[peer]) }
	took := time.Duration(1+s.rng.IntN(30)) * ms
	if s.spoilt && s.rng.Float64() < 0.05 {
		s.after(took+time.Duration(s.rng.IntN(300))*ms, hear)
	}
	if s.spoilt && s.rng.Float64() < 0.05 {
		took += time.Duration(s.rng.IntN(300)) * ms
	}
	s.after(took, hear)
}

func (s *fleetSim) try(class string, customer int, first time.Duration, n int) {
	s.n++
	grace := 2*time.Second - (s.now - first)
	if grace < 20*ms {
		return
	}
	gate := (s.firsts[customer] + s.rng.IntN(s.spreads[customer])) % len(s.gates)
	if s.lives[gate] < 0 {
		return
	}
	r := &fleetTry{id: fmt.Sprintf("r%d", s.n), gate: gate, class: class, customer: customer, at: s.now, first: first, ends: s.now + grace, tries: n}
	s.reqs[r.id] = r
	s.total.tries++
	s.ledger.asked(s.now, r)
	s.after(grace, func() {
		if !r.done {
			r.done = true
			if s.lives[gate] >= 0 {
				s.gates[gate].ClientDisconnected(s.now, r.id, s.acts[gate])
			}
		}
		delete(s.reqs, r.id)
	})
	s.gates[gate].RequestReceived(s.now, Request{ID: r.id, Class: class, Plan: "kubwa", Customer: uint64(customer + 1), Timeout: grace, Units: 1, InstanceCount: s.spreads[customer], FirstInstance: s.firsts[customer]}, s.acts[gate])
}

func (s *fleetSim) arrive() {
	rate := s.load(s.now)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		class, worth := "safe", 3.0
		if s.rng.Float64() < 0.43 {
			class, worth = "keyed", 9
		}
		s.total.asked++
		s.total.offered += worth
		s.byWindow[int(s.now/s.window)].offered += worth
		s.try(class, sort.SearchFloat64s(s.rates, s.rng.Float64()*s.rates[len(s.rates)-1]), s.now, 1)
		s.arrive()
	})
}

func (s *fleetSim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// start starts a gateway anew, with the list as it is.
func (s *fleetSim) start(gate int) {
	set := s.set
	set.InstanceIndex, set.Zone = gate, []string{"a", "b"}[gate%2]
	g, err := New(set, s.rng.Uint64())
	if err != nil {
		panic(err)
	}
	s.lives[gate] = max(s.lives[gate], -s.lives[gate]) + 1
	s.gates[gate], s.links[gate] = g, map[string]*link{}
	s.acts[gate] = &fleetActs{s, gate, s.lives[gate]}
	g.Start(s.now, s.acts[gate])
	g.EndpointsChanged(s.now, EndpointsSaved, s.list(), s.acts[gate])
}

func (s *fleetSim) kill(gate int) {
	s.lives[gate] = -s.lives[gate]
	for id, l := range s.links[gate] {
		if b := s.byID[id]; b != nil {
			b.conns -= len(l.idle) + l.out
		}
	}
	for _, r := range s.reqs {
		if r.gate == gate {
			r.done = true
			for i := range r.attempts {
				r.attempts[i].done = true
			}
		}
	}
}

func (s *fleetSim) list() (l []Server) {
	for _, b := range s.booths {
		if !b.dead {
			l = append(l, b.Server)
		}
	}
	return l
}

func (s *fleetSim) tellList() {
	for i := range s.gates {
		s.after(s.listDelay+time.Duration(s.rng.IntN(700))*ms, func() {
			if s.lives[i] >= 0 {
				s.gates[i].EndpointsChanged(s.now, EndpointsComplete, s.list(), s.acts[i])
			}
		})
	}
}

// add brings a server; one that is cold has just started.
func (s *fleetSim) add(cold bool) {
	k := len(s.booths)
	b := &booth{n: k, cap: 200, Server: Server{ID: fmt.Sprintf("s-%04x", s.rng.IntN(1<<16)*1000+k), Kind: "k", Weight: 1, Zone: []string{"a", "b"}[k%2], Cell: k % 7}}
	if cold {
		b.boot, b.StartedAt = s.now, s.now
	}
	s.booths = append(s.booths, b)
	s.byID[b.ID] = b
}

func newFleet(seed uint64, gates, servers int, share float64) *fleetSim {
	s := &fleetSim{rng: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*booth{}, reqs: map[string]*fleetTry{}, loss: 0.05, window: time.Second, honour: 0.6,
		gates: make([]*Engine, gates), lives: make([]int, gates), acts: make([]*fleetActs, gates), links: make([]map[string]*link, gates), byWindow: make([]fleetTotals, 2000)}
	s.now = 1000 * time.Second
	s.set = testSettings()
	s.set.InstanceCount, s.set.GossipInboxRate, s.set.AllowsHealthChecks, s.set.LoadReports, s.set.MinEventInterval = gates, 40, true, LoadReportsInHealthChecks, 2*ms
	s.set.SlowStartMinFraction, s.set.SlowStartWindow, s.set.ColdOverloadMultiple, s.set.ColdOverloadWindow, s.set.MaxAttempts = 0.3, 10*time.Second, 2.5, 2*time.Second, 5
	s.set.Classes = []Class{
		{Name: "safe", Idempotency: Idempotent, LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
		{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 4 * time.Second, LatencyObjective: 750 * ms, Deadline: 2 * time.Second, PriorityWeight: 9, LateFraction: 0.2}}
	s.set.Plans = []Plan{{Name: "kubwa", Rate: 18, Burst: 36, HardLimitRate: 40, HardLimitBurst: 80, PriorityFactor: 1.6, OverQuotaCost: 1}}
	s.set.CrossZonePrice, s.set.HealthCheckPrice, s.set.GossipPrice, s.set.WastedWorkPrice = 0.01, 0.01, 0.03, 0.05
	rate := share * float64(servers) * fleetCores / 0.073
	s.load = func(time.Duration) float64 { return rate }
	sum := 0.0
	for range max(int(rate/9), 1) {
		sum += 0.3 + s.rng.ExpFloat64()
		s.rates = append(s.rates, sum)
		s.spreads = append(s.spreads, max(1, int(float64(gates)*(0.05+0.1*s.rng.Float64()))))
		s.firsts = append(s.firsts, s.rng.IntN(gates))
	}
	for range servers {
		s.add(false)
	}
	for i := range s.gates {
		s.start(i)
	}
	s.arrive()
	return s
}

// told sums up what happened since it was last asked, and begins anew.
func (s *fleetSim) told() string {
	t := s.total
	var refused [whyCount]uint64
	f, rho, n := 0.0, 0.0, 0.0
	for i, g := range s.gates {
		if s.lives[i] < 0 {
			continue
		}
		for why, k := range g.refused {
			refused[why] += k
		}
		g.refused = [whyCount]uint64{}
		f, rho, n = f+g.aro.f, rho+g.aro.rho, n+1
	}
	var out []string
	for why, k := range refused {
		if k > 0 {
			out = append(out, fmt.Sprintf("%s %d", whyNames[why], k))
		}
	}
	work, open, busy := 0.0, 0, 0.0
	for _, b := range s.booths {
		work, open = work+b.got, open+b.conns
		for _, c := range b.free {
			busy = math.Max(busy, (c - s.now).Seconds())
		}
		b.got = 0
	}
	s.total = fleetTotals{}
	return fmt.Sprintf("worth %.3f; asked %d, %.2f tries each, %d attempts, %.2f connections each, %d open, %d probes, %d not made, %d full, %d fallen; first attempt after %.0f ms; work %.0f s, longest queue %.1f s; f %.2f, occupancy %.2f; refused: %s",
		t.served/t.offered, t.asked, float64(t.tries)/float64(t.asked), t.attempts, float64(t.opened)/float64(max(t.attempts, 1)), open, t.probes, t.noConn, t.full, t.falls,
		float64(t.wait/ms)/float64(max(t.tries-t.refused, 1)), work, busy, f/n, rho/n, strings.Join(out, ", "))
}

// replaceServers puts a new cold server in the place of each of some, one by one.
func (s *fleetSim) replaceServers(n int, within time.Duration) {
	for k := range n {
		s.after(within*time.Duration(k)/time.Duration(n), func() {
			b := s.booths[k]
			b.State = Draining
			s.add(true)
			s.booths[len(s.booths)-1].Zone = b.Zone
			s.after(2*time.Second, func() { b.dead = true })
		})
	}
	for at := time.Duration(0); at < within+3*time.Second; at += 300 * ms {
		s.after(at, s.tellList)
	}
}

func (s *fleetSim) loseZone(zone string, d time.Duration) {
	for _, b := range s.booths {
		if b.Zone == zone && !b.dead {
			b.dead, b.conns = true, 0
			s.after(d, func() { b.dead, b.boot, b.StartedAt, b.served = false, s.now, s.now, 0 })
		}
	}
	s.after(d+ms, s.tellList)
}

func (s *fleetSim) killGates(part float64, back time.Duration) {
	for i := range s.gates {
		if s.rng.Float64() < part {
			s.kill(i)
			s.after(back+time.Duration(s.rng.IntN(500))*ms, func() { s.start(i) })
		}
	}
}

// withParts plays f with another rule for parts.
func withParts(rule subset.Sizing, f func()) {
	was := partRule
	partRule = rule
	defer func() { partRule = was }()
	f()
}

// playFleet lets a fleet of 70 gateways over 40 servers run, does something and returns what came of it in each second after.
func playFleet(t *testing.T, seed uint64, load float64, seconds int, do func(*fleetSim)) (before fleetTotals, after []fleetTotals, s *fleetSim) {
	s = newFleet(seed, 70, 40, load)
	for _, b := range s.booths {
		b.cap = 42
	}
	s.run(s.now + 3*time.Second)
	before = s.total
	t.Log("before: ", s.told())
	do(s)
	for range seconds {
		s.run(s.now + time.Second)
		after = append(after, s.total)
		t.Log(s.told())
	}
	return before, after, s
}

func (t fleetTotals) worth() float64 { return t.served / t.offered }

func sum(all []fleetTotals) (sum fleetTotals) {
	for _, t := range all {
		sum.offered, sum.served = sum.offered+t.offered, sum.served+t.served
		sum.attempts, sum.opened, sum.noConn, sum.falls = sum.attempts+t.attempts, sum.opened+t.opened, sum.noConn+t.noConn, sum.falls+t.falls
		sum.probes, sum.tries, sum.refused, sum.wait = sum.probes+t.probes, sum.tries+t.tries, sum.refused+t.refused, sum.wait+t.wait
	}
	return sum
}

// both plays with parts and without.
func both(t *testing.T, f func() fleetTotals) (with, without fleetTotals) {
	t.Helper()
	with = f()
	withParts(subset.Sizing{}, func() { without = f() })
	t.Logf("with parts %.3f of the worth, %d connections opened, %d not made, %d probes; without %.3f, %d, %d, %d", with.worth(), with.opened, with.noConn, with.probes,
		without.worth(), without.opened, without.noConn, without.probes)
	return with, without
}

// Servers that hold 42 connections each, for 70 gateways: with parts none is turned away, and few attempts open one.
func TestFleetOfServersThatHoldFewConnections(t *testing.T) {
	with, without := both(t, func() fleetTotals {
		_, after, _ := playFleet(t, 1, 0.6, 5, func(*fleetSim) {})
		return sum(after)
	})
	if with.noConn > 0 || float64(with.opened) > 0.2*float64(with.attempts) {
		t.Errorf("%d connections opened for %d attempts, %d not made", with.opened, with.attempts, with.noConn)
	}
	if without.opened < 2*with.opened || without.noConn == 0 {
		t.Error("it is no better than without parts")
	}
}

// All servers are replaced by cold ones within 7 s: parts move, no cold server is pushed over, and the fleet serves on.
func TestFleetReplacedInSevenSeconds(t *testing.T) {
	with, without := both(t, func() fleetTotals {
		_, after, _ := playFleet(t, 2, 0.4, 12, func(s *fleetSim) { s.replaceServers(40, 7*time.Second) })
		return sum(after)
	})
	if with.falls > 0 || with.worth() < without.worth()+0.05 {
		t.Errorf("%d servers were pushed over, %.2f of the worth served", with.falls, with.worth())
	}
}

// All servers restart at once under full load: each part is cold, and widens. The ramp holds over all gateways together, and lets the
// fleet come back.
func TestFleetAllColdAtOnce(t *testing.T) {
	var first, last fleetTotals
	for seed := uint64(2); seed < 4; seed++ {
		_, after, _ := playFleet(t, seed, 1, 8, func(s *fleetSim) {
			for _, g := range s.gates {
				g.set.SlowStartMinFraction = 0.2
			}
			s.set.SlowStartMinFraction = 0.2
			s.loseZone("a", 300*ms)
			s.loseZone("b", 300*ms)
		})
		if all := sum(after); all.falls > 0 {
			t.Errorf("seed %d: %d servers were pushed over", seed, all.falls)
		}
		first, last = sum(append(after[1:3], first)), sum(append(after[6:], last))
	}
	if last.worth() < 1.3*first.worth() {
		t.Errorf("%.2f of the worth served at first, %.2f at the end", first.worth(), last.worth())
	}
}

// Two in three gateways are killed and back within a second, with nothing known: the others and they go on at once.
func TestFleetHerd(t *testing.T) {
	before, after, _ := playFleet(t, 4, 0.55, 6, func(s *fleetSim) { s.killGates(0.67, 500*ms) })
	if w := sum(after[2:]).worth(); w < 0.9*before.worth() {
		t.Errorf("from the third second on %.2f of the worth is served, %.2f before", w, before.worth())
	}
}

// Three times the load for 2 s: when it is over, what was served before is served again, and soon.
func TestFleetComesBackAfterASurge(t *testing.T) {
	var calm, back fleetTotals
	for seed := uint64(5); seed < 7; seed++ { // one fleet's second is 500 requests, and few of them decide
		before, after, _ := playFleet(t, seed, 0.5, 6, func(s *fleetSim) {
			rate, from := s.load(0), s.now
			s.load = func(at time.Duration) float64 {
				if at < from+2*time.Second {
					return 3 * rate
				}
				return rate
			}
		})
		calm, back = sum([]fleetTotals{calm, before}), sum(append(after[3:], back))
	}
	if w := back.worth(); w < 0.95*calm.worth() {
		t.Errorf("from the second second after it %.2f of the worth is served, %.2f before", w, calm.worth())
	}
}

// Peers don't hear each other and the list is late: once that is known, no request waits for an answer that does not come.
func TestFleetDeaf(t *testing.T) {
	_, after, _ := playFleet(t, 6, 0.5, 5, func(s *fleetSim) { s.deaf, s.listDelay = true, 5*time.Second })
	all := sum(after[1:])
	if wait := all.wait / time.Duration(max(all.tries-all.refused, 1)); wait > 10*ms {
		t.Errorf("first attempts wait for %v on average", wait)
	}
	if all.worth() < 0.75 {
		t.Errorf("%.2f of the worth is served", all.worth())
	}
}

// Where the rule gives every gateway all servers, nothing differs from a fleet without parts: few servers for many
// gateways, and many for few.
func TestFleetSmall(t *testing.T) {
	for _, size := range [][2]int{{300, 3}, {3, 200}, {4, 20}} {
		var got [2]string
		for i, rule := range []subset.Sizing{partRule, {}} {
			withParts(rule, func() {
				s := newFleet(7, size[0], size[1], 0.5)
				s.run(s.now + time.Second)
				s.loseZone("a", 300*ms)
				s.run(s.now + time.Second)
				got[i] = s.told()
			})
		}
		if got[0] != got[1] {
			t.Errorf("%d gateways, %d servers: with a part %s\nwithout %s", size[0], size[1], got[0], got[1])
		}
	}
}

// partGate is gateway 5 of 300 over 170 servers, half of them in each of two zones.
func partGate(t *testing.T) (*Engine, *recorder) {
	t.Helper()
	set := newFleet(1, 1, 2, 0.1).set
	set.InstanceCount, set.InstanceIndex = 300, 5
	set.Plans[0].HardLimitRate = 0
	list := fleet(170)
	for i := range list {
		list[i].Zone = []string{"a", "b"}[i%2]
	}
	return newGate(t, set, list...)
}

// A keyed request that may have run at a server of zone a goes on only there, outside of the part if need be.
func TestKeyedOutsideOfThePart(t *testing.T) {
	g, r := partGate(t)
	if g.whole() {
		t.Fatal("the part is whole")
	}
	g.retries = 5
	g.RequestReceived(t0, newRequest(1, "keyed", "kubwa", 1), r)
	for _, a := range r.acts {
		if strings.HasPrefix(a, "refuse") {
			t.Fatal(a)
		}
	}
	first := g.reqs["r1"].attempts[0].server
	for _, s := range g.near {
		if s.Zone == first.Zone {
			s.lost = s != first
			s.Server.State = map[bool]ServerState{true: Up, false: Draining}[s == first]
		}
	}
	first.Server.State = Draining
	g.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: ErrorResponse, Server: first.ID}, r)
	at := g.reqs["r1"].attempts
	if len(at) != 2 || at[1].server.Zone != first.Zone || at[1].server.near {
		t.Fatalf("%d attempts, the last at %+v", len(at), at[len(at)-1].server.Server)
	}
}

// A cold server is its holders' to warm up: others would add to what these send, which is all that it can bear.
func TestColdOutsideOfThePart(t *testing.T) {
	g, _ := partGate(t)
	for _, s := range g.servers {
		s.StartedAt = t0 - 100*ms
		if s.credit = 100; !s.near && g.coldRoom(s, 0) {
			t.Fatalf("cold server %s has room and is not in the part", s.ID)
		}
	}
}

// One gateway that says that all servers are silent changes nothing. Two put no server out: a probe goes to each, and
// no more than half of the part is passed over for it.
func TestNotesOfServers(t *testing.T) {
	g, r := partGate(t)
	g.now = t0 + 10*time.Second
	say := func(from int, up bool) {
		for _, s := range g.servers {
			g.heedNote(from, note{tag: s.tag, up: up})
		}
	}
	suspects := func() (n int) {
		for _, s := range g.near {
			n += b2i(g.now < s.suspect)
			if s.lost {
				t.Fatalf("%s counts as silent by hearsay", s.ID)
			}
		}
		return n
	}
	g.out = r
	for range 5 {
		say(9, false)
	}
	if n := suspects(); n > 0 || r.count("probe") > 0 {
		t.Fatalf("one voice: %d servers in doubt, %d probes", n, r.count("probe"))
	}
	say(10, false)
	if n := suspects(); n == 0 || 2*n > len(g.near)+1 || r.count("probe") == 0 {
		t.Fatalf("two voices: %d of %d servers in doubt, %d probes", n, len(g.near), r.count("probe"))
	}
	for range 40 {
		if s := g.pick(&request{Request: Request{ID: "x"}}); s == nil || g.now < s.suspect {
			t.Fatalf("a server in doubt was chosen: %+v", s)
		}
	}
	for _, s := range g.near {
		g.alive(s)
	}
	if n := suspects(); n != 0 {
		t.Errorf("%d servers in doubt that have answered since", n)
	}
	g.now += 10 * time.Second
	say(9, false)
	if n := suspects(); n != 0 {
		t.Errorf("an old voice counted: %d servers in doubt", n)
	}
	for _, s := range g.near {
		s.heard = g.now - noteFresh/2
	}
	if say(10, false); suspects() != 0 {
		t.Error("peers count for more than what was heard a moment ago")
	}
}

// What a gateway finds out goes with its next asks, for a while, and is understood.
func TestNotesGoWithAsks(t *testing.T) {
	g, _ := partGate(t)
	g.now = t0 + 10*time.Second
	for i, s := range g.near[:6] {
		g.noteServer(s, i%2 == 0)
	}
	read := func() []note {
		m, ok := g.decodeAsk(g.encodeAnswer(7, true, 0, 1))
		if !ok {
			t.Fatal("an answer with notes is malformed")
		}
		return m.notes
	}
	got := read()
	if len(got) != notesMost || got[3].tag != g.near[5].tag || got[3].up {
		t.Fatalf("notes %+v", got)
	}
	g.now += noteLasts
	if got := read(); len(got) != 0 {
		t.Errorf("old notes are told: %+v", got)
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

// A zone that falls silent gets no more requests as soon as two of its servers have failed, though the gateway has met none of the others,
// and the bound counts without it; one answer from any of them brings it back.
func TestAZoneThatFallsSilent(t *testing.T) {
	g, r := partGate(t)
	g.now = t0 + 10*time.Second
	g.out = r
	var in [2][]*server
	for _, s := range g.near {
		in[b2i(s.Zone == "b")] = append(in[b2i(s.Zone == "b")], s)
		g.alive(s)
	}
	step := func(d time.Duration) {
		g.now += d
		g.alive(in[0][0])
		g.tick()
	}
	asked := func() (n int) {
		for range 100 {
			n += b2i(g.pick(&request{Request: Request{ID: "x"}}).Zone == "b")
		}
		return n
	}
	step(100 * ms)
	if asked() == 0 {
		t.Fatal("zone b gets no requests while all is well")
	}
	sent := g.now
	step(300 * ms)
	g.silent(in[1][0], sent)
	g.silent(in[1][0], sent)
	if step(100 * ms); asked() == 0 {
		t.Fatal("one silent server put its zone out")
	}
	g.silent(in[1][1], sent)
	if step(100 * ms); asked() > 0 {
		t.Errorf("%d of 100 requests go to a zone of which nothing is heard", asked())
	}
	want := 170 * float64(len(in[0])) / float64(len(g.near))
	if _, n := g.inReach(); math.Abs(n-want) > 1e-9 {
		t.Errorf("%v servers in reach, want %v", n, want)
	}
	if step(5 * time.Second); asked() > 0 {
		t.Error("the zone is back by itself")
	}
	if g.alive(in[1][2]); true {
		step(300 * ms)
	}
	if asked() == 0 {
		t.Error("the zone stays out though one of its servers has answered")
	}
	step(time.Second)
	for peer := range 3 {
		g.heedNote(peer+10, note{tag: in[1][peer+3].tag})
	}
	if step(100 * ms); asked() > 0 {
		t.Error("what three peers say of a zone of which nothing is heard counts for nothing")
	}
}

// Part of the servers is new and cold: what may be sent there is sent there, before warm servers get it, and look-ups that look in don't cut off
// what has been saved for bookings, which are heavier.
func TestColdServersOfAPartGetWhatTheyMay(t *testing.T) {
	g, r := partGate(t)
	g.now, g.out, g.warmRate = t0+10*time.Second, r, 0.1
	light, heavy := 0, 1
	g.set.Classes = append([]Class{}, g.set.Classes[:2]...)
	g.set.Classes[light].LatencyObjective, g.set.Classes[heavy].LatencyObjective = 400*ms, 800*ms // a quarter of it is the work until that is learned
	cold := map[string]bool{}
	for i, s := range g.near {
		if g.alive(s); i%2 == 0 {
			s.StartedAt, s.credit, s.credited = g.now-g.set.SlowStartWindow/4, 0, g.now
			cold[s.ID] = true
		} else {
			s.conns, s.used = 1, g.now
		}
	}
	for range 40 {
		g.now += 100 * ms
		for _, s := range g.near {
			if cold[s.ID] {
				g.coldRoom(s, light)
			}
		}
	}
	ready := 0
	for _, s := range g.near {
		s.used = g.now
		ready += b2i(cold[s.ID] && g.coldRoom(s, heavy))
	}
	if ready < len(cold)/2 {
		t.Fatalf("%d of %d cold servers may be sent a heavy request after 4 s", ready, len(cold))
	}
	asked, toCold := 0, 0
	for ; toCold < ready && asked < 100; asked++ { // two warm ones may be looked at first
		if s := g.pick(&request{Request: Request{ID: "x"}, class: heavy}); cold[s.ID] {
			toCold++
			s.credit = 0
		}
	}
	if toCold < ready || asked > 2*ready {
		t.Errorf("%d of %d requests go to cold servers that may be sent %d", toCold, asked, ready)
	}
	if s := g.pick(&request{Request: Request{ID: "x"}, class: heavy}); cold[s.ID] {
		t.Error("a cold server is sent more than it may")
	}
}

// Units that were sent without their holder's answer are taken from the store once, whether the ask or its answer was lost.
func TestUnitsSentWithoutAnAnswerCount(t *testing.T) {
	for _, lost := range []string{"ask", "answer"} {
		member, r := wideGate(t, 10)
		member.RequestReceived(t0, wideRequest(1, 77), r)
		to := member.holder(member.stores[77])
		holder, hr := wideGate(t, to)
		if lost == "answer" {
			holder.GossipReceived(t0+ms, 10, r.tells[to][0], hr)
		}
		for _, timer := range r.timers {
			if timer.token&(1<<timerBits-1) == timerAsk {
				member.TimerFired(t0+askWait, timer.token, r)
			}
		}
		if len(r.tells[to]) != 2 || r.count("send") != 1 {
			t.Fatalf("%s lost: %d messages, %v", lost, len(r.tells[to]), r.acts)
		}
		for range 3 {
			holder.GossipReceived(t0+ms, 10, r.tells[to][1], hr)
		}
		st := holder.stores[77]
		p := &holder.set.Plans[st.plan]
		if spent := p.Burst/st.parts - st.level; math.Abs(spent-1) > 0.2 {
			t.Errorf("%s lost: %.2f units taken, want 1", lost, spent)
		}
	}
}

// Of two servers alike, one to which a connection stands is chosen.
func TestStandingConnectionsFirst(t *testing.T) {
	g, r := partGate(t)
	g.now, g.out = t0+time.Second, r
	for i, s := range g.near {
		if i%2 == 0 {
			s.conns, s.used = 1, g.now
		}
	}
	stand := 0
	for range 400 {
		stand += b2i(g.pick(&request{Request: Request{ID: "x"}}).stands(g.now))
	}
	if stand < 260 {
		t.Errorf("%d of 400 went where a connection stood, and to half of the part one does", stand)
	}
	s := g.near[0]
	s.conns, s.used = 1, g.now-connKept
	if s.stands(g.now) {
		t.Error("a connection idle for long counts as standing")
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

// A silent server's turn to be probed comes earlier.
func TestSilentServersAreProbedEarlier(t *testing.T) {
	g, r := partGate(t)
	g.now, g.out = t0+10*time.Second, r
	for _, s := range g.near {
		s.probed = g.now - time.Second
	}
	g.near[3].lost, g.near[3].probed = true, g.now-ms
	want := "probe " + g.near[3].ID
	g.probeDue = 1
	g.tick()
	if r.count(want) != 1 {
		t.Errorf("%v, want %s", r.acts, want)
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

// A part that has widened to all servers, since all seemed silent, shrinks again when they are not; so does that of a node
// with more attempts out than its part has servers.
func TestWidePartsShrink(t *testing.T) {
	for _, why := range []string{"silent", "load"} {
		g, r := partGate(t)
		g.now, g.out = t0, r
		narrow, widest := len(g.near), 0
		step := func(pressed bool) {
			g.now += probeEvery
			for _, s := range g.servers {
				s.lost = pressed && why == "silent"
			}
			if g.held = 0; pressed && why == "load" {
				g.held = 8 * narrow
			}
			if g.widen() {
				g.takePart()
			}
			widest = max(widest, len(g.near))
		}
		for range 100 {
			step(true)
		}
		if want := map[string]int{"silent": 170, "load": 4 * narrow}[why]; widest < want {
			t.Errorf("%s: the part grew from %d to %d servers, want %d", why, narrow, widest, want)
		}
		for range 600 {
			step(false)
		}
		if len(g.near) != narrow {
			t.Errorf("%s: a minute later the part has %d servers, not %d", why, len(g.near), narrow)
		}
	}
}

// One server takes 30 connections, and there are 300 gateways: with parts few of them come to it.
func TestFleetOneServerOfThirtyConnections(t *testing.T) {
	with, without := both(t, func() fleetTotals {
		s := newFleet(9, 300, 170, 0.5)
		s.booths[17].cap = 30
		s.run(s.now + 4*time.Second)
		return s.total
	})
	if without.noConn == 0 || 4*with.noConn > without.noConn {
		t.Errorf("%d connections not made, %d without parts", with.noConn, without.noConn)
	}
}

// What a cold server may be sent is shared out among those that have it in their part: they do all the work of a warm one,
// and no others take of it. Where nothing is known that is a second's work a second over them all.
func TestHoldersShareARamp(t *testing.T) {
	g, _ := partGate(t)
	g.now = t0 + time.Second
	held := map[string]int{}
	for node := range g.set.InstanceCount {
		other := *g
		other.set.InstanceIndex = node
		other.servers = nil
		for _, s := range g.servers {
			own := *s
			other.servers = append(other.servers, &own)
		}
		other.takePart()
		for _, s := range other.near {
			held[s.ID]++
		}
	}
	for _, s := range g.near {
		s.StartedAt, s.credit, s.credited = g.now, 0, g.now-10*ms
		g.coldRoom(s, 0)
		all := s.credit * float64(held[s.ID]) / 0.01
		if most := coldShare * g.set.ColdOverloadMultiple * g.warmth(s); math.Abs(all/most-1) > 0.15 {
			t.Errorf("%s: %d holders may send it %.3f of a second's work a second, want %.3f", s.ID, held[s.ID], all, most)
		}
	}
	g.lat[0].kinds = []kindLatency{{lowest: 0.05}}
	r := &request{Request: Request{ID: "r"}, store: &store{}}
	for _, s := range g.servers {
		if s.StartedAt = 0; !s.near {
			g.learn(r, s, AttemptResult{Result: OK, Latency: 50 * ms})
		}
	}
	if g.okWarm != 0 {
		t.Error("work of servers outside of the part counts for what its members carry")
	}
	if g.learn(r, g.near[0], AttemptResult{Result: OK, Latency: 50 * ms}); g.okWarm == 0 {
		t.Error("work of a member does not count")
	}
}
