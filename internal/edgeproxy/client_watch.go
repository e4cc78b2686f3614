package edgeproxy

import (
	"bytes"
	"time"

	"mulleinmux/internal/graceful"
)

// maxReadAhead limits the bytes of pipelined requests that are read while a request is active.
const maxReadAhead = 16 << 10

// pipelinedRequests is the data received after the active request.
type pipelinedRequests struct {
	delivered    []byte    // already returned to net/http
	buffered     []byte    // follows delivered; not yet returned to net/http
	receivedAt   time.Time // when the latest of the data was received
	isWatchEnded bool      // buffered reached its limit: a disconnect of the client is no longer noticed
}

// headReceivedAt returns when the next request's head was completely received. It is zero if part of the head is
// missing.
func (l *pipelinedRequests) headReceivedAt() time.Time {
	if !bytes.Contains(append(l.delivered[:len(l.delivered):len(l.delivered)], l.buffered...), headEnd) {
		return time.Time{}
	}
	return l.receivedAt
}

// isEmpty reports whether no data has been received.
func (l *pipelinedRequests) isEmpty() bool { return len(l.delivered)+len(l.buffered) == 0 }

// hasBuffered reports whether data has been received that was not yet returned to net/http.
func (l *pipelinedRequests) hasBuffered() bool { return len(l.buffered) > 0 }

// addDelivered adds data of later requests that net/http has read, received at receivedAt.
func (l *pipelinedRequests) addDelivered(p []byte, receivedAt time.Time) {
	l.delivered, l.receivedAt = append(l.delivered, p...), receivedAt
}

// appendBuffered adds received data to the buffer and reports whether the limit is reached.
func (l *pipelinedRequests) appendBuffered(p []byte) (isFull bool) {
	if len(p) > 0 {
		l.buffered, l.receivedAt = append(l.buffered, p...), time.Now()
	}
	return len(l.buffered) >= maxReadAhead
}

// takeBuffered moves buffered data to p, which net/http reads, and returns the number of bytes.
func (l *pipelinedRequests) takeBuffered(p []byte) int {
	n := copy(p, l.buffered)
	if l.buffered = l.buffered[n:]; len(l.buffered) == 0 {
		l.buffered = nil
	}
	return n
}

// endWatch ends the watch for the client's disconnect. It returns the first buffered byte, which net/http reads.
func (l *pipelinedRequests) endWatch() byte {
	l.isWatchEnded = true
	first := l.buffered[0]
	l.buffered = l.buffered[1:]
	l.delivered = append(l.delivered, first)
	return first
}

// beginNext begins the next request and returns the part of it that net/http has already read.
func (l *pipelinedRequests) beginNext() (early []byte) {
	early = l.delivered
	l.delivered, l.isWatchEnded = nil, false
	return early
}

// isDisconnectWatch reports whether a read of one byte is the background read by which net/http notices that the client
// of a complete request disconnects.
func (c *clientConn) isDisconnectWatch() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateActive || c.state == stateReading) && !c.head.isRecording && !c.pipelined.isWatchEnded
}

// watchForDisconnect waits until the client disconnects or net/http ends its background read. That read would end with
// the first byte after the request, and the request of a client that disconnects later would still be forwarded. So the
// data received meanwhile is buffered here, for the reads of the next request.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	var buf []byte
	for {
		if buf == nil {
			// Most clients send nothing while they wait, so a buffer of one byte is enough at first.
			n, err := c.readSocket(p)
			if c.bufferPipelined(p[:n]); err != nil {
				return 0, err
			}
			buf = make([]byte, 2<<10)
		}
		n, err := c.readSocket(buf)
		isFull := c.bufferPipelined(buf[:n])
		if err != nil {
			return 0, err
		}
		if isFull {
			c.limiter.mu.Lock()
			defer c.limiter.mu.Unlock()
			p[0] = c.pipelined.endWatch()
			return 1, nil
		}
	}
}

// bufferPipelined buffers received data of later requests and reports whether the limit is reached.
func (c *clientConn) bufferPipelined(p []byte) (isFull bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.hasUnrecordedData = false
	return c.pipelined.appendBuffered(p)
}

// takePipelined moves buffered data of later requests to p and returns the number of bytes.
func (c *clientConn) takePipelined(p []byte) int {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.pipelined.takeBuffered(p)
}

// hasClientDisconnected reports whether the client of the active request has disconnected. It queries the socket,
// because the watch may have ended already, or its goroutine may run after the caller's.
func (c *clientConn) hasClientDisconnected() bool { return graceful.IsPeerDisconnected(c.Conn) }
