package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/logging"
)

const (
	readyPath          = "/health/ready"         // of the load balancer's health check
	maxRequestBody     = 64 << 10                // bytes that the body of a request may hold
	clientTransit      = 10 * time.Millisecond   // taken off a client's timeout, which counts from its send
	requestReadTimeout = 1500 * time.Millisecond // for a request, from its first bytes to its last
	clientIdleTimeout  = 30 * time.Second        // for a connection between requests
	clientWriteTimeout = 10 * time.Second        // for an answer
	minConfigAgeShown  = 2 * time.Second         // since the setup was confirmed: answers show a longer one
	deadlineSlack      = 5 * time.Second         // by which the idle and the write timeout may be shorter
)

// isDeadlineDue decides whether a connection's deadline has to be set anew for a timeout. One that is at most
// deadlineSlack too short stays, which saves a call of the system for each request.
func isDeadlineDue(deadline, now time.Time, timeout time.Duration) bool {
	return deadline.Sub(now) < timeout-deadlineSlack
}

// clientConn is a connection of a client, or of another site's instance.
type clientConn struct {
	server      *clientServer
	nc          net.Conn
	reader      *httpwire.Reader
	request     pendingRequest
	input       requestInput
	output      responseOutput
	closeWatch  closeWatch // set if isRelay
	receivedAt  time.Time  // when the head of the request under way had come
	life        connLife
	isRelay     bool   // the other end is another site's instance
	lastRelayID string // of the last relayed request that came on it; set if isRelay
}

// requestInput reads the requests of a connection. Its goroutine alone uses it.
type requestInput struct {
	conn         net.Conn
	deadline     time.Time // read deadline in force
	readCount    int       // since the request under way began
	hasReadAhead bool      // readAhead is set
	readAhead    byte      // read before it was asked for
}

// setDeadline sets the read deadline.
func (i *requestInput) setDeadline(deadline time.Time) {
	i.deadline = deadline
	i.conn.SetReadDeadline(deadline)
}

// keep keeps a byte that was read for the next call of Read.
func (i *requestInput) keep(b byte) { i.readAhead, i.hasReadAhead = b, true }

// beginRequest has the next request awaited for clientIdleTimeout.
func (i *requestInput) beginRequest(now time.Time) {
	if i.readCount > 1 || isDeadlineDue(i.deadline, now, clientIdleTimeout) {
		i.setDeadline(now.Add(clientIdleTimeout))
	}
	i.readCount = 0
}

// Read counts the reads of a request: one that does not arrive whole in the first gets a deadline of its own, so that
// no client holds a connection by sending slowly.
func (i *requestInput) Read(p []byte) (int, error) {
	if i.readCount == 1 {
		i.setDeadline(time.Now().Add(requestReadTimeout))
	}
	i.readCount++
	if i.hasReadAhead && len(p) > 0 {
		i.hasReadAhead = false
		p[0] = i.readAhead
		return 1, nil
	}
	return i.conn.Read(p)
}

// serve answers the requests of one connection, until it ends or the instance drains.
func (c *clientConn) serve() {
	defer func() {
		c.nc.Close()
		c.server.conns.remove(c)
	}()
	if c.isRelay && !c.verifyPeer() {
		return
	}
	for c.awaitRequest() && c.serveOne() {
		c.life.idle()
	}
}

// awaitRequest waits until the next request begins to arrive, and reports whether it has. A request that was received
// by the end of the wait, whether that is the idle timeout's or a drain's, counts as arrived.
func (c *clientConn) awaitRequest() bool {
	c.input.beginRequest(time.Now())
	err := c.reader.Fill()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		c.life.activate()
		c.input.setDeadline(time.Now().Add(requestReadTimeout))
		err = c.reader.Fill()
	}
	if err != nil {
		return false
	}
	if c.life.activate() {
		c.input.setDeadline(time.Now().Add(requestReadTimeout))
	}
	return true
}

// hasUnread reports whether something was received that was not read, whatever the read deadline.
func (c *clientConn) hasUnread() bool {
	if c.isRelay {
		return c.closeWatch.poll()
	}
	return graceful.HasUnreadData(c.nc)
}

// hasNextRequest reports whether the client has sent its next request already.
func (c *clientConn) hasNextRequest() bool {
	return c.reader.Buffered() > 0 || !c.isRelay && graceful.HasUnreadData(c.nc)
}

