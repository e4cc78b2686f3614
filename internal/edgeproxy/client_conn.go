package edgeproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"mulleinmux/internal/fairqueue"
	"mulleinmux/internal/graceful"
)

// clientConnState is the state of a client connection.
type clientConnState int

const (
	stateSilent   clientConnState = iota // new: no data has been received
	stateReading                         // part of a request has been received
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
	memory  *connMemory
	turn    *connTurn

	// Guarded by limiter.mu.
	index             int // in limiter.conns
	state             clientConnState
	stateSince        time.Time
	lastReadAt        time.Time // when data was last received
	lastEmptyAt       time.Time // when the socket last had nothing to read
	hasUnrecordedData bool      // data was read from the socket and is not yet recorded
	headReceivedAt    time.Time // of the complete head of the current request
	bodyReceivedAt    time.Time // of the latest part of its body
	input             clientInput
	isForwarded       bool            // the current request was forwarded: what it cost was not in vain
	isBodyBuffered    bool            // its body is being buffered: each piece is processed in a turn
	answeredCount     int             // requests that were answered
	isEnding          bool            // net/http closes it after the last answer
	isMemoryEvicted   bool            // its memory is needed for others
	evictedFrom       clientConnState // the state in which it was evicted for another connection
}

func newClientConn(nc net.Conn, l *connectionLimiter) *clientConn {
	c := &clientConn{Conn: nc, limiter: l, memory: l.memory.newConn(), turn: l.turns.newConn()}
	c.memory.setEvict(c.evictMemory)
	c.memory.beforeWait = c.turn.end
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // the error means that the connection is closed: there is nothing to read
	}
	return c
}

// Read returns data of the current request. A head is returned once it is complete and its turn has come, which ends
// when more data is awaited. Data received after the connection was evicted is not returned: the close of the
// connection shows the client that its request was not processed. If a handover is pending, Read performs it, because
// no other goroutine can be reading from the connection at this point.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.handOverIfPossible() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.isDisconnectWatch() {
		return c.watchForDisconnect(p)
	}
	if len(p) > 1 && c.isHeadAwaited() {
		if err := c.receiveHead(); err != nil {
			return 0, err
		}
	}
	for {
		if n, isClosed := c.takeInput(p); n > 0 || isClosed {
			return n, errIfClosed(isClosed)
		}
		if n, err := c.readBody(p); n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// errIfClosed returns net.ErrClosed if isClosed is true.
func errIfClosed(isClosed bool) error {
	if isClosed {
		return net.ErrClosed
	}
	return nil
}

// Write ends the request's turn before it writes, since the client may not read.
func (c *clientConn) Write(p []byte) (int, error) {
	c.turn.end()
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from its limiter.
func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	if c.state != stateClosed {
		c.limiter.changeState(c, stateClosed)
		c.limiter.remove(c)
	}
	c.limiter.mu.Unlock()
	c.turn.leave()
	c.memory.requestEnded()
	return c.Conn.Close()
}

// takeInput moves received data of the current request to p. It reports whether the connection was closed.
func (c *clientConn) takeInput(p []byte) (n int, isClosed bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state == stateClosed {
		return 0, true
	}
	return c.input.take(p), false
}

// setBodyBuffered records whether the body of the current request is being buffered. A streamed body is read without a
// turn, since its reader also waits for the app server.
func (c *clientConn) setBodyBuffered(isBuffered bool) {
	c.limiter.mu.Lock()
	c.isBodyBuffered = isBuffered
	c.limiter.mu.Unlock()
}

// readBody reads more of the current request's body from the socket. Other connections have their turns before a piece
// is processed.
func (c *clientConn) readBody(p []byte) (int, error) {
	c.turn.end()
	c.limiter.mu.Lock()
	p = p[:c.input.maxBodyRead(len(p))]
	takesTurn := c.isBodyBuffered
	c.limiter.mu.Unlock()
	n, err := c.readSocket(p)
	if n > 0 && !c.setState(stateReading) {
		return 0, net.ErrClosed
	}
	if n > 0 && takesTurn {
		c.turn.await(fairqueue.BodyCost(int64(n), 0))
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if n > 0 {
		c.bodyReceivedAt = time.Now()
	}
	return c.input.acceptBody(p[:n], time.Now()), err
}

// markForwarded records that the current request was forwarded.
func (c *clientConn) markForwarded() {
	c.limiter.mu.Lock()
	c.isForwarded = true
	c.limiter.mu.Unlock()
}

// beginNextRequest begins the next request, and charges the connection for the last one unless that was forwarded.
// Called under limiter.mu.
func (c *clientConn) beginNextRequest() {
	if !c.isForwarded {
		c.turn.chargeUnforwarded(c.input.cost())
	}
	c.isForwarded = false
	c.headReceivedAt, c.bodyReceivedAt = c.input.beginNext(), time.Time{}
}

// setState changes the state. It returns false if the connection has been closed. Data that is received while a request
// is active, or in the middle of one, does not change the state.
func (c *clientConn) setState(state clientConnState) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	if state == stateReading {
		c.recordReceived()
		return true
	}
	c.limiter.changeState(c, state)
	c.stateSince = time.Now()
	if state == stateActive {
		c.memory.requestComplete()
	}
	if state == stateAnswered {
		c.answeredCount++
		c.memory.requestEnded()
		if c.input.isReturned() { // else net/http discards the rest of the body first
			c.beginNextRequest()
		}
		if !c.input.isEmpty() {
			c.limiter.changeState(c, stateReading)
			c.memory.received(time.Now())
		}
	}
	return true
}

// markAnswered records that the current request was answered, and whether net/http closes the connection after that.
func (c *clientConn) markAnswered(isEnding bool) {
	c.limiter.mu.Lock()
	c.isEnding = isEnding
	c.limiter.mu.Unlock()
	c.setState(stateAnswered)
}

// recordReceived records that data was received. Called under limiter.mu.
func (c *clientConn) recordReceived() {
	now := time.Now()
	c.lastReadAt, c.hasUnrecordedData = now, false
	if c.state == stateSilent || c.state.isBetweenRequests() {
		c.limiter.changeState(c, stateReading)
		c.stateSince = now
	}
	if c.state == stateReading {
		c.memory.received(now)
	}
}

// isFree reports whether the connection can be evicted without loss: no request has been received on it completely.
// Called under limiter.mu.
func (c *clientConn) isFree() bool {
	return c.state == stateSilent || c.state == stateReading && c.answeredCount == 0
}

// activity returns the connection's state and ages for the eviction decision. Called under limiter.mu.
func (c *clientConn) activity(now time.Time) connActivity {
	return connActivity{
		state:     c.state,
		age:       now.Sub(c.stateSince),
		sinceRead: now.Sub(c.lastReadAt),
		hasServed: c.answeredCount > 0,
		isEnding:  c.isEnding,
	}
}

// hasUnreadData reports whether data has been received that was not looked at, or a request that is not active yet: a
// complete one, or one whose head is to be served. It doesn't wait for the reading goroutine. Called under limiter.mu.
func (c *clientConn) hasUnreadData() bool {
	isWaiting := c.state == stateReading && (c.input.hasUnservedHead() || c.input.isRequestComplete())
	return isWaiting || c.hasUnrecordedData || graceful.HasUnreadData(c.Conn)
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
	return (c.state == stateSilent || c.state == stateIdle) && c.input.isEmpty() && !c.hasUnrecordedData
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
	l.remove(c)
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
