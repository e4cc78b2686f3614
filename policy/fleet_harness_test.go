package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/eventqueue"
	"mulleinmux/subset"
)

// A simulation of a fleet on a virtual clock: engines send requests to simulated servers, which queue them, limit their
// connections, start cold and fail when overloaded. Unlike in the rule checker, servers get slower with their load.

// fleetRequest is one try of a client.
type fleetRequest struct {
	id           string
	engine       int
	class        string
	customer     int
	at, deadline time.Duration
	tryCount     int
	firstTryAt   time.Duration
	isDone       bool
	attempts     []fleetAttempt
}

// fleetAttempt is one attempt of an engine at a server.
type fleetAttempt struct {
	server           *simServer
	incarnation      int
	isCancelled      bool
	isDone           bool
	reusesConnection bool
	sentAt           time.Duration
}

// fleetTotals holds the counts of a fleet over a period of time.
type fleetTotals struct {
	offeredValue, servedValue            float64
	requests, tries, succeeded, rejected int
	attempts, healthChecks               int
	connectionsOpened, connectionsFailed int
	serverRejections, serversOverloaded  int
	gossipMessages                       int
	firstAttemptDelay                    time.Duration // sum of the delays of first attempts
}

// servedFraction returns the fraction of the offered value that was served.
func (t fleetTotals) servedFraction() float64 { return t.servedValue / t.offeredValue }

func sumTotals(all []fleetTotals) (sum fleetTotals) {
	for _, t := range all {
		sum.offeredValue += t.offeredValue
		sum.servedValue += t.servedValue
		sum.tries += t.tries
		sum.rejected += t.rejected
		sum.attempts += t.attempts
		sum.connectionsOpened += t.connectionsOpened
		sum.connectionsFailed += t.connectionsFailed
		sum.serversOverloaded += t.serversOverloaded
		sum.healthChecks += t.healthChecks
		sum.firstAttemptDelay += t.firstAttemptDelay
	}
	return sum
}

// fleetSim is a fleet of engines, servers and clients on one clock.
type fleetSim struct {
	rng                *rand.Rand
	now                time.Duration
	queue              eventqueue.Queue
	eventCount         int
	settings           Settings
	subsetSizing       subset.Sizing
	engines            []*Engine
	incarnations       []int // of the engines; negative while an engine is down
	hosts              []*fleetHost
	servers            []*simServer
	serversByID        map[string]*simServer
	pools              []map[string]*connectionPool
	requests           map[string]*fleetRequest
	gossipLoss         float64
	cumulativeRates    []float64                      // of customers: the sum of their request rates up to each
	firstInstances     []int                          // of customers
	instanceCounts     []int                          // of customers
	requestRate        func(at time.Duration) float64 // requests per second
	total              fleetTotals
	byWindow           []fleetTotals
	window             time.Duration
	dropsGossip        bool // all gossip is lost
	retryAfterFraction float64
	endpointListDelay  time.Duration
	reordersGossip     bool         // some messages are duplicated, and some delayed
	ledger             *fleetLedger // of units admitted; may be nil
}

// schedule runs a function after a delay, in simulated time.
func (s *fleetSim) schedule(d time.Duration, run func()) {
	s.eventCount++
	s.queue.Push(eventqueue.Event{At: s.now + max(d, 0), Order: s.eventCount, Run: run})
}

// handleAnswer counts the final answer of a try. The client of a request without success tries up to three times.
func (s *fleetSim) handleAnswer(r *fleetRequest, ok bool, wait time.Duration) {
	if r.isDone {
		return
	}
	r.isDone = true
	inWindow := &s.byWindow[int(s.now/s.window)]
	value, objective := 3.0, 400*ms
	if r.class == "keyed" {
		value, objective = 9, 750*ms
	}
	if ok {
		s.total.succeeded++
		if s.now-r.firstTryAt <= objective {
			s.total.servedValue += value
			inWindow.servedValue += value
		}
		return
	}
	s.total.rejected++
	inWindow.rejected++
	if r.tryCount < 3 {
		pause := time.Duration((0.05 + 0.1*s.rng.Float64()) * float64(time.Second))
		if s.rng.Float64() < s.retryAfterFraction {
			pause = max(pause, wait)
		}
		s.schedule(pause, func() { s.sendTry(r.class, r.customer, r.firstTryAt, r.tryCount+1) })
	}
}

