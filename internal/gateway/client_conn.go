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
	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/logging"
	"mulleinmux/multisite"
)

const (
	readyPath          = "/health/ready"         // polled by the load balancer's health check
	maxRequestBody     = 64 << 10                // bytes
	clientTransitTime  = 10 * time.Millisecond   // deducted from the timeout, which starts when the client sends
	requestReadTimeout = 1500 * time.Millisecond // from a request's first bytes to its last
	clientIdleTimeout  = 30 * time.Second        // for the wait for a connection's next request
	clientWriteTimeout = 10 * time.Second        // for a response
	minConfigAgeShown  = 2 * time.Second         // least time since the setup's confirmation that is reported
	deadlineSlack      = 5 * time.Second         // by which the idle and write timeouts may be shortened
)

// needsNewDeadline reports whether a connection's deadline has to be set again to allow the timeout. A deadline that is
// at most deadlineSlack too early is kept, which saves a system call per request.
func needsNewDeadline(deadline, now time.Time, timeout time.Duration) bool {
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
	closeWatch  closeWatch      // set if isRelay
	lease       *relayedLease   // set if isRelay
	disconnects disconnectWatch // set unless isRelay
	receivedAt  time.Time       // when the head of the current request was received
	lifecycle   connLifecycle
	isRelay     bool                         // the peer is another site's instance
	peerMember  uint64                       // its member ID, by its certificate; set if isRelay
	lastRelayID multisite.ForwardedRequestID // of the last relayed request received; set if isRelay
}

// requestInput reads the requests of a connection. Only the connection's goroutine uses it.
type requestInput struct {
	conn         net.Conn
	deadline     time.Time // current read deadline
	readCount    int       // reads since the current request began
	hasReadAhead bool      // readAhead is set
	readAhead    byte      // a byte that closeWatch read, which the next Read returns
}

func (i *requestInput) setDeadline(deadline time.Time) {
	i.deadline = deadline
	i.conn.SetReadDeadline(deadline)
}

// unreadByte stores a byte that was read ahead, for the next call of Read.
func (i *requestInput) unreadByte(b byte) { i.readAhead, i.hasReadAhead = b, true }

// beginRequest prepares the input for the next request and allows clientIdleTimeout for the wait.
func (i *requestInput) beginRequest(now time.Time) {
	if i.readCount > 1 || needsNewDeadline(i.deadline, now, clientIdleTimeout) {
		i.setDeadline(now.Add(clientIdleTimeout))
	}
	i.readCount = 0
}

// Read counts the reads of a request. A request that does not arrive in a single read gets requestReadTimeout for the
// rest, so that a slow client cannot hold a connection. Data received before the deadline passed is read even if this
// process notices it later.
func (i *requestInput) Read(p []byte) (n int, err error) {
	if i.readCount == 1 {
		i.setDeadline(time.Now().Add(requestReadTimeout))
	}
	i.readCount++
	if i.hasReadAhead && len(p) > 0 {
		i.hasReadAhead = false
		p[0] = i.readAhead
		return 1, nil
	}
	n, err = i.conn.Read(p)
	if i.readCount > 1 && errors.Is(err, os.ErrDeadlineExceeded) && graceful.HasUnreadData(i.conn) {
		return i.readReceived(p)
	}
	return n, err
}

// readReceived reads data that is already in the socket's receive buffer, though the read deadline has passed: it may
// have been received in time, while this process did not run.
func (i *requestInput) readReceived(p []byte) (n int, err error) {
	i.conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	defer i.conn.SetReadDeadline(i.deadline)
	return i.conn.Read(p)
}

// serve answers the requests of a connection until the connection closes or the instance drains.
func (c *clientConn) serve() {
	defer func() {
		c.nc.Close()
		c.disconnects.close()
		c.server.conns.remove(c)
	}()
	if c.isRelay && !c.verifyPeer() {
		return
	}
	for c.awaitRequest() && c.serveNextRequest() {
		c.lifecycle.markIdle()
	}
}

// awaitRequest waits until the next request begins to arrive and reports whether it did. If the idle timeout or a drain
// ends the wait, a request that is already in the socket's receive buffer still counts as arrived.
func (c *clientConn) awaitRequest() bool {
	c.input.beginRequest(time.Now())
	err := c.reader.Fill()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		c.lifecycle.markActive()
		c.input.setDeadline(time.Now().Add(requestReadTimeout))
		err = c.reader.Fill()
	}
	if err != nil {
		return false
	}
	if c.lifecycle.markActive() {
		c.input.setDeadline(time.Now().Add(requestReadTimeout))
	}
	return true
}

// hasUnread reports whether received data has not been read yet, even if the read deadline has passed.
func (c *clientConn) hasUnread() bool {
	if c.isRelay {
		return c.closeWatch.hasUnread()
	}
	return graceful.HasUnreadData(c.nc)
}

// hasNextRequest reports whether data of the next request has already been received.
func (c *clientConn) hasNextRequest() bool {
	return c.reader.Buffered() > 0 || !c.isRelay && graceful.HasUnreadData(c.nc)
}

