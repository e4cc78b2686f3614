package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/httpwire"
)

// responseBody is the body of a response to a client.
type responseBody struct {
	content        []byte // the bytes that are written
	declaredLength int    // Content-Length, also where a response to HEAD has no content; noLength: no header
}

// noLength is the declared length of a response whose status allows no body.
const noLength = -1

// noBody is the body of a response whose status allows none.
var noBody = responseBody{declaredLength: noLength}

// wholeBody returns a body that is written completely.
func wholeBody(content []byte) responseBody {
	return responseBody{content: content, declaredLength: len(content)}
}

// responseOutput writes the responses of a connection. Only the connection's goroutine uses it.
type responseOutput struct {
	conn     net.Conn
	deadline time.Time // current write deadline
	buffer   []byte    // of the current response
	err      error     // of the last write
}

// begin returns a buffer that starts with the status line and, if closes is set, "Connection: close".
func (o *responseOutput) begin(status int, reason string, closes bool) []byte {
	b := append(o.buffer[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	if closes {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// finish appends the body to the head in b and writes the response.
func (o *responseOutput) finish(b []byte, body responseBody) error {
	if body.declaredLength != noLength {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(body.declaredLength), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, body.content...)
	o.buffer = b[:0]
	if cap(o.buffer) > maxRetainedBuffer {
		o.buffer = nil
	}
	return o.write(b)
}

// write writes to the client within clientWriteTimeout.
func (o *responseOutput) write(b []byte) error {
	if now := time.Now(); needsNewDeadline(o.deadline, now, clientWriteTimeout) {
		o.deadline = now.Add(clientWriteTimeout)
		o.conn.SetWriteDeadline(o.deadline)
	}
	_, o.err = o.conn.Write(b)
	return o.err
}

// appendStatusLine begins a response. While the instance drains, the response closes the connection, unless the
// client's next request has been received. That request must also be answered, and its response closes the connection.
func (c *clientConn) appendStatusLine(status int, reason string) []byte {
	head := &c.request.requestHead
	head.Close = head.Close || c.closesForDrain()
	return c.output.begin(status, reason, head.Close)
}

// closesForDrain reports whether the response closes the connection because the instance drains.
func (c *clientConn) closesForDrain() bool {
	state := &c.server.drainState
	switch {
	case !state.isDraining.Load():
		return false
	case state.isPastFinishDeadline(time.Now()):
		return c.reader.Buffered() == 0
	}
	return !c.hasNextRequest()
}

// writeResponse appends the body to the head in b, writes the response and reports whether the connection can be
// reused.
func (c *clientConn) writeResponse(b []byte, body responseBody) (isReusable bool) {
	return c.output.finish(b, body) == nil && !c.request.requestHead.Close
}

// writeAnswer counts and writes the final answer of the request and reports whether the connection can be reused.
func (c *clientConn) writeAnswer() (isReusable bool) {
	r := &c.request
	r.counters.countAnswer(r.answer)
	if c.isRelay && !r.mayHaveRun {
		switch r.answer {
		case rejected:
			return c.writeNeverRan(textRelayRejected, r.retryAfter)
		case failed:
			return c.writeNeverRan(textNotSent, 0)
		}
	}
	record := RequestRecord{
		TraceID: r.traceID, Operation: r.operation.ID, Licensee: r.licensee, Version: r.version.number,
		Units: r.units, Sent: r.wasSent, Attempts: r.attempts,
		Answer: r.answer.String(), KeyRejection: r.keyRejection, Status: r.answerStatus(),
	}
	b, body := c.appendAnswer(record.Status)
	b = c.appendExplanation(b, &record)
	if onAnswer := c.server.instance.config.OnAnswer; onAnswer != nil && !c.isRelay {
		onAnswer(record)
	}
	r.response.body = nil
	return c.writeResponse(b, body)
}

// answerStatus returns the status of the final answer: the server's status; 429 for a rejected request, which never ran
// and may be retried; or 502 for a failed request, which may have run.
func (r *pendingRequest) answerStatus() int {
	switch r.answer {
	case served:
		return r.response.head.Status
	case rejected:
		return http.StatusTooManyRequests
	}
	return http.StatusBadGateway
}

// appendAnswer begins the final answer of the request and returns its body.
func (c *clientConn) appendAnswer(status int) ([]byte, responseBody) {
	r := &c.request
	switch {
	case r.answer == served:
		return c.appendServerResponse()
	case r.answer == rejected:
		return c.appendGatewayResponse(status, r.retryAfter, textRejected+"\n")
	case r.wasSent:
		return c.appendGatewayResponse(status, 0, textMayHaveRun+"\n")
	}
	return c.appendGatewayResponse(status, 0, textNotSent+"\n")
}

// appendServerResponse begins an answer from the head of the server's response and returns the body.
func (c *clientConn) appendServerResponse() ([]byte, responseBody) {
	r := &c.request
	head := &r.response.head
	b := c.appendStatusLine(head.Status, head.Reason)
	for i := range head.Fields {
		field := &head.Fields[i]
		if !isForGateway(field.Name) && !httpwire.IsHopByHop(field.Name) {
			b = httpwire.AppendField(b, field.Name, field.Value)
		}
	}
	body := wholeBody(r.response.body)
	switch {
	case r.requestHead.Method == http.MethodHead || head.Status == http.StatusNotModified:
		body.declaredLength = declaredLength(head)
	case head.Status == http.StatusNoContent:
		body.declaredLength = noLength
	}
	return b, body
}

// isForGateway reports whether a field of a server's response is meant for the gateway, not for the client.
func isForGateway(name string) bool {
	return strings.EqualFold(name, loadReportField) || strings.EqualFold(name, neverRanField)
}

// declaredLength returns the Content-Length of a server's response, or noLength if it has none.
func declaredLength(head *httpwire.Head) int { return max(int(head.ContentLength), noLength) }

// appendGatewayResponse begins a response that the gateway itself generates and returns its body, a line of text. If
// retryAfter is 0, the response has no Retry-After.
func (c *clientConn) appendGatewayResponse(status int, retryAfter time.Duration, text string) ([]byte, responseBody) {
	b := c.appendStatusLine(status, http.StatusText(status))
	b = appendRetryAfter(b, retryAfter)
	return c.appendText(b, text)
}

// appendText appends the Content-Type of plain text and returns the body, which has no content in a response to HEAD.
func (c *clientConn) appendText(b []byte, text string) ([]byte, responseBody) {
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	if c.request.requestHead.Method == http.MethodHead {
		return b, responseBody{declaredLength: len(text)}
	}
	return b, wholeBody([]byte(text))
}

// appendRetryAfter appends a Retry-After field unless retryAfter is 0.
func appendRetryAfter(b []byte, retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return b
	}
	b = append(b, "Retry-After: "...)
	b = appendSeconds(b, retryAfter)
	return append(b, "\r\n"...)
}

// appendExplanation appends the fields that explain how the request was matched and carried out, if the client
// requested them, and the configuration's age if it exceeds minConfigAgeShown.
func (c *clientConn) appendExplanation(b []byte, record *RequestRecord) []byte {
	if _, n := c.request.requestHead.Values(explainField); n > 0 {
		b = fmt.Appendf(b, versionField+": %d\r\n", record.Version)
		b = fmt.Appendf(b, operationField+": %s\r\n", record.Operation)
		b = fmt.Appendf(b, unitsField+": %d\r\n", record.Units)
		b = fmt.Appendf(b, attemptsField+": %d\r\n", record.Attempts)
	}
	if c.request.confirmationAge > minConfigAgeShown {
		b = append(b, configAgeField+": "...)
		b = appendSeconds(b, c.request.confirmationAge)
		b = append(b, "\r\n"...)
	}
	return b
}

// serveHealth responds to the load balancer's health check.
func (c *clientConn) serveHealth() (isReusable bool) {
	if c.server.isReadyToServe(time.Now()) {
		return c.writeResponse(c.appendStatusLine(http.StatusOK, "OK"), wholeBody([]byte("ready\n")))
	}
	b := c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable")
	return c.writeResponse(b, wholeBody([]byte("not ready\n")))
}

// serveRelayHealth responds to the health check of another site's instance.
func (c *clientConn) serveRelayHealth() (isReusable bool) {
	return c.writeResponse(c.appendStatusLine(http.StatusOK, "OK"), wholeBody(nil))
}
