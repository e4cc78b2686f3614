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

// badRequest is the error of a request that is answered without being forwarded or charged. Most are mistakes of the
// client; one with a retryAfter is a rejection.
type badRequest struct {
	status     int
	text       string
	allow      string        // the methods of the path, for the header Allow; empty: none
	retryAfter time.Duration // of a rejection; 0: it is none
	close      bool          // where the next request on the connection begins is not known
	mayRun     bool          // it was relayed here before, and that may have run
}

// Error returns the text that the client is answered.
func (e *badRequest) Error() string { return e.text }

// badRequestOf returns an error of reading or parsing a request as a badRequest.
func badRequestOf(err error) *badRequest {
	if charge, ok := errors.AsType[*routing.ChargeError](err); ok {
		return &badRequest{status: charge.Status, text: err.Error()}
	}
	if bad, ok := errors.AsType[*badRequest](err); ok {
		return bad
	}
	return &badRequest{status: http.StatusBadRequest, text: err.Error()}
}

// lateRetryAfter is the Retry-After of a request that was read too late.
const lateRetryAfter = 50 * time.Millisecond

// errDraining rejects a request that is served too late in a drain: another instance has the time.
var errDraining = &badRequest{
	status: http.StatusServiceUnavailable, text: textDraining, retryAfter: lateRetryAfter,
}

// errLate rejects a request whose time was over before it could be served.
var errLate = &badRequest{status: http.StatusTooManyRequests, text: textRejected, retryAfter: lateRetryAfter}

// rejectBadRequest answers a request that is not to be forwarded, for the reason in err.
func (c *clientConn) rejectBadRequest(err error) (isReusable bool) {
	bad := badRequestOf(err)
	if bad.close {
		c.request.requestHead.Close = true
	}
	if c.isRelay && !bad.close && !bad.mayRun {
		// Whatever it is, it did not run here, and the client is answered at the site where the request entered.
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

// rejectUnreadable answers a request whose head can't be read, unless none has come.
func (c *clientConn) rejectUnreadable(err error) (isReusable bool) {
	status, isAnswered := unreadableStatus(err)
	if !isAnswered {
		return false
	}
	return c.rejectBadRequest(&badRequest{status: status, text: err.Error(), close: true})
}

// unreadableStatus decides the status for a request whose head could not be read for an error. One whose connection
// broke is not answered.
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

// Limits of what is read and dropped of a request that can't be read.
const (
	discardTimeout  = requestReadTimeout / 6
	maxDiscardInput = 256 << 10 // bytes
)

// discardInput reads for a moment what a client still sends: closing at once could reset the connection before the
// client has read the answer.
func (c *clientConn) discardInput() {
	if conn, ok := c.nc.(*net.TCPConn); ok && conn.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(discardTimeout))
		io.CopyN(io.Discard, c.nc, maxDiscardInput)
	}
}
