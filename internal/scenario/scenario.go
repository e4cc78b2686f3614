// Package scenario runs scenarios: real instances of the gateway on loopback sockets, between
// test server sites and licensees' clients. When one ends, it holds what the sites recorded
// against what the instances counted, and tells which rules were kept.
package scenario

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Options are an operator's choices.
type Options struct {
	Scenario string
	For      time.Duration
	Seed     uint64
	Progress func(line string) // nil: none
	Log      io.Writer         // of the instances; nil: dropped
	Program  string            // gateway, for scenarios with processes
	Env      []string          // added to its environment

	RampOff      bool // the instances take every server for warm: servers-replaced must then show a fallen one
	KeysAnywhere bool // without the guard of keys: site-closes must then show double bookings

	breakRule func(*environment) // a test breaks a rule on purpose
}

// Scenario is one that can be played.
type Scenario struct {
	Name, About string
	mix         func() []testserver.RequestTemplate
	faults      testserver.Faults
	price       func(version int, operation string, units int) int
	during      func(context.Context, *environment) // runs beside the clients, until ctx ends
	cluster     func(context.Context, *clusterRun)  // likewise, with instances as processes that agree
	// Times what licensees ask for otherwise; 0: as much, or twice where it is small.
	rush float64
	// Sites of three servers with one core: one alone can't carry the load.
	small     bool
	followers int // instances beside the members that are told the configuration
	// Two instances at each of two sites; each reaches its own site alone, the other over the link.
	sites bool
}

// Scenarios are all that can be played.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", About: "two operations, no faults", mix: calmMix, price: sameUnits},
		{Name: "mixed", About: "all operations of the booking API; servers err, turn away, reset and fall silent", mix: mixedMix,
			price:  sameUnits,
			faults: testserver.Faults{Error: 0.01, ErrorWithoutRun: 0.01, Reset: 0.01, NoAnswer: 0.004, Refuse: 0.02}},
		{Name: "contract-change", About: "the same while the description changes ten times, twice to a bad one", mix: mixedMix,
			price: changingPrice, during: changeContract,
			faults: testserver.Faults{Error: 0.01, ErrorWithoutRun: 0.01, Reset: 0.01, NoAnswer: 0.004, Refuse: 0.02}},
		{Name: "leader-lost", About: "processes that agree; the leader is killed three times in the middle of changes", mix: mixedMix, price: sameUnits, cluster: leaderLost},
		{Name: "minority-cut", About: "processes that agree; one is cut off and serves on, one is cut off and refuses past its bound", mix: mixedMix, price: sameUnits, cluster: minorityCut},
		{Name: "rolling-restart", About: "processes that agree; each is restarted in turn", mix: mixedMix, price: sameUnits, cluster: rollingRestart},
		{Name: "hall-closes", About: "processes that agree; halls are closed and opened for keyed requests, whose clients repeat them anywhere", mix: persistentClients, price: sameUnits, cluster: siteCloses,
			faults: testserver.Faults{Error: 0.1, ErrorWithoutRun: 0.02, Reset: 0.1, NoAnswer: 0.03, Refuse: 0.02}},
		{Name: "instance-killed-holding-keys", About: "the same, and an instance is killed as each hall closes", mix: persistentClients, price: sameUnits, cluster: killedHoldingKeys, sites: true,
			faults: testserver.Faults{Error: 0.1, ErrorWithoutRun: 0.02, Reset: 0.1, NoAnswer: 0.03, Refuse: 0.02}},
		{Name: "hall-lost", About: "processes that agree; a hall falls silent while it runs work, and comes back as it was or empty; nobody tells the instances", mix: persistentClients, price: sameUnits, cluster: siteLost, sites: true,
			faults: testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Refuse: 0.02}},
		{Name: "hall-returns-empty", About: "the same with halls that come back cold: with one server, with all, with half of them, twice in a row", mix: persistentClients, price: sameUnits, cluster: siteReturnsEmpty, sites: true,
			faults: testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Refuse: 0.02}},
		{Name: "flapping", About: "the same with a hall that falls silent and answers again all the time", mix: persistentClients, price: sameUnits, cluster: flapping, sites: true,
			faults: testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Refuse: 0.02}},
		{Name: "two-sites", About: "processes that agree, two at each of two sites, and no faults", mix: persistentClients, price: sameUnits, cluster: func(ctx context.Context, _ *clusterRun) { <-ctx.Done() }, sites: true},
		{Name: "hall-lost-surge", About: "a hall that carries half of the load is lost and comes back cold; what is served is held against an oracle", mix: persistentClients, price: sameUnits, cluster: hallLostSurge, sites: true, small: true},
		{Name: "servers-replaced", About: "a crowd asks for all that there is, and a hall's warm servers end a moment after a cold one has come", mix: persistentClients, price: sameUnits, cluster: serversReplaced, sites: true, small: true, rush: 6},
		{Name: "link-drops", About: "processes that agree, two at each of two sites; the way between the sites falls silent and breaks all the time", mix: persistentClients, price: sameUnits, cluster: linkDrops, sites: true,
			faults: testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Refuse: 0.02}},
		{Name: "both-cut", About: "the same, and all ways between the sites stay cut: each is alone", mix: persistentClients, price: sameUnits, cluster: bothCut, sites: true,
			faults: testserver.Faults{Error: 0.02, ErrorWithoutRun: 0.01, Reset: 0.02, NoAnswer: 0.01, Refuse: 0.02}},
		{Name: "followers", About: "three members that agree and two instances that follow, and no faults", mix: mixedMix, price: sameUnits, cluster: func(ctx context.Context, _ *clusterRun) { <-ctx.Done() }, followers: 2},
		{Name: "stream-breaks", About: "three members that agree and two instances that follow; the ways between them fall silent all the time", mix: mixedMix, price: sameUnits, cluster: streamBreaks, followers: 2},
		{Name: "follower-restarts", About: "the same; followers are killed and started again", mix: mixedMix, price: sameUnits, cluster: killMembers(func(c *clusterRun) []*member { return c.followers }), followers: 2},
		{Name: "member-dies-with-followers", About: "the same; members are killed and started again", mix: mixedMix, price: sameUnits, cluster: killMembers(func(c *clusterRun) []*member { return c.members }), followers: 2},
		{Name: "chaos-config", About: "processes that agree; kills, cuts, lost, late and repeated messages, failing disks, by the seed", mix: mixedMix, price: sameUnits, cluster: chaosConfig},
	}
}

