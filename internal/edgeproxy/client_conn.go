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

// clientConnState is the state of a client's connection.
type clientConnState int

const (
	stateSilent  clientConnState = iota // new: nothing has been received
	stateReading                        // part of a request's head has been received
	stateActive                         // a request is being served
	stateIdle                           // between requests, or closing after the last
	stateClosed                         // closed
)

// clientConn is a client's connection, which counts at its limiter until it is closed or handed over. One goroutine of
// net/http's reads from it; others look at its state.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn // nil where Conn has no socket
	limiter *connectionLimiter

	// Guarded by limiter.mu.
	state             clientConnState
	stateSince        time.Time
	lastReadAt        time.Time // when something was last received
	hasUnrecordedData bool      // data has left the socket and is not recorded here yet
	isResponseWritten bool      // idle, and its last response is written to the end
	head              []byte    // of the request being read, as received
	isReadingHead     bool      // more of head is to come
	earlyBytes        []byte    // of the next request, received while one was active, and given to net/http
	readAhead         []byte    // received behind earlyBytes; net/http has not got it
	isWatchEnded      bool      // readAhead is full: that the client disconnects goes unnoticed
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
	startsRequest := state == stateReading && (c.state == stateSilent || c.state == stateIdle) ||
		state == stateIdle && len(c.earlyBytes)+len(c.readAhead) > 0
	if startsRequest {
		state = stateReading
		c.head = c.earlyBytes
		c.isReadingHead = !bytes.Contains(c.earlyBytes, []byte("\r\n\r\n"))
		c.earlyBytes = nil
		c.isWatchEnded = false
	}
	if state != stateReading || startsRequest {
		c.limiter.changeState(c, state)
		c.stateSince, c.isResponseWritten = time.Now(), false
	}
	return true
}

// hasUnreadData tells whether something was received that net/http has not read, or read a moment ago and is not
// recorded yet. It does not wait for the goroutine that reads. Called under limiter.mu.
func (c *clientConn) hasUnreadData() bool {
	if len(c.readAhead) > 0 || c.hasUnrecordedData {
		return true
	}
	hasData := false
	var b [1]byte
	err := controlSocket(c.Conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasData = err == nil && n > 0
	})
	return err == nil && hasData
}

// errNoSocket is the error of a connection or listener without a descriptor.
var errNoSocket = errors.New("no socket")

// controlSocket calls f with the descriptor of a connection or a listener. The error is errNoSocket if it has none;
// any other error means that it is closed.
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

// readSocket reads from the socket. Between the moment at which data leaves the socket and the moment at which its
// reader records it, the connection would look idle with nothing to read; closing it then would lose a request that
// was received. So the read and hasUnrecordedData change together, under the mutex (the call never waits), until
// setState or appendReadAhead records the rest.
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
	return (c.state == stateIdle || c.state == stateSilent) && c.hasUnreadData()
}

// canHandOver tells whether no part of a request was received. Called under limiter.mu.
func (c *clientConn) canHandOver() bool {
	hasNoRequest := c.state == stateSilent || c.state == stateIdle && c.isResponseWritten
	return hasNoRequest && len(c.readAhead) == 0 && !c.hasUnrecordedData
}

// markResponseWritten records that the last response is written to the end.
func (c *clientConn) markResponseWritten() {
	c.limiter.mu.Lock()
	c.isResponseWritten = c.state == stateIdle
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
