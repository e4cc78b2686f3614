package edgeproxy

import (
	"bytes"
	"time"
)

// maxRecordedHead limits the bytes that are kept of a head; net/http accepts no longer one.
const maxRecordedHead = 32 << 10

// headEnd ends a request's head.
var headEnd = []byte("\r\n\r\n")

// headRecorder keeps the head of the request being read as received, for what net/http does not tell of it. It may keep
// more than the head, and never less.
type headRecorder struct {
	bytes       []byte
	isRecording bool // more of the head is to come
}

// begin begins a head with what was received of it early.
func (r *headRecorder) begin(early []byte) {
	r.bytes, r.isRecording = early, !bytes.Contains(early, headEnd)
}

// add records a further piece, unless the head is complete.
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

// take returns the head and ends its recording; nil if it was not kept whole.
func (r *headRecorder) take() []byte {
	head, isComplete := bytes.TrimLeft(r.bytes, "\r\n"), !r.isRecording
	*r = headRecorder{}
	if !isComplete || len(head) > maxRecordedHead {
		return nil
	}
	return head
}

// recordHead records what was received. While a request is active net/http reads the first byte of the next one, which
// comes early if a client has its response before the handler returns.
func (c *clientConn) recordHead(p []byte, isOneByteRead bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if isOneByteRead && c.state == stateActive {
		c.later.addGiven(p, time.Now())
		return
	}
	c.head.add(p)
}

// recordEarlyBytes records what net/http has of the next request.
func (c *clientConn) recordEarlyBytes(p []byte) {
	if len(p) > 0 {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		receivedAt := c.headReceivedAt // they came with the head of this one
		if receivedAt.IsZero() {
			receivedAt = time.Now()
		}
		c.later.addGiven(p, receivedAt)
	}
}

// earlyHeadAt returns when the head of the request whose handler calls had been received, if that was while the one
// before it was active; else zero.
func (c *clientConn) earlyHeadAt() time.Time {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.headReceivedAt
}

// takeHead returns the head of the request whose handler calls, or nil if it was not kept whole, and when its first
// byte was received.
func (c *clientConn) takeHead() ([]byte, time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.head.take(), c.stateSince
}

// hasNextRequest tells whether part of a later request was received.
func (c *clientConn) hasNextRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return len(c.later.given) > 0 || c.hasUnreadData()
}
