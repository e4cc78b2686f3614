// Package node is the real edge node: the host of a [policy.Engine] on sockets.
// It moves bytes, keeps the clock and enforces what the module relies on; what is
// sent where, refused or tried again is decided in package choice alone.
package edgeproxy

import (
	"context"
	"fmt"
	"log"
	"runtime/debug"
	"sync"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gossip"
	"mulleinmux/policy"
)

// Node hosts the gateway of one edge node. Its events come from many goroutines;
// one mutex makes them one sequence. The gateway's actions change the books under
// the mutex; what does I/O runs after it is released or in a goroutine of its own.
type Node struct {
	cfg     *Config
	log     *log.Logger
	start   time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx     context.Context
	pool    *serverPool
	metrics *metrics
	memory  *memoryBudget

	mu           sync.Mutex
	engine       *policy.Engine
	gossipSocket *gossip.Socket // nil where edge nodes don't message each other, or another process does
	requests     map[string]*pendingRequest
	afterEvent   []func() // what the event under way leaves to do without the mutex
	isClosed     bool     // no more events
	work         sync.WaitGroup
}

// newNode makes a node whose goroutines end with ctx.
func newNode(ctx context.Context, cfg *Config, logger *log.Logger) (*Node, error) {
	gw, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var classes []string
	for _, c := range cfg.Settings.Classes {
		classes = append(classes, c.Name)
	}
	n := &Node{
		metrics: newMetrics(classes),
		memory:  newMemoryBudget(cfg.MemoryMB),
		cfg:     cfg, log: logger, start: time.Now(), ctx: ctx, engine: gw, requests: map[string]*pendingRequest{},
		pool: newServerPool(cfg.Transport, maxServerConns(cfg.MaxSockets)),
	}
	n.pool.minIdleTime = cfg.minIdleTime
	n.pool.onSent, n.pool.subsetServers = n.metrics.attemptSent, n.subsetServers
	return n, nil
}

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (n *Node) now() time.Duration {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handleEvent runs one event of the gateway, then what its actions left to do. It tells
// whether the event came through: a panic of the module is logged, with the stack
// that names its cause, and costs the one event.
func (n *Node) handleEvent(f func(now time.Duration, out policy.Actions)) bool {
	n.mu.Lock()
	ok := !n.isClosed && n.runGuarded(f)
	after := n.afterEvent
	n.afterEvent = nil
	n.mu.Unlock()
	for _, do := range after {
		do()
	}
	return ok
}

func (n *Node) runGuarded(f func(now time.Duration, out policy.Actions)) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
			n.afterEvent = append(n.afterEvent, func() { n.log.Print(text) })
		}
	}()
	f(n.now(), (*engineActions)(n))
	return true
}

// close ends the node's events, then waits for its attempts and probes, whose context
// has ended.
func (n *Node) close() {
	n.mu.Lock()
	n.isClosed = true
	n.mu.Unlock()
	n.work.Wait()
	n.pool.close()
}

// spawn runs f in a goroutine that close waits for; f ends with the node's context. It is false
// once the node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isClosed {
		return false
	}
	n.work.Go(f)
	return true
}

// setGossipSocket gives the node the socket on which its peers are heard.
func (n *Node) setGossipSocket(sock *gossip.Socket) {
	n.mu.Lock()
	n.gossipSocket = sock
	n.mu.Unlock()
}

// takeGossipSocket takes the peers' socket away from the node.
func (n *Node) takeGossipSocket() *gossip.Socket {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock := n.gossipSocket
	n.gossipSocket = nil
	return sock
}

// exportState returns what the module hands to the process that takes over, and the peers'
// socket, on which nothing is sent any more. The requests under way go on.
func (n *Node) exportState() (state []byte, sock *gossip.Socket, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock, n.gossipSocket = n.gossipSocket, nil
	state, err = n.engine.ExportState(n.now())
	return state, sock, err
}

// importState goes on from what another process's module knew.
func (n *Node) importState(state []byte) {
	n.mu.Lock()
	err := n.engine.ImportState(n.now(), state)
	n.mu.Unlock()
	if err != nil {
		n.log.Printf("handover: %v: beginning from nothing", err)
	}
}

// subsetServers names the servers to which connections are kept.
func (n *Node) subsetServers() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine.SubsetServerIDs()
}

// startEngine starts the gateway with the saved list.
func (n *Node) startEngine() {
	n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.Start(now, out) })
	n.updateEndpoints(n.cfg.SavedEndpoints, policy.EndpointsSaved)
}

// updateEndpoints hands a list to the connections and to the gateway, as one event.
func (n *Node) updateEndpoints(l discovery.List, form policy.EndpointUpdateKind) {
	servers := make([]policy.Server, len(l.Servers))
	for i, s := range l.Servers {
		servers[i] = s.Server
	}
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		stale := n.pool.updateEndpoints(l.Servers, form != policy.EndpointsDelta)
		n.afterEvent = append(n.afterEvent, func() { closeConns(stale) })
		n.engine.EndpointsChanged(now, form, servers, out)
	})
}

// endpointsReceived hands a message of discovery on.
func (n *Node) endpointsReceived(l discovery.List) {
	form := policy.EndpointsDelta
	if l.Full {
		form = policy.EndpointsComplete
	}
	n.updateEndpoints(l, form)
}

// gossipReceived hands a message of a peer on.
func (n *Node) gossipReceived(from int, message []byte) {
	n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.GossipReceived(now, from, message, out) })
}
