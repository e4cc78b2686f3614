package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/schedwait"
	"mulleinmux/internal/testserver"
	"mulleinmux/routing"
)

// Run runs a scenario and judges it. An error means that it could not be run.
func Run(ctx context.Context, opt Options) (*Verdict, error) {
	i := slices.IndexFunc(Scenarios(), func(s Scenario) bool { return s.Name == opt.Scenario })
	if i < 0 {
		return nil, fmt.Errorf("scenario %q is unknown: see --list", opt.Scenario)
	}
	if opt.For <= 0 {
		opt.For = defaultDuration
	}
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	w := &environment{options: opt, scenario: Scenarios()[i], ledger: &testserver.Ledger{}, traces: requestTraces{},
		waits: schedwait.New()}
	w.waits.Add(harnessProcess, os.Getpid())
	w.waits.Start()
	defer w.waits.Stop()
	w.compile = routing.Options{Classes: classes(), MaxUnits: maxUnits}
	if w.scenario.cluster != nil {
		return w.runCluster(ctx)
	}
	return w.run(ctx)
}

// run runs a scenario with instances in this process.
func (w *environment) run(ctx context.Context) (*Verdict, error) {
	sites, closeSites, err := w.startSites()
	if err != nil {
		return nil, err
	}
	defer closeSites()
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking, w.compile)
	if err != nil {
		return nil, fmt.Errorf("the embedded description: %w", err)
	}
	instancesCtx, stop := context.WithCancel(ctx)
	defer stop()
	ended, err := w.startInstances(instancesCtx, sites, table)
	if err != nil {
		return nil, err
	}
	clientsCtx, end := context.WithTimeout(ctx, w.options.For)
	defer end()
	var beside sync.WaitGroup
	if w.scenario.during != nil {
		beside.Go(func() { w.scenario.during(clientsCtx, w) })
	}
	if w.options.breakRule != nil {
		beside.Go(func() { w.options.breakRule(w) })
	}
	beside.Go(func() { w.reportProgress(clientsCtx) })
	began := time.Now()
	clientAttempts := w.newClients().Run(clientsCtx)
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
	return w.checkRules(clientAttempts, began), nil
}

// newClients returns the clients of the scenario. With processes none repeats a request by itself whose connection
// ended: its instance may have been killed while it ran.
func (w *environment) newClients() *testserver.Clients {
	return &testserver.Clients{
		Instances:   w.addrs,
		Licensees:   w.licensees(),
		Mix:         w.scenario.mix(),
		MaxAttempts: maxClientAttempts,
		Deadline:    clientDeadline,
		Seed:        w.options.Seed,
		NoResend:    w.scenario.cluster != nil,
	}
}

// startSites starts the sites and their servers.
func (w *environment) startSites() (sites []gateway.Site, closeAll func(), err error) {
	closeAll = func() {
		for _, site := range w.sites {
			site.Close()
		}
	}
	for _, name := range siteNames {
		site, err := testserver.NewSite(name, routes(w.scenario.price), w.siteConfig(), w.ledger)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		w.sites = append(w.sites, site)
		for n := range w.serverCount() {
			if _, err := site.Start(fmt.Sprintf("s%d", n)); err != nil {
				closeAll()
				return nil, nil, err
			}
		}
		sites = append(sites, gateway.Site{Name: site.Name, Discovery: site.Discovery.Addr()})
	}
	return sites, closeAll, nil
}

// siteConfig configures each site.
func (w *environment) siteConfig() testserver.SiteConfig {
	return testserver.SiteConfig{
		Cores:            w.coreCount(),
		MaxQueueLength:   maxQueueLength,
		IdempotencyTTL:   idempotencyTTL,
		ColdCapacity:     coldCapacity,
		WarmupWindow:     slowStartWindow,
		CollapseMultiple: collapseMultiple,
		CollapseWindow:   collapseWindow,
		Faults:           w.scenario.faults,
		Seed:             w.options.Seed,
	}
}

