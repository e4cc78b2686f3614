package gateway

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/serverpool"
	"mulleinmux/policy"
)

// attemptControl lets other goroutines end an exchange early. Its mutex guards all fields but the last two, which are the
// exchange's own.
type attemptControl struct {
	mu         sync.Mutex
	conn       *serverConn        // that carries the exchange; nil: none yet, or no longer
	cancelDial context.CancelFunc // of the dial in progress; nil: none
	deadline   time.Time
	isAborted  bool
	aborted    chan struct{} // closed by abort; nil: nobody waits for that

	source        requestSource // asked right before the first byte whether the client is there; nil: it is not
	wasClientGone bool          // it was not, and nothing was written
}

// abort ends the exchange at once.
func (k *attemptControl) abort() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isAborted && k.aborted != nil {
		close(k.aborted)
	}
	k.isAborted = true
	if k.conn != nil {
		k.conn.nc.SetDeadline(pastDeadline)
	}
	if k.cancelDial != nil {
		k.cancelDial()
	}
}

// awaitAbort returns a channel that is closed once the exchange is aborted.
func (k *attemptControl) awaitAbort() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.aborted == nil {
		k.aborted = make(chan struct{})
		if k.isAborted {
			close(k.aborted)
		}
	}
	return k.aborted
}

// start gives the exchange its connection, and the connection the deadline. It returns false if the exchange was
// aborted.
func (k *attemptControl) start(c *serverConn, until time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isAborted {
		return false
	}
	k.conn, k.deadline = c, until
	c.remaining, c.hasBytes, c.hasRestDeadline, c.attempt = maxResponseSize, false, false, k
	c.nc.SetDeadline(until)
	return true
}

// limitRest sets a deadline for the rest of a response that has begun: servers write it in one piece, and half of one
// must not use up the time that a retry would need.
func (k *attemptControl) limitRest(c *serverConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rest := time.Now().Add(responseRestTimeout); !k.isAborted && rest.Before(k.deadline) {
		c.nc.SetReadDeadline(rest)
	}
}

// restoreDeadline undoes limitRest: an interim (1xx) response was read, and the final one may come later.
func (k *attemptControl) restoreDeadline(c *serverConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isAborted {
		c.nc.SetReadDeadline(k.deadline)
	}
}

// finish detaches the connection from the exchange. It returns false if the exchange was aborted: then the connection
// has an expired deadline and can't be reused.
func (k *attemptControl) finish() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = nil
	return !k.isAborted
}

func (k *attemptControl) setDialCancel(cancel context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelDial = cancel; cancel != nil && k.isAborted {
		cancel()
	}
}

// exchange writes a request to a server, once at most, and reads the whole response. appendRequest appends the
// request to a buffer. It ends at the deadline or when control is aborted; the connection is closed by then.
func (p *serverPool) exchange(
	ctx context.Context, control *attemptControl, server string, deadline time.Time, headOnly bool, rep *response,
	appendRequest func([]byte) []byte,
) policy.Result {
	*rep = response{head: rep.head}
	pooled, err := p.acquire(ctx, control, server, deadline)
	if err != nil {
		return failedConnect(err, control, deadline)
	}
	c := pooled.HostConn
	if !control.start(c, deadline) {
		p.Discard(pooled)
		return policy.Cancelled
	}
	c.buffer = appendRequest(c.buffer[:0])
	if control.source != nil && control.source.hasDisconnected() {
		control.wasClientGone = true
		p.releaseUnused(pooled, control)
		return policy.NotSent
	}
	if _, err = c.nc.Write(c.buffer); err != nil {
		// A server begins a request when its last byte has come, and that was not written.
		control.finish()
		p.Discard(pooled)
		return neverSent(control, deadline)
	}
	rep.wasWritten, rep.writtenAt = true, time.Now()
	result, isReusable, err := c.read(rep, headOnly)
	isAborted := !control.finish()
	if isReusable && !isAborted {
		p.release(pooled)
	} else {
		p.Discard(pooled)
		rep.closedAt = time.Now()
	}
	if err != nil {
		result = p.failedRead(pooled, err, isAborted, rep.writtenAt)
	}
	if result == policy.OK || result == policy.RejectedByServer || result == policy.ErrorResponse {
		rep.connectedAt = c.connectedAt
	}
	return result
}

