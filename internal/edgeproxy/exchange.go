package edgeproxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mulleinmux/internal/attemptprogress"
	"mulleinmux/internal/serverpool"
	"mulleinmux/policy"
)

// exchange writes the request to the server at most once and reads the response. If forwarding has to begin before the
// response is complete, it calls the request's onStream and returns once the response has been forwarded. If ctx ends
// before that, exchange closes the connection before it returns.
func (p *serverPool) exchange(
	ctx context.Context, server string, request *serverRequest,
) (serverResponse, policy.Result) {
	if request.rest != nil && request.rest.hasStartedForwarding.Load() {
		return serverResponse{}, policy.NotSent // part of its body has already been forwarded and can't be read again
	}
	limits := request.limits(ctx)
	pooled, err := p.acquireUntil(ctx, server, limits.ResponseBy)
	if err != nil {
		return serverResponse{}, unsentResult(ctx, limits.ResponseBy, err)
	}
	conn := pooled.HostConn
	conn.reader.setBothDeadlines(limits.ResponseBy)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(expiredDeadline) })
	req := request.httpRequest(limits.ResponseBy)
	encoded, err := request.encode(req)
	if err == nil {
		err = p.checkBeforeSend(ctx, pooled, request, limits.ResponseBy)
	}
	if err == nil {
		err = request.writeTo(conn, req, encoded)
	}
	if err != nil {
		// A server begins a request only when it has received the last byte, which has not been written.
		stop()
		p.Discard(pooled)
		return serverResponse{}, unsentResult(ctx, limits.ResponseBy, err)
	}
	if request.rest != nil {
		limits.ResponseBy = request.rest.answerBy()
		limits.AnswerBy = limits.ResponseBy
	}
	conn.reader.beginResponse(ctx, limits, request.memory)
	writtenAt := time.Now()
	if p.onSent != nil && request.id != "" {
		p.onSent(request.disconnectRecorded != nil && request.disconnectRecorded.Load())
	}
	response, result, isReusable := conn.readResponse(req, request.memory, request.onStream)
	if result == policy.ConnectionReset && !conn.reader.progress.HasBegun() {
		p.RecordReset(pooled, time.Since(writtenAt))
	}
	if result == policy.ConnectionReset {
		result = conn.failureResult(ctx)
	}
	// stop returns false if the end of ctx has already changed the connection's deadline.
	if stop() && isReusable {
		conn.reader.endResponse()
		p.Release(pooled)
	} else {
		p.Discard(pooled)
	}
	if response.stream != nil {
		return response, response.stream.awaitForwarded()
	}
	if result == policy.TimedOut {
		p.CloseIdleOf(pooled)
	}
	return response, result
}

// limits returns the times of an attempt. Those that the request does not have are the deadline of ctx.
func (r *serverRequest) limits(ctx context.Context) attemptprogress.Limits {
	limits := attemptprogress.Limits{ResponseBy: r.responseBy, AnswerBy: r.answerBy, MayStream: r.onStream != nil}
	deadline, _ := ctx.Deadline()
	if limits.ResponseBy.IsZero() {
		limits.ResponseBy = deadline
	}
	if limits.AnswerBy.IsZero() {
		limits.AnswerBy = deadline
	}
	return limits
}

// acquireUntil returns a connection to a server. A dial ends at a time, unless that is zero.
func (p *serverPool) acquireUntil(ctx context.Context, server string, end time.Time) (*pooledConn, error) {
	pooled, reservation, err := p.AcquireIdle(server)
	if pooled != nil || err != nil {
		return pooled, err
	}
	if !end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	return p.Dial(ctx, reservation)
}

// encode returns the request as it is written to a connection, or nil if its body is streamed.
func (r *serverRequest) encode(req *http.Request) ([]byte, error) {
	if r.rest != nil {
		return nil, nil
	}
	var out bytes.Buffer
	err := req.Write(&out)
	return out.Bytes(), err
}

// writeTo writes the request to a connection and ends its permit once nothing more will be written. The permit of a
// request with a streamed body ends before the write, because the response may arrive before all of the body is sent.
func (r *serverRequest) writeTo(c *serverConn, req *http.Request, encoded []byte) error {
	if r.rest != nil {
		r.endPermit()
		return r.rest.forward(req, c)
	}
	_, err := c.Write(encoded)
	r.endPermit()
	return err
}

// endPermit signals that nothing more is written under the request's permit, if it has one.
func (r *serverRequest) endPermit() {
	if r.permit != nil {
		close(r.permit.done)
	}
}

// failureResult returns the result of an exchange whose connection failed after the request was written: a reset, a
// timeout, or the end of ctx.
func (c *serverConn) failureResult(ctx context.Context) policy.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case ctx.Err() == nil && !c.reader.isGivenUp:
		return policy.ConnectionReset
	case c.reader.progress.HasBegun(): // the server responds, so this is no timeout
		return policy.ErrorResponse
	}
	return policy.TimedOut
}