// environment is a scenario under way.
type environment struct {
	options   Options
	scenario  Scenario
	ledger    *testserver.Ledger
	halls     []*testserver.Site
	instances []*gateway.Instance
	configs   []*gateway.Config
	addrs     []string
	compile   routing.Options

	mu      sync.Mutex
	records []gateway.RequestRecord
	changes int
	notes   []string // what a scenario found wrong
}

// memberCount is the number of instances: two at each of two sites, or three that reach both sites.
func (w *environment) memberCount() int {
	if w.scenario.sites {
		return 4
	}
	return instances
}

// licensees is what the licensees ask for: in a small scenario it takes nine tenths of what both sites can do.
func (w *environment) licensees() []testserver.Licensee {
	ls := allLicensees()
	for i := range ls {
		if w.scenario.small || w.scenario.rush > 0 {
			ls[i].Rate *= cmp.Or(w.scenario.rush, 2)
		}
	}
	return ls
}

// serverCount and cores are the size of a site.
func (w *environment) serverCount() int {
	if w.scenario.small {
		return 3
	}
	return perHall
}

func (w *environment) coreCount() int {
	if w.scenario.small {
		return 1
	}
	return 2
}

// Sizes and times of a scenario.
const (
	instances  = 3
	perHall    = 5
	startWait  = 10 * time.Second
	defaultFor = 20 * time.Second
)

// classes and plans are those of the booking platform, with rates for a short run.
func classes() []routing.Class {
	return []routing.Class{
		{Name: "slot-check", PriorityWeight: 3, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "visit-book", PriorityWeight: 9, LateFraction: 0.2, LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second},
	}
}