// sendTry sends a try of a customer's request to a random one of the customer's instances.
func (s *fleetSim) sendTry(class string, customer int, firstTryAt time.Duration, tryCount int) {
	s.eventCount++
	timeout := 2*time.Second - (s.now - firstTryAt)
	if timeout < 20*ms {
		return
	}
	instance := (s.firstInstances[customer] + s.rng.IntN(s.instanceCounts[customer])) % len(s.engines)
	if s.incarnations[instance] < 0 {
		return
	}
	r := &fleetRequest{id: fmt.Sprintf("r%d", s.eventCount), engine: instance, class: class, customer: customer,
		at: s.now, firstTryAt: firstTryAt, deadline: s.now + timeout, tryCount: tryCount}
	s.requests[r.id] = r
	s.total.tries++
	s.ledger.requestReceived(s.now, r)
	s.schedule(timeout, func() {
		if !r.isDone {
			r.isDone = true
			if s.incarnations[instance] >= 0 {
				s.engines[instance].ClientDisconnected(s.now, r.id, s.hosts[instance])
			}
		}
		delete(s.requests, r.id)
	})
	q := Request{ID: r.id, Class: class, Plan: "kubwa", Customer: uint64(customer + 1), Timeout: timeout, Units: 1,
		InstanceCount: s.instanceCounts[customer], FirstInstance: s.firstInstances[customer]}
	s.engines[instance].RequestReceived(s.now, q, s.hosts[instance])
}

// scheduleNextRequest schedules the next new request, after an exponentially distributed delay.
func (s *fleetSim) scheduleNextRequest() {
	rate := s.requestRate(s.now)
	s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		class, value := "safe", 3.0
		if s.rng.Float64() < 0.43 {
			class, value = "keyed", 9
		}
		s.total.requests++
		s.total.offeredValue += value
		s.byWindow[int(s.now/s.window)].offeredValue += value
		x := s.rng.Float64() * s.cumulativeRates[len(s.cumulativeRates)-1]
		s.sendTry(class, sort.SearchFloat64s(s.cumulativeRates, x), s.now, 1)
		s.scheduleNextRequest()
	})
}

// run processes events up to a time.
func (s *fleetSim) run(until time.Duration) {
	for s.queue.Len() > 0 && s.queue.NextAt() <= until {
		e := s.queue.Pop()
		s.now = e.At
		e.Run()
	}
	s.now = until
}

// startEngine starts a new process of an engine, with the current endpoint list.
func (s *fleetSim) startEngine(instance int) {
	set := s.settings
	set.InstanceIndex, set.Zone = instance, []string{"a", "b"}[instance%2]
	e, err := New(set, s.rng.Uint64())
	if err != nil {
		panic(err)
	}
	e.subset.sizing = s.subsetSizing
	s.incarnations[instance] = max(s.incarnations[instance], -s.incarnations[instance]) + 1
	s.engines[instance], s.pools[instance] = e, map[string]*connectionPool{}
	s.hosts[instance] = &fleetHost{s, instance, s.incarnations[instance]}
	e.Start(s.now, s.hosts[instance])
	e.EndpointsChanged(s.now, EndpointsSaved, s.endpointList(), s.hosts[instance])
}

// killEngine ends the process of an engine with all its requests and connections.
func (s *fleetSim) killEngine(instance int) {
	s.incarnations[instance] = -s.incarnations[instance]
	for id, pool := range s.pools[instance] {
		if b := s.serversByID[id]; b != nil {
			b.connections -= len(pool.idleSince) + pool.inUse
		}
	}
	for _, r := range s.requests {
		if r.engine == instance {
			r.isDone = true
			for i := range r.attempts {
				r.attempts[i].isDone = true
			}
		}
	}
}

