package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/httpwire"
)

// tooManyConnections is the response to a client whose connection exceeds the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientServer accepts and serves the connections of clients and of other sites' instances.
type clientServer struct {
	instance   *Instance
	drainState drainState
	conns      clientConns
	acceptors  sync.WaitGroup // running calls of serve
	handlers   sync.WaitGroup // goroutines of connections; acceptors add to it, so wait for acceptors first

	listeners []*graceful.Listener // the relay's listener is the last
}

func newClientServer(in *Instance) *clientServer {
	return &clientServer{
		instance: in,
		conns:    clientConns{limit: in.config.MaxClientConns, open: map[*clientConn]struct{}{}},
	}
}

// clientConns are the open connections of clients and of other sites' instances.
type clientConns struct {
	limit int // maximum number of open connections

	mu   sync.Mutex
	open map[*clientConn]struct{} // guarded by mu
}

// add records an open connection until remove is called. It reports false, without recording it, if the limit has been
// reached; the limit leaves file descriptors for connections to servers.
func (l *clientConns) add(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *clientConns) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// each calls do for each open connection while holding the mutex.
func (l *clientConns) each(do func(*clientConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		do(c)
	}
}

// serve accepts connections and starts a goroutine for each, until the listener is closed.
func (s *clientServer) serve(listener net.Listener) error {
	_, isRelay := listener.(relayListener)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return fmt.Errorf("accept connections: %w", err)
		}
		c := newClientConn(s, conn, isRelay)
		if !s.conns.add(c) {
			c.rejectConnection()
			continue
		}
		s.handlers.Go(c.serve)
	}
}

// newClientConn returns a clientConn for an accepted connection. The caller adds it to server.conns.
func newClientConn(server *clientServer, conn net.Conn, isRelay bool) *clientConn {
	c := &clientConn{server: server, nc: conn, isRelay: isRelay}
	c.lifecycle = connLifecycle{conn: conn, acceptedAt: time.Now()}
	c.input.conn = conn
	if relayConn, ok := conn.(*relayServerConn); ok {
		c.closeWatch = closeWatch{conn: relayConn, input: &c.input}
		c.lease = newRelayedLease()
	}
	c.disconnects = disconnectWatch{conn: conn, monitor: server.instance.disconnects}
	c.output.conn = conn
	c.reader = httpwire.NewReader(&c.input)
	c.request.wake = make(chan struct{}, 1)
	return c
}

// rejectConnection closes a connection that exceeds the limit. A client gets a response first; another site's instance
// does not, since that would need a TLS handshake.
func (c *clientConn) rejectConnection() {
	defer c.nc.Close()
	if !c.isRelay {
		c.nc.SetDeadline(time.Now().Add(requestReadTimeout))
		io.WriteString(c.nc, tooManyConnections)
	}
}