func settings(me int) policy.Settings {
	return policy.Settings{
		InstanceIndex: me, InstanceCount: instances, Zone: siteName(me % 2),
		Plans: []policy.Plan{
			{Name: "msingi", Rate: 6, Burst: 24, PriorityFactor: 0.88, OverQuotaFraction: 0.3},
			{Name: "kati", Rate: 24, Burst: 60, PriorityFactor: 1.1, OverQuotaCost: 0.6},
			{Name: "kubwa", Rate: 90, Burst: 150, HardLimitRate: 180, HardLimitBurst: 300, HardLimitSlack: 30, PriorityFactor: 1.6, OverQuotaCost: 1},
		},
		ResponseSlack: 8 * time.Millisecond, DrainGracePeriod: 250 * time.Millisecond,
		SlowStartMinFraction: 0.17, SlowStartWindow: 15 * time.Second, ColdOverloadMultiple: 2.5, ColdOverloadWindow: 2 * time.Second,
		MaxAttempts: 5, AllowsCancel: true, AllowsGossip: true, AllowsHealthChecks: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		LoadReports: policy.LoadReportsInHealthChecks, GossipInboxRate: 40, MaxUnits: 50, MinEventInterval: 2 * time.Millisecond,
		CrossZonePrice: 0.01, GossipPrice: 0.03, HealthCheckPrice: 0.01, WastedWorkPrice: 0.05,
	}
}

func siteName(i int) string { return [...]string{"hall-a", "hall-b"}[i] }

func allLicensees() (ls []testserver.Licensee) {
	for i := range 12 {
		ls = append(ls, testserver.Licensee{Name: fmt.Sprintf("msingi-%d", i), Plan: "msingi", Rate: 2})
	}
	for i := range 6 {
		ls = append(ls, testserver.Licensee{Name: fmt.Sprintf("kati-%d", i), Plan: "kati", Rate: 8})
	}
	for i := range 3 {
		ls = append(ls, testserver.Licensee{Name: fmt.Sprintf("kubwa-%d", i), Plan: "kubwa", Rate: 25})
	}
	// One asks for several times its quota.
	return append(ls, testserver.Licensee{Name: "kubwa-greedy", Plan: "kubwa", Rate: 120})
}

// Run runs a scenario and judges it. An error means that it could not be played.
func Run(ctx context.Context, opt Options) (*Verdict, error) {
	i := slices.IndexFunc(Scenarios(), func(s Scenario) bool { return s.Name == opt.Scenario })
	if i < 0 {
		return nil, fmt.Errorf("scenario %q is unknown: see --list", opt.Scenario)
	}
	if opt.For <= 0 {
		opt.For = defaultFor
	}
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	w := &environment{options: opt, scenario: Scenarios()[i], ledger: &testserver.Ledger{}}
	w.compile = routing.Options{Classes: classes(), MaxUnits: 50}
	if w.scenario.cluster != nil {
		return w.runCluster(ctx)
	}
	return w.run(ctx)
}

