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

// Timings of the platform, which sends clients to a process that was told to end for a while.
const (
	balancerDelay  = 400 * time.Millisecond
	readyTimeout   = 6 * time.Second
	afterHandover  = 300 * time.Millisecond // for which a process serves before the next signal
	stallThreshold = 50 * time.Millisecond  // from which on a run counts as disturbed
)

// run is one run of a plan.
type run struct {
	plan      *Plan
	target    target
	address   string
	dir       string
	socket    *os.File // the inherited listening socket; nil: there is none
	records   records
	discovery *testserver.Discovery
	servers   []*appServer
	peer      *gossipPeer // nil: the node has none

	acceptsClients atomic.Bool // clients may connect
	isEnding       atomic.Bool // the first signal was sent
	processes      []*process
	stalls         *schedwait.Monitor
	problems       []string // of processes
	outages        []interval
}

// Run plays a plan with a program, and returns its verdict. An error means that it could not be played.
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
		server, err := startServer(i, plan, &r.records, &r.isEnding, r.discovery)
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
	return r.play(ctx)
}

// listen opens the socket that processes inherit, or finds an address for them.
func (r *run) listen() error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	defer listener.Close()
	r.address = listener.Addr().String()
	if r.plan.Inherits {
		r.socket, err = listener.File()
	}
	return err
}

// killAll ends what a run that could not be played to its end has left.
func (r *run) killAll() {
	for _, p := range r.processes {
		if !p.hasExited() {
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// play starts the first process and the clients, sends the signals, and waits until all has ended.
func (r *run) play(ctx context.Context) (*Verdict, error) {
	first, err := r.start()
	if err != nil {
		return nil, err
	}
	if !r.awaitReady(first) {
		return nil, fmt.Errorf("the first process does not become ready: %s", first.log())
	}
	r.stalls.Start()
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	r.acceptsClients.Store(true)
	clients := r.startClients(clientsCtx)
	sleep(ctx, r.plan.Duration)
	if err := r.playSeries(ctx, first); err != nil {
		return nil, err
	}
	stopClients()
	clients.Wait()
	r.closeServers()
	return r.judge(r.stalls.Stop()), ctx.Err()
}

// closeServers ends the attempts that are in flight.
func (r *run) closeServers() {
	for _, server := range r.servers {
		server.close()
	}
}

// startClients starts the clients and the crowd.
func (r *run) startClients(ctx context.Context) *sync.WaitGroup {
	var clients sync.WaitGroup
	for i := range clientsOfEachKind * len(clientKinds) {
		c := &client{run: r, kind: clientKinds[i%len(clientKinds)], name: fmt.Sprint("c", i),
			random: rand.New(rand.NewPCG(r.plan.Seed, uint64(i)+1000))}
		clients.Go(func() { c.runUntil(ctx) })
	}
	if r.plan.Crowd > 0 {
		clients.Go(func() { crowd(ctx, r.address, r.plan.Crowd, &r.acceptsClients) })
	}
	return &clients
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

// awaitReady waits until a process serves, which it must within readyTimeout.
func (r *run) awaitReady(p *process) bool {
	if p.awaitLog("ready", readyTimeout) {
		p.readyAt = time.Now()
		return true
	}
	r.problems = append(r.problems, fmt.Sprintf("process %d is not ready within %v", p.number, readyTimeout))
	return false
}

// errNoSuccessor means that a successor does not reach the point at which it waits.
var errNoSuccessor = errors.New("the successor does not wait for its predecessor")

// startSuccessor starts a process and waits until it waits to take over.
func (r *run) startSuccessor(old *process) (*process, error) {
	p, err := r.start()
	if err == nil && !(p.awaitLog("waiting for predecessor", processTimeout) &&
		old.awaitLog("successor waiting", processTimeout)) {
		err = fmt.Errorf("%w: %s", errNoSuccessor, p.log())
	}
	return p, err
}

// tell tells a process to end: SIGTERM.
func (r *run) tell(p *process) {
	r.isEnding.Store(true)
	p.signal(syscall.SIGTERM)
}

// tellLast tells a process to end that no other follows: clients connect for balancerDelay only.
func (r *run) tellLast(p *process) {
	r.tell(p)
	r.endClients(p)
}

// endClients has clients connect for balancerDelay after a process was told to end.
func (r *run) endClients(p *process) {
	time.AfterFunc(time.Until(p.toldToEnd.Add(balancerDelay)), func() { r.acceptsClients.Store(false) })
}

// awaitEnd waits until a process that was told to end has ended, and kills it at the platform's earliest.
func (r *run) awaitEnd(p *process) {
	p.mu.Lock()
	told := p.toldToEnd
	p.mu.Unlock()
	p.awaitExit(told.Add(r.plan.killDelay()))
}
