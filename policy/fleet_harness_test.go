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

func (t fleetTotals) worth() float64 { return t.served / t.offered }

func sum(all []fleetTotals) (sum fleetTotals) {
	for _, t := range all {
		sum.offered, sum.served = sum.offered+t.offered, sum.served+t.served
		sum.attempts, sum.opened, sum.noConn, sum.falls = sum.attempts+t.attempts, sum.opened+t.opened, sum.noConn+t.noConn, sum.falls+t.falls
		sum.probes, sum.tries, sum.refused, sum.wait = sum.probes+t.probes, sum.tries+t.tries, sum.refused+t.refused, sum.wait+t.wait
	}
	return sum
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

func (s *fleetSim) after(d time.Duration, run func()) {
	s.n++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.n, run})
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
	var refused [rejectReasonCount]uint64
	f, rho, n := 0.0, 0.0, 0.0
	for i, g := range s.gates {
		if s.lives[i] < 0 {
			continue
		}
		for why, k := range g.rejections {
			refused[why] += k
		}
		g.rejections = [rejectReasonCount]uint64{}
		f, rho, n = f+g.overload.admitFraction, rho+g.overload.occupancy, n+1
	}
	var out []string
	for why, k := range refused {
		if k > 0 {
			out = append(out, fmt.Sprintf("%s %d", rejectReasonNames[why], k))
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

func (s *fleetSim) killGates(part float64, back time.Duration) {
	for i := range s.gates {
		if s.rng.Float64() < part {
			s.kill(i)
			s.after(back+time.Duration(s.rng.IntN(500))*ms, func() { s.start(i) })
		}
	}
}

// withParts plays f with another rule for parts.
func withParts(rule subset.Rule, f func()) {
	was := subsetRule
	subsetRule = rule
	defer func() { subsetRule = was }()
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

// both plays with parts and without.
func both(t *testing.T, f func() fleetTotals) (with, without fleetTotals) {
	t.Helper()
	with = f()
	withParts(subset.Rule{}, func() { without = f() })
	t.Logf("with parts %.3f of the worth, %d connections opened, %d not made, %d probes; without %.3f, %d, %d, %d", with.worth(), with.opened, with.noConn, with.probes,
		without.worth(), without.opened, without.noConn, without.probes)
	return with, without
}
