package edgeproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/policy"
)

// Long bodies. A request's body is held whole where memory allows that, so that a further
// attempt can send it again and the module is asked when the client's wait begins. One that is
// too long for that is asked for with its first part and goes on as it comes: once some of it is
// gone there is no further attempt. An answer of more than maxReply goes on as it comes, too.
const (
	maxBufferedBody            = 2 << 20                 // bytes of one request's body that are held
	bufferedBodyMemoryFraction = 0.15                    // of the node's memory that all held bodies may take
	maxRequestBody             = 40 << 20                // bytes of a request's body
	minBodyTimeout             = 2300 * time.Millisecond // for a body that is short; clients may write one in 2 s
	bodyStallTimeout           = 1500 * time.Millisecond // without a byte of a longer one
	minBodyRate                = 16 << 10                // bytes a second that a longer one must keep
	forwardWriteTimeout        = 5 * time.Second         // for an app server to take a piece of a body
	streamWriteTimeout         = 30 * time.Second        // for a client to take a piece of an answer
	streamBufferSize           = 16 << 10                // bytes
)

// memoryBudget is the memory that held bodies may take.
type memoryBudget struct{ available atomic.Int64 }

func newMemoryBudget(memoryMB int) *memoryBudget {
	if memoryMB == 0 {
		memoryMB = 64
	}
	b := &memoryBudget{}
	b.available.Store(int64(bufferedBodyMemoryFraction * float64(memoryMB) * (1 << 20)))
	return b
}

// reserve takes n bytes, or none and returns false.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *memoryBudget) release(n int64) {
	if n != 0 {
		b.available.Add(n)
	}
}

// errBodyIncomplete is the error of a body that the client does not send to its end, or that is gone.
var errBodyIncomplete = errors.New("body: incomplete")

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
func (in *requestBody) Read(p []byte) (int, error) {
	now := time.Now()
	least := in.startedAt.Add(minBodyTimeout)
	until := least.Add(time.Duration(in.received) * time.Second / minBodyRate)
	if stall := now.Add(bodyStallTimeout); until.After(stall) {
		until = stall
	}
	if until.Before(least) {
		until = least
	}
	if err := in.controller.SetReadDeadline(until); err != nil {
		return 0, errors.Join(errBodyIncomplete, err)
	}
	n, err := in.source.Read(p)
	if in.received += int64(n); in.received > maxRequestBody {
		in.isBroken.Store(true)
		return 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF {
		in.isBroken.Store(true)
		err = errors.Join(errBodyIncomplete, err)
	}
	return n, err
}

// maxRemainingTime is how long the rest may take at the most.
func (in *requestBody) maxRemainingTime() time.Duration {
	left := maxRequestBody - in.received
	if in.length >= 0 {
		left = in.length - in.received
	}
	return minBodyTimeout + bodyStallTimeout + time.Duration(left)*time.Second/minBodyRate
}

// discard reads the rest and drops it: the client has its answer, and might not look for it
// before it has sent all.
func (in *requestBody) discard() {
	if !in.isForwarding.Load() {
		io.Copy(io.Discard, in)
	}
}

var errBodyTooLarge = fmt.Errorf("%w: over %d MiB", errBodyIncomplete, maxRequestBody>>20)

// forward writes a request whose body comes from the intake.
func (in *requestBody) forward(req *http.Request, c net.Conn) error {
	in.isUsed.Store(true)
	in.isForwarding.Store(true)
	defer in.isForwarding.Store(false)
	w := bufio.NewWriterSize(&chunkWriter{c, forwardWriteTimeout}, streamBufferSize)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Time{})
	in.forwardedAt = time.Now()
	in.onForwarded()
	return nil
}

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

// responseStream is a long answer as it comes from an app server. Who has it calls finish once.
type responseStream struct {
	conn       *serverConn
	pool       *serverPool
	body       io.Reader
	length     int64 // of all; -1: not told
	closesConn bool  // the connection ends with it
	result     chan policy.Result
}

// finish ends the relay: with OK it was passed on to its end.
func (rl *responseStream) finish(result policy.Result) {
	if result == policy.OK && !rl.closesConn && rl.conn.buffered.Buffered() == 0 {
		rl.conn.reader.clearPieceDeadline()
		rl.conn.SetReadDeadline(time.Time{})
		rl.pool.release(rl.conn)
	} else {
		rl.pool.discard(rl.conn)
	}
	rl.result <- result
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferSize); return &b }}

// copyTo passes a long answer on, each piece as it comes.
func (rl *responseStream) copyTo(w http.ResponseWriter, first []byte) policy.Result {
	rc := http.NewResponseController(w)
	in := rl.conn.reader
	in.ctx, in.remainingBytes, in.pieceTimeout = context.Background(), maxStreamedResponse, streamPieceTimeout
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	write := func(p []byte) error {
		if err := rc.SetWriteDeadline(time.Now().Add(streamWriteTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(p); err != nil {
			return err
		}
		return rc.Flush()
	}
	if len(first) > 0 {
		if write(first) != nil {
			return policy.Cancelled
		}
	}
	for {
		n, err := rl.body.Read(*buf)
		if n > 0 && write((*buf)[:n]) != nil {
			return policy.Cancelled
		}
		switch {
		case err == io.EOF:
			return policy.OK
		case err != nil && in.err != nil && !errors.Is(in.err, os.ErrDeadlineExceeded):
			return policy.ConnectionReset
		case err != nil:
			return policy.ErrorResponse
		}
	}
}
