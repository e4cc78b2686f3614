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

// A request's body is buffered if the memory account allows it, so that a retry can send it again; the engine then
// decides once the client has sent all of it. For a longer body the engine decides after the first part, and the rest
// is streamed: once part of that has been forwarded, the request can't be retried.
const (
	alwaysBufferedBody = 64 << 10                // bytes of a body, or of the first part of a longer one
	maxBufferedBody    = 2 << 20                 // bytes of the longest request body that is buffered
	maxRequestBody     = 40 << 20                // bytes of the longest request body that is accepted
	minBodyTimeout     = 2300 * time.Millisecond // for any body; clients may take 2 s to send a short one
	bodyStallTimeout   = 1500 * time.Millisecond // between two pieces of a body, once minBodyTimeout has passed
	minBodyRate        = 16 << 10                // average bytes per second, once minBodyTimeout has passed
	maxUnreadBody      = 5 << 20                 // bytes of a body in the buffers of both sockets
	initialBodyBuffer  = 2 << 10                 // bytes of the first buffer for a body
	minStreamedPart    = 8 << 10                 // bytes that are buffered at least before a body is streamed
	streamedBodyBytes  = 36 << 10                // of memory for the buffers through which a body is streamed
	bodyBufferSize     = 4 << 10                 // bytes of the buffer of a streamed body before its server's connection
)