// instanceSockets are the open sockets of instances that run in this process.
type instanceSockets struct {
	listeners   []net.Listener // for clients
	gossipConns []*net.UDPConn
	gossipAddrs []netip.AddrPort
}

// openSockets opens the sockets of all instances on free ports.
func (w *environment) openSockets() (*instanceSockets, error) {
	s := &instanceSockets{}
	for range instanceCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		s.listeners = append(s.listeners, listener)
		s.gossipConns = append(s.gossipConns, conn)
		s.gossipAddrs = append(s.gossipAddrs, conn.LocalAddr().(*net.UDPAddr).AddrPort())
		w.addrs = append(w.addrs, listener.Addr().String())
	}
	return s, nil
}

// startInstances starts the instances and returns once all are ready. Their ends come on the channel.
func (w *environment) startInstances(
	ctx context.Context,
	sites []gateway.Site,
	table *routing.Table,
) (ended chan error, err error) {
	sockets, err := w.openSockets()
	if err != nil {
		return nil, err
	}
	ended = make(chan error, instanceCount)
	ready := make(chan *gateway.Instance, instanceCount)
	for i := range instanceCount {
		cfg := w.instanceConfig(i, sites, sockets.gossipAddrs)
		cfg.UseSockets(sockets.listeners[i], sockets.gossipConns[i])
		w.configs = append(w.configs, cfg)
		logger := logging.New(w.options.Log)
		go func() {
			ended <- gateway.Run(ctx, cfg, cfg.Setup(1, table, nil), logger, func(in *gateway.Instance) { ready <- in })
		}()
	}
	if err := w.awaitInstances(ctx, ready, ended); err != nil {
		return nil, err
	}
	return ended, nil
}

// instanceConfig configures instance i.
func (w *environment) instanceConfig(i int, sites []gateway.Site, gossipAddrs []netip.AddrPort) *gateway.Config {
	return &gateway.Config{
		Name:         fmt.Sprintf("gate-%d", i),
		Seed:         w.options.Seed + uint64(i),
		Sites:        sites,
		Peers:        gossipAddrs,
		Settings:     settings(i),
		Classes:      classes(),
		Licensees:    knownLicensees(),
		Observe:      w.observe,
		Trace:        w.observeTrace,
		DrainTimeout: drainTimeout,
	}
}

// awaitInstances waits until all instances are ready and know all servers.
func (w *environment) awaitInstances(ctx context.Context, ready <-chan *gateway.Instance, ended <-chan error) error {
	for range instanceCount {
		select {
		case in := <-ready:
			w.instances = append(w.instances, in)
		case err := <-ended:
			return errors.Join(errors.New("an instance ended at its start"), err)
		case <-time.After(readyTimeout):
			return errors.New("an instance does not become ready")
		}
	}
	for _, in := range w.instances {
		if err := in.AwaitServers(ctx, 2*w.serverCount(), readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// knownLicensees are all licensees as an instance's configuration has them.
func knownLicensees() map[string]gateway.Licensee {
	known := map[string]gateway.Licensee{}
	for _, l := range allLicensees() {
		known[l.Name] = gateway.Licensee{Plan: l.Plan, Customer: gateway.CustomerID(l.Name)}
	}
	return known
}

// observe takes the record of a request from an instance.
func (w *environment) observe(r gateway.RequestRecord) {
	w.mu.Lock()
	w.records = append(w.records, r)
	w.mu.Unlock()
}

// observeTrace takes the trace of a request from an instance.
func (w *environment) observeTrace(trace gateway.RequestTrace) {
	w.mu.Lock()
	w.traces.add(trace)
	w.mu.Unlock()
}

// reportProgress reports how far a scenario has come, once a second.
func (w *environment) reportProgress(ctx context.Context) {
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
		changes := w.changeCount
		w.mu.Unlock()
		line := fmt.Sprintf("%s %ds of %v: %d served, %d refused, %d failed", w.scenario.Name, n, w.options.For,
			served, refused, failed)
		if changes > 0 {
			line += fmt.Sprintf(", %d changes of the description", changes)
		}
		w.options.Progress(line)
	}
}
