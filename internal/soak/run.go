package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/schedwait"
	"mulleinmux/internal/testserver"
)

// Timings of a run. The tool acts as the platform, whose load balancer still sends clients to a process for some time
// after its SIGTERM.
const (
	balancerDelay  = 400 * time.Millisecond // from a SIGTERM until no client opens a connection
	readyTimeout   = 6 * time.Second
	servingTime    = 300 * time.Millisecond // for which a new process serves before the next signal
	quietTime      = 300 * time.Millisecond // from the end of the last client to the count of descriptors
	stallThreshold = 50 * time.Millisecond  // a run with a stall as long as this counts as disturbed
)

// run is the state of one run of a plan.
type run struct {
	plan      *Plan
	target    target
	address   string
	dir       string
	socket    *os.File // the listening socket that processes inherit; nil if each opens its own
	records   records
	discovery *testserver.Discovery
	servers   []*appServer
	peer      *gossipPeer // nil if the plan has no gossip peer

	clientsMayConnect atomic.Bool // clients open new connections only while it is set
	sigtermSent       atomic.Bool // a process has received the first SIGTERM
	processes         []*process
	stalls            *schedwait.Monitor
	processProblems   []string // violations of ruleProcess found while the signals were sent
	outages           []interval
	stopClients       func() // stops the clients and waits until the last one has closed its connection
}

// Run executes a plan with a program and returns the verdict. It returns an error if the plan was not executed to its
// end.
func Run(ctx context.Context, plan *Plan, program string) (*Verdict, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{plan: plan, dir: dir, stalls: schedwait.New()}
	if r.discovery, err = testserver.NewDiscovery(); err != nil {
		return nil, err
	}
	defer r.discovery.Close()
	for i := range plan.Servers {
		server, err := startServer(i, plan, &r.records, &r.sigtermSent, r.discovery)
		if err != nil {
			return nil, err
		}
		defer server.close()
		r.servers = append(r.servers, server)
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	if r.socket != nil {
		defer r.socket.Close()
	}
	if plan.hasPeer() {
		if r.peer, err = newGossipPeer(); err != nil {
			return nil, err
		}
		defer r.peer.close()
	}
	if r.target, err = newTarget(plan, program, dir, r.address, r.discovery.Addr(), r.peer); err != nil {
		return nil, err
	}
	defer r.killAll()
	return r.execute(ctx)
}

// listen picks the address on which processes listen, and opens the listening socket if they inherit it.
func (r *run) listen() error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	defer listener.Close()
	r.address = listener.Addr().String()
	if r.plan.InheritsSocket {
		r.socket, err = listener.File()
	}
	return err
}

