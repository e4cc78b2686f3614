package edgeproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// A request's body is buffered if the memory budget allows it, so that a retry can send it again; the engine then
// decides once the client has sent all of it. For a longer body the engine decides after the first part, and the rest
// is streamed: once part of that has been forwarded, the request can't be retried.
const (
	alwaysBufferedBody  = 64 << 10                // bytes of a request's body that is buffered whatever the budget
	maxBufferedBody     = 2 << 20                 // bytes of the longest request body that is buffered
	maxRequestBody      = 40 << 20                // bytes of the longest request body that is accepted
	minBodyTimeout      = 2300 * time.Millisecond // for any body; clients may take 2 s to send a short one
	bodyStallTimeout    = 1500 * time.Millisecond // between two pieces of a body, once minBodyTimeout has passed
	minBodyRate         = 16 << 10                // average bytes per second, once minBodyTimeout has passed
	forwardWriteTimeout = 5 * time.Second         // for an app server to accept a chunk of a body
	initialChunkedBody  = 2 << 10                 // bytes of the first buffer for a body of unknown length
)

// requestBody is a request's body as it is received from the client. The client's handler reads the first part; one
// attempt reads the rest, or the handler discards it.
type requestBody struct {
	source          io.Reader
	controller      *http.ResponseController
	startedAt       time.Time     // when the request's first byte was received
	length          int64         // bytes, including those already buffered; -1 if unknown
	responseTimeout time.Duration // the client's, which starts when the last byte is forwarded
	onForwarded     func()        // called once the last byte is forwarded

	// Written by the goroutine that reads the body.
	received    int64     // bytes
	forwardedAt time.Time // when the last byte was forwarded

	hasStartedForwarding atomic.Bool // part of the body may have been forwarded
	isForwarding         atomic.Bool // an attempt is reading the body
	hasReadFailed        atomic.Bool // the client stalled, disconnected or exceeded the limit
}

// bodyPieceDeadline returns the deadline for the next piece of a body of which received bytes have arrived since
// startedAt. It is the earlier of the stall timeout and the time at which the average rate would fall below
// minBodyRate, but never before minBodyTimeout has passed.
func bodyPieceDeadline(startedAt, now time.Time, received int64) time.Time {
	earliest := startedAt.Add(minBodyTimeout)
	byRate := earliest.Add(time.Duration(received) * time.Second / minBodyRate)
	byStall := now.Add(bodyStallTimeout)
	deadline := byRate
	if byStall.Before(deadline) {
		deadline = byStall
	}
	if deadline.Before(earliest) {
		deadline = earliest
	}
	return deadline
}

// Read reads from the client within the deadline of the next piece. It fails with errBodyIncomplete, or with
// errBodyTooLarge, which wraps it.
func (b *requestBody) Read(p []byte) (int, error) {
	deadline := bodyPieceDeadline(b.startedAt, time.Now(), b.received)
	if err := b.controller.SetReadDeadline(deadline); err != nil {
		return 0, errors.Join(errBodyIncomplete, err)
	}
	n, err := b.source.Read(p)
	if b.received += int64(n); b.received > maxRequestBody {
		b.hasReadFailed.Store(true)
		return 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF {
		b.hasReadFailed.Store(true)
		err = errors.Join(errBodyIncomplete, err)
	}
	return n, err
}

// maxRemainingTime returns the longest time that receiving the rest of the body may take.
func (b *requestBody) maxRemainingTime() time.Duration {
	remaining := maxRequestBody - b.received
	if b.length >= 0 {
		remaining = b.length - b.received
	}
	return minBodyTimeout + bodyStallTimeout + time.Duration(remaining)*time.Second/minBodyRate
}

// discard reads the rest of the body and drops it: the response has been written, but the client may not read it before
// it has sent the whole body.
func (b *requestBody) discard() {
	if !b.isForwarding.Load() {
		io.Copy(io.Discard, b)
	}
}

// forward writes req, whose body reads from b, to an app server.
func (b *requestBody) forward(req *http.Request, c net.Conn) error {
	b.hasStartedForwarding.Store(true)
	b.isForwarding.Store(true)
	defer b.isForwarding.Store(false)
	w := bufio.NewWriterSize(&chunkWriter{c, forwardWriteTimeout}, streamBufferSize)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Time{})
	b.forwardedAt = time.Now()
	b.onForwarded()
	return nil
}

// errBodyIncomplete is the error of a body that the client did not send completely, or that has already been read.
var errBodyIncomplete = errors.New("request body is incomplete")

// errBodyTooLarge is the error of a body longer than maxRequestBody.
var errBodyTooLarge = fmt.Errorf("%w: longer than the limit of %d MiB", errBodyIncomplete, maxRequestBody>>20)

// chunkWriter sets a new deadline for each write.
type chunkWriter struct {
	net.Conn
	timeout time.Duration
}

func (w *chunkWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.Conn.Write(p)
}

// bufferedBody is the buffered part of a request's body: all of it, or the first part of a longer one.
type bufferedBody struct {
	bytes         []byte
	rest          *requestBody // follows bytes; nil if bytes is the whole body
	reservedBytes int64        // taken from the memory budget
}

// readBody reads the part of a request's body that is buffered. startedAt is when the request's first byte was
// received. reservedBytes of the result is valid also if there is an error.
func readBody(
	w http.ResponseWriter, r *http.Request, startedAt time.Time, budget *memoryBudget,
) (buffered bufferedBody, err error) {
	if r.ContentLength == 0 {
		return bufferedBody{}, nil
	}
	tooLarge := &badRequestError{
		status: http.StatusRequestEntityTooLarge,
		text:   fmt.Sprintf("body: larger than the limit of %d MiB", maxRequestBody>>20),
	}
	if r.ContentLength > maxRequestBody {
		return bufferedBody{}, tooLarge
	}
	source := &requestBody{
		source:     r.Body,
		controller: http.NewResponseController(w),
		startedAt:  startedAt,
		length:     r.ContentLength,
	}
	if r.ContentLength > 0 {
		buffered, err = source.readSized(budget)
	} else {
		buffered, err = source.readChunked(budget)
	}
	if err == nil && buffered.rest == nil {
		err = source.controller.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, errBodyTooLarge) {
		err = tooLarge
	} else if err != nil {
		err = badRequestf("body: incomplete")
	}
	return buffered, err
}

// readSized reads a body of known length. Its results are those of readBody.
func (b *requestBody) readSized(budget *memoryBudget) (buffered bufferedBody, err error) {
	size := b.length
	reserved, isBuffered := budget.reserveBody(size, 0)
	defer budget.releaseOnPanic(&reserved)
	if buffered.reservedBytes = reserved; !isBuffered {
		buffered.rest = b
		size = alwaysBufferedBody
	}
	buffered.bytes = make([]byte, size)
	_, err = io.ReadFull(b, buffered.bytes)
	return buffered, err
}

// readChunked reads a body of unknown length. Its results are those of readBody.
func (b *requestBody) readChunked(budget *memoryBudget) (buffered bufferedBody, err error) {
	body := make([]byte, 0, initialChunkedBody)
	var reserved int64
	defer budget.releaseOnPanic(&reserved)
	for {
		if len(body) == cap(body) {
			var isBuffered bool
			if reserved, isBuffered = budget.reserveBody(int64(2*cap(body)), reserved); !isBuffered {
				return bufferedBody{bytes: body, rest: b, reservedBytes: reserved}, nil
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := b.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return bufferedBody{bytes: body, reservedBytes: reserved}, nil
		}
		if err != nil {
			return bufferedBody{reservedBytes: reserved}, err
		}
	}
}
