package gateway

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"mulleinmux/internal/attemptprogress"
	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/serverpool"
	"mulleinmux/policy"
)

// exchangeRequest is a request to a server, and how its response is awaited.
type exchangeRequest struct {
	server        string
	limits        attemptprogress.Limits
	isHeadRequest bool
	isRelayed     bool                  // the server is another site's instance
	relayed       *relayedAttempt       // answers questions about the client; nil: they are ignored
	onBegun       func()                // called if the response begins and is not complete at once; nil: not called
	append        func(b []byte) []byte // appends the text of the request
}

// untilDeadline returns the limits of an exchange that only a deadline ends.
func untilDeadline(deadline time.Time) attemptprogress.Limits {
	return attemptprogress.Limits{ResponseBy: deadline, AnswerBy: deadline}
}

// exchange writes a request to a server, at most once, and reads the complete response. The server has to begin it by
// the limits' ResponseBy; one that has begun may take until AnswerBy. An exchange that reaches its limits or is aborted
// through control closes its connection before it returns.
func (p *serverPool) exchange(
	ctx context.Context, control *attemptControl, request exchangeRequest, resp *response,
) policy.Result {
	*resp = response{head: resp.head}
	deadline := request.limits.ResponseBy
	pooled, err := p.acquire(ctx, control, request.server, deadline)
	if err != nil {
		resp.wasRefused = errors.Is(err, syscall.ECONNREFUSED)
		return connectFailureResult(err, control, deadline)
	}
	c := pooled.HostConn
	if !control.start(c, &request) {
		p.Discard(pooled)
		return policy.Cancelled
	}
	c.buffer = request.append(c.buffer[:0])
	if control.source != nil && !control.source.confirmClient(control, deadline) {
		control.isClientGone = true
		p.releaseUnused(pooled, control)
		return policy.NotSent
	}
	if _, err = c.nc.Write(c.buffer); err != nil {
		// A server executes a request only after its last byte, which was not written.
		control.finish()
		p.Discard(pooled)
		return unsentResult(control, deadline)
	}
	resp.wasWritten, resp.writtenAt = true, time.Now()
	result, isReusable, err := c.read(resp, &request)
	resp.hasBegun = c.progress.HasBegun()
	isAborted := !control.finish()
	if isReusable && !isAborted {
		p.release(pooled)
	} else {
		p.Discard(pooled)
		resp.closedAt = time.Now()
	}
	if err != nil {
		result = p.readErrorResult(pooled, err, isAborted, resp.writtenAt)
	}
	if result == policy.OK || result == policy.RejectedByServer || result == policy.ErrorResponse {
		resp.connectedAt = c.connectedAt
	}
	return result
}

// connectFailureResult returns the result of an attempt that got no connection. A lack of file descriptors is not
// attributed to the server.
func connectFailureResult(err error, control *attemptControl, deadline time.Time) policy.Result {
	if errors.Is(err, serverpool.ErrNoDescriptor) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return policy.NotSent
	}
	return unsentResult(control, deadline)
}

// readErrorResult returns the result of an attempt that was written completely but whose response could not be read.
// No response by the deadline (TimedOut) makes the server suspected of being unresponsive; an incomplete response does
// not. The request may have run in both cases.
func (p *serverPool) readErrorResult(pooled *pooledConn, err error, isAborted bool, writtenAt time.Time) policy.Result {
	switch {
	case isAborted:
		return policy.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded) && !pooled.HostConn.progress.HasBegun():
		p.CloseIdleOf(pooled)
		return policy.TimedOut
	case errors.Is(err, os.ErrDeadlineExceeded) || isInvalidResponse(err):
		return policy.ErrorResponse // the server has responded, though incompletely or invalidly
	}
	if !pooled.HostConn.progress.HasBegun() {
		p.RecordReset(pooled, time.Since(writtenAt))
	}
	return policy.ConnectionReset
}

// isInvalidResponse reports whether err means that a response was received but is invalid or too large.
func isInvalidResponse(err error) bool {
	unreadable := []error{
		httpwire.ErrMalformed, httpwire.ErrTooLarge, httpwire.ErrLength, httpwire.ErrCoding, errTooLong, errNoLength,
	}
	for _, e := range unreadable {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// unsentResult returns the result of an attempt that was not written completely. If the attempt's deadline has passed,
// the result does not count against the server.
func unsentResult(k *attemptControl, deadline time.Time) policy.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.isAborted:
		return policy.Cancelled
	case !time.Now().Before(deadline):
		return policy.NotSent
	}
	return policy.ConnectFailed
}

var errNoLength = errors.New("server response: neither Content-Length nor chunked transfer coding")

var errTooLong = errors.New("server response: larger than the limit of 1 MiB for the body and 64 KiB for the rest")

// response is a server's response.
type response struct {
	head        httpwire.Head
	body        []byte
	connectedAt time.Time // when its connection was established; zero: no response was received
	wasRefused  bool      // the server refused the connection: no process listens there
	wasWritten  bool      // the request was written completely
	hasBegun    bool      // part of the response was received, or announced by another site's instance
	writtenAt   time.Time // set if wasWritten
	closedAt    time.Time // when the connection was closed after the exchange; zero: it was kept
}

// read reads the complete response and reports whether the connection can be reused.
func (c *serverConn) read(
	resp *response, request *exchangeRequest,
) (result policy.Result, isReusable bool, err error) {
	for {
		if err := c.reader.ReadResponse(&resp.head); err != nil {
			return 0, false, err
		}
		if resp.head.Status >= 200 || resp.head.Status == 101 {
			break
		}
		isAnnounced := request.isRelayed && resp.head.Get(responseBegunField) != ""
		if question := parseLeaseReply(&resp.head).question; question != 0 && request.relayed != nil {
			request.relayed.answerQuestion(question)
		}
		if c.reader.Buffered() == 0 && !isAnnounced {
			c.progress.InterimReceived()
		}
	}
	h := &resp.head
	switch {
	case request.isHeadRequest || h.Status == 204 || h.Status == 304:
	case h.Chunked:
		if resp.body, err = c.reader.ReadChunkedBody(maxResponseBody); err != nil {
			return 0, false, err
		}
	case h.ContentLength < 0: // delimited by the connection's close: truncation could not be detected
		return 0, false, errNoLength
	case h.ContentLength > maxResponseBody:
		return 0, false, errTooLong
	case h.ContentLength > 0:
		resp.body = make([]byte, h.ContentLength)
		if err = c.reader.ReadBody(resp.body); err != nil {
			return 0, false, err
		}
	}
	if h.Status < 200 {
		return policy.ErrorResponse, false, nil // 101: the connection no longer carries HTTP
	}
	// Data after the response belongs to no request. The next request would take it for its response.
	return classifyResponse(h), !h.Close && c.reader.Buffered() == 0, nil
}

// classifyResponse returns the engine's result for a server's response. A retryable status counts as a rejection only
// if the server states in neverRanField that the request never ran.
func classifyResponse(h *httpwire.Head) policy.Result {
	neverRan := h.Status == 429 || h.Status == 503 || h.Status == 504
	switch {
	case neverRan && h.Get(neverRanField) == neverRanValue:
		return policy.RejectedByServer
	case neverRan || h.Status >= 500 || h.Status == 408:
		return policy.ErrorResponse
	}
	return policy.OK
}

// report returns the load report in the response's head, or nil if there is none.
func (r *response) report() *policy.LoadReport {
	if r.connectedAt.IsZero() {
		return nil
	}
	if text, n := r.head.Values(loadReportField); n > 0 {
		return loadreport.Parse(text)
	}
	return nil
}
