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

// Run runs a scenario and returns its verdict. An error means that the scenario could not be run.
func Run(ctx context.Context, opt Options) (*Verdict, error) {
	i := slices.IndexFunc(Scenarios(), func(s Scenario) bool { return s.Name == opt.Scenario })
	if i < 0 {
		return nil, fmt.Errorf("unknown scenario %q (--list prints all)", opt.Scenario)
	}
	if opt.Duration <= 0 {
		opt.Duration = defaultDuration
	}
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	env := &environment{options: opt, scenario: Scenarios()[i], ledger: &testserver.Ledger{}, traces: requestTraces{},
		waits: schedwait.New()}
	env.waits.Add(harnessProcess, os.Getpid())
	env.waits.Start()
	defer env.waits.Stop()
	env.compileOptions = routing.Options{Classes: classes(), MaxUnits: maxUnits}
	if env.scenario.runOnCluster != nil {
		return env.runCluster(ctx)
	}
	return env.run(ctx)
}

// run runs a scenario with instances in this process.
func (env *environment) run(ctx context.Context) (*Verdict, error) {
	sites, closeSites, err := env.startSites()
	if err != nil {
		return nil, err
	}
	defer closeSites()
	table, _, err := openapi.Compile("booking.yaml", deploy.Booking, env.compileOptions)
	if err != nil {
		return nil, fmt.Errorf("compiling the embedded description: %w", err)
	}
	instancesCtx, stop := context.WithCancel(ctx)
	defer stop()
	ended, err := env.startInstances(instancesCtx, sites, table)
	if err != nil {
		return nil, err
	}
	clientsCtx, end := context.WithTimeout(ctx, env.options.Duration)
	defer end()
	var background sync.WaitGroup
	if env.scenario.runInProcess != nil {
		background.Go(func() { env.scenario.runInProcess(clientsCtx, env) })
	}
	if env.options.breakRule != nil {
		background.Go(func() { env.options.breakRule(env) })
	}
	background.Go(func() { env.reportProgress(clientsCtx) })
	began := time.Now()
	clientAttempts := env.newClients().Run(clientsCtx)
	background.Wait()
	stop()
	for range env.instances {
		if err := <-ended; err != nil {
			return nil, fmt.Errorf("instance failed: %w", err)
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return env.checkRules(clientAttempts, began), nil
}

// newClients returns the clients of the scenario. With processes, they don't resend a request whose connection ended:
// its instance may have been killed while the request ran.
func (env *environment) newClients() *testserver.Clients {
	return &testserver.Clients{
		Instances:   env.addrs,
		Licensees:   env.licensees(),
		Mix:         env.scenario.mix(),
		MaxAttempts: maxClientAttempts,
		Deadline:    clientDeadline,
		Seed:        env.options.Seed,
		NoResend:    env.scenario.runOnCluster != nil,

		LeaveFraction:  env.scenario.leaveFraction,
		MaxWaitToLeave: maxWaitToLeave,
	}
}

// startSites starts the sites and their servers.
func (env *environment) startSites() (sites []gateway.Site, closeAll func(), err error) {
	closeAll = func() {
		for _, site := range env.sites {
			site.Close()
		}
	}
	for _, name := range siteNames {
		site, err := testserver.NewSite(name, routes(env.scenario.price), env.siteConfig(), env.ledger)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		env.sites = append(env.sites, site)
		for n := range env.serverCount() {
			if _, err := site.Start(fmt.Sprintf("s%d", n)); err != nil {
				closeAll()
				return nil, nil, err
			}
		}
		sites = append(sites, gateway.Site{Name: site.Name, Discovery: site.Discovery.Addr()})
	}
	return sites, closeAll, nil
}

// siteConfig returns the configuration of each site.
func (env *environment) siteConfig() testserver.SiteConfig {
	return testserver.SiteConfig{
		Cores:            env.coreCount(),
		MaxQueueLength:   maxQueueLength,
		IdempotencyTTL:   idempotencyTTL,
		ColdCapacity:     coldCapacity,
		WarmupWindow:     slowStartWindow,
		CollapseMultiple: collapseMultiple,
		CollapseWindow:   collapseWindow,
		Faults:           env.scenario.faults,
		Seed:             env.options.Seed,
	}
}

// instanceSockets are the open sockets of instances that run in this process.
type instanceSockets struct {
	listeners   []net.Listener // for clients
	gossipConns []*net.UDPConn
	gossipAddrs []netip.AddrPort
}

// openSockets opens the sockets of all instances on free ports.
func (env *environment) openSockets() (*instanceSockets, error) {
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
		env.addrs = append(env.addrs, listener.Addr().String())
	}
	return s, nil
}

// startInstances starts the instances and returns once all are ready. The channel receives the result of each instance
// when it ends.
func (env *environment) startInstances(
	ctx context.Context,
	sites []gateway.Site,
	table *routing.Table,
) (ended chan error, err error) {
	sockets, err := env.openSockets()
	if err != nil {
		return nil, err
	}
	ended = make(chan error, instanceCount)
	ready := make(chan *gateway.Instance, instanceCount)
	for i := range instanceCount {
		cfg := env.instanceConfig(i, sites, sockets.gossipAddrs)
		cfg.UseSockets(sockets.listeners[i], sockets.gossipConns[i])
		env.configs = append(env.configs, cfg)
		logger := logging.New(env.options.Log)
		go func() {
			ended <- gateway.Run(ctx, cfg, cfg.Setup(1, table, nil), logger, func(in *gateway.Instance) { ready <- in })
		}()
	}
	if err := env.awaitInstances(ctx, ready, ended); err != nil {
		return nil, err
	}
	return ended, nil
}

// instanceConfig returns the configuration of instance i.
func (env *environment) instanceConfig(i int, sites []gateway.Site, gossipAddrs []netip.AddrPort) *gateway.Config {
	return &gateway.Config{
		Name:         fmt.Sprintf("gate-%d", i),
		Seed:         env.options.Seed + uint64(i),
		Sites:        sites,
		Peers:        gossipAddrs,
		Settings:     settings(i),
		Classes:      classes(),
		Licensees:    licenseeConfigs(),
		OnAnswer:     env.observe,
		OnTrace:      env.observeTrace,
		DrainTimeout: drainTimeout,
	}
}

// awaitInstances waits until all instances are ready and have discovered all servers.
func (env *environment) awaitInstances(ctx context.Context, ready <-chan *gateway.Instance, ended <-chan error) error {
	for range instanceCount {
		select {
		case in := <-ready:
			env.instances = append(env.instances, in)
		case err := <-ended:
			return errors.Join(errors.New("instance ended before it was ready"), err)
		case <-time.After(readyTimeout):
			return errors.New("instance not ready within the start timeout")
		}
	}
	for _, in := range env.instances {
		if err := in.AwaitServers(ctx, 2*env.serverCount(), readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// licenseeConfigs are all licensees as an instance's configuration has them.
func licenseeConfigs() map[string]gateway.Licensee {
	known := map[string]gateway.Licensee{}
	for _, l := range allLicensees() {
		known[l.Name] = gateway.Licensee{Plan: l.Plan, Customer: gateway.CustomerID(l.Name)}
	}
	return known
}

// observe stores an instance's record of a request.
func (env *environment) observe(r gateway.RequestRecord) {
	env.mu.Lock()
	env.records = append(env.records, r)
	env.mu.Unlock()
}

// observeTrace stores an instance's trace of a request.
func (env *environment) observeTrace(trace gateway.RequestTrace) {
	env.mu.Lock()
	env.traces.add(trace)
	env.mu.Unlock()
}

// reportProgress reports the scenario's progress once a second, until ctx ends.
func (env *environment) reportProgress(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if env.options.Progress == nil {
			continue
		}
		var served, refused, failed int64
		for _, in := range env.instances {
			in.EachOperation(func(_ string, c *gateway.Counters) {
				served, refused, failed = served+c.Served.Load(), refused+c.Rejected.Load(), failed+c.Failed.Load()
			})
		}
		env.mu.Lock()
		changes := env.changeCount
		env.mu.Unlock()
		line := fmt.Sprintf("%s %ds of %v: %d served, %d refused, %d failed", env.scenario.Name, n, env.options.Duration,
			served, refused, failed)
		if changes > 0 {
			line += fmt.Sprintf(", %d changes of the description", changes)
		}
		env.options.Progress(line)
	}
}
