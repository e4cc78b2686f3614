package edgeproxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/policy"
)

const (
	readyPath           = "/health/ready"
	readHeaderTimeout   = 2500 * time.Millisecond // for a request's header, from the connection's start or the first byte
	writeTimeout        = 10 * time.Second        // from a request's header to the end of its answer
	clientIdleTimeout   = 30 * time.Second        // for a connection between requests
	reservedDescriptors = 48                      // descriptors that are neither a client's nor an app server's
)

// clientServer is the client side.
type clientServer struct {
	node           *Node
	httpServer     *http.Server
	limiter        *connectionLimiter
	isReady        atomic.Bool
	isDraining     atomic.Bool
	hasPredecessor atomic.Bool // a predecessor still hands clients over

	shutdownAt      atomic.Int64  // Unix time in ns at which all has to be answered, once the end has begun
	shutdownExpired chan struct{} // closed then

	listenersMu sync.Mutex
	listeners   []*limitedListener // on which it accepts, or did

	isOutOfService atomic.Bool // by an operator's word
	maintenanceMu  sync.Mutex
	maintenanceEnd chan struct{} // ends the drain by an operator's word; nil where there is none

	classes map[string]policy.Class
	plans   map[string]bool
}

func newClientServer(n *Node) *clientServer {
	f := &clientServer{node: n, limiter: newConnectionLimiter(maxClientConns(n.cfg.MaxSockets)),
		classes: map[string]policy.Class{}, plans: map[string]bool{}, shutdownExpired: make(chan struct{})}
	for _, c := range n.cfg.Settings.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range n.cfg.Settings.Plans {
		f.plans[p.Name] = true
	}
	f.httpServer = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    16 << 10,
		ConnContext:       withClientConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).markResponseWritten()
			}
		},
		ErrorLog: n.log,
	}
	return f
}

// serve answers clients until drain has ended.
func (s *clientServer) serve(ln net.Listener) error {
	l := &limitedListener{Listener: ln, limiter: s.limiter, done: make(chan struct{})}
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

// longestDeadline is the longest of all classes.
func (s *clientServer) longestDeadline() (d time.Duration) {
	for _, c := range s.node.cfg.Settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// longestRequest is how long the last request taken may still be under way.
func (s *clientServer) longestRequest() time.Duration {
	return s.longestDeadline() + s.node.cfg.Settings.ResponseSlack
}

// maxServerConns and clientSockets share out the descriptors. A request has one
// attempt out at most, so as many connections to app servers as to clients are
// enough.
func maxServerConns(all int) int { return (all - reservedDescriptors) / 2 }

func maxClientConns(all int) int { return (all - reservedDescriptors) / 2 }

// closesConnections tells whether answers should close their connections.
func (s *clientServer) closesConnections() bool {
	return s.isDraining.Load() || s.isOutOfService.Load()
}

// isAvailable tells whether the front may send clients here.
func (s *clientServer) isAvailable() bool { return s.isReady.Load() && !s.isOutOfService.Load() }
