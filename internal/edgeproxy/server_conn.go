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
	"mulleinmux/policy"
)

const (
	maxBufferedResponse     = 64 << 10                // bytes of a body up to which it is read whole before any is forwarded
	maxResponseHeads        = 96 << 10                // bytes of a response's head, with those of interim (1xx) responses
	maxBufferedResponseWire = 4 * maxBufferedResponse // bytes of a buffered body with the heads of its chunks
	maxStreamedResponse     = 64 << 20                // bytes of a response; no server makes a longer one
	responsePieceTimeout    = 250 * time.Millisecond  // between the pieces of a buffered response
)

// expiredDeadline ends the reads and writes of a connection that are under way.
var expiredDeadline = time.Unix(1, 0)

// serverConn is a connection to a backend. It carries one request at a time.
type serverConn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *responseReader
	buffered    *bufio.Reader // over in
	server      *serverConns  // to which it may return; connections of a moved or restarted server belong to none
	idleSince   time.Time
	connectedAt time.Time

	idleTime time.Duration // how long it stood idle before the exchange under way; 0 for a new one
}

// isQuiet tells whether an idle connection is as it was left: open, with nothing to
// read. One that the server has closed, or on which something came unasked, would
// end a request written to it as a reset, which may not be repeated freely.
func (c *serverConn) isQuiet() bool {
	var b [1]byte
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// readResponse reads the whole answer and tells whether the connection can be used again.
// An answer that came and can't be read is an error: only a connection that broke is
// a reset, which hints at a server that has restarted. Nothing of a spoilt answer is
// read to its end: the connection is closed instead.
func (c *serverConn) readResponse(req *http.Request) (response serverResponse, result policy.Result, isReusable bool) {
	resp, err := c.readFinalHead(req)
	if err != nil {
		return serverResponse{}, c.readFailure(), false
	}
	c.reader.remainingBytes = maxBufferedResponseWire
	if resp.ContentLength > maxStreamedResponse {
		return serverResponse{}, policy.ErrorResponse, false
	}
	body, isLong, err := readFirstBody(resp)
	if err != nil {
		return serverResponse{}, c.readFailure(), false
	}
	response = serverResponse{body: body, contentType: resp.Header.Get("Content-Type")}
	if isLong {
		if resp.StatusCode != http.StatusOK {
			return serverResponse{}, policy.ErrorResponse, false
		}
		response.stream = &responseStream{conn: c, body: resp.Body, length: resp.ContentLength, closesConn: resp.Close,
			result: make(chan policy.Result, 1)}
	}
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" {
		response.loadReport = loadreport.Parse(text)
	}
	if isLong {
		return response, policy.OK, false
	}
	c.reader.clearPieceDeadline()
	// What stands behind the response belongs to no request: the next one would take it for its own.
	isReusable = !resp.Close && c.buffered.Buffered() == 0
	return response, statusResult(resp), isReusable
}

// readFinalHead reads the head of the response, after those of any interim (1xx) ones.
func (c *serverConn) readFinalHead(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearPieceDeadline()
		c.reader.hasBegun = c.buffered.Buffered() > 0 // the final response may come later
		resp, err = http.ReadResponse(c.buffered, req)
	}
	return resp, err
}

// readFirstBody reads the body of a response, or the first part of one that is too long to be buffered. A body without a
// length ends with its connection, by a close and not a reset.
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

// readFailure is the result of an exchange whose response can't be read.
func (c *serverConn) readFailure() policy.Result {
	if c.reader.err == nil || c.reader.hasPieceDeadline && errors.Is(c.reader.err, os.ErrDeadlineExceeded) {
		return policy.ErrorResponse
	}
	return policy.ConnectionReset
}

// statusResult is the result of an exchange by its response's status.
func statusResult(resp *http.Response) policy.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Never-Ran") == "1" {
			return policy.RejectedByServer
		}
	}
	return policy.ErrorResponse
}

// responseReader is what comes in on a connection, bounded for each answer: by bytes against
// heads and bodies without end, and by time against half an answer.
type responseReader struct {
	conn             net.Conn
	ctx              context.Context // of the exchange
	remainingBytes   int             // bytes that the answer may still take
	hasBegun         bool            // some of the answer has come
	hasPieceDeadline bool            // the next piece has a deadline of its own
	deadline         time.Time       // when to give up waiting, beside the exchange's end; zero: no such time
	pieceTimeout     time.Duration   // between pieces
	err              error           // how the connection failed
}

var errResponseTooLong = errors.New("answer too long")

// expect prepares for an answer.
func (r *responseReader) expect(ctx context.Context) {
	r.ctx, r.remainingBytes, r.hasBegun, r.pieceTimeout, r.deadline = ctx, maxResponseHeads, false, responsePieceTimeout, time.Time{}
}

func (r *responseReader) Read(p []byte) (int, error) {
	if r.remainingBytes <= 0 {
		return 0, errResponseTooLong
	}
	if r.hasBegun { // most answers come whole in the first read
		r.hasPieceDeadline = true
		r.conn.SetReadDeadline(time.Now().Add(r.pieceTimeout))
		if r.ctx.Err() != nil { // the end of ctx set a deadline that this one has replaced
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

// clearPieceDeadline takes the deadline of a rest off.
func (r *responseReader) clearPieceDeadline() {
	if r.hasPieceDeadline {
		r.hasPieceDeadline = false
		r.conn.SetReadDeadline(r.deadline)
	}
}

// serverResponse is an app server's answer: whole, or as much as has come of a long one.
type serverResponse struct {
	body        []byte
	stream      *responseStream // of a long one; nil: body is whole
	contentType string
	loadReport  *policy.LoadReport // nil: it carried no report
	connectedAt time.Time          // when the connection that it came on was made; zero: there was no answer
}
