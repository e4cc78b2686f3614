package edgeproxy

import (
	"bytes"
	"time"
)

// maxRecordedHead limits the bytes that are kept of a head; net/http accepts no longer one.
const maxRecordedHead = 32 << 10

// recordHead keeps a head as received, for what net/http does not tell of it. It may keep more than the head, and
// never less. While a request is active net/http reads the first byte of the next one, which comes early if a
// client has its response before the handler returns.
func (c *clientConn) recordHead(p []byte, isOneByteRead bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if isOneByteRead && c.state == stateActive {
		c.earlyBytes = append(c.earlyBytes, p...)
		return
	}
	if !c.isReadingHead {
		return
	}
	from := max(len(c.head)-3, 0)
	c.head = append(c.head, p...)
	if bytes.Contains(c.head[from:], []byte("\r\n\r\n")) || len(c.head) > maxRecordedHead {
		c.isReadingHead = false
	}
}

// recordEarlyBytes records what net/http has of the next request.
func (c *clientConn) recordEarlyBytes(p []byte) {
	if len(p) > 0 {
		c.limiter.mu.Lock()
		c.earlyBytes = append(c.earlyBytes, p...)
		c.limiter.mu.Unlock()
	}
}

// takeHead returns the head of the request whose handler calls, or nil if it was not kept whole, and when its first
// byte was received.
func (c *clientConn) takeHead() ([]byte, time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	head := bytes.TrimLeft(c.head, "\r\n")
	c.head = nil
	if c.isReadingHead || len(head) > maxRecordedHead {
		c.isReadingHead = false
		return nil, c.stateSince
	}
	return head, c.stateSince
}

// hasNextRequest tells whether part of a later request was received.
func (c *clientConn) hasNextRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return len(c.earlyBytes) > 0 || c.hasUnreadData()
}