// newFleet starts a fleet under a load that is a fraction of its servers' capacity.
func newFleet(seed uint64, engines, servers int, load float64) *fleetSim {
	return newFleetWithSubsets(defaultSubsetSizing, seed, engines, servers, load)
}

// newFleetWithSubsets is newFleet with another sizing of the subsets.
func newFleetWithSubsets(sizing subset.Sizing, seed uint64, engines, servers int, load float64) *fleetSim {
	s := &fleetSim{
		rng:                rand.New(rand.NewPCG(seed, 7)),
		now:                1000 * time.Second,
		settings:           fleetSettings(engines),
		subsetSizing:       sizing,
		engines:            make([]*Engine, engines),
		incarnations:       make([]int, engines),
		hosts:              make([]*fleetHost, engines),
		pools:              make([]map[string]*connectionPool, engines),
		serversByID:        map[string]*simServer{},
		requests:           map[string]*fleetRequest{},
		gossipLoss:         0.05,
		retryAfterFraction: 0.6,
		window:             time.Second,
		byWindow:           make([]fleetTotals, 2000),
	}
	rate := load * float64(servers) * fleetCores / 0.073
	s.requestRate = func(time.Duration) float64 { return rate }
	s.addCustomers(max(int(rate/9), 1))
	for range servers {
		s.addServer()
	}
	for i := range s.engines {
		s.startEngine(i)
	}
	s.scheduleNextRequest()
	return s
}

// addCustomers draws the customers' request rates, and the engines that receive their requests.
func (s *fleetSim) addCustomers(n int) {
	sum := 0.0
	for range n {
		sum += 0.3 + s.rng.ExpFloat64()
		instances := int(float64(len(s.engines)) * (0.05 + 0.1*s.rng.Float64()))
		s.cumulativeRates = append(s.cumulativeRates, sum)
		s.instanceCounts = append(s.instanceCounts, max(1, instances))
		s.firstInstances = append(s.firstInstances, s.rng.IntN(len(s.engines)))
	}
}

// fleetSettings returns the settings of each engine of a fleet.
func fleetSettings(engines int) Settings {
	set := testSettings()
	set.InstanceCount, set.GossipInboxRate, set.MinEventInterval = engines, 40, 2*ms
	set.AllowsHealthChecks, set.LoadReports = true, LoadReportsInHealthChecks
	set.SlowStartMinFraction, set.SlowStartWindow = 0.3, 10*time.Second
	set.ColdOverloadMultiple, set.ColdOverloadWindow = 2.5, 2*time.Second
	set.MaxAttempts = 5
	set.Classes = []Class{
		{
			Name:             "safe",
			Idempotency:      Idempotent,
			LatencyObjective: 400 * ms,
			Deadline:         2 * time.Second,
			PriorityWeight:   3,
		},
		{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 4 * time.Second,
			LatencyObjective: 750 * ms, Deadline: 2 * time.Second, PriorityWeight: 9, LateFraction: 0.2},
	}
	set.Plans = []Plan{{Name: "kubwa", Rate: 18, Burst: 36, HardLimitRate: 40, HardLimitBurst: 80,
		PriorityFactor: 1.6, OverQuotaCost: 1}}
	set.CrossZonePrice, set.HealthCheckPrice = 0.01, 0.01
	set.GossipPrice, set.WastedWorkPrice = 0.03, 0.05
	return set
}

