package edgeproxy

import (
	"context"
	"errors"
	"net"
	"time"

	"mulleinmux/internal/attemptprogress"
	"mulleinmux/internal/httpboundary"
)

// responseReader reads responses from a connection. It limits the bytes of each response against endless heads and
// bodies, and waits as long as the attempt's progress allows. It returns a head once that is complete, because net/http
// parses each field at once into several times its size, and returns nothing behind it together with it.
type responseReader struct {
	conn           net.Conn
	ctx            context.Context // of the exchange; its end cancels the exchange
	remainingBytes int             // that may still be read for the response
	progress       attemptprogress.Attempt
	waitsUntil     time.Time   // the connection's read deadline
	isGivenUp      bool        // the progress has ended the wait
	isUnwanted     bool        // the request has its final answer already: this says nothing about the server
	err            error       // last error of the connection
	memory         reservation // of a head that is being received

	pending     []byte // received and not returned yet
	headPending int    // bytes of a complete head in pending

	startStreaming func() bool   // has the response forwarded while it is received; nil before its head is complete
	streaming      *responseBody // the body, if it is forwarded while it is received
}

// errResponseTooLong is the error of a response that exceeds its limits.
var errResponseTooLong = errors.New("response exceeds its size limit")

// beginResponse resets the reader for the response of a new exchange, whose context is ctx.
func (r *responseReader) beginResponse(ctx context.Context, limits attemptprogress.Limits, memory *connMemory) {
	*r = responseReader{
		conn:           r.conn,
		ctx:            ctx,
		remainingBytes: maxResponseHeads,
		progress:       attemptprogress.New(limits),
		waitsUntil:     r.waitsUntil,
		memory:         reservation{memory: memory},
		pending:        r.pending[:0],
	}
}

// hasPending reports whether data has been received that was not returned yet.
func (r *responseReader) hasPending() bool { return len(r.pending) > 0 }

// receiveHead receives data until a head is complete.
func (r *responseReader) receiveHead() error {
	defer r.memory.release()
	scanner := httpboundary.HeadScanner{IsResponse: true}
	for !r.hasPending() || !scanner.ScanHead(r.pending) {
		if scanner.FieldLines > maxResponseHeadFields {
			return errResponseTooLong
		}
		if !r.memory.tryGrowTo(int64(cap(r.pending)) - includedAnswerBytes) {
			return errResponseTooLong
		}
		n, err := r.receive(r.freePending())
		r.pending = r.pending[:len(r.pending)+n]
		if err != nil {
			r.headPending = len(r.pending)
			return err
		}
	}
	r.headPending = scanner.HeadBytes
	return nil
}

// freePending returns the unused end of the buffer for a head, which it enlarges if it is used up.
func (r *responseReader) freePending() []byte {
	if len(r.pending) == cap(r.pending) {
		r.pending = append(make([]byte, 0, max(2*cap(r.pending), serverBufferBytes)), r.pending...)
	}
	return r.pending[len(r.pending):cap(r.pending)]
}

// Read returns data of a head, or else of what follows it.
func (r *responseReader) Read(p []byte) (int, error) {
	if !r.hasPending() {
		return r.receive(p)
	}
	n := len(r.pending)
	if r.headPending > 0 {
		n = r.headPending
	}
	n = copy(p, r.pending[:n])
	r.headPending = max(r.headPending-n, 0)
	if r.pending = r.pending[:copy(r.pending, r.pending[n:])]; !r.hasPending() && cap(r.pending) > includedAnswerBytes {
		r.pending = nil
	}
	return n, nil
}

// receive reads from the connection within the limits. If forwarding has to begin while it waits, it has that begin and
// goes on waiting.
func (r *responseReader) receive(p []byte) (int, error) {
	if r.remainingBytes <= 0 {
		return 0, errResponseTooLong
	}
	p = p[:min(len(p), r.remainingBytes)]
	for {
		r.setDeadline(r.progress.WaitUntil(time.Now()))
		n, err := r.conn.Read(p)
		if n > 0 {
			r.remainingBytes -= n
			r.progress.DataReceived()
		}
		if err != nil {
			r.err = err
		}
		if n > 0 || !isTimeout(err) || r.ctx.Err() != nil || !r.continuesAfterWait() {
			return n, err
		}
	}
}

// continuesAfterWait decides what follows a wait that has ended, and reports whether the reader waits for more.
func (r *responseReader) continuesAfterWait() bool {
	switch r.progress.WaitEnded(time.Now()) {
	case attemptprogress.KeepWaiting:
		return true
	case attemptprogress.StartStreaming:
		if r.startStreaming() {
			return true
		}
	}
	r.isGivenUp = true
	return false
}

// streamsOrStarts reports whether the response is forwarded while it is received, which it has begin if need be.
func (r *responseReader) streamsOrStarts() bool { return r.streaming != nil || r.startStreaming() }

// setDeadline sets the connection's read deadline.
func (r *responseReader) setDeadline(deadline time.Time) {
	if deadline.Equal(r.waitsUntil) {
		return
	}
	r.waitsUntil = deadline
	r.conn.SetReadDeadline(deadline)
	if r.ctx.Err() != nil { // the new deadline may have replaced the one set at the end of ctx
		r.conn.SetReadDeadline(expiredDeadline)
	}
}

// endResponse removes the deadline of a response from a connection that is reused, and all that belongs to the
// exchange, which the idle connection would keep. The deadline of writes is replaced in the next exchange.
func (r *responseReader) endResponse() {
	r.setDeadline(time.Time{})
	*r = responseReader{conn: r.conn, pending: r.pending[:0]}
}

// setBothDeadlines sets the connection's deadline for the write of a request and for the first read of its response.
func (r *responseReader) setBothDeadlines(deadline time.Time) {
	r.waitsUntil = deadline
	r.conn.SetDeadline(deadline)
}
