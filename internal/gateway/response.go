package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/routing"
)

// badRequest is a request that the client should not have sent: nothing is sent on, and
// nothing charged.
type badRequest struct {
	status int
	text   string
	allow  string
	wait   time.Duration // of a refusal
	close  bool          // what follows on the connection can't be told apart
	mayRun bool          // it is a second copy
}

func (e *badRequest) Error() string { return e.text }

// errUnconfirmed rejects a request: what is agreed is not known well enough to serve on.
var errUnconfirmed = &badRequest{status: http.StatusServiceUnavailable, wait: time.Second,
	text: "refused: trying again at another instance does no harm"}

// appendStatusLine starts an answer.
func (c *clientConn) appendStatusLine(status int, reason string) []byte {
	c.request.requestHead.Close = c.request.requestHead.Close || c.server.isDraining.Load()
	b := append(c.buffer[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	if c.request.requestHead.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// writeResponse ends an answer with its body and sends it; it is false if the connection is to
// be closed.
func (c *clientConn) writeResponse(b, body []byte, length int) bool {
	if length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, body...)
	if c.buffer = b[:0]; cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
	return c.write(b) == nil && !c.request.requestHead.Close
}

func (c *clientConn) write(b []byte) error {
	if now := time.Now(); c.writeDeadline.Sub(now) < clientWriteTimeout-deadlineSlack {
		c.writeDeadline = now.Add(clientWriteTimeout)
		c.nc.SetWriteDeadline(c.writeDeadline)
	}
	_, err := c.nc.Write(b)
	return err
}

// writeAnswer writes the final answer of the request and counts it.
func (c *clientConn) writeAnswer() bool {
	r := &c.request
	record := RequestRecord{Trace: r.trace, Operation: r.operation.ID, Licensee: r.licensee, Version: r.version.number,
		Units: r.units, Sent: r.wasSent, Attempts: r.attempts, Answer: r.answer.String(), KeyRejection: r.keyRejection}
	var b, body []byte
	var length int
	switch r.answer {
	case served:
		r.counters.Served.Add(1)
		record.Status = r.response.head.Status
		b, body, length = c.appendServed()
	case rejected:
		r.counters.Refused.Add(1)
		if c.isRelay && !r.mayRun {
			return c.neverRan("refused", r.retryAfter)
		}
		record.Status = http.StatusTooManyRequests
		b, body, length = c.appendOwn(record.Status, r.retryAfter, "refused: trying again does no harm\n")
	default:
		r.counters.Failed.Add(1)
		if c.isRelay && !r.mayRun {
			return c.neverRan("failed: nothing was sent on", 0)
		}
		record.Status = http.StatusBadGateway
		text := "failed: it may have run\n"
		if !r.wasSent {
			text = "failed: nothing was sent on\n"
		}
		b, body, length = c.appendOwn(record.Status, 0, text)
	}
	b = c.appendExplanation(b, &record)
	if observe := c.server.instance.config.Observe; observe != nil && !c.isRelay {
		observe(record)
	}
	r.response.body = nil
	return c.writeResponse(b, body, length)
}

// appendServed starts an answer with the head of a server's response. It returns the body to write and the length to
// tell, which differ for HEAD; a length below 0 is not told.
func (c *clientConn) appendServed() (b, body []byte, length int) {
	r := &c.request
	head := &r.response.head
	b = c.appendStatusLine(head.Status, head.Reason)
	for i := range head.Fields {
		f := &head.Fields[i]
		isOurs := strings.EqualFold(f.Name, "Endpoint-Load-Metrics") || strings.EqualFold(f.Name, "X-Never-Ran")
		if !isOurs && !httpwire.HopByHop(f.Name) {
			b = httpwire.AppendField(b, f.Name, f.Value)
		}
	}
	body, length = r.response.body, len(r.response.body)
	switch {
	case r.requestHead.Method == http.MethodHead || head.Status == http.StatusNotModified:
		length = int(head.Length)
	case head.Status == http.StatusNoContent:
		length = -1
	}
	return b, body, length
}

// appendOwn starts an answer of the gateway's own, with a line of text as its body.
func (c *clientConn) appendOwn(status int, retryAfter time.Duration, text string) (b, body []byte, length int) {
	b = c.appendStatusLine(status, http.StatusText(status))
	b = appendRetryAfter(b, retryAfter)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	if c.request.requestHead.Method == http.MethodHead {
		return b, nil, len(text)
	}
	return b, []byte(text), len(text)
}

// appendRetryAfter appends the field unless there is nothing to wait for.
func appendRetryAfter(b []byte, wait time.Duration) []byte {
	if wait <= 0 {
		return b
	}
	b = append(b, "Retry-After: "...)
	b = appendSeconds(b, wait)
	return append(b, "\r\n"...)
}

// appendExplanation appends what a client asked to be told of its request, and the age of a configuration that may be
// old.
func (c *clientConn) appendExplanation(b []byte, record *RequestRecord) []byte {
	if _, n := c.request.requestHead.Values("X-Mulleinmux-Explain"); n > 0 {
		b = fmt.Appendf(b, "X-Mulleinmux-Version: %d\r\nX-Mulleinmux-Operation: %s\r\n", record.Version, record.Operation)
		b = fmt.Appendf(b, "X-Mulleinmux-Units: %d\r\nX-Mulleinmux-Attempts: %d\r\n", record.Units, record.Attempts)
	}
	if c.request.confirmationAge > minConfigAgeShown {
		b = append(b, "X-Mulleinmux-Config-Age: "...)
		b = appendSeconds(b, c.request.confirmationAge)
		b = append(b, "\r\n"...)
	}
	return b
}

// rejectBadRequest answers a request that is the client's mistake.
func (c *clientConn) rejectBadRequest(err error) bool {
	e := &badRequest{status: http.StatusBadRequest, text: err.Error()}
	if r, ok := errors.AsType[*routing.ChargeError](err); ok {
		e.status = r.Status
	} else {
		errors.As(err, &e)
	}
	if e.close {
		c.request.requestHead.Close = true
	}
	if c.isRelay && !e.close && !e.mayRun { // whatever it is, it did not run here, and the client is not ours to tell
		return c.neverRan(e.text, e.wait)
	}
	if e.status != http.StatusNoContent && e.wait == 0 {
		c.server.instance.badRequestCount.Add(1)
	}
	b := c.appendStatusLine(e.status, http.StatusText(e.status))
	b = appendRetryAfter(b, e.wait)
	if e.allow != "" {
		b = httpwire.AppendField(b, "Allow", e.allow)
	}
	if e.status == http.StatusNoContent {
		return c.writeResponse(b, nil, -1)
	}
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	body := []byte(e.text + "\n")
	n := len(body)
	if c.request.requestHead.Method == "HEAD" {
		body = nil
	}
	again := c.writeResponse(b, body, n)
	if e.close {
		c.discardInput()
	}
	return again
}

// rejectUnreadable answers a head that can't be read, if there is one.
func (c *clientConn) rejectUnreadable(err error) bool {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, httpwire.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, httpwire.ErrVersion):
		status = http.StatusHTTPVersionNotSupported
	case errors.Is(err, httpwire.ErrCoding):
		status = http.StatusNotImplemented
	case errors.Is(err, httpwire.ErrMalformed), errors.Is(err, httpwire.ErrLength):
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	default: // the connection broke
		return false
	}
	return c.rejectBadRequest(&badRequest{status: status, text: err.Error(), close: true})
}

// discardInput reads what a client still sends for a moment, since closing on it could reset
// the connection before the client has read the answer.
func (c *clientConn) discardInput() {
	if tc, ok := c.nc.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(requestReadTimeout / 6))
		io.CopyN(io.Discard, c.nc, 256<<10)
	}
}

func (c *clientConn) serveHealth() bool {
	if _, serves := c.server.instance.Confirmation(time.Now()); serves && c.server.isReady.Load() {
		return c.writeResponse(c.appendStatusLine(http.StatusOK, "OK"), []byte("ready\n"), 6)
	}
	b := c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable")
	return c.writeResponse(b, []byte("not ready\n"), 10)
}

// serveRelayHealth tells another site's instance that this one lives.
func (c *clientConn) serveRelayHealth() bool {
	return c.writeResponse(c.appendStatusLine(http.StatusOK, "OK"), nil, 0)
}
