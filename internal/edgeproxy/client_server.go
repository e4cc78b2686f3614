package edgeproxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

const (
	readyPath         = "/health/ready"         // path of the load balancer's health check
	readHeaderTimeout = 2500 * time.Millisecond // for a request's head, from the connection's start or the first byte
	writeTimeout      = 10 * time.Second        // from the end of a request's head to the end of its response
	clientIdleTimeout = 30 * time.Second        // for a connection between requests
	maxHeaderBytes    = 16 << 10

	// writeTimeoutRenewal is the time since a request's head was received after which the write timeout is restarted
	// before the response is written.
	writeTimeoutRenewal = writeTimeout / 4

	reservedDescriptors = 48 // descriptors used neither for clients nor for app servers
)

// The phases of a clientServer, in order.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseDraining // each response closes its connection
)

// clientServer accepts client connections, reads requests from them and writes the final answers.
type clientServer struct {
	node       *Node
	httpServer *http.Server
	limiter    *connectionLimiter
	classes    map[string]policy.Class // by name
	plans      map[string]bool         // names of the plans
	shutdown   *shutdownTimer

	phase          atomic.Int32 // one of the phase constants
	hasPredecessor atomic.Bool  // a predecessor is still handing over client connections
	maintenance    maintenance

	listenersMu sync.Mutex
	listeners   []*limitedListener // all that serve was called with, finished ones included
}

// newClientServer returns the server for a node's clients, in its starting phase.
func newClientServer(n *Node) *clientServer {
	s := &clientServer{
		node:     n,
		limiter:  newConnectionLimiter(n.cfg.maxConnsPerSide()),
		classes:  map[string]policy.Class{},
		plans:    map[string]bool{},
		shutdown: newShutdownTimer(),
	}
	s.limiter.maxRefusals = n.cfg.maxRefusals()
	s.limiter.memory, s.limiter.events = n.memory, &n.events
	s.limiter.turns = &turnQueue{events: &n.events}
	for _, c := range n.cfg.Settings.Classes {
		s.classes[c.Name] = c
	}
	for _, p := range n.cfg.Settings.Plans {
		s.plans[p.Name] = true
	}
	s.httpServer = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,

		DisableGeneralOptionsHandler: true,

		ConnContext: withClientConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).markResponseWritten()
			}
		},
		ErrorLog: logging.HTTPErrors(n.logger),
	}
	return s
}

// serve serves the clients that a listener accepts, until drain finishes the listener.
func (s *clientServer) serve(ln net.Listener) error {
	limitReceiveBuffer(ln)
	l := &limitedListener{Listener: graceful.NewListener(ln), limiter: s.limiter, turn: s.limiter.turns.newConn(),
		done: make(chan struct{})}
	defer close(l.done)
	defer l.turn.leave()
	s.listenersMu.Lock()
	s.listeners = append(s.listeners, l)
	s.listenersMu.Unlock()
	if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// servePredecessor serves the client connections that a predecessor hands over, until it has none left.
func (s *clientServer) servePredecessor(from *predecessor) {
	defer s.hasPredecessor.Store(false)
	defer s.node.ids.setPeer(nil)
	s.serve(from)
}

// longestDeadline returns the longest deadline of all classes.
func (s *clientServer) longestDeadline() (d time.Duration) {
	for _, c := range s.node.cfg.Settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// longestRequestTime returns how long a request that has just been accepted may take.
func (s *clientServer) longestRequestTime() time.Duration {
	return s.longestDeadline() + s.node.cfg.Settings.ResponseSlack
}

// maxConnsPerSide returns the limit of open connections to app servers, which is also the limit of client connections:
// what the descriptors and the memory allow. The two are equal because most requests have one attempt in flight. Hedged
// requests and health checks count towards the connections to app servers.
func (c *Config) maxConnsPerSide() int {
	return min(c.descriptorConnLimit(), memoryConnLimit(c.memoryMiB()))
}

// descriptorConnLimit returns how many connections of each side the descriptors allow.
func (c *Config) descriptorConnLimit() int { return (c.MaxSockets - reservedDescriptors) / 2 }

// closesConnections reports whether responses close their connections because of a drain.
func (s *clientServer) closesConnections() bool {
	return s.phase.Load() == phaseDraining || s.maintenance.isOutOfService.Load()
}

// isAvailable reports whether the load balancer may send clients to this node.
func (s *clientServer) isAvailable() bool {
	return s.phase.Load() == phaseServing && !s.maintenance.isOutOfService.Load()
}
