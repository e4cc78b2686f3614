package edgeproxy

import (
	"bytes"
	"time"

	"mulleinmux/internal/graceful"
)

// maxReadAhead limits the bytes that are read of later requests while one is active.
const maxReadAhead = 16 << 10

// laterRequests is what was received behind the active request.
type laterRequests struct {
	given        []byte    // net/http has got it
	kept         []byte    // behind given; net/http has not got it
	receivedAt   time.Time // the last of both
	isWatchEnded bool      // kept was full: that the client disconnects goes unnoticed
}

// headReceivedAt returns when the next request's head had been received; zero if it has not, or not whole.
func (l *laterRequests) headReceivedAt() time.Time {
	if !bytes.Contains(append(l.given[:len(l.given):len(l.given)], l.kept...), headEnd) {
		return time.Time{}
	}
	return l.receivedAt
}

// isEmpty tells whether nothing was received.
func (l *laterRequests) isEmpty() bool { return len(l.given)+len(l.kept) == 0 }

// hasKept tells whether something was received that net/http has not got.
func (l *laterRequests) hasKept() bool { return len(l.kept) > 0 }

// addGiven takes in what net/http has got of later requests, received at a time.
func (l *laterRequests) addGiven(p []byte, receivedAt time.Time) {
	l.given, l.receivedAt = append(l.given, p...), receivedAt
}

// keep keeps what was received and tells whether the limit is reached.
func (l *laterRequests) keep(p []byte) (isFull bool) {
	if len(p) > 0 {
		l.kept, l.receivedAt = append(l.kept, p...), time.Now()
	}
	return len(l.kept) >= maxReadAhead
}

// take copies what is kept to p, which is given to net/http, and returns its length.
func (l *laterRequests) take(p []byte) int {
	n := copy(p, l.kept)
	if l.kept = l.kept[n:]; len(l.kept) == 0 {
		l.kept = nil
	}
	return n
}

// endWatch ends the watch for the client's disconnect, by the first byte that is kept, which is given to net/http.
func (l *laterRequests) endWatch() byte {
	l.isWatchEnded = true
	first := l.kept[0]
	l.kept = l.kept[1:]
	l.given = append(l.given, first)
	return first
}

// beginNext begins the next request and returns what net/http has got of it.
func (l *laterRequests) beginNext() (early []byte) {
	early = l.given
	l.given, l.isWatchEnded = nil, false
	return early
}

// isDisconnectWatch tells whether a read of one byte is that by which net/http notices that the client of a
// complete request disconnects.
func (c *clientConn) isDisconnectWatch() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateActive || c.state == stateReading) && !c.head.isRecording && !c.later.isWatchEnded
}

// watchForDisconnect waits until the client disconnects or net/http ends its watch. The watch of net/http itself
// ends with the first byte behind the request, and the request of a client that disconnects after that would be
// forwarded: so what is received is kept here, for the reads of the next request.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	var buf []byte
	for {
		if buf == nil {
			// Most clients send nothing: a buffer of one byte is enough to wait with.
			n, err := c.readSocket(p)
			if c.keepLater(p[:n]); err != nil {
				return 0, err
			}
			buf = make([]byte, 2<<10)
		}
		n, err := c.readSocket(buf)
		isFull := c.keepLater(buf[:n])
		if err != nil {
			return 0, err
		}
		if isFull {
			c.limiter.mu.Lock()
			defer c.limiter.mu.Unlock()
			p[0] = c.later.endWatch()
			return 1, nil
		}
	}
}

// keepLater keeps what was received of later requests and tells whether the limit is reached.
func (c *clientConn) keepLater(p []byte) (isFull bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.hasUnrecordedData = false
	return c.later.keep(p)
}

// takeKept copies what is kept of later requests to p and returns its length.
func (c *clientConn) takeKept(p []byte) int {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.later.take(p)
}

// isClientGone tells whether the client of the active request has disconnected. It asks the socket: the watch may have
// ended before, or its goroutine may run later than the one that asks.
func (c *clientConn) isClientGone() bool { return graceful.IsPeerGone(c.Conn) }
