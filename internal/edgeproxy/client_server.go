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
	readyPath         = "/health/ready"         // of the load balancer's health check
	readHeaderTimeout = 2500 * time.Millisecond // for a request's header, from the connection's start or the first byte
	writeTimeout      = 10 * time.Second        // from a request's header to the end of its response
	clientIdleTimeout = 30 * time.Second        // for a connection between requests
	maxHeaderBytes    = 16 << 10

	// writeTimeoutRenewal is the time after a request's header from which on the write of its answer gets writeTimeout
	// anew.
	writeTimeoutRenewal = writeTimeout / 4

	reservedDescriptors = 48 // descriptors that are neither a client's nor an app server's
)

// The phases of a clientServer, in their order.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseDraining // each response closes its connection
)

// clientServer accepts clients' connections, reads their requests and writes the final answers.
type clientServer struct {
	node       *Node
	httpServer *http.Server
	limiter    *connectionLimiter
	classes    map[string]policy.Class // by name
	plans      map[string]bool         // names
	shutdown   *shutdownTimer

	phase          atomic.Int32 // one of the phases
	hasPredecessor atomic.Bool  // a predecessor still hands clients over
	maintenance    maintenance

	listenersMu sync.Mutex
	listeners   []*limitedListener // on which it accepts, or did
}

// newClientServer returns the server of a node's clients, which is not ready yet.
func newClientServer(n *Node) *clientServer {
	s := &clientServer{
		node:     n,
		limiter:  newConnectionLimiter(maxConnsPerSide(n.cfg.MaxSockets)),
		classes:  map[string]policy.Class{},
		plans:    map[string]bool{},
		shutdown: newShutdownTimer(),
	}
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
		ConnContext:       withClientConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).markResponseWritten()
			}
		},
		ErrorLog: logging.HTTPErrors(n.logger),
	}
	return s
}

// serve answers clients that a listener accepts, until drain has ended.
func (s *clientServer) serve(ln net.Listener) error {
	l := &limitedListener{Listener: graceful.NewListener(ln), limiter: s.limiter, done: make(chan struct{})}
	defer close(l.done)
	s.listenersMu.Lock()
	s.listeners = append(s.listeners, l)
	s.listenersMu.Unlock()
	if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// servePredecessor answers the clients that a predecessor hands over, until it has none left.
func (s *clientServer) servePredecessor(before *predecessor) {
	defer s.hasPredecessor.Store(false)
	s.serve(before)
}

// longestDeadline is the longest deadline of all classes.
func (s *clientServer) longestDeadline() (d time.Duration) {
	for _, c := range s.node.cfg.Settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// longestRequest is how long the last request that was accepted may still take.
func (s *clientServer) longestRequest() time.Duration {
	return s.longestDeadline() + s.node.cfg.Settings.ResponseSlack
}

// maxConnsPerSide decides how many connections to app servers, and as many of clients, are open at once with maxSockets
// descriptors: most requests have one attempt in flight. Hedged requests and health checks take from the same.
func maxConnsPerSide(maxSockets int) int { return (maxSockets - reservedDescriptors) / 2 }

// closesConnections decides whether responses close their connections, for a drain.
func (s *clientServer) closesConnections() bool {
	return s.phase.Load() == phaseDraining || s.maintenance.isOutOfService.Load()
}

// isAvailable decides whether the load balancer may send clients here.
func (s *clientServer) isAvailable() bool {
	return s.phase.Load() == phaseServing && !s.maintenance.isOutOfService.Load()
}