// failedConnect decides the result of an attempt that got no connection. Want of descriptors is no fault of the
// server's.
func failedConnect(err error, control *attemptControl, deadline time.Time) policy.Result {
	if errors.Is(err, serverpool.ErrNoDescriptor) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return policy.NotSent
	}
	return neverSent(control, deadline)
}

// failedRead decides the result of an attempt that was written whole and whose response could not be read. Silence
// until the deadline makes a server suspect, half a response does not; after either the request may have run.
func (p *serverPool) failedRead(pooled *pooledConn, err error, isAborted bool, writtenAt time.Time) policy.Result {
	switch {
	case isAborted:
		return policy.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded) && !pooled.HostConn.hasBytes:
		p.CloseIdleOf(pooled)
		return policy.TimedOut
	case errors.Is(err, os.ErrDeadlineExceeded) || wasAnswered(err):
		return policy.ErrorResponse // half a response, or one that can't be read, is no silence
	}
	if !pooled.HostConn.hasBytes {
		p.RecordReset(pooled, time.Since(writtenAt))
	}
	return policy.ConnectionReset
}

// wasAnswered reports whether an answer came that can't be read, rather than none.
func wasAnswered(err error) bool {
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

// neverSent decides the result of an attempt whose last byte was not written. Where its own
// time ended first, that says nothing of the server.
func neverSent(k *attemptControl, until time.Time) policy.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.isAborted:
		return policy.Cancelled
	case !time.Now().Before(until):
		return policy.NotSent
	}
	return policy.ConnectFailed
}

var errNoLength = errors.New("answer does not tell its length")

var errTooLong = errors.New("answer too long")

// response is a server's whole answer.
type response struct {
	head        httpwire.Head
	body        []byte
	connectedAt time.Time // when the connection that it came on was made; zero: there was no answer
	wasWritten  bool      // the request was written whole
	writtenAt   time.Time // set if wasWritten
	closedAt    time.Time // when the connection was closed behind the exchange; zero: it was not
}

// read reads the whole answer and reports whether the connection can be used again.
func (c *serverConn) read(rep *response, headOnly bool) (result policy.Result, reuse bool, err error) {
	for {
		if err := c.reader.Answer(&rep.head); err != nil {
			return 0, false, err
		}
		if rep.head.Status >= 200 || rep.head.Status == 101 {
			break
		}
		c.hasBytes = c.reader.Buffered() > 0 // the answer that counts may come later
		if c.hasRestDeadline {
			c.hasRestDeadline = false
			c.attempt.restoreDeadline(c)
		}
	}
	h := &rep.head
	switch {
	case headOnly || h.Status == 204 || h.Status == 304:
	case h.Chunked:
		if rep.body, err = c.reader.Chunked(maxResponseBody); err != nil {
			return 0, false, err
		}
	case h.Length < 0: // it ends with its connection: whether it is whole can't be told
		return 0, false, errNoLength
	case h.Length > maxResponseBody:
		return 0, false, errTooLong
	case h.Length > 0:
		rep.body = make([]byte, h.Length)
		if err = c.reader.Body(rep.body); err != nil {
			return 0, false, err
		}
	}
	if h.Status < 200 {
		return policy.ErrorResponse, false, nil // 101: what follows is no HTTP
	}
	// What stands behind the answer belongs to no request: the next one would take it for its own.
	return resultOf(h), !h.Close && c.reader.Buffered() == 0, nil
}

// resultOf decides what a server's answer means for the engine. A status that clients may retry counts as a rejection
// only with the server's word that the request never ran.
func resultOf(h *httpwire.Head) policy.Result {
	neverRan := h.Status == 429 || h.Status == 503 || h.Status == 504
	switch {
	case neverRan && h.Get(neverRanField) == neverRanValue:
		return policy.RejectedByServer
	case neverRan || h.Status >= 500 || h.Status == 408:
		return policy.ErrorResponse
	}
	return policy.OK
}

// report returns an answer's load report, or nil.
func (r *response) report() *policy.LoadReport {
	if r.connectedAt.IsZero() {
		return nil
	}
	if text, n := r.head.Values(loadReportField); n > 0 {
		return loadreport.Parse(text)
	}
	return nil
}
