package edgeproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
)

// clientConnState is the state of a client's connection.
type clientConnState int

const (
	stateSilent   clientConnState = iota // new: nothing has been received
	stateReading                         // part of a request's head has been received
	stateActive                          // a request is being served
	stateAnswered                        // its response may still have to be written to the end, or closes the connection
	stateIdle                            // between requests
	stateClosed                          // closed
)

// isBetweenRequests tells whether the last request has its response and nothing of a next one was received.
func (s clientConnState) isBetweenRequests() bool { return s == stateAnswered || s == stateIdle }

// clientConn is a client's connection, which counts at its limiter until it is closed or handed over. One goroutine of
// net/http's reads from it; others look at its state.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn // nil where Conn has no socket
	limiter *connectionLimiter

	// Guarded by limiter.mu.
	state             clientConnState
	stateSince        time.Time
	lastReadAt        time.Time     // when something was last received
	hasUnrecordedData bool          // data has left the socket and is not recorded here yet
	head              headRecorder  // of the request being read
	headReceivedAt    time.Time     // if that was while the request before it was active; else zero
	later             laterRequests // what was received behind the active request
}

func newClientConn(nc net.Conn, l *connectionLimiter) *clientConn {
	c := &clientConn{Conn: nc, limiter: l}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // a connection that is closed already has nothing to read
	}
	return c
}

// Read records what it receives. What is received after the connection was evicted is not returned: the client can
// tell that it was not read. A connection that is to be handed over is handed over here, where nothing else can
// read from it any more.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.handOverIfPossible() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.isDisconnectWatch() {
		return c.watchForDisconnect(p)
	}
	n := c.takeKept(p)
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
	isOneByteRead := len(p) == 1
	c.recordHead(p[:n], isOneByteRead)
	return n, err
}

// Close closes the connection, which counts no more.
func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	if c.state != stateClosed {
		c.limiter.changeState(c, stateClosed)
		delete(c.limiter.conns, c)
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// setState changes the state and returns false if the connection has been closed. Data that is received while a
// request is active, or while a head is being read, changes nothing.
func (c *clientConn) setState(state clientConnState) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	if state == stateReading {
		c.lastReadAt, c.hasUnrecordedData = time.Now(), false
	}
	startsRequest := state == stateReading && (c.state == stateSilent || c.state.isBetweenRequests()) ||
		state == stateAnswered && !c.later.isEmpty()
	if startsRequest {
		state = stateReading
		c.headReceivedAt = c.later.headReceivedAt()
		c.head.begin(c.later.beginNext())
	}
	if state != stateReading || startsRequest {
		c.limiter.changeState(c, state)
		c.stateSince = time.Now()
	}
	return true
}

// activity is what the connection does now. Called under limiter.mu.
func (c *clientConn) activity(now time.Time) connActivity {
	return connActivity{state: c.state, age: now.Sub(c.stateSince), sinceRead: now.Sub(c.lastReadAt)}
}

// hasUnreadData tells whether something was received that net/http has not read, or read a moment ago and is not
// recorded yet. It does not wait for the goroutine that reads. Called under limiter.mu.
func (c *clientConn) hasUnreadData() bool {
	return c.later.hasKept() || c.hasUnrecordedData || graceful.HasUnreadData(c.Conn)
}

// readSocket reads from the socket. The read and hasUnrecordedData change together, under the mutex (the call never
// waits), until setState or keepLater records the data: else the connection would look idle in between, and be evicted
// with a request that was received.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	if c.raw == nil {
		return c.Conn.Read(p)
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
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
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// hasLateRequest tells whether a request was received just as the connection's idle timeout expired: it has to be
// answered.
func (c *clientConn) hasLateRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state.isBetweenRequests() || c.state == stateSilent) && c.hasUnreadData()
}

// canHandOver decides whether the connection may go to the successor process: its last response is written to the end,
// and no part of a next request was received. Called under limiter.mu.
func (c *clientConn) canHandOver() bool {
	return (c.state == stateSilent || c.state == stateIdle) && !c.later.hasKept() && !c.hasUnrecordedData
}

// markResponseWritten records that the last response is written to the end. The state's age goes on.
func (c *clientConn) markResponseWritten() {
	c.limiter.mu.Lock()
	if c.state == stateAnswered {
		c.state = stateIdle
	}
	c.limiter.mu.Unlock()
}

// handOverIfPossible hands the connection to the successor process if that was asked for and no request is on it,
// and tells whether it has.
func (c *clientConn) handOverIfPossible() bool {
	l := c.limiter
	l.mu.Lock()
	if l.handOver == nil || !c.canHandOver() {
		l.mu.Unlock()
		return false
	}
	l.changeState(c, stateClosed)
	delete(l.conns, c)
	handOver := l.handOver
	l.handOverCount++
	l.mu.Unlock()
	// A connection that can't be handed over is closed: a client retries what it sends at that moment.
	_ = handOver(c)
	c.Conn.Close()
	l.mu.Lock()
	l.handOverCount--
	l.mu.Unlock()
	return true
}

// clientConnKey is the context key of a request's connection.
type clientConnKey struct{}

// withClientConn adds a connection to the context of its requests.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf returns the connection of a request.
func clientConnOf(r *http.Request) *clientConn {
	return r.Context().Value(clientConnKey{}).(*clientConn)
}
