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

// errUnconfirmed refuses a request: what is agreed is not known well enough to serve on.
var errUnconfirmed = &badRequest{status: http.StatusServiceUnavailable, text: "refused: trying again at another instance does no harm", wait: time.Second}

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

// writeAnswer words the final answer of the flight.
func (c *clientConn) writeAnswer() bool {
	fl := &c.request
	rec := RequestRecord{Trace: fl.trace, Operation: fl.operation.ID, Licensee: fl.licensee, Version: fl.version.number, Units: fl.units,
		Sent: fl.wasSent, Attempts: fl.attempts, Answer: fl.answer.String(), KeyRejection: fl.keyRejection}
	var b, body []byte
	length := 0
	switch fl.answer {
	case served:
		fl.counters.Served.Add(1)
		h := &fl.response.head
		rec.Status = h.Status
		b = c.appendStatusLine(h.Status, h.Reason)
		for i := range h.Fields {
			f := &h.Fields[i]
			if !httpwire.HopByHop(f.Name) && !strings.EqualFold(f.Name, "Endpoint-Load-Metrics") && !strings.EqualFold(f.Name, "X-Never-Ran") {
				b = httpwire.AppendField(b, f.Name, f.Value)
			}
		}
		body, length = fl.response.body, len(fl.response.body)
		if fl.requestHead.Method == "HEAD" || h.Status == 304 {
			length = int(h.Length)
		} else if h.Status == 204 {
			length = -1
		}
	case rejected:
		fl.counters.Refused.Add(1)
		if c.isRelay && !fl.mayRun {
			return c.neverRan("refused", fl.retryAfter)
		}
		rec.Status = http.StatusTooManyRequests
		b = c.appendStatusLine(rec.Status, "Too Many Requests")
		if fl.retryAfter > 0 {
			b = append(b, "Retry-After: "...)
			b = appendSeconds(b, fl.retryAfter)
			b = append(b, "\r\n"...)
		}
		body = []byte("refused: trying again does no harm\n")
	default:
		fl.counters.Failed.Add(1)
		if c.isRelay && !fl.mayRun {
			return c.neverRan("failed: nothing was sent on", 0)
		}
		rec.Status = http.StatusBadGateway
		b = c.appendStatusLine(rec.Status, "Bad Gateway")
		body = []byte("failed: it may have run\n")
		if !fl.wasSent {
			body = []byte("failed: nothing was sent on\n")
		}
	}
	if fl.answer != served {
		b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
		length = len(body)
		if fl.requestHead.Method == "HEAD" {
			body = nil
		}
	}
	if _, n := fl.requestHead.Values("X-Mulleinmux-Explain"); n > 0 {
		b = fmt.Appendf(b, "X-Mulleinmux-Version: %d\r\nX-Mulleinmux-Operation: %s\r\nX-Mulleinmux-Units: %d\r\nX-Mulleinmux-Attempts: %d\r\n",
			rec.Version, rec.Operation, rec.Units, rec.Attempts)
	}
	if fl.confirmationAge > minConfigAgeShown { // cut off: what clients are told may be old
		b = append(b, "X-Mulleinmux-Config-Age: "...)
		b = appendSeconds(b, fl.confirmationAge)
		b = append(b, "\r\n"...)
	}
	if c.server.instance.config.Observe != nil && !c.isRelay {
		c.server.instance.config.Observe(rec)
	}
	fl.response.body = nil
	return c.writeResponse(b, body, length)
}

// rejectBadRequest answers a request that is the client's mistake.
func (c *clientConn) rejectBadRequest(err error) bool {
	e := &badRequest{status: http.StatusBadRequest, text: err.Error()}
	if r, ok := errors.AsType[*routing.Refusal](err); ok {
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
	if e.wait > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, e.wait)
		b = append(b, "\r\n"...)
	}
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
	return c.writeResponse(c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable"), []byte("not ready\n"), 10)
}
