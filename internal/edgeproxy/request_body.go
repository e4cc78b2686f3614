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

// A request's body is buffered where memory allows that, so that a retry can send it again and the engine is asked
// when the client's wait begins. For a longer one the engine is asked with its first part, and the rest is streamed:
// once some of that is forwarded there is no retry.
const (
	alwaysBufferedBody  = 64 << 10                // bytes of a request's body that is buffered whatever memory is left
	maxBufferedBody     = 2 << 20                 // bytes of one request's body that are buffered
	maxRequestBody      = 40 << 20                // bytes of a request's body
	minBodyTimeout      = 2300 * time.Millisecond // for a short body; clients may write one in 2 s
	bodyStallTimeout    = 1500 * time.Millisecond // without a byte of a longer one
	minBodyRate         = 16 << 10                // bytes a second that a longer one must keep
	forwardWriteTimeout = 5 * time.Second         // for an app server to accept a chunk of a body
	initialChunkedBody  = 2 << 10                 // bytes of the first buffer for a body of unknown length
)

// requestBody is a request's body as it is received from the client. The client's handler reads its first part, then
// one attempt the rest, or the handler again.
type requestBody struct {
	source          io.Reader
	controller      *http.ResponseController
	startedAt       time.Time     // when the request's first byte was received
	length          int64         // bytes, with those that are buffered already; -1: not known
	responseTimeout time.Duration // that the client waits, from the last byte
	onForwarded     func()        // called once the last byte is forwarded

	// Changed by the goroutine that reads.
	received    int64     // bytes
	forwardedAt time.Time // when the last byte was forwarded

	isUsed       atomic.Bool // some of it is forwarded
	isForwarding atomic.Bool // an attempt reads it
	isBroken     atomic.Bool // its client has stopped sending
}

// bodyPieceDeadline decides by when the next piece of a body has to come, of which so many bytes were received since
// startedAt: minBodyTimeout after that at the earliest, and else within bodyStallTimeout, and in time to keep
// minBodyRate.
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

// Read waits for as long as the client keeps sending. Errors are errBodyIncomplete, or errBodyTooLarge which wraps
// it.
func (b *requestBody) Read(p []byte) (int, error) {
	deadline := bodyPieceDeadline(b.startedAt, time.Now(), b.received)
	if err := b.controller.SetReadDeadline(deadline); err != nil {
		return 0, errors.Join(errBodyIncomplete, err)
	}
	n, err := b.source.Read(p)
	if b.received += int64(n); b.received > maxRequestBody {
		b.isBroken.Store(true)
		return 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF {
		b.isBroken.Store(true)
		err = errors.Join(errBodyIncomplete, err)
	}
	return n, err
}

// maxRemainingTime is how long the rest may take at most.
func (b *requestBody) maxRemainingTime() time.Duration {
	remaining := maxRequestBody - b.received
	if b.length >= 0 {
		remaining = b.length - b.received
	}
	return minBodyTimeout + bodyStallTimeout + time.Duration(remaining)*time.Second/minBodyRate
}

// discard reads the rest and drops it: the client has its response, and might not read it before it has sent all.
func (b *requestBody) discard() {
	if !b.isForwarding.Load() {
		io.Copy(io.Discard, b)
	}
}

// forward writes a request whose body it is.
func (b *requestBody) forward(req *http.Request, c net.Conn) error {
	b.isUsed.Store(true)
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

// errBodyIncomplete is the error of a body that the client does not send to its end, or that was read already.
var errBodyIncomplete = errors.New("body: incomplete")

// errBodyTooLarge is the error of a body of more than maxRequestBody bytes.
var errBodyTooLarge = fmt.Errorf("%w: over %d MiB", errBodyIncomplete, maxRequestBody>>20)

// chunkWriter gives each write a timeout of its own.
type chunkWriter struct {
	net.Conn
	timeout time.Duration
}

// Write writes a chunk within the timeout.
func (w *chunkWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.Conn.Write(p)
}

// bufferedBody is what is buffered of a request's body: all of it, or the first part of one that is too long.
type bufferedBody struct {
	bytes         []byte
	rest          *requestBody // that follows bytes; nil: bytes is the whole body
	reservedBytes int64        // of the memory budget
}

// readBody reads a request's body, as far as it is buffered. startedAt is when the request's first byte was received.
// Beside an error the result still says what is reserved of the budget.
func readBody(
	w http.ResponseWriter, r *http.Request, startedAt time.Time, budget *memoryBudget,
) (buffered bufferedBody, err error) {
	if r.ContentLength == 0 {
		return bufferedBody{}, nil
	}
	tooLarge := &badRequestError{
		status: http.StatusRequestEntityTooLarge,
		text:   fmt.Sprintf("body: over %d MiB", maxRequestBody>>20),
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

// readSized reads a body whose length is known. Its results are those of readBody.
func (b *requestBody) readSized(budget *memoryBudget) (buffered bufferedBody, err error) {
	size := b.length
	reserved, isBuffered := budget.reserveBody(size, 0)
	defer budget.releaseAtPanic(&reserved)
	if buffered.reservedBytes = reserved; !isBuffered {
		buffered.rest = b
		size = alwaysBufferedBody
	}
	buffered.bytes = make([]byte, size)
	_, err = io.ReadFull(b, buffered.bytes)
	return buffered, err
}

// readChunked reads a body whose length is not known. Its results are those of readBody.
func (b *requestBody) readChunked(budget *memoryBudget) (buffered bufferedBody, err error) {
	body := make([]byte, 0, initialChunkedBody)
	var reserved int64
	defer budget.releaseAtPanic(&reserved)
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