// serveOne answers one request and reports whether the connection can be used again.
func (c *clientConn) serveOne() (isReusable bool) {
	r := &c.request
	r.reset(c.isRelay)
	defer func() {
		if p := recover(); p != nil {
			logging.Panic(c.server.instance.logger, p, debug.Stack())
			isReusable = false
		}
	}()
	if err := c.reader.Request(&r.requestHead); err != nil {
		return c.rejectUnreadable(err)
	}
	if c.input.readCount > 0 { // else it had come with the request before it
		c.receivedAt = time.Now()
	}
	if err := c.readBody(); err != nil {
		return c.rejectBadRequest(err)
	}
	if handler := c.ownHandler(); handler != nil {
		return handler()
	}
	engineRequest, err := c.server.parse(r, c.receivedAt)
	if err == nil {
		engineRequest.Timeout, err = c.limitTime(engineRequest.Timeout)
	}
	if err == nil && c.isRelay {
		r.counters = &Counters{} // it counts where it entered
		err = c.acceptRelayed()
	}
	if err != nil {
		return c.rejectBadRequest(err)
	}
	r.recorder = c.server.instance.newTraceRecorder(r, c.receivedAt)
	c.server.instance.serveRequest(r, engineRequest, c)
	if c.isRelay {
		c.finishRelayed()
	}
	isReusable = c.writeAnswer()
	r.recorder.finish(r.answerStatus(), c.output.err == nil, c.server.instance.config.Trace)
	return isReusable
}

// limitTime sets the deadline of the request by what is left of its timeout, less what this instance is late by at
// present, and returns what the engine may use of it.
// Its error rejects a request that has no time left: it came behind one that took long, or late in a drain.
func (c *clientConn) limitTime(timeout time.Duration) (limited time.Duration, err error) {
	now, slack := time.Now(), c.server.instance.config.Settings.ResponseSlack
	if timeout <= 0 {
		return 0, errLate
	}
	limited, isLeft := c.server.drainState.requestTimeout(now, timeout, slack)
	if !isLeft {
		return 0, errDraining
	}
	limited -= c.server.instance.host.margin(limited)
	c.request.deadline = now.Add(limited + slack)
	return limited, nil
}

// ownHandler returns what answers a request to the instance itself, or nil for one that is to be forwarded. Like
// serveOne it tells whether the connection can be used again.
func (c *clientConn) ownHandler() func() bool {
	head := &c.request.requestHead
	if head.Method != http.MethodGet {
		return nil
	}
	switch {
	case head.Target == readyPath:
		return c.serveHealth
	case c.isRelay && head.Target == executionStatusPath:
		return c.serveExecutionStatus
	case c.isRelay && head.Target == healthCheckPath:
		return c.serveRelayHealth
	}
	return nil
}

// checkBodyLength decides whether a request's body is read: one whose length is told and at most maxRequestBody bytes.
func checkBodyLength(head *httpwire.Head) error {
	switch {
	case head.Chunked:
		return &badRequest{status: http.StatusLengthRequired, close: true,
			text: "Content-Length is wanted, not Transfer-Encoding"}
	case head.Length > maxRequestBody:
		return &badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB", close: true}
	}
	return nil
}

// readBody reads the body of the request whose head has been read. Its error is a *badRequest or nil.
func (c *clientConn) readBody() error {
	head := &c.request.requestHead
	if err := checkBodyLength(head); err != nil || head.Length <= 0 {
		return err
	}
	expect, n := head.Values("Expect")
	if n > 0 && strings.EqualFold(expect, "100-continue") && c.reader.Buffered() == 0 {
		c.output.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.request.body = make([]byte, head.Length)
	if err := c.reader.Body(c.request.body); err != nil {
		return &badRequest{status: http.StatusBadRequest, text: "body: incomplete", close: true}
	}
	return nil
}

// watchClose calls onClose once if another site's instance closes its connection, until stop is called. The connection
// must be such an instance's.
func (c *clientConn) watchClose(onClose func()) (stop func()) {
	c.closeWatch.start(onClose)
	return c.closeWatch.stop
}

// hasDisconnected reports whether the client, or the other site's instance, has closed its connection. It asks the socket:
// a goroutine that watches the connection may run later than the one that asks.
func (c *clientConn) hasDisconnected() bool {
	if c.isRelay {
		return c.closeWatch.hasClosed()
	}
	return graceful.IsPeerGone(c.nc)
}
