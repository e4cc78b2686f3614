package edgeproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"mulleinmux/internal/fairqueue"
	"mulleinmux/internal/graceful"
)

// receiveBufferBytes is the size of the buffer into which heads are read.
const receiveBufferBytes = 4 << 10

// Memory for the parsed head of a request.
const (
	parsedBytesPerHeadByte = 2   // of net/http's copy of the head
	parsedBytesPerField    = 128 // of its map of fields
)

// Times of the response to a head that is not accepted.
const (
	rejectionWriteTimeout = 20 * time.Millisecond  // it fits into the socket's buffer
	lingerTimeout         = 250 * time.Millisecond // for the client to read the response
	maxLingerBytes        = 64 << 10               // that are discarded meanwhile
)

// errHeadRejected is returned to net/http for a head that was answered without it.
var errHeadRejected = fmt.Errorf("head was rejected: %w", io.EOF)

// isHeadAwaited reports whether the head of the current request is not complete yet, or not admitted. If the last
// request was returned to net/http completely, which now asks for more, the next one begins.
func (c *clientConn) isHeadAwaited() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state != stateActive && c.input.isReturned() {
		c.beginNextRequest()
	}
	return c.state != stateActive && !c.input.isAdmitted
}

// receiveHead receives the current request's head until it is complete and its turn has come. An error ends the
// connection.
func (c *clientConn) receiveHead() error {
	status, err := c.receiveUntilHead()
	if err != nil {
		return err
	}
	if status == headTooLarge {
		c.rejectHead(http.StatusRequestHeaderFieldsTooLarge)
		return errHeadRejected
	}
	c.limiter.mu.Lock()
	headBytes, fieldLines := c.input.boundary.HeadBytes, c.input.boundary.FieldLines
	hasNoBody := c.input.boundary.IsEnded()
	inputSize := c.input.size() - includedInputBytes
	c.limiter.mu.Unlock()
	c.turn.pace() // before memory is taken, which a paced request would hold in vain
	parsed := int64(parsedBytesPerHeadByte*headBytes + parsedBytesPerField*fieldLines)
	needed := requestBytes + parsed + max(inputSize, 0)
	isReserved := hasNoBody && c.memory.head.tryGrowTo(needed)
	if !isReserved && c.memory.head.growTo(needed) != nil {
		c.rejectHead(http.StatusServiceUnavailable)
		return errHeadRejected
	}
	c.turn.await(fairqueue.RequestCost(headBytes, fieldLines))
	c.limiter.mu.Lock()
	c.input.isAdmitted = true
	c.limiter.mu.Unlock()
	return nil
}

// receiveUntilHead receives data until the head is complete or too large.
func (c *clientConn) receiveUntilHead() (headStatus, error) {
	for {
		c.limiter.mu.Lock()
		if c.state == stateClosed {
			c.limiter.mu.Unlock()
			return headIncomplete, net.ErrClosed
		}
		status := c.input.scanHead()
		if status == headComplete && c.headReceivedAt.IsZero() {
			c.headReceivedAt = c.input.receivedAt
		}
		hasBegun := !c.input.isEmpty()
		size := c.input.size()
		needsDeadline := hasBegun && !c.input.hasHeadDeadline
		c.input.hasHeadDeadline = c.input.hasHeadDeadline || hasBegun
		c.limiter.mu.Unlock()
		if status != headIncomplete {
			return status, nil
		}
		if err := c.memory.input.growTo(size - includedInputBytes); err != nil {
			c.rejectHead(http.StatusServiceUnavailable)
			return headIncomplete, errHeadRejected
		}
		if needsDeadline {
			c.setHeadDeadline()
		}
		if err := c.receiveMore(hasBegun); err != nil {
			return headIncomplete, err
		}
	}
}

// setHeadDeadline sets the deadline of a head whose first data was received just now. That of a connection's first
// request runs from the connection's start.
func (c *clientConn) setHeadDeadline() {
	if c.hasServed() {
		c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}
}

// hasServed reports whether a request has been served on the connection.
func (c *clientConn) hasServed() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.answeredCount > 0
}

// receiveMore receives more data of a head. hasBegun is true if some was received. An error ends the connection: if
// part of a head was received, net/http reads that part first.
func (c *clientConn) receiveMore(hasBegun bool) error {
	n, err := c.receiveSocket()
	switch {
	case n > 0 || err == nil:
		return nil
	case c.handOverIfPossible():
		return io.EOF
	case errors.Is(err, errMemoryEvicted):
		c.rejectHead(http.StatusServiceUnavailable)
		return errHeadRejected
	case isTimeout(err) && c.hasLateRequest():
		c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		return nil
	case (err == io.EOF || isTimeout(err)) && hasBegun:
		c.limiter.mu.Lock()
		c.input.giveUpHead()
		c.limiter.mu.Unlock()
		return nil
	}
	return err
}

// rejectHead answers a head that is not passed to net/http, and waits until the client has read the response or closed
// the connection.
func (c *clientConn) rejectHead(status int) {
	c.turn.chargeUnforwarded(fairqueue.RequestCost(maxHeadBytes, maxHeadFields))
	if status == http.StatusServiceUnavailable {
		c.limiter.events.count(refusedHeadMemory)
	} else {
		c.limiter.events.count(refusedLargeHead)
	}
	c.turn.end()
	err := c.writeRejection(status)
	c.limiter.mu.Lock()
	c.input.received = nil
	c.limiter.mu.Unlock()
	c.memory.requestEnded()
	if err == nil {
		c.linger()
	}
}

// linger ends sending and waits until the client has read the last response or closed the connection. Closing over
// unread data would reset the connection, and the client might not receive the response.
func (c *clientConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, maxLingerBytes) // ends with an error in any other case
}

// writeRejection writes the response to a request that is not passed to net/http.
func (c *clientConn) writeRejection(status int) error {
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	c.Conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s\n", text, len(text)+1, text)
	return err
}

// receivedAt returns when the current request was completely received, whether or not it was processed at once.
func (c *clientConn) receivedAt() time.Time {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.bodyReceivedAt.After(c.headReceivedAt) {
		return c.bodyReceivedAt
	}
	return c.headReceivedAt
}

// takeHead returns the head of the current request, or nil if it is malformed, and when its first byte was received.
func (c *clientConn) takeHead() ([]byte, time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.input.takeHead(), c.stateSince
}

// isFramingUnknown reports whether the end of the current request can't be found.
func (c *clientConn) isFramingUnknown() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.input.boundary.IsUnknown()
}

// hasNextRequest reports whether part of a later request has been received.
func (c *clientConn) hasNextRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.input.hasNext() || c.hasUnrecordedData || graceful.HasUnreadData(c.Conn)
}
