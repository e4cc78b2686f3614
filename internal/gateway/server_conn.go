package gateway

import (
	"net"
	"syscall"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/serverpool"
)

const (
	maxResponseBody     = 1 << 20                  // bytes
	maxResponseSize     = maxResponseBody + 64<<10 // bytes, including heads, chunk sizes and interim responses
	responseRestTimeout = 250 * time.Millisecond   // from a response's first bytes to its last
	maxRetainedBuffer   = 16 << 10                 // bytes of the request buffer that an idle connection keeps
)

// serverConn is a connection to a server.
type serverConn struct {
	nc              net.Conn
	raw             syscall.RawConn
	reader          *httpwire.Reader
	remaining       int             // bytes that may still be read of the current response
	hasBytes        bool            // bytes of the current response have been read
	hasRestDeadline bool            // setRestDeadline was called for the current response
	attempt         *attemptControl // control of the current attempt
	buffer          []byte          // holds the current request while it is written
	connectedAt     time.Time
}

// Read reads from the connection, up to the limit of the response's size.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLong
	}
	if c.hasBytes && !c.hasRestDeadline { // most responses are complete after the first read
		c.hasRestDeadline = true
		c.attempt.setRestDeadline(c)
	}
	n, err := c.nc.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	c.hasBytes = c.hasBytes || n > 0
	return n, err
}

// Close closes the connection.
func (c *serverConn) Close() error { return c.nc.Close() }

// IsQuiet reports whether an idle connection is still open and has no unread data.
func (c *serverConn) IsQuiet() bool { return serverpool.IsQuiet(c.raw) }

// trimBuffer releases the request buffer if it is larger than maxRetainedBuffer.
func (c *serverConn) trimBuffer() {
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
}