// serveNextRequest reads and answers one request and reports whether the connection can be reused.
func (c *clientConn) serveNextRequest() (isReusable bool) {
	r := &c.request
	r.reset(c.isRelay)
	defer func() {
		if p := recover(); p != nil {
			logging.Panic(c.server.instance.logger, p, debug.Stack())
			isReusable = false
		}
	}()
	if err := c.reader.ReadRequest(&r.requestHead); err != nil {
		return c.rejectUnreadable(err)
	}
	if c.input.readCount > 0 { // otherwise it arrived together with the previous request
		c.receivedAt = time.Now()
	}
	if err := c.readBody(); err != nil {
		return c.rejectBadRequest(err)
	}
	if handler := c.localHandler(); handler != nil {
		return handler()
	}
	engineRequest, err := c.server.parse(r, c.receivedAt)
	if err == nil {
		engineRequest.Timeout, err = c.limitTimeout(engineRequest.Timeout)
	}
	if err == nil && c.isRelay {
		r.counters = &Counters{} // the instance that relayed the request counts it
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
	r.recorder.finish(r.answerStatus(), c.output.err == nil, c.server.instance.config.OnTrace)
	return isReusable
}

// limitTimeout sets the request's deadline from its remaining timeout, less a margin for the current lateness of this
// instance, and returns the part of the timeout that the engine may use. It returns an error if no time is left: the
// request waited behind a slow one on its connection, or it was received late in a drain.
func (c *clientConn) limitTimeout(timeout time.Duration) (limited time.Duration, err error) {
	now, slack := time.Now(), c.server.instance.config.Settings.ResponseSlack
	if timeout <= 0 {
		return 0, errTimeoutExpired
	}
	limited, isLeft := c.server.drainState.requestTimeout(now, timeout, slack)
	if !isLeft {
		return 0, errDraining
	}
	limited -= c.server.instance.host.latenessMargin(limited)
	c.request.deadline = now.Add(limited + slack)
	c.request.answerBy = c.answerBy(now)
	return limited, nil
}

// answerBy returns until when a response that a server has begun in time is awaited: until the request's deadline. The
// instance that relayed a request may allow more, which a drain limits.
func (c *clientConn) answerBy(now time.Time) time.Time {
	within, count := c.request.requestHead.Values(answerWithinField)
	seconds, isValid := loadreport.ParseDecimal(within)
	if !c.isRelay || count != 1 || !isValid || seconds <= 0 {
		return c.request.deadline
	}
	timeout := min(time.Duration(seconds*float64(time.Second))-clientTransitTime, c.request.operation.Class.Deadline)
	slack := c.server.instance.config.Settings.ResponseSlack
	limited, _ := c.server.drainState.requestTimeout(now, timeout, slack)
	return latest(c.request.deadline, now.Add(limited))
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// localHandler returns the handler of a request that the instance answers itself, or nil if the request is to be
// forwarded. The handler reports whether the connection can be reused.
func (c *clientConn) localHandler() func() bool {
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

// checkBodyLength returns an error unless the body's length is given by Content-Length and at most maxRequestBody
// bytes.
func checkBodyLength(head *httpwire.Head) error {
	switch {
	case head.Chunked:
		return &badRequest{status: http.StatusLengthRequired, close: true,
			text: "Content-Length is required; Transfer-Encoding is not supported"}
	case head.ContentLength > maxRequestBody:
		return &badRequest{status: http.StatusRequestEntityTooLarge,
			text: "body: larger than the limit of 64 KiB", close: true}
	}
	return nil
}

// readBody reads the body of the current request, whose head has been read. The error is nil or a *badRequest.
func (c *clientConn) readBody() error {
	head := &c.request.requestHead
	if err := checkBodyLength(head); err != nil || head.ContentLength <= 0 {
		return err
	}
	expect, n := head.Values("Expect")
	if n > 0 && strings.EqualFold(expect, "100-continue") && c.reader.Buffered() == 0 {
		c.output.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.request.body = make([]byte, head.ContentLength)
	if err := c.reader.ReadBody(c.request.body); err != nil {
		return &badRequest{status: http.StatusBadRequest, text: "body: incomplete", close: true}
	}
	return nil
}

// watchClose calls onClose if the client disconnects, or if the other site's instance closes the connection or reports
// that its client has disconnected, before stopWatch is called.
func (c *clientConn) watchClose(onClose func()) {
	if !c.isRelay {
		c.disconnects.start(onClose)
		return
	}
	c.closeWatch.start(onClose)
	c.lease.watch(onClose)
}

// stopWatch ends the watch of watchClose. The function of that call is not called any more after stopWatch has returned.
func (c *clientConn) stopWatch() {
	if !c.isRelay {
		c.disconnects.stop()
		return
	}
	c.lease.unwatch()
	c.closeWatch.stop()
}

// announceResponse sends an interim response with responseBegunField. An instance that does not know the field ignores
// the response.
func (c *clientConn) announceResponse() {
	c.output.write([]byte("HTTP/1.1 102 Processing\r\n" + responseBegunField + ": 1\r\n\r\n"))
}

// askForClient sends a question about the client of a relayed request in an interim response.
func (c *clientConn) askForClient(askedAt time.Time) {
	b := []byte("HTTP/1.1 102 Processing\r\n")
	b = leaseReply{question: c.server.instance.relay.clock.reading(askedAt)}.appendTo(b)
	c.output.write(append(b, "\r\n"...))
}

// confirmClient reports whether an attempt may begin now: the client is connected, as far as can be known. For a relayed
// request it may have to ask the other site's instance first; it waits for the answer until the deadline, or until the
// attempt is aborted.
func (c *clientConn) confirmClient(control *attemptControl, deadline time.Time) bool {
	if c.isRelay && !c.lease.await(control, deadline, c.askForClient) {
		return false
	}
	return !c.hasDisconnected()
}

// hasDisconnected reports whether the client or the other site's instance has closed the connection. It checks the
// socket itself: a goroutine that watches the connection may not have run since the close.
func (c *clientConn) hasDisconnected() bool {
	if c.isRelay {
		return c.closeWatch.hasClosed()
	}
	return graceful.IsPeerDisconnected(c.nc)
}
