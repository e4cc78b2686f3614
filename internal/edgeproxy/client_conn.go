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

// clientConnState is the state of a client connection.
type clientConnState int

const (
	stateSilent   clientConnState = iota // new: no data has been received
	stateReading                         // part of a request's head has been received
	stateActive                          // a request is being served
	stateAnswered                        // answered; the end of the response, or the close after it, may be pending
	stateIdle                            // between requests
	stateClosed
)

// isBetweenRequests reports whether the last request has been answered and no part of the next one has been received.
func (s clientConnState) isBetweenRequests() bool { return s == stateAnswered || s == stateIdle }

// clientConn is a client connection. It counts towards its limiter until it is closed or handed over. One net/http
// goroutine reads from it; other goroutines read its state.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn // nil if Conn has no socket
	limiter *connectionLimiter

	// Guarded by limiter.mu.
	state             clientConnState
	stateSince        time.Time
	lastReadAt        time.Time         // when data was last received
	hasUnrecordedData bool              // data was read from the socket and is not yet recorded in head or pipelined
	head              headRecorder      // of the request being read
	headReceivedAt    time.Time         // of the head, if the previous request was still active then; else zero
	pipelined         pipelinedRequests // data received after the active request
}

func newClientConn(nc net.Conn, l *connectionLimiter) *clientConn {
	c := &clientConn{Conn: nc, limiter: l}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // the error means that the connection is closed: there is nothing to read
	}
	return c
}

// Read records the data that it receives. Data received after the connection was evicted is not returned: the close of
// the connection shows the client that its request was not processed. If a handover is pending, Read performs it,
// because no other goroutine can be reading from the connection at this point.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.handOverIfPossible() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.isDisconnectWatch() {
		return c.watchForDisconnect(p)
	}
	n := c.takePipelined(p)
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

// Close closes the connection and removes it from its limiter.
func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	if c.state != stateClosed {
		c.limiter.changeState(c, stateClosed)
		delete(c.limiter.conns, c)
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// setState changes the state. It returns false if the connection has been closed. Data that is received while a request
// is active, or in the middle of a head, does not change the state.
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
		state == stateAnswered && !c.pipelined.isEmpty()
	if startsRequest {
		state = stateReading
		c.headReceivedAt = c.pipelined.headReceivedAt()
		c.head.begin(c.pipelined.beginNext())
	}
	if state != stateReading || startsRequest {
		c.limiter.changeState(c, state)
		c.stateSince = time.Now()
	}
	return true
}

// activity returns the connection's state and ages for the eviction decision. Called under limiter.mu.
func (c *clientConn) activity(now time.Time) connActivity {
	return connActivity{state: c.state, age: now.Sub(c.stateSince), sinceRead: now.Sub(c.lastReadAt)}
}

// hasUnreadData reports whether data has been received that net/http has not read, or has just read and that is not yet
// recorded. It doesn't wait for the reading goroutine. Called under limiter.mu.
func (c *clientConn) hasUnreadData() bool {
	return c.pipelined.hasBuffered() || c.hasUnrecordedData || graceful.HasUnreadData(c.Conn)
}

// readSocket reads from the socket. The non-blocking read and the update of hasUnrecordedData happen together under the
// mutex, and the flag stays set until setState or bufferPipelined records the data. Otherwise the connection would look
// idle in between and could be evicted although a request was received.
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

// hasLateRequest reports whether a request was received just as the connection's idle timeout expired. Such a request
// must be answered.
func (c *clientConn) hasLateRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state.isBetweenRequests() || c.state == stateSilent) && c.hasUnreadData()
}

// canHandOver reports whether the connection may be handed over to the successor process: its last response is fully
// written, and no part of a next request has been received. Called under limiter.mu.
func (c *clientConn) canHandOver() bool {
	return (c.state == stateSilent || c.state == stateIdle) && !c.pipelined.hasBuffered() && !c.hasUnrecordedData
}

// markResponseWritten records that the last response is fully written. The age of the state is not reset.
func (c *clientConn) markResponseWritten() {
	c.limiter.mu.Lock()
	if c.state == stateAnswered {
		c.state = stateIdle
	}
	c.limiter.mu.Unlock()
}

// handOverIfPossible hands the connection over to the successor process if a handover is pending and no request is on
// the connection. It reports whether it did.
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
	// If the handover fails the connection is only closed: a client retries a request that it sends at that moment.
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

// clientConnOf returns the connection on which a request was received.
func clientConnOf(r *http.Request) *clientConn {
	return r.Context().Value(clientConnKey{}).(*clientConn)
}
