package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/httpwire"
)

// tooManyConnections answers a connection beyond the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// acceptRetryInterval is the wait after an error that accepting may get over.
const acceptRetryInterval = time.Millisecond

// clientServer accepts the connections of clients, and of other sites' instances.
type clientServer struct {
	instance   *Instance
	drainState drainState
	conns      clientConns
	acceptors  sync.WaitGroup // calls of serve
	handlers   sync.WaitGroup // connections; an acceptor adds to it, so that it is awaited after them

	listeners []*graceful.Listener // on which it accepts, the relay's last
}

func newClientServer(in *Instance) *clientServer {
	return &clientServer{
		instance: in,
		conns:    clientConns{limit: in.config.MaxClientConns, open: map[*clientConn]struct{}{}},
	}
}

// clientConns are the open connections of clients and of other sites' instances.
type clientConns struct {
	limit int // connections

	mu   sync.Mutex
	open map[*clientConn]struct{} // guarded by mu
}

// add decides whether a connection is served: as long as fewer than the limit are open, so that descriptors are left
// for servers. One that is counts until remove.
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

// each calls do with each connection, under the mutex.
func (l *clientConns) each(do func(*clientConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		do(c)
	}
}

// serve answers clients until the listener closes.
func (s *clientServer) serve(listener net.Listener) error {
	_, isRelay := listener.(relayListener)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTransientAcceptError(err):
			time.Sleep(acceptRetryInterval) // a connection may end meanwhile
			continue
		case err != nil:
			return fmt.Errorf("listen: %w", err)
		}
		c := newClientConn(s, conn, isRelay)
		if !s.conns.add(c) {
			c.rejectConnection()
			continue
		}
		s.handlers.Go(c.serve)
	}
}

// isTransientAcceptError decides whether accepting goes on after an error: no descriptor was left for the connection,
// or it was closed before it could be accepted.
func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// newClientConn returns a connection that was accepted, which does not count as one of the server's yet.
func newClientConn(server *clientServer, conn net.Conn, isRelay bool) *clientConn {
	c := &clientConn{server: server, nc: conn, isRelay: isRelay}
	c.life = connLife{conn: conn, acceptedAt: time.Now()}
	c.input.conn = conn
	if relayConn, ok := conn.(*relayServerConn); ok {
		c.closeWatch = closeWatch{conn: relayConn, input: &c.input}
	}
	c.output.conn = conn
	c.reader = httpwire.NewReader(&c.input)
	c.request.wake = make(chan struct{}, 1)
	return c
}

// rejectConnection closes a connection beyond the limit. A client is answered; another site's instance, which would
// need a handshake for that, is not.
func (c *clientConn) rejectConnection() {
	defer c.nc.Close()
	if !c.isRelay {
		c.nc.SetDeadline(time.Now().Add(requestReadTimeout))
		io.WriteString(c.nc, tooManyConnections)
	}
}
