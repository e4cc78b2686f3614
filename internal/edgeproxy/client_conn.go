package edgeproxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// clientConnState is what a client's connection is at.
type clientConnState int

const (
	stateSilent  clientConnState = iota // new: nothing has come on it
	stateReading                        // something has come, but no whole head
	stateActive                         // a request is open
	stateIdle                           // between requests, or closing after the last
	stateClosed                         // closed
)

// clientConn is a connection that counts until it is closed.
type clientConn struct {
	net.Conn
	raw               syscall.RawConn // nil where Conn has no socket
	limiter           *connectionLimiter
	hasUnrecordedData bool            // what came is out of the socket and not yet noted here; under slots.mu
	state             clientConnState // under slots.mu
	stateSince        time.Time       // of the state, under slots.mu
	isResponseWritten bool            // idle, and its last answer is written to the end; under slots.mu
	head              []byte          // of the request being read, as it came; under slots.mu
	isReadingHead     bool            // more of it is to come
	earlyBytes        []byte          // what came of the next request while one was open, and was given to the library
	readAhead         []byte          // what came behind that and the library has not got; under slots.mu
	isWatchEnded      bool            // more than ahead may hold came: that the client leaves is no longer noticed; under slots.mu
	lastReadAt        time.Time       // when something came; under slots.mu
}

func newClientConn(nc net.Conn, s *connectionLimiter) *clientConn {
	c := &clientConn{Conn: nc, limiter: s}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // of one that is closed already there is nothing to read
	}
	return c
}

// Read notes that something has come. What comes after the connection was given up is
// not taken in: the client can tell that it was not read. One that is to be handed over is
// handed over here, where nothing else can read from it any more.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.handOverIfPossible() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.isDisconnectWatch() {
		return c.watchForDisconnect(p)
	}
	n := c.takeReadAhead(p)
	var err error
	if n == 0 {
		n, err = c.readSocket(p)
	}
	if n == 0 && err != nil && c.handOverIfPossible() {
		return 0, io.EOF
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.hasLateRequest() {
		c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		n, err = c.readSocket(p)
	}
	if n > 0 && !c.setState(stateReading) {
		return 0, net.ErrClosed
	}
	c.recordHead(p[:n], len(p) == 1)
	return n, err
}

func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	if c.state != stateClosed {
		c.limiter.changeState(c, stateClosed)
		delete(c.limiter.conns, c)
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// setState changes the state; it is false once the connection has ended. What comes while
// a request is open, or while a head is being read, changes nothing.
func (c *clientConn) setState(state clientConnState) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	if state == stateReading {
		c.lastReadAt, c.hasUnrecordedData = time.Now(), false
	}
	begins := state == stateReading && (c.state == stateSilent || c.state == stateIdle) || state == stateIdle && len(c.earlyBytes)+len(c.readAhead) > 0
	if begins { // the first bytes of a request
		state = stateReading
		c.head, c.isReadingHead, c.earlyBytes, c.isWatchEnded = c.earlyBytes, !bytes.Contains(c.earlyBytes, []byte("\r\n\r\n")), nil, false
	}
	if state != stateReading || begins {
		c.limiter.changeState(c, state)
		c.stateSince, c.isResponseWritten = time.Now(), false
	}
	return true
}

// hasUnreadData tells whether something has come that was not read, or was read a moment ago and is not noted yet. It does not
// wait for the goroutine that reads. Called under the mutex.
func (c *clientConn) hasUnreadData() bool {
	if len(c.readAhead) > 0 || c.hasUnrecordedData {
		return true
	}
	waiting := false
	var b [1]byte
	err := controlSocket(c.Conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

var errNoSocket = errors.New("no socket")

// controlSocket calls f with the descriptor of a connection or a listener. The error is errNoSocket where it has none; any
// other means that it is closed.
func controlSocket(of any, f func(fd int)) error {
	sc, ok := of.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// readSocket reads from the socket. Between the moment at which something leaves the socket and that at which its reader notes it
// the connection would look idle, with nothing to read; whoever closed it then would lose a request that was taken. So
// that it has taken something is noted with it, under the mutex (the call never waits), until become or keepAhead note the rest.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	if c.raw == nil {
		return c.Conn.Read(p)
	}
	ended := c.raw.Read(func(fd uintptr) bool {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				break
			}
		}
		c.hasUnrecordedData = n > 0
		return err != syscall.EAGAIN
	})
	switch {
	case ended != nil:
		return 0, ended
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// hasLateRequest tells whether a request came at the moment at which the connection's time between requests ended: it
// is the node's to answer.
func (c *clientConn) hasLateRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateIdle || c.state == stateSilent) && c.hasUnreadData()
}

// canHandOver tells whether nothing of a request has come on it. Called under slots.mu.
func (c *clientConn) canHandOver() bool {
	return (c.state == stateSilent || c.state == stateIdle && c.isResponseWritten) && len(c.readAhead) == 0 && !c.hasUnrecordedData
}

// markResponseWritten notes that the last answer is written to the end.
func (c *clientConn) markResponseWritten() {
	c.limiter.mu.Lock()
	c.isResponseWritten = c.state == stateIdle
	c.limiter.mu.Unlock()
}

// handOverIfPossible hands the connection over if that is wanted and can be, and tells whether it has.
func (c *clientConn) handOverIfPossible() bool {
	s := c.limiter
	s.mu.Lock()
	if s.handOver == nil || !c.canHandOver() {
		s.mu.Unlock()
		return false
	}
	s.changeState(c, stateClosed)
	delete(s.conns, c)
	move := s.handOver
	s.handOverCount++
	s.mu.Unlock()
	// One that can't be handed over is closed: a client sends what crosses that again.
	_ = move(c)
	c.Conn.Close()
	s.mu.Lock()
	s.handOverCount--
	s.mu.Unlock()
	return true
}

type clientConnKey struct{}

// withClientConn lets a request find its connection.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf returns the connection of a request.
func clientConnOf(r *http.Request) *clientConn {
	return r.Context().Value(clientConnKey{}).(*clientConn)
}