func (w *environment) run(ctx context.Context) (*Verdict, error) {
	halls, closeHalls, err := w.startSites()
	if err != nil {
		return nil, err
	}
	defer closeHalls()
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking, w.compile)
	if err != nil {
		return nil, fmt.Errorf("the embedded description: %w", err)
	}
	life, stop := context.WithCancel(ctx)
	defer stop()
	ended, err := w.start(life, halls, table)
	if err != nil {
		return nil, err
	}
	clients := &testserver.Clients{Instances: w.addrs, Licensees: w.licensees(), Mix: w.scenario.mix(), MaxAttempts: 3, Deadline: 2 * time.Second, Seed: w.options.Seed}
	playing, end := context.WithTimeout(ctx, w.options.For)
	defer end()
	var beside sync.WaitGroup
	if w.scenario.during != nil {
		beside.Go(func() { w.scenario.during(playing, w) })
	}
	if w.options.breakRule != nil {
		beside.Go(func() { w.options.breakRule(w) })
	}
	beside.Go(func() { w.progress(playing) })
	began := time.Now()
	tries := clients.Run(playing)
	beside.Wait()
	stop()
	for range w.instances {
		if err := <-ended; err != nil {
			return nil, fmt.Errorf("instance: %w", err)
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return w.checkRules(tries, began), nil
}

// startSites starts the sites and their servers.
func (w *environment) startSites() (halls []gateway.Site, closeAll func(), err error) {
	closeAll = func() {
		for _, h := range w.halls {
			h.Close()
		}
	}
	for i := range 2 {
		h, err := testserver.NewSite(siteName(i), routes(w.scenario.price), testserver.SiteConfig{Cores: w.coreCount(), MaxQueueLength: 60, IdempotencyTTL: 4 * time.Second,
			ColdCapacity: 0.17, WarmupWindow: 15 * time.Second, CollapseMultiple: 2.5, CollapseWindow: 2 * time.Second,
			Faults: w.scenario.faults, Seed: w.options.Seed}, w.ledger)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		w.halls = append(w.halls, h)
		for n := range w.serverCount() {
			if _, err := h.Start(fmt.Sprintf("s%d", n), false); err != nil {
				closeAll()
				return nil, nil, err
			}
		}
		halls = append(halls, gateway.Site{Name: h.Name, Discovery: h.Discovery.Addr()})
	}
	return halls, closeAll, nil
}

// start starts the instances and returns once all are ready.
func (w *environment) start(ctx context.Context, halls []gateway.Site, table *routing.Table) (ended chan error, err error) {
	var lns []net.Listener
	var conns []*net.UDPConn
	var addrs []netip.AddrPort
	for range instances {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		lns, conns = append(lns, ln), append(conns, conn)
		w.addrs = append(w.addrs, ln.Addr().String())
		addrs = append(addrs, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	known := map[string]gateway.Licensee{}
	for _, l := range allLicensees() {
		known[l.Name] = gateway.Licensee{Plan: l.Plan, Customer: gateway.CustomerOf(l.Name)}
	}
	ended = make(chan error, instances)
	ready := make(chan *gateway.Instance, instances)
	for i := range instances {
		cfg := &gateway.Config{Name: fmt.Sprintf("gate-%d", i), Seed: w.options.Seed + uint64(i), Sites: halls, Peers: addrs,
			Settings: settings(i), Classes: classes(), Licensees: known, Observe: w.observe, DrainTimeout: 50 * time.Millisecond}
		cfg.UseSockets(lns[i], conns[i])
		w.configs = append(w.configs, cfg)
		logger := log.New(w.options.Log, cfg.Name+" ", log.LstdFlags|log.Lmicroseconds)
		go func() {
			ended <- gateway.Run(ctx, cfg, cfg.Setup(1, table, nil), logger, func(in *gateway.Instance) { ready <- in })
		}()
	}
	for range instances {
		select {
		case in := <-ready:
			w.instances = append(w.instances, in)
		case err := <-ended:
			return nil, errors.Join(errors.New("an instance ended at its start"), err)
		case <-time.After(startWait):
			return nil, errors.New("an instance does not become ready")
		}
	}
	for _, in := range w.instances {
		if err := in.AwaitServers(ctx, 2*w.serverCount(), startWait); err != nil {
			return nil, err
		}
	}
	return ended, nil
}

func (w *environment) observe(r gateway.RequestRecord) {
	w.mu.Lock()
	w.records = append(w.records, r)
	w.mu.Unlock()
}

// progress tells how far a scenario has come, once a second.
func (w *environment) progress(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if w.options.Progress == nil {
			continue
		}
		var served, refused, failed int64
		for _, in := range w.instances {
			in.EachOperation(func(_ string, c *gateway.Counters) {
				served, refused, failed = served+c.Served.Load(), refused+c.Refused.Load(), failed+c.Failed.Load()
			})
		}
		w.mu.Lock()
		changes := w.changes
		w.mu.Unlock()
		line := fmt.Sprintf("%s %ds of %v: %d served, %d refused, %d failed", w.scenario.Name, n, w.options.For, served, refused, failed)
		if changes > 0 {
			line += fmt.Sprintf(", %d changes of the description", changes)
		}
		w.options.Progress(line)
	}
}
