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

// A request's body is buffered whole where memory allows that, so that a retry can send it again and the engine is asked
// when the client's wait begins. For a longer one the engine is asked with its first part, and the rest is streamed: once
// some of that is forwarded there is no retry.
const (
	alwaysBufferedBody  = 64 << 10                // bytes of a request's body that is buffered whatever memory is left
	maxBufferedBody     = 2 << 20                 // bytes of one request's body that are buffered
	maxRequestBody      = 40 << 20                // bytes of a request's body
	minBodyTimeout      = 2300 * time.Millisecond // for a short body; clients may write one in 2 s
	bodyStallTimeout    = 1500 * time.Millisecond // without a byte of a longer one
	minBodyRate         = 16 << 10                // bytes a second that a longer one must keep
	forwardWriteTimeout = 5 * time.Second         // for an app server to accept a chunk of a body
)

// requestBody is a request's body as it comes from the client.
type requestBody struct {
	source          io.Reader
	controller      *http.ResponseController
	startedAt       time.Time // when the request's first byte came
	received        int64
	length          int64         // of all, also of what is held already; -1: not told
	responseTimeout time.Duration // of the client, from the last byte
	onForwarded     func()        // called once the last byte has gone on

	isUsed       atomic.Bool // some of it has gone on
	isForwarding atomic.Bool // an attempt has it
	isBroken     atomic.Bool // its client has stopped sending
	forwardedAt  time.Time   // when the last byte had gone on
}

// Read waits for as long as the client keeps sending.
func (b *requestBody) Read(p []byte) (int, error) {
	now := time.Now()
	least := b.startedAt.Add(minBodyTimeout)
	until := least.Add(time.Duration(b.received) * time.Second / minBodyRate)
	if stall := now.Add(bodyStallTimeout); until.After(stall) {
		until = stall
	}
	if until.Before(least) {
		until = least
	}
	if err := b.controller.SetReadDeadline(until); err != nil {
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

// maxRemainingTime is how long the rest may take at the most.
func (b *requestBody) maxRemainingTime() time.Duration {
	left := maxRequestBody - b.received
	if b.length >= 0 {
		left = b.length - b.received
	}
	return minBodyTimeout + bodyStallTimeout + time.Duration(left)*time.Second/minBodyRate
}

// discard reads the rest and drops it: the client has its answer, and might not look for it
// before it has sent all.
func (b *requestBody) discard() {
	if !b.isForwarding.Load() {
		io.Copy(io.Discard, b)
	}
}

// forward writes a request whose body comes from the intake.
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

// errBodyIncomplete is the error of a body that the client does not send to its end, or that is gone.
var errBodyIncomplete = errors.New("body: incomplete")

var errBodyTooLarge = fmt.Errorf("%w: over %d MiB", errBodyIncomplete, maxRequestBody>>20)

// chunkWriter gives each write a time of its own.
type chunkWriter struct {
	net.Conn
	timeout time.Duration
}

func (w *chunkWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.Conn.Write(p)
}

// readBody reads a request's body: whole, or the first of one too long to be held, with the
// rest in more. began is when the request's first byte came. held is what the body takes of the
// budget, also beside an error.
func readBody(w http.ResponseWriter, r *http.Request, began time.Time, mem *memoryBudget) (body []byte, more *requestBody, held int64, err error) {
	if r.ContentLength == 0 {
		return nil, nil, 0, nil
	}
	tooLarge := &badRequestError{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("body: over %d MiB", maxRequestBody>>20)}
	if r.ContentLength > maxRequestBody {
		return nil, nil, 0, tooLarge
	}
	in := &requestBody{source: r.Body, controller: http.NewResponseController(w), startedAt: began, length: r.ContentLength}
	defer func() {
		if err == nil && more == nil {
			err = in.controller.SetReadDeadline(time.Time{})
		}
		if errors.Is(err, errBodyTooLarge) {
			err = tooLarge
		} else if err != nil {
			err = badRequestf("body: incomplete")
		}
	}()
	if n := r.ContentLength; n > 0 {
		if n > alwaysBufferedBody {
			if n > maxBufferedBody || !mem.reserve(n) {
				body = make([]byte, alwaysBufferedBody)
				_, err = io.ReadFull(in, body)
				return body, in, 0, err
			}
			held = n
		}
		body = make([]byte, n)
		_, err = io.ReadFull(in, body)
		return body, nil, held, err
	}
	// Chunked: its length is not known.
	body = make([]byte, 0, 2<<10)
	for {
		if len(body) == cap(body) {
			if want := int64(2 * cap(body)); want > alwaysBufferedBody {
				if want > maxBufferedBody || !mem.reserve(want-held) {
					return body, in, held, nil
				}
				held = want
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil, held, nil
		}
		if err != nil {
			return nil, nil, held, err
		}
	}
}