// requestBody is a request's body as it is received from the client. The client's handler reads the first part; one
// attempt reads the rest, or the handler discards it.
type requestBody struct {
	source          io.Reader
	controller      *http.ResponseController
	startedAt       time.Time        // when the request's first byte was received
	length          int64            // bytes, including those already buffered; -1 if unknown
	responseTimeout time.Duration    // the client's, which starts when the last byte is forwarded
	onForwarded     func()           // called once the last byte is forwarded
	request         *http.Request    // whose body it is; nil in some tests
	emptySince      func() time.Time // when the client had last sent nothing that was not read; nil: not known

	// Written by the goroutine that reads the body.
	received    int64     // bytes
	sentSince   time.Time // until then the client can't have sent all
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
	if err == io.EOF && b.request != nil {
		b.request.Trailer = nil // parsed, it takes many times its size; nothing needs it
	}
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
	w := bufio.NewWriterSize(&chunkWriter{c, b.answerBy}, bodyBufferSize)
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

// answerBy returns when the client's final answer is due, as far as that is known. The client may have sent the last
// byte at any time since the node last waited for more of the body: what a server does not read yet waits in the
// sockets' buffers. Of a body of known length, no more than maxUnreadBody bytes can wait there.
func (b *requestBody) answerBy() time.Time {
	now := time.Now()
	if b.length >= 0 && b.length-b.received > maxUnreadBody {
		b.sentSince = now
	}
	sentSince := b.sentSince
	if b.emptySince != nil && b.emptySince().After(sentSince) {
		sentSince = b.emptySince()
	}
	if sentSince.IsZero() {
		sentSince = b.startedAt
	}
	return sentSince.Add(b.responseTimeout)
}

// chunkWriter sets a new deadline for each write.
type chunkWriter struct {
	net.Conn
	deadline func() time.Time
}

func (w *chunkWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(w.deadline())
	return w.Conn.Write(p)
}

// bufferedBody is the buffered part of a request's body: all of it, or the first part of a longer one.
type bufferedBody struct {
	bytes  []byte
	rest   *requestBody // follows bytes; nil if bytes is the whole body
	memory *reservation // of the request; the owner of the body releases it
}

// readBody reads the part of a request's body that is buffered. The memory of the result has to be released also if
// there is an error.
func readBody(w http.ResponseWriter, r *http.Request, startedAt time.Time, conn *clientConn) (bufferedBody, error) {
	memory := &reservation{memory: conn.memory}
	if r.ContentLength == 0 {
		return bufferedBody{memory: memory}, nil
	}
	if r.ContentLength > maxRequestBody {
		return bufferedBody{memory: memory}, errTooLargeAnswer
	}
	source := &requestBody{
		source:     r.Body,
		controller: http.NewResponseController(w),
		startedAt:  startedAt,
		length:     r.ContentLength,
		request:    r,
		emptySince: conn.emptySince,
	}
	defer memory.releaseOnPanic()
	bytes, isComplete, err := source.readFirst(memory)
	buffered := bufferedBody{bytes: bytes, memory: memory}
	if !isComplete {
		buffered.rest = source
	}
	if err == nil && isComplete {
		err = source.controller.SetReadDeadline(time.Time{})
	}
	switch {
	case err == nil:
		return buffered, nil
	case errors.Is(err, errNoMemory) || errors.Is(err, errMemoryEvicted):
		return buffered, errNoMemory
	case errors.Is(err, errBodyTooLarge):
		return buffered, errTooLargeAnswer
	}
	return buffered, badRequestf("body: incomplete")
}

// errTooLargeAnswer is the response to a body longer than maxRequestBody.
var errTooLargeAnswer = &badRequestError{
	status: http.StatusRequestEntityTooLarge,
	text:   fmt.Sprintf("body: larger than the limit of %d MiB", maxRequestBody>>20),
}

// readFirst reads the body, or the first part of it if it is too long to be buffered or memory is short. isComplete is
// true if all of it was read. The buffer grows with what the client has sent.
func (b *requestBody) readFirst(memory *reservation) (buffer []byte, isComplete bool, err error) {
	size := b.length // of the part to be buffered; -1: unknown
	if size > maxBufferedBody {
		size = alwaysBufferedBody
	}
	for {
		if len(buffer) == cap(buffer) {
			larger := b.nextBufferSize(cap(buffer), size)
			if larger > maxBufferedBody {
				return buffer, false, b.reserveStream(memory, int64(len(buffer)))
			}
			streamed := b.streamReserve(larger, size)
			reserved := max(int64(larger+cap(buffer))-includedBodyBytes, streamed)
			if len(buffer) >= minStreamedPart && !memory.growsAtOnce(reserved) {
				return buffer, false, b.reserveStream(memory, int64(cap(buffer)))
			}
			if err := memory.growTo(reserved); err != nil {
				return buffer, true, err
			}
			buffer = append(make([]byte, 0, larger), buffer...)
			memory.shrinkTo(max(int64(larger)-includedBodyBytes, streamed))
		}
		n, err := b.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF && (b.length < 0 || b.received == b.length):
			memory.shrinkTo(int64(cap(buffer)) - includedBodyBytes)
			return buffer, true, nil
		case err == io.EOF:
			return buffer, true, io.ErrUnexpectedEOF
		case err != nil:
			return buffer, true, err
		case b.received == b.length:
			return buffer, true, nil
		case int64(len(buffer)) == size:
			return buffer, false, b.reserveStream(memory, int64(cap(buffer)))
		}
	}
}

// streamReserve returns what is reserved beside a buffer of a size, so that a body which has to be streamed once the
// buffer is full needs no more memory: other bodies may take all of it meanwhile. It is 0 if the buffer takes the whole
// body, and for the first buffers, so that short bodies need little. size is that of the part to be buffered.
func (b *requestBody) streamReserve(buffer int, size int64) int64 {
	isWhole := size == b.length && int64(buffer) == size
	if buffer <= minStreamedPart || isWhole {
		return 0
	}
	return int64(buffer) + streamedBodyBytes
}

// nextBufferSize returns the size of the next buffer, twice that of the current one but at most size, unless that is
// unknown.
func (b *requestBody) nextBufferSize(current int, size int64) int {
	next := max(2*current, initialBodyBuffer)
	if size >= 0 {
		next = min(next, int(size))
	}
	return next
}

// reserveStream makes the reservation that of a streamed body of which a part is buffered.
func (b *requestBody) reserveStream(memory *reservation, buffered int64) error {
	if !memory.tryGrowTo(buffered + streamedBodyBytes) {
		return errNoMemory
	}
	return nil
}
