package gateway

import (
	"net"
	"syscall"
	"time"

	"mulleinmux/internal/attemptprogress"
	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/serverpool"
)

const (
	maxResponseBody   = 1 << 20                  // bytes
	maxResponseSize   = maxResponseBody + 64<<10 // bytes, including heads, chunk sizes and interim responses
	maxRetainedBuffer = 16 << 10                 // bytes of the request buffer that an idle connection keeps
)

// serverConn is a connection to a server.
type serverConn struct {
	nc          net.Conn
	raw         syscall.RawConn
	reader      *httpwire.Reader
	remaining   int                     // bytes that may still be read of the current response
	progress    attemptprogress.Attempt // of the current attempt
	waitsUntil  time.Time               // read deadline that was set last
	attempt     *attemptControl         // control of the current attempt
	onBegun     func()                  // called once if the current response begins and is not complete yet; nil: not called
	buffer      []byte                  // holds the current request while it is written
	connectedAt time.Time
}

// beginExchange prepares the connection for a request and its response.
func (c *serverConn) beginExchange(attempt *attemptControl, request *exchangeRequest) {
	c.attempt, c.remaining = attempt, maxResponseSize
	c.progress, c.onBegun = attemptprogress.New(request.limits), request.onBegun
	c.waitsUntil = c.progress.WaitUntil(time.Now())
	c.nc.SetDeadline(c.waitsUntil)
}

// Read reads from the connection, up to the limit of the response's size. It waits as long as the progress of the
// attempt allows.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLong
	}
	if c.progress.HasBegun() { // most responses are complete after the first read
		c.announceResponse()
	}
	if until := c.progress.WaitUntil(time.Now()); !until.Equal(c.waitsUntil) {
		c.waitsUntil = until
		c.attempt.setReadDeadline(c)
	}
	n, err := c.nc.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if n > 0 {
		c.progress.DataReceived()
	}
	return n, err
}

// announceResponse calls onBegun unless it was called for the current exchange.
func (c *serverConn) announceResponse() {
	if c.onBegun != nil {
		c.onBegun()
		c.onBegun = nil
	}
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
