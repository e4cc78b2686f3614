package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/routing"
)

// badRequest is the error for a request that is answered without being forwarded or charged. Most are client errors;
// one with a retryAfter is a rejection.
type badRequest struct {
	status     int
	text       string
	allow      string        // value of the Allow header: the methods of the path; empty: no header
	retryAfter time.Duration // of a rejection; 0: the error is no rejection
	close      bool          // the start of the next request on the connection is unknown
	mayHaveRun bool          // the request was relayed here before and may have run then
}

// Error returns the text that is sent to the client.
func (e *badRequest) Error() string { return e.text }

// badRequestOf converts an error from reading or parsing a request to a badRequest.
func badRequestOf(err error) *badRequest {
	if charge, ok := errors.AsType[*routing.ChargeError](err); ok {
		return &badRequest{status: charge.Status, text: err.Error()}
	}
	if bad, ok := errors.AsType[*badRequest](err); ok {
		return bad
	}
	return &badRequest{status: http.StatusBadRequest, text: err.Error()}
}

// lateRetryAfter is the Retry-After of a request that was read too late to be served.
const lateRetryAfter = 50 * time.Millisecond

// errDraining rejects a request for which a draining instance has no time left. Another instance can serve it.
var errDraining = &badRequest{
	status: http.StatusServiceUnavailable, text: textDraining, retryAfter: lateRetryAfter,
}

// errTimeoutExpired rejects a request whose timeout expired before it could be served.
var errTimeoutExpired = &badRequest{status: http.StatusTooManyRequests, text: textRejected, retryAfter: lateRetryAfter}

// rejectBadRequest answers a request that is not forwarded because of err.
func (c *clientConn) rejectBadRequest(err error) (isReusable bool) {
	bad := badRequestOf(err)
	if bad.close {
		c.request.requestHead.Close = true
	}
	if c.isRelay && !bad.close && !bad.mayHaveRun {
		// The request did not run here in any case. The instance that relayed it answers the client.
		return c.writeNeverRan(bad.text, bad.retryAfter)
	}
	isPreflight := bad.status == http.StatusNoContent
	if !isPreflight && bad.retryAfter == 0 {
		c.server.instance.badRequestCount.Add(1)
	}
	b := c.appendStatusLine(bad.status, http.StatusText(bad.status))
	b = appendRetryAfter(b, bad.retryAfter)
	if bad.allow != "" {
		b = httpwire.AppendField(b, "Allow", bad.allow)
	}
	if isPreflight {
		return c.writeResponse(b, noBody)
	}
	b, body := c.appendText(b, bad.text+"\n")
	isReusable = c.writeResponse(b, body)
	if bad.close {
		c.discardInput()
	}
	return isReusable
}

// rejectUnreadable answers a request whose head could not be read because of err, unless unreadableStatus has no status
// for the error.
func (c *clientConn) rejectUnreadable(err error) (isReusable bool) {
	status, isAnswered := unreadableStatus(err)
	if !isAnswered {
		return false
	}
	return c.rejectBadRequest(&badRequest{status: status, text: err.Error(), close: true})
}

// unreadableStatus returns the status for a request whose head could not be read because of err. A request whose
// connection broke is not answered.
func unreadableStatus(err error) (status int, isAnswered bool) {
	switch {
	case errors.Is(err, httpwire.ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, true
	case errors.Is(err, httpwire.ErrVersion):
		return http.StatusHTTPVersionNotSupported, true
	case errors.Is(err, httpwire.ErrCoding):
		return http.StatusNotImplemented, true
	case errors.Is(err, httpwire.ErrMalformed), errors.Is(err, httpwire.ErrLength):
		return http.StatusBadRequest, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, true
	}
	return 0, false
}

// Limits on the input that is read and discarded after an invalid request.
const (
	discardTimeout  = requestReadTimeout / 6
	maxDiscardInput = 256 << 10 // bytes
)

// discardInput closes the write side and briefly reads what the client still sends. Closing the connection at once
// could reset it before the client has read the response.
func (c *clientConn) discardInput() {
	if conn, ok := c.nc.(*net.TCPConn); ok && conn.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(discardTimeout))
		io.CopyN(io.Discard, c.nc, maxDiscardInput)
	}
}
