package edgeproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"mulleinmux/internal/attemptprogress"
	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/serverpool"
	"mulleinmux/policy"
)

const (
	maxBufferedResponse     = attemptprogress.MaxBufferedBody
	maxResponseHeads        = 96 << 10                // bytes of a response's heads, including interim (1xx) ones
	maxResponseHeadFields   = 200                     // of one head
	maxBufferedResponseWire = 4 * maxBufferedResponse // bytes of a buffered body, including chunk headers
	maxStreamedResponse     = 64 << 20                // bytes of the longest response; no server sends a longer one
	serverBufferBytes       = 2 << 10                 // of a connection to an app server
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

// readResponse reads the response and reports whether the connection can be reused. onStream is called when forwarding
// has to begin before the response is complete; it returns false if the request has its final answer already. A
// response that was received but is invalid is an error response. Only a broken connection is a reset, because a reset
// suggests that the server has restarted. An invalid response is not read to its end; its connection is closed.
func (c *serverConn) readResponse(
	req *http.Request, memory *connMemory, onStream func(serverResponse) bool,
) (response serverResponse, result policy.Result, isReusable bool) {
	resp, err := c.readFinalHead(req)
	if err != nil {
		return serverResponse{}, c.readErrorResult(), false
	}
	if resp.ContentLength > maxStreamedResponse {
		return serverResponse{}, policy.ErrorResponse, false
	}
	body := newResponseBody(resp.ContentLength, memory)
	response = serverResponse{
		contentType: resp.Header.Get("Content-Type"),
		memory:      &body.memory,
		connectedAt: c.connectedAt,
	}
	if text := resp.Header.Get(headerLoadReport); text != "" {
		response.loadReport = loadreport.Parse(text)
	}
	c.reader.progress.HeadReceived(resp.ContentLength, resp.StatusCode == http.StatusOK)
	if c.reader.progress.IsLong() && (onStream == nil || !c.reader.progress.MayStream()) {
		return serverResponse{}, policy.ErrorResponse, false
	}
	c.reader.remainingBytes = maxBufferedResponseWire
	c.reader.startStreaming = func() bool { return c.startStreaming(response, body, onStream) }
	err = c.receiveBody(resp.Body, body)
	result = statusResult(resp)
	if err != nil {
		result = c.readErrorResult()
	}
	// Data after the response belongs to no request: it would be taken for the response to the next one.
	isReusable = err == nil && !resp.Close && c.buffered.Buffered() == 0 && !c.reader.hasPending()
	body.complete(result)
	if response.stream = c.reader.streaming; response.stream == nil {
		response.body = body.received
	}
	if err != nil && response.stream == nil {
		body.memory.release()
		response = serverResponse{}
	}
	return response, result, isReusable
}

// startStreaming has the response forwarded from here on while it is received. It returns false if that is not allowed,
// or the request has its final answer already.
func (c *serverConn) startStreaming(
	response serverResponse, body *responseBody, onStream func(serverResponse) bool,
) bool {
	if onStream == nil || !c.reader.progress.MayStream() {
		return false
	}
	response.stream = body
	response.streamCause = c.streamCause()
	if !onStream(response) {
		c.reader.isUnwanted = true
		return false
	}
	c.reader.streaming = body
	c.reader.remainingBytes = maxStreamedResponse
	c.reader.progress.StreamingStarted()
	return true
}

// streamCause returns why forwarding begins before the response is complete.
func (c *serverConn) streamCause() hostEvent {
	switch {
	case c.reader.progress.IsLong():
		return streamedLong
	case c.reader.progress.MustStream(time.Now()):
		return streamedWhenDue
	}
	return streamedForMemory
}

var (
	errNotStreamed  = errors.New("response can neither be buffered nor streamed")
	errNotForwarded = errors.New("response is not forwarded further")
)

// receiveBody receives the body of a response to its end. A body without a length ends when the server closes the
// connection; a reset is an error.
func (c *serverConn) receiveBody(source io.Reader, body *responseBody) error {
	var piece []byte // the buffer of a streamed body
	for {
		buffer, isStreaming := body.nextBuffer()
		if isStreaming {
			if piece == nil {
				piece = body.newPiece()
			}
			if buffer = piece; !body.awaitSpace(len(piece)) {
				return errNotForwarded
			}
		}
		if len(buffer) == 0 && !body.isFull() { // too long to be buffered, or memory is short
			if !c.reader.startStreaming() {
				return errNotStreamed
			}
			continue
		}
		n, err := source.Read(buffer)
		body.add(buffer[:n], !isStreaming)
		c.reader.progress.BodyReceived(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		mustStream := n > 0 && c.reader.progress.IsLong() || c.reader.progress.MustStream(time.Now())
		if mustStream && !c.reader.streamsOrStarts() {
			return errNotStreamed
		}
	}
}

// readErrorResult returns the result of an exchange whose response could not be read.
func (c *serverConn) readErrorResult() policy.Result {
	if c.reader.isUnwanted {
		return policy.Cancelled
	}
	if c.reader.err == nil || c.reader.isGivenUp && c.reader.progress.HasBegun() {
		return policy.ErrorResponse
	}
	return policy.ConnectionReset
}

// readFinalHead reads the head of the final response, skipping interim (1xx) responses.
func (c *serverConn) readFinalHead(req *http.Request) (*http.Response, error) {
	for {
		if err := c.reader.receiveHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.buffered, req)
		isInterim := err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols
		if !isInterim {
			return resp, err
		}
		if !c.reader.hasPending() {
			c.reader.progress.InterimReceived()
		}
	}
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

// serverResponse is an app server's response, complete or still being received.
type serverResponse struct {
	body        []byte
	stream      *responseBody // if the response is forwarded while it is received; else nil, and body is complete
	streamCause hostEvent     // why; set if stream is
	contentType string
	loadReport  *policy.LoadReport // nil if the response carried none
	connectedAt time.Time          // when its connection was established; zero if there was no response
	memory      *reservation       // of the body; released once that is forwarded or dropped. nil: none
}

// release releases the memory of a response that is forwarded or dropped.
func (r *serverResponse) release() {
	if r.memory != nil {
		r.memory.release()
	}
}
