package edgeproxy

import (
	"bytes"
	"time"
)

// maxRecordedHead limits the recorded bytes of a head. net/http rejects longer heads.
const maxRecordedHead = 32 << 10

// headEnd is the byte sequence that ends a request's head.
var headEnd = []byte("\r\n\r\n")

// headRecorder records the head of the request being read as received, because net/http doesn't expose all of it. It
// may record bytes after the head, but never misses part of the head.
type headRecorder struct {
	bytes       []byte
	isRecording bool // the head is not complete yet
}

// begin begins a new head with the part of it that was received early.
func (r *headRecorder) begin(early []byte) {
	r.bytes, r.isRecording = early, !bytes.Contains(early, headEnd)
}

// add records another piece, unless the head is already complete.
func (r *headRecorder) add(p []byte) {
	if !r.isRecording {
		return
	}
	from := max(len(r.bytes)-(len(headEnd)-1), 0)
	r.bytes = append(r.bytes, p...)
	if bytes.Contains(r.bytes[from:], headEnd) || len(r.bytes) > maxRecordedHead {
		r.isRecording = false
	}
}

// take returns the recorded head and resets the recorder. It returns nil if the head is incomplete or too long.
func (r *headRecorder) take() []byte {
	head, isComplete := bytes.TrimLeft(r.bytes, "\r\n"), !r.isRecording
	*r = headRecorder{}
	if !isComplete || len(head) > maxRecordedHead {
		return nil
	}
	return head
}

// recordHead records received data. While a request is active, net/http's background read may read the first byte of
// the next request, which a client may send as soon as it has its response, before the handler returns.
func (c *clientConn) recordHead(p []byte, isOneByteRead bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if isOneByteRead && c.state == stateActive {
		c.pipelined.addDelivered(p, time.Now())
		return
	}
	c.head.add(p)
}

// recordPipelinedBytes records the bytes of the next request that net/http has already read.
func (c *clientConn) recordPipelinedBytes(p []byte) {
	if len(p) > 0 {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		receivedAt := c.headReceivedAt // they were received with the current request's head
		if receivedAt.IsZero() {
			receivedAt = time.Now()
		}
		c.pipelined.addDelivered(p, receivedAt)
	}
}

// pipelinedHeadReceivedAt returns when the head of the current request was received, if that was while the previous
// request was active; otherwise the zero time.
func (c *clientConn) pipelinedHeadReceivedAt() time.Time {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.headReceivedAt
}

// takeHead returns the head of the current request, or nil if it was not recorded completely, and when its first byte
// was received.
func (c *clientConn) takeHead() ([]byte, time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.head.take(), c.stateSince
}

// hasNextRequest reports whether part of a later request has been received.
func (c *clientConn) hasNextRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return len(c.pipelined.delivered) > 0 || c.hasUnreadData()
}
