package edgeproxy

import (
	"bytes"
	"time"
)

// maxRecordedHead bounds what is kept of a head; the library takes no longer one.
const maxRecordedHead = 32 << 10

// recordHead keeps a head as it comes, for what the library does not tell of it. It may keep
// more than the head, and never less. While a request is open the library looks for the first
// byte of the next one, which comes early where a client has its answer before its handler ends.
func (c *clientConn) recordHead(p []byte, one bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if one && c.state == stateActive {
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

// recordEarlyBytes notes what the library has of the next request.
func (c *clientConn) recordEarlyBytes(p []byte) {
	if len(p) > 0 {
		c.limiter.mu.Lock()
		c.earlyBytes = append(c.earlyBytes, p...)
		c.limiter.mu.Unlock()
	}
}

// takeHead returns the head of the request whose handler calls, or nil if it was not kept
// whole, and when its first byte came.
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

// hasNextRequest tells whether something of a later request has come.
func (c *clientConn) hasNextRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return len(c.earlyBytes) > 0 || c.hasUnreadData()
}
