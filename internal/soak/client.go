package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"mulleinmux/internal/testserver"
)

const (
	dialTimeout   = time.Second
	answerSlack   = 500 * time.Millisecond // after its time an answer still ends a request, if it earns nothing
	clientsTimeUp = 5 * time.Second        // beyond a request's time: it has no answer
	maxPause      = 20 * time.Millisecond  // between an answer and the next request
	maxRest       = 900 * time.Millisecond // of a client that rests
	maxPieceGap   = 30 * time.Millisecond
	hangingEvery  = 8 // one batch of pipelined requests in so many is answered by no server
)

// client sends requests until its context ends.
type client struct {
	run    *run
	kind   clientKind
	name   string
	random *rand.Rand
	count  int
}

// connection is a client's connection with the requests that are open on it.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	connectedAt time.Time
	answeredAt  time.Time // the last answer; zero: none
	sent        int
}

// idleFor is how long the connection has been idle since its last answer, or since it was made.
func (c *connection) idleFor() time.Duration {
	if c.answeredAt.IsZero() {
		return time.Since(c.connectedAt)
	}
	return time.Since(c.answeredAt)
}

// runUntil connects anew whenever the last connection has ended.
func (c *client) runUntil(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.run.acceptsClients.Load() {
			sleep(ctx, time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", c.run.address, dialTimeout)
		if err != nil {
			sleep(ctx, maxPause)
			continue
		}
		c.use(ctx, &connection{Conn: conn, reader: bufio.NewReader(conn), connectedAt: time.Now()})
	}
}

// use sends requests on a connection until it has ended.
func (c *client) use(ctx context.Context, conn *connection) {
	defer conn.Close()
	for ctx.Err() == nil {
		batch := 1
		if c.kind == clientPipelines {
			batch = 2 + c.random.IntN(3)
		}
		if !c.exchange(conn, batch) || c.kind == clientIsNew {
			return
		}
		pause := c.draw(maxPause)
		if c.kind == clientRests {
			pause = c.draw(maxRest)
		}
		sleep(ctx, pause)
	}
}

// draw returns a time below a bound.
func (c *client) draw(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(bound)))
}

// exchange sends requests one behind the other, reads their answers and reports whether the connection stays open.
func (c *client) exchange(conn *connection, batch int) (isOpen bool) {
	var open []*request
	var text strings.Builder
	hangs := batch > 1 && c.random.IntN(hangingEvery) == 0
	for range batch {
		r := c.nextRequest(conn)
		if hangs {
			r.id += hangingSuffix
		}
		if len(open) > 0 {
			r.ahead = open[len(open)-1]
		}
		open = append(open, r)
		text.WriteString(c.run.target.requestText(r))
	}
	timeout := open[0].timeout
	conn.SetDeadline(time.Now().Add(timeout + clientsTimeUp))
	if c.write(conn, text.String()) != nil {
		// What was not written whole is no request.
		return false
	}
	for _, r := range open {
		r.sentAt = time.Now()
		c.run.records.addRequest(r)
	}
	if c.kind == clientLeaves && c.random.IntN(2) == 0 {
		time.Sleep(c.draw(maxPieceGap))
		c.endAll(open, endLeft, nil)
		return false
	}
	for i, r := range open {
		response, err := testserver.ReadResponse(conn.reader, r.method())
		if err != nil {
			end := endClosed
			if netError, ok := errors.AsType[net.Error](err); ok && netError.Timeout() {
				end = endNone
			}
			c.endAll(open[i:], end, err)
			return false
		}
		c.endAnswered(r, response)
		conn.answeredAt = r.endedAt
		if response.Close {
			c.endBehind(open[i+1:], response)
			return false
		}
	}
	return true
}

// nextRequest makes the next request of a connection.
func (c *client) nextRequest(conn *connection) *request {
	classes := []class{classCheck, classCheck, classBook, classPay}
	c.count++
	r := &request{
		id:          fmt.Sprint(c.name, "-", c.count),
		class:       classes[c.random.IntN(len(classes))],
		isFirst:     conn.sent == 0,
		isSecond:    conn.sent == 1,
		idleFor:     conn.idleFor(),
		connectedAt: conn.connectedAt,
		timeout:     c.run.plan.Deadline - c.draw(c.run.plan.Deadline/2),
	}
	conn.sent++
	return r
}

// write writes a text, in pieces if the client is slow.
func (c *client) write(conn *connection, text string) error {
	for c.kind == clientIsSlow && len(text) > 1 {
		n := 1 + c.random.IntN(len(text)-1)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(c.draw(maxPieceGap))
	}
	_, err := io.WriteString(conn, text)
	return err
}

// endAnswered records a whole answer.
func (c *client) endAnswered(r *request, response testserver.Response) {
	c.run.records.mu.Lock()
	defer c.run.records.mu.Unlock()
	r.end, r.endedAt, r.status = endAnswered, time.Now(), response.Status
	if response.Status == 200 && response.Body != r.id {
		r.err = fmt.Errorf("the answer is %q's", response.Body)
	}
}

// endBehind records the end of the requests behind an answer that closes the connection. One that turns the connection
// away as one too many says that they are not read; any other must not close it while they have come.
func (c *client) endBehind(open []*request, closing testserver.Response) {
	end := endClosed
	if closing.Status == 503 && len(open) > 0 && open[0].isSecond {
		end = endTurnedAway
	}
	c.endAll(open, end, io.EOF)
}

// endAll records one end of several requests.
func (c *client) endAll(open []*request, end requestEnd, err error) {
	c.run.records.mu.Lock()
	defer c.run.records.mu.Unlock()
	now := time.Now()
	for _, r := range open {
		r.end, r.endedAt, r.err = end, now, err
	}
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// crowd holds silent connections open, as many as it gets.
func crowd(ctx context.Context, address string, size int, isOpen *atomic.Bool) {
	var conns []net.Conn
	for range size {
		if !isOpen.Load() || ctx.Err() != nil {
			break
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	<-ctx.Done()
	for _, conn := range conns {
		conn.Close()
	}
}