// killAll kills the processes that still run because the run ended early.
func (r *run) killAll() {
	for _, p := range r.processes {
		if !p.hasExited() {
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// execute starts the first process and the clients, sends the signals, waits until all processes have exited, and
// checks the rules.
func (r *run) execute(ctx context.Context) (*Verdict, error) {
	first, err := r.start()
	if err != nil {
		return nil, err
	}
	if !r.awaitReady(first) {
		return nil, fmt.Errorf("soak: the first process did not become ready; its log: %s", first.log())
	}
	if first.atReady, err = r.countDescriptors(first); err != nil {
		return nil, err
	}
	r.stalls.Start()
	clientsCtx, cancelClients := context.WithCancel(ctx)
	defer cancelClients()
	r.clientsMayConnect.Store(true)
	clients := r.startClients(clientsCtx)
	if r.plan.Drain != nil {
		timer := time.AfterFunc(r.plan.Drain.After, r.drainServer)
		defer timer.Stop()
	}
	r.stopClients = func() {
		cancelClients()
		clients.Wait()
	}
	sleep(ctx, r.plan.Duration)
	if err := r.runSignalSeries(ctx, first); err != nil {
		return nil, err
	}
	r.stopClients()
	r.closeServers()
	return r.checkRules(r.stalls.Stop()), ctx.Err()
}

// drainServer lists the plan's server as draining, or removes it from the list. The server itself goes on.
func (r *run) drainServer() {
	lifecycle := "draining"
	if r.plan.Drain.IsRemoved {
		lifecycle = "removed"
	}
	r.discovery.Put(r.servers[r.plan.Drain.Server].entry(lifecycle))
	r.records.addDrain(serverDrain{r.plan.Drain.Server, time.Now()})
}

// closeServers closes the servers with the attempts that are in flight.
func (r *run) closeServers() {
	for _, server := range r.servers {
		server.close()
	}
}

// startClients starts the clients, and those that hold idle connections.
func (r *run) startClients(ctx context.Context) *sync.WaitGroup {
	var clients sync.WaitGroup
	for i := range clientsOfEachKind * len(clientKinds) {
		c := r.newClient(clientKinds[i%len(clientKinds)], contractWide, i)
		clients.Go(func() { c.runUntil(ctx) })
	}
	if r.plan.Target == TargetEdgeProxy {
		for i := range tightClients {
			c := r.newClient(clientSequential, contractTight, clientsOfEachKind*len(clientKinds)+i)
			clients.Go(func() { c.runUntil(ctx) })
		}
	}
	if r.plan.IdleConnections > 0 {
		clients.Go(func() { holdIdleConnections(ctx, r.address, r.plan.IdleConnections, &r.clientsMayConnect) })
	}
	return &clients
}

// newClient returns a client with a number of its own.
func (r *run) newClient(kind clientKind, contract contract, number int) *client {
	return &client{run: r, kind: kind, contract: contract, name: fmt.Sprint("c", number),
		random: rand.New(rand.NewPCG(r.plan.Seed, uint64(number)+1000))}
}

// start starts one more process.
func (r *run) start() (*process, error) {
	cmd := r.target.command(r.socket)
	p, err := startProcess(len(r.processes), cmd, r.dir)
	if err != nil {
		return nil, err
	}
	r.processes = append(r.processes, p)
	r.stalls.Add(fmt.Sprint("process ", p.number), cmd.Process.Pid)
	return p, nil
}

// awaitReady waits until a process is ready, and records a violation if it is not within readyTimeout.
func (r *run) awaitReady(p *process) bool {
	if p.awaitLog("ready", readyTimeout) {
		p.readyAt = time.Now()
		return true
	}
	r.processProblems = append(r.processProblems,
		fmt.Sprintf("process %d did not become ready within %v", p.number, readyTimeout))
	return false
}

// errSuccessorNotWaiting is returned if a successor does not begin to wait for its predecessor in time.
var errSuccessorNotWaiting = errors.New("soak: successor did not begin to wait for its predecessor")

// startSuccessor starts a successor of a process, and returns once the successor waits to take over.
func (r *run) startSuccessor(old *process) (*process, error) {
	p, err := r.start()
	if err == nil && !(p.awaitLog("waiting for predecessor", processTimeout) &&
		old.awaitLog("successor waiting", processTimeout)) {
		err = fmt.Errorf("%w; its log: %s", errSuccessorNotWaiting, p.log())
	}
	return p, err
}

// terminate sends SIGTERM to a process.
func (r *run) terminate(p *process) {
	r.sigtermSent.Store(true)
	p.signal(syscall.SIGTERM)
}

// terminateLast sends SIGTERM to a process without a successor, and blocks new client connections after balancerDelay.
func (r *run) terminateLast(p *process) {
	r.terminate(p)
	r.blockConnectsAfterSigterm(p)
}

// blockConnectsAfterSigterm blocks new client connections once balancerDelay has passed since the process's SIGTERM.
func (r *run) blockConnectsAfterSigterm(p *process) {
	time.AfterFunc(time.Until(p.sigtermAt.Add(balancerDelay)), func() { r.clientsMayConnect.Store(false) })
}

// awaitTermination waits until a process has exited, and kills it once plan.killDelay has passed since its SIGTERM.
func (r *run) awaitTermination(p *process) {
	p.mu.Lock()
	sigtermAt := p.sigtermAt
	p.mu.Unlock()
	p.awaitExit(sigtermAt.Add(r.plan.killDelay()))
}
