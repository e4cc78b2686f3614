package edgeproxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/serverpool"
	"mulleinmux/policy"
)

const (
	maxBufferedResponse     = 64 << 10                // bytes of the longest response body that is buffered
	maxResponseHeads        = 96 << 10                // bytes of a response's heads, including interim (1xx) ones
	maxBufferedResponseWire = 4 * maxBufferedResponse // bytes of a buffered body, including chunk headers
	maxStreamedResponse     = 64 << 20                // bytes of the longest response; no server sends a longer one
	responsePieceTimeout    = 250 * time.Millisecond  // between two pieces of a buffered response
)

// expiredDeadline is a deadline in the past: it makes a connection's pending reads and writes fail.
var expiredDeadline = time.Unix(1, 0)

// serverConn is a connection to an app server. It carries one request at a time; between exchanges it is in the pool.
type serverConn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *responseReader
	buffered    *bufio.Reader // reads from reader
	connectedAt time.Time
}

// IsQuiet reports whether an idle connection is open and has no data to read.
func (c *serverConn) IsQuiet() bool { return serverpool.IsQuiet(c.raw) }

// readResponse reads the complete response, or the first part of a response that is streamed, and reports whether the
// connection can be reused. A response that was received but is invalid is an error response. Only a broken connection
// is a reset, because a reset suggests that the server has restarted. An invalid response is not read to its end; its
// connection is closed.
func (c *serverConn) readResponse(req *http.Request) (response serverResponse, result policy.Result, isReusable bool) {
	resp, err := c.readFinalHead(req)
	if err != nil {
		return serverResponse{}, c.readErrorResult(), false
	}
	c.reader.remainingBytes = maxBufferedResponseWire
	if resp.ContentLength > maxStreamedResponse {
		return serverResponse{}, policy.ErrorResponse, false
	}
	body, isLong, err := readFirstBody(resp)
	if err != nil {
		return serverResponse{}, c.readErrorResult(), false
	}
	response = serverResponse{body: body, contentType: resp.Header.Get("Content-Type")}
	if isLong {
		if resp.StatusCode != http.StatusOK {
			return serverResponse{}, policy.ErrorResponse, false
		}
		response.stream = &responseStream{conn: c, body: resp.Body, length: resp.ContentLength, closesConn: resp.Close,
			result: make(chan policy.Result, 1)}
	}
	if text := resp.Header.Get(headerLoadReport); text != "" {
		response.loadReport = loadreport.Parse(text)
	}
	if isLong {
		return response, policy.OK, false
	}
	c.reader.clearPieceDeadline()
	// Data after the response belongs to no request: it would be taken for the response to the next one.
	isReusable = !resp.Close && c.buffered.Buffered() == 0
	return response, statusResult(resp), isReusable
}

// readFinalHead reads the head of the final response, skipping interim (1xx) responses.
func (c *serverConn) readFinalHead(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearPieceDeadline()
		c.reader.hasBegun = c.buffered.Buffered() > 0 // the final response may follow much later
		resp, err = http.ReadResponse(c.buffered, req)
	}
	return resp, err
}

// readFirstBody reads the body of a response, or the first part of a body that is too long to be buffered. A body
// without a length ends when the server closes the connection; a reset is an error.
func readFirstBody(resp *http.Response) (body []byte, isLong bool, err error) {
	if resp.ContentLength < 0 {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
		return body, len(body) > maxBufferedResponse, err
	}
	if resp.ContentLength > maxBufferedResponse {
		return nil, true, nil
	}
	body = make([]byte, resp.ContentLength)
	_, err = io.ReadFull(resp.Body, body)
	return body, false, err
}

// readErrorResult returns the result of an exchange whose response could not be read.
func (c *serverConn) readErrorResult() policy.Result {
	if c.reader.err == nil || c.reader.hasPieceDeadline && errors.Is(c.reader.err, os.ErrDeadlineExceeded) {
		return policy.ErrorResponse
	}
	return policy.ConnectionReset
}

// statusResult returns the result of an exchange for its response's status.
func statusResult(resp *http.Response) policy.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(headerNeverExecuted) == "1" {
			return policy.RejectedByServer
		}
	}
	return policy.ErrorResponse
}

// responseReader reads from a connection with limits for each response: a limit of bytes against endless heads and
// bodies, and a time limit against a response that stalls.
type responseReader struct {
	conn             net.Conn
	ctx              context.Context // of the exchange
	remainingBytes   int             // that may still be read for the response
	hasBegun         bool            // part of the response has been received
	hasPieceDeadline bool            // the connection's read deadline is that of the next piece
	deadline         time.Time       // of the response, besides that of ctx; zero: none
	pieceTimeout     time.Duration   // between two pieces
	err              error           // last error of the connection
}

// errResponseTooLong is the error of a response that exceeds its limit of bytes.
var errResponseTooLong = errors.New("response exceeds its size limit")

// beginResponse resets the reader for the response of a new exchange, whose context is ctx.
func (r *responseReader) beginResponse(ctx context.Context) {
	r.ctx = ctx
	r.remainingBytes = maxResponseHeads
	r.hasBegun = false
	r.pieceTimeout = responsePieceTimeout
	r.deadline = time.Time{}
}

// Read reads within the limits. Each read after the first one of a response has its own deadline.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.remainingBytes <= 0 {
		return 0, errResponseTooLong
	}
	if r.hasBegun { // most responses are complete after the first read
		r.hasPieceDeadline = true
		r.conn.SetReadDeadline(time.Now().Add(r.pieceTimeout))
		if r.ctx.Err() != nil { // the new deadline has replaced the one set at the end of ctx
			r.conn.SetReadDeadline(expiredDeadline)
		}
	}
	n, err := r.conn.Read(p[:min(len(p), r.remainingBytes)])
	r.remainingBytes -= n
	r.hasBegun = r.hasBegun || n > 0
	if err != nil {
		r.err = err
	}
	return n, err
}

// clearPieceDeadline replaces the deadline of a piece by that of the response.
func (r *responseReader) clearPieceDeadline() {
	if r.hasPieceDeadline {
		r.hasPieceDeadline = false
		r.conn.SetReadDeadline(r.deadline)
	}
}

// serverResponse is an app server's response: complete, or the first part of a response that is streamed.
type serverResponse struct {
	body        []byte
	stream      *responseStream // provides the rest; nil if body is complete
	contentType string
	loadReport  *policy.LoadReport // nil if the response carried none
	connectedAt time.Time          // when its connection was established; zero if there was no response
}
