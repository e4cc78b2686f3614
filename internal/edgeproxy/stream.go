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
	holdMost   = 2 << 20                 // bytes of one request's body that are held
	holdShare  = 0.15                    // of the node's memory that all held bodies may take
	bodyMost   = 40 << 20                // bytes of a request's body
	bodyGrace  = 2300 * time.Millisecond // for a body that is short; clients may write one in 2 s
	bodyStall  = 1500 * time.Millisecond // without a byte of a longer one
	bodyRate   = 16 << 10                // bytes a second that a longer one must keep
	passStall  = 5 * time.Second         // for an app server to take a piece of a body
	relayStall = 30 * time.Second        // for a client to take a piece of an answer
	relayPiece = 16 << 10                // bytes
)

// budget is the memory that held bodies may take.
type budget struct{ left atomic.Int64 }

func newBudget(memoryMB int) *budget {
	if memoryMB == 0 {
		memoryMB = 64
	}
	b := &budget{}
	b.left.Store(int64(holdShare * float64(memoryMB) * (1 << 20)))
	return b
}

// reserve takes n bytes, or none and returns false.
func (b *budget) reserve(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *budget) release(n int64) {
	if n != 0 {
		b.left.Add(n)
	}
}

// errIntake is the error of a body that the client does not send to its end, or that is gone.
var errIntake = errors.New("body: incomplete")

// intake is a request's body as it comes from the client.
type intake struct {
	body   io.Reader
	rc     *http.ResponseController
	began  time.Time // when the request's first byte came
	got    int64
	length int64         // of all, also of what is held already; -1: not told
	grace  time.Duration // of the client, from the last byte
	whole  func()        // called once the last byte has gone on

	used    atomic.Bool // some of it has gone on
	passing atomic.Bool // an attempt has it
	broken  atomic.Bool // its client has stopped sending
	passed  time.Time   // when the last byte had gone on
}

// Read waits for as long as the client keeps sending.
func (in *intake) Read(p []byte) (int, error) {
	now := time.Now()
	least := in.began.Add(bodyGrace)
	until := least.Add(time.Duration(in.got) * time.Second / bodyRate)
	if stall := now.Add(bodyStall); until.After(stall) {
		until = stall
	}
	if until.Before(least) {
		until = least
	}
	if err := in.rc.SetReadDeadline(until); err != nil {
		return 0, errors.Join(errIntake, err)
	}
	n, err := in.body.Read(p)
	if in.got += int64(n); in.got > bodyMost {
		in.broken.Store(true)
		return 0, errTooLarge
	}
	if err != nil && err != io.EOF {
		in.broken.Store(true)
		err = errors.Join(errIntake, err)
	}
	return n, err
}

// longest is how long the rest may take at the most.
func (in *intake) longest() time.Duration {
	left := bodyMost - in.got
	if in.length >= 0 {
		left = in.length - in.got
	}
	return bodyGrace + bodyStall + time.Duration(left)*time.Second/bodyRate
}

// discard reads the rest and drops it: the client has its answer, and might not look for it
// before it has sent all.
func (in *intake) discard() {
	if !in.passing.Load() {
		io.Copy(io.Discard, in)
	}
}

var errTooLarge = fmt.Errorf("%w: over %d MiB", errIntake, bodyMost>>20)

// pass writes a request whose body comes from the intake.
func (in *intake) pass(req *http.Request, c net.Conn) error {
	in.used.Store(true)
	in.passing.Store(true)
	defer in.passing.Store(false)
	w := bufio.NewWriterSize(&pieceWriter{c, passStall}, relayPiece)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Time{})
	in.passed = time.Now()
	in.whole()
	return nil
}

// pieceWriter gives each write a time of its own.
type pieceWriter struct {
	net.Conn
	stall time.Duration
}

func (w *pieceWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(w.stall))
	return w.Conn.Write(p)
}

// readBody reads a request's body: whole, or the first of one too long to be held, with the
// rest in more. began is when the request's first byte came. held is what the body takes of the
// budget, also beside an error.
func readBody(w http.ResponseWriter, r *http.Request, began time.Time, mem *budget) (body []byte, more *intake, held int64, err error) {
	if r.ContentLength == 0 {
		return nil, nil, 0, nil
	}
	tooLarge := &badRequest{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("body: over %d MiB", bodyMost>>20)}
	if r.ContentLength > bodyMost {
		return nil, nil, 0, tooLarge
	}
	in := &intake{body: r.Body, rc: http.NewResponseController(w), began: began, length: r.ContentLength}
	defer func() {
		if err == nil && more == nil {
			err = in.rc.SetReadDeadline(time.Time{})
		}
		if errors.Is(err, errTooLarge) {
			err = tooLarge
		} else if err != nil {
			err = bad("body: incomplete")
		}
	}()
	if n := r.ContentLength; n > 0 {
		if n > maxBody {
			if n > holdMost || !mem.reserve(n) {
				body = make([]byte, maxBody)
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
			if want := int64(2 * cap(body)); want > maxBody {
				if want > holdMost || !mem.reserve(want-held) {
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

// relay is a long answer as it comes from an app server. Who has it calls finish once.
type relay struct {
	c      *conn
	up     *upstream
	body   io.Reader
	length int64 // of all; -1: not told
	close  bool  // the connection ends with it
	done   chan policy.Result
}

// finish ends the relay: with OK it was passed on to its end.
func (rl *relay) finish(result policy.Result) {
	if result == policy.OK && !rl.close && rl.c.br.Buffered() == 0 {
		rl.c.in.settle()
		rl.c.SetReadDeadline(time.Time{})
		rl.up.giveBack(rl.c)
	} else {
		rl.up.discard(rl.c)
	}
	rl.done <- result
}

var pieces = sync.Pool{New: func() any { b := make([]byte, relayPiece); return &b }}

// relayTo passes a long answer on, each piece as it comes.
func (rl *relay) relayTo(w http.ResponseWriter, first []byte) policy.Result {
	rc := http.NewResponseController(w)
	in := rl.c.in
	in.ctx, in.left, in.stall = context.Background(), maxStream, streamStall
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	write := func(p []byte) error {
		if err := rc.SetWriteDeadline(time.Now().Add(relayStall)); err != nil {
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
