// Package edgeproxy implements the edge node: it runs a [policy.Engine] on sockets. It transfers data, provides the
// clock and guarantees what the engine relies on, such as one event at a time. Package policy alone decides which
// requests are admitted, where they are forwarded and whether they are retried.
//
// The package owns the connections of clients and to app servers, the pending requests, the watch of the endpoint list,
// the gossip socket, the administration calls and the hot restart. A request passes through these files:
//
//   - limited_listener.go accepts the connection. connection_limiter.go counts it, and eviction.go selects the
//     connection that is closed if there are too many. client_conn.go reads from the connection into client_input.go,
//     request_head.go waits for a complete head, memory_account.go for its memory and client_turn.go for its turn, and
//     client_watch.go detects that the client disconnects.
//   - serve_request.go has the request checked (framing.go, on the head as it was received, and request_parsing.go) and
//     its body read (request_body.go).
//   - request_table.go records the request and passes it to the engine, whose decision engine_actions.go carries out.
//   - exchange.go writes an attempt to a connection of server_pool.go and reads the response (server_conn.go). Package
//     serverpool keeps connections between exchanges; health_check.go queries the load of a server.
//   - request_table.go reports the result to the engine; answer_writing.go writes the final answer, and
//     response_stream.go forwards a long response.
//
// run.go starts and stops a process (shutdown.go); maintenance.go drains it when an operator requests that
// (admin_server.go, which also serves metrics.go); hot_restart.go describes how a process takes over from another
// (successor_listener.go, predecessor.go); discovery_watch.go watches the endpoint list.
package edgeproxy

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gossip"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// Node runs the engine of one edge node. Its events come from many goroutines and are serialized by one mutex. The
// engine's actions change the request table under the mutex; I/O is done after the mutex is released or in a separate
// goroutine.
type Node struct {
	cfg     *Config
	logger  *slog.Logger
	start   time.Time       // when the clock began
	startAt time.Duration   // its reading then: the Unix time, or that of the predecessor's clock
	ctx     context.Context // cancels attempts and health checks
	pool    *serverPool
	metrics *metrics
	memory  *memoryAccount
	ids     *forwardedIDs
	events  hostCounters
	work    sync.WaitGroup // attempts, health checks and spawned goroutines; close waits for them

	mu           sync.Mutex
	engine       *policy.Engine
	gossipSocket *gossip.Socket             // nil if edge nodes may not gossip, or another process of this node does
	requests     map[string]*pendingRequest // by ID
	startTimes   serverStartTimes
	afterEvent   []func() // called once the current event has released the mutex
	isClosed     bool     // no more events are handled
}

// newNode returns a node whose goroutines end when ctx ends.
func newNode(ctx context.Context, cfg *Config, logger *slog.Logger) (*Node, error) {
	settings := cfg.Settings
	settings.MaxCustomers = maxCustomers(cfg.memoryMiB())
	engine, err := policy.New(settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var classes []string
	for _, class := range cfg.Settings.Classes {
		classes = append(classes, class.Name)
	}
	n := &Node{
		cfg:        cfg,
		logger:     logger,
		start:      time.Now(),
		ctx:        ctx,
		metrics:    newMetrics(classes),
		memory:     newMemoryAccount(cfg.memoryMiB(), logger),
		ids:        newForwardedIDs(cfg),
		engine:     engine,
		requests:   map[string]*pendingRequest{},
		startTimes: serverStartTimes{known: map[string]serverStartTime{}},
	}
	n.startAt = time.Duration(n.start.UnixNano())
	n.pool = newServerPool(cfg.ServerConnections, serverPoolOptions{
		maxConns:      cfg.maxConnsPerSide(),
		minIdleTime:   cfg.minIdleTime,
		subsetServers: n.subsetServers,
	})
	n.pool.onSent = n.metrics.attemptSent
	return n, nil
}

// now returns the node's time, which never goes back: the Unix time at the start of the node's first process, from where
// on the clock runs with the monotonic clock, also over hot restarts.
func (n *Node) now() time.Duration { return n.startAt + time.Since(n.start) }

// clockOffset returns the difference between the node's clock and the machine's monotonic clock.
func (n *Node) clockOffset() time.Duration { return n.now() - monotonicTime() }

// continueClock makes the node's clock that of a predecessor with the given offset. It is called before the engine
// starts.
func (n *Node) continueClock(offset time.Duration) { n.startAt += offset - n.clockOffset() }

// handleEvent runs one event of the engine, then the functions in afterEvent. It reports whether the event was handled.
// A panic of the engine is logged with its stack and ends only the event that caused it.
func (n *Node) handleEvent(event func(now time.Duration, out policy.Actions)) bool {
	n.mu.Lock()
	ok := !n.isClosed && n.runWithRecovery(event)
	after := n.afterEvent
	n.afterEvent = nil
	n.mu.Unlock()
	for _, do := range after {
		do()
	}
	return ok
}

// runWithRecovery runs an event and returns false if it panicked. The caller holds the mutex.
func (n *Node) runWithRecovery(event func(now time.Duration, out policy.Actions)) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			stack := debug.Stack()
			n.afterEvent = append(n.afterEvent, func() { logging.Panic(n.logger, p, stack) })
		}
	}()
	event(n.now(), (*engineActions)(n))
	return true
}