// checkBeforeSend is called right before the first byte of an attempt is written. Since the connection was acquired,
// the client may have disconnected, the attempt's time may have expired (another goroutine makes the connection's
// writes fail, but only later), or the server may have begun to drain. Client and server are checked last: if the process
// is stopped between these checks and the write, the request is sent although they may have changed meanwhile.
func (p *serverPool) checkBeforeSend(
	ctx context.Context, conn *pooledConn, r *serverRequest, responseBy time.Time,
) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if isPast(responseBy) {
		return context.DeadlineExceeded
	}
	if r.permit != nil && !r.permit.use() {
		return errAlreadyAnswered
	}
	var err error
	if r.hasClientDisconnected != nil && r.hasClientDisconnected() {
		err = errClientDisconnected
	} else if !p.IsServerUp(conn) {
		err = serverpool.ErrServerNotUp
	}
	if err != nil {
		r.endPermit()
	}
	return err
}

// localSendErrors are the errors, besides localDialErrors, for which an attempt was not sent although its server did not
// fail.
var localSendErrors = []error{
	serverpool.ErrNoDescriptor, errBodyIncomplete, errClientDisconnected, errAlreadyAnswered,
}

// unsentResult returns the result of an attempt whose last byte was not written because of an error: the server never
// executed it. An attempt whose own timeout expired before that says nothing about the server.
func unsentResult(ctx context.Context, responseBy time.Time, err error) policy.Result {
	switch {
	case isAnyOf(err, localSendErrors), isAnyOf(err, localDialErrors):
		return policy.NotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case ctx.Err() != nil || isPast(responseBy):
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// isPast reports whether a time is over. The zero time never is.
func isPast(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// serverRequest is a request as it is sent to an app server.
type serverRequest struct {
	method                string
	target                string // path and query, byte for byte as the client sent them
	host                  string
	id                    string // empty for a health check
	key                   string // idempotency key; empty if there is none
	contentType           string
	body                  []byte       // complete, or the first part
	rest                  *requestBody // reads the rest of the body; nil if body is complete
	hasClientDisconnected func() bool  // queries the client's socket; nil: not queried
	disconnectRecorded    *atomic.Bool // set once the client's disconnect is known; nil if there is no client
	permit                *sendPermit  // of this attempt; nil if it can't be revoked
	memory                *connMemory  // of the client's connection; nil if there is no client

	// Of this attempt. A zero time is that of the exchange's context.
	responseBy time.Time // the server has to begin its response before it
	answerBy   time.Time // when the client's final answer is due

	// onStream has the response forwarded while it is received. It returns false if the request has its final answer
	// already. If it is nil, the response is received completely.
	onStream func(serverResponse) bool
}

// Values that are sent to app servers and don't come from the client.
const (
	minExpiresIn = 0.001 // seconds
	defaultHost  = "app.svc"
)

// httpRequest returns the request in the form that net/http writes. The target is passed as the opaque part of a URL,
// so that net/http doesn't encode it again.
func (r *serverRequest) httpRequest(responseBy time.Time) *http.Request {
	path, query, forceQuery := strings.Cut(r.target, "?")
	h := http.Header{"User-Agent": {""}} // omits the header; net/http would add its own
	if r.id != "" {
		h[headerRequestID] = []string{r.id}
	}
	if r.key != "" {
		h[headerIdempotencyKey] = []string{r.key}
	}
	if r.contentType != "" {
		h["Content-Type"] = []string{r.contentType}
	}
	if !responseBy.IsZero() {
		remaining := math.Max(time.Until(responseBy).Seconds(), minExpiresIn)
		h[headerTimeout] = []string{strconv.FormatFloat(remaining, 'f', 3, 64)}
	}
	req := &http.Request{Method: r.method, Host: r.host, Header: h,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: forceQuery}}
	if req.Host == "" {
		req.Host = defaultHost
	}
	if r.rest != nil {
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.rest)), r.rest.length
	} else if len(r.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	}
	return req
}

// sendPermit allows an attempt to be written until the request has its final answer. An attempt whose connection is
// established later is not sent, and the final answer waits for an attempt that is being written.
type sendPermit struct {
	state atomic.Int32  // one of the permit states
	done  chan struct{} // closed once nothing more of the attempt will be written
}

// The states of a sendPermit.
const (
	permitUnused int32 = iota
	permitUsed         // the attempt is being written or has been written
	permitRevoked
)

func newSendPermit() *sendPermit { return &sendPermit{done: make(chan struct{})} }

// use marks the permit as used. It returns false if the permit was revoked.
func (p *sendPermit) use() bool { return p.state.CompareAndSwap(permitUnused, permitUsed) }

// revoke revokes the permit. It returns false if the permit was used.
func (p *sendPermit) revoke() bool { return p.state.CompareAndSwap(permitUnused, permitRevoked) }