// summary describes what has happened since the previous summary.
func (s *fleetSim) summary() string {
	t := s.total
	var rejections [rejectReasonCount]uint64
	f, rho, n := 0.0, 0.0, 0.0
	for i, e := range s.engines {
		if s.incarnations[i] < 0 {
			continue
		}
		for why, k := range e.rejections {
			rejections[why] += k
		}
		e.rejections = [rejectReasonCount]uint64{}
		f, rho, n = f+e.overload.AdmitFraction(), rho+e.overload.Occupancy(), n+1
	}
	var out []string
	for why, k := range rejections {
		if k > 0 {
			out = append(out, fmt.Sprintf("%s %d", rejectReasonNames[why], k))
		}
	}
	work, open, busy := 0.0, 0, 0.0
	for _, b := range s.servers {
		work, open = work+b.workReceived, open+b.connections
		for _, c := range b.coreFreeAt {
			busy = math.Max(busy, (c - s.now).Seconds())
		}
		b.workReceived = 0
	}
	s.total = fleetTotals{}
	connections := float64(t.connectionsOpened) / float64(max(t.attempts, 1))
	return strings.Join([]string{
		fmt.Sprintf("value %.3f", t.servedFraction()),
		fmt.Sprintf("requests %d, %.2f tries each", t.requests, float64(t.tries)/float64(t.requests)),
		fmt.Sprintf("%d attempts, %.2f connections each", t.attempts, connections),
		fmt.Sprintf("%d connections open, %d failed", open, t.connectionsFailed),
		fmt.Sprintf("%d health checks", t.healthChecks),
		fmt.Sprintf("%d rejections by servers, %d servers overloaded", t.serverRejections, t.serversOverloaded),
		fmt.Sprintf("first attempt after %.0f ms", float64(t.firstAttemptDelay/ms)/float64(max(t.tries-t.rejected, 1))),
		fmt.Sprintf("work %.0f s, longest queue %.1f s", work, busy),
		fmt.Sprintf("admit fraction %.2f, occupancy %.2f", f/n, rho/n),
		"rejected: " + strings.Join(out, ", "),
	}, "; ")
}

// killEngines kills a random fraction of the engines. Each restarts after the downtime and a random time below 500 ms.
func (s *fleetSim) killEngines(fraction float64, downtime time.Duration) {
	for i := range s.engines {
		if s.rng.Float64() < fraction {
			s.killEngine(i)
			s.schedule(downtime+time.Duration(s.rng.IntN(500))*ms, func() { s.startEngine(i) })
		}
	}
}

// fleetRun is a run of a fleet of 70 engines over 40 servers.
type fleetRun struct {
	seed    uint64
	sizing  subset.Sizing
	load    float64
	seconds int             // after the disturbance
	disturb func(*fleetSim) // may be nil
}

// run runs the fleet, disturbs it and returns the totals of each second after that.
func (r fleetRun) run(t *testing.T) (before fleetTotals, after []fleetTotals) {
	t.Helper()
	s := newFleetWithSubsets(r.sizing, r.seed, 70, 40, r.load)
	for _, b := range s.servers {
		b.maxConnections = 42
	}
	s.run(s.now + 3*time.Second)
	before = s.total
	t.Log("before: ", s.summary())
	if r.disturb != nil {
		r.disturb(s)
	}
	for range r.seconds {
		s.run(s.now + time.Second)
		after = append(after, s.total)
		t.Log(s.summary())
	}
	return before, after
}

// withAndWithoutSubsets runs a fleet with subsets and one without, in parallel.
func withAndWithoutSubsets(
	t *testing.T, run func(t *testing.T, sizing subset.Sizing) fleetTotals,
) (with, without fleetTotals) {
	t.Helper()
	cases := []struct {
		name   string
		sizing subset.Sizing
		totals *fleetTotals
	}{
		{"with", defaultSubsetSizing, &with},
		{"without", subset.Sizing{}, &without},
	}
	t.Run("subsets", func(t *testing.T) {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				*c.totals = run(t, c.sizing)
			})
		}
	})
	for _, c := range cases {
		t.Logf("%s subsets %.3f of the value, %d connections opened, %d not made, %d health checks", c.name,
			c.totals.servedFraction(), c.totals.connectionsOpened, c.totals.connectionsFailed, c.totals.healthChecks)
	}
	return with, without
}