// close rejects further events, then waits for attempts, health checks and spawned goroutines. The node's context must
// have ended.
func (n *Node) close() {
	n.mu.Lock()
	n.isClosed = true
	n.mu.Unlock()
	n.work.Wait()
	n.pool.Close()
}

// spawn runs f in a goroutine that close waits for; f must return when the node's context ends. It returns false if the
// node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isClosed {
		return false
	}
	n.work.Go(f)
	return true
}

// setGossipSocket sets the socket on which the node sends gossip.
func (n *Node) setGossipSocket(socket *gossip.Socket) {
	n.mu.Lock()
	n.gossipSocket = socket
	n.mu.Unlock()
}

// takeGossipSocket removes the gossip socket from the node and returns it; nil if there is none.
func (n *Node) takeGossipSocket() *gossip.Socket {
	n.mu.Lock()
	defer n.mu.Unlock()
	socket := n.gossipSocket
	n.gossipSocket = nil
	return socket
}

// handOverState returns the engine's state for the successor process, to which the quotas' tokens belong from here on,
// the IDs of requests that were forwarded, and the gossip socket, on which the node sends nothing any more. The
// requests in flight continue. If the handover fails, the caller calls resume.
func (n *Node) handOverState() (state, sentIDs []byte, socket *gossip.Socket, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	socket, n.gossipSocket = n.gossipSocket, nil
	now := n.now()
	n.engine.Quotas().HandOver(now)
	state, err = n.engine.ExportState(now)
	return state, n.ids.export(), socket, err
}

// resume takes back what handOverState has returned: the quotas' tokens, and the gossip socket, which may be nil.
func (n *Node) resume(socket *gossip.Socket) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engine.Quotas().TakeBack(n.now())
	n.gossipSocket = socket
}

// importState imports the engine's state of the predecessor and the IDs of requests that it has forwarded. An invalid
// state is logged and not used.
func (n *Node) importState(inherited inheritedState) {
	n.mu.Lock()
	err := n.engine.ImportState(n.now(), inherited.engineState)
	n.mu.Unlock()
	if len(inherited.sentIDs) > 0 {
		err = errors.Join(err, n.ids.importAll(inherited.sentIDs))
	}
	for _, message := range inherited.reportedIDs {
		n.ids.receive(message)
	}
	if err != nil {
		n.logger.Warn(msgNoInheritedState, logging.Error(err))
	}
}

// takeOverQuotas records that this process serves from now on in place of its predecessor.
func (n *Node) takeOverQuotas() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engine.Quotas().TakeOver(n.now())
}

// subsetServers returns the IDs of the servers to which idle connections are kept; nil means all servers.
func (n *Node) subsetServers() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine.SubsetServerIDs()
}

// startEngine starts the engine with the saved endpoint list.
func (n *Node) startEngine() {
	n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.Start(now, out) })
	n.updateEndpoints(n.cfg.SavedEndpoints, policy.EndpointsSaved)
}

// updateEndpoints updates the server pool and the engine with an endpoint list, as one event.
func (n *Node) updateEndpoints(l discovery.EndpointList, kind policy.EndpointUpdateKind) {
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		at := nodeTime{clock: now, wall: wallTime()}
		servers := make([]policy.Server, len(l.Servers))
		endpoints := make([]discovery.Endpoint, len(l.Servers))
		for i, endpoint := range l.Servers {
			servers[i] = n.startTimes.convert(at, endpoint.Server)
			endpoints[i] = discovery.Endpoint{Server: servers[i], Addr: endpoint.Addr}
		}
		if kind != policy.EndpointsDelta {
			n.startTimes.retain(servers)
		}
		stale := n.pool.UpdateEndpoints(endpoints, kind)
		n.afterEvent = append(n.afterEvent, stale.Close)
		n.engine.EndpointsChanged(now, kind, servers, out)
	})
}

// endpointsReceived handles an endpoint list from discovery.
func (n *Node) endpointsReceived(l discovery.EndpointList) {
	kind := policy.EndpointsDelta
	if l.IsComplete {
		kind = policy.EndpointsComplete
	}
	n.updateEndpoints(l, kind)
}

// gossipReceived passes a gossip message from a peer to the engine.
func (n *Node) gossipReceived(from int, message []byte) {
	n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.GossipReceived(now, from, message, out) })
}
