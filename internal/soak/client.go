package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mulleinmux/internal/testserver"
)

const (
	dialTimeout        = time.Second
	responseSlack      = 500 * time.Millisecond // a final response may arrive this long after the request's deadline
	clientTimeoutSlack = 5 * time.Second        // a client gives up on a request this long after its deadline
	maxPause           = 20 * time.Millisecond  // between a response and the next request
	maxLongPause       = 900 * time.Millisecond // between requests of a clientPausing
	maxPieceGap        = 30 * time.Millisecond  // between the pieces of a request
	hangingEvery       = 8                      // one pipelined batch in this many gets no responses from servers
)

// client sends requests, over one connection at a time.
type client struct {
	run          *run
	kind         clientKind
	contract     contract
	name         string
	random       *rand.Rand
	requestCount int
	retryAt      time.Time // when the Retry-After of the last rejection is over; used if the client heeds it
}

// connection is a client's connection.
type connection struct {
	net.Conn
	reader         *bufio.Reader
	connectedAt    time.Time
	lastResponseAt time.Time // time of the last response; zero before the first
	sent           int       // number of requests
}

// idleFor returns the time since the connection's last response, or since it was opened if there is none.
func (c *connection) idleFor() time.Duration {
	if c.lastResponseAt.IsZero() {
		return time.Since(c.connectedAt)
	}
	return time.Since(c.lastResponseAt)
}

// runUntil sends requests until ctx ends, and opens a new connection whenever the last one was closed.
func (c *client) runUntil(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Until(c.retryAt))
		if !c.run.clientsMayConnect.Load() {
			sleep(ctx, time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", c.run.address, dialTimeout)
		if err != nil {
			sleep(ctx, maxPause)
			continue
		}
		c.sendRequests(ctx, &connection{Conn: conn, reader: bufio.NewReader(conn), connectedAt: time.Now()})
	}
}

// sendRequests sends requests on a connection until it is closed or ctx ends.
func (c *client) sendRequests(ctx context.Context, conn *connection) {
	defer conn.Close()
	for ctx.Err() == nil {
		batch := 1
		if c.kind == clientPipelines {
			batch = 2 + c.random.IntN(3)
		}
		if !c.exchange(conn, batch) || c.kind == clientReconnects {
			return
		}
		pause := c.randomDuration(maxPause)
		if c.kind == clientPausing {
			pause = c.randomDuration(maxLongPause)
		}
		sleep(ctx, max(pause, time.Until(c.retryAt)))
	}
}

// randomDuration returns a random duration below a bound.
func (c *client) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(bound)))
}

// exchange sends a batch of pipelined requests, reads their responses and reports whether the connection is still open.
func (c *client) exchange(conn *connection, batch int) (isOpen bool) {
	var pending []*request
	var text strings.Builder
	hangs := batch > 1 && c.random.IntN(hangingEvery) == 0
	for range batch {
		r := c.nextRequest(conn)
		if hangs {
			r.id += hangingSuffix
		}
		if len(pending) > 0 {
			r.ahead = pending[len(pending)-1]
		}
		pending = append(pending, r)
		text.WriteString(c.run.target.requestText(r))
	}
	timeout := pending[0].timeout
	conn.SetDeadline(time.Now().Add(timeout + clientTimeoutSlack))
	if c.write(conn, text.String()) != nil {
		// A request that was not fully written isn't recorded.
		return false
	}
	for _, r := range pending {
		r.sentAt = time.Now()
		c.run.records.addRequest(r)
	}
	if c.kind == clientDisconnects && c.random.IntN(2) == 0 {
		time.Sleep(c.randomDuration(maxPieceGap))
		c.recordEnd(pending, endClientClosed, nil)
		return false
	}
	for i, r := range pending {
		response, err := testserver.ReadResponse(conn.reader, r.method())
		if err != nil {
			end := endClosed
			if netError, ok := errors.AsType[net.Error](err); ok && netError.Timeout() {
				end = endTimedOut
			}
			c.recordEnd(pending[i:], end, err)
			return false
		}
		c.recordResponse(r, response)
		conn.lastResponseAt = r.endedAt
		if response.Close {
			c.recordUnansweredBehind(pending[i+1:], response)
			return false
		}
	}
	return true
}

// heedsRetryAfter reports whether the client waits as long as the Retry-After of a rejection says. One that pipelines
// does not: it sends requests before it has the responses of earlier ones. Nor does one of a tight contract, so that it
// uses up its quota.
func (c *client) heedsRetryAfter() bool {
	return c.kind != clientPipelines && c.contract != contractTight
}

// nextRequest returns a new random request for a connection.
func (c *client) nextRequest(conn *connection) *request {
	classes := []class{classCheck, classCheck, classBook, classPay}
	c.requestCount++
	r := &request{
		id:          fmt.Sprint(c.name, "-", c.requestCount),
		class:       classes[c.random.IntN(len(classes))],
		contract:    c.contract,
		isFirst:     conn.sent == 0,
		isSecond:    conn.sent == 1,
		idleFor:     conn.idleFor(),
		connectedAt: conn.connectedAt,
		isHeeding:   c.heedsRetryAfter(),
		timeout:     c.run.plan.Deadline - c.randomDuration(c.run.plan.Deadline/2),
	}
	conn.sent++
	return r
}

// write writes a text, in random pieces if the client is a clientSlowWriter.
func (c *client) write(conn *connection, text string) error {
	for c.kind == clientSlowWriter && len(text) > 1 {
		n := 1 + c.random.IntN(len(text)-1)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(c.randomDuration(maxPieceGap))
	}
	_, err := io.WriteString(conn, text)
	return err
}

// recordResponse records the response of a request.
func (c *client) recordResponse(r *request, response testserver.Response) {
	c.run.records.mu.Lock()
	defer c.run.records.mu.Unlock()
	r.end, r.endedAt, r.status = endAnswered, time.Now(), response.Status
	if c.heedsRetryAfter() && r.isRejected() {
		c.retryAt = r.endedAt.Add(retryAfter(response.Header))
	}
	if response.Status == 200 && response.Body != r.id {
		r.err = fmt.Errorf("got the response of request %q", response.Body)
	}
}

// retryAfter returns the wait that a response's Retry-After field states in seconds, which may have decimals, or 0 if
// there is none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// recordUnansweredBehind records the end of the requests that were pipelined behind a response that closes the
// connection. A 503 to the first request rejects a connection above the limit, so the requests behind it are not read
// and need no response. Any other response must not close the connection while requests behind it have arrived.
func (c *client) recordUnansweredBehind(pending []*request, closing testserver.Response) {
	end := endClosed
	if closing.Status == 503 && len(pending) > 0 && pending[0].isSecond {
		end = endConnectionRejected
	}
	c.recordEnd(pending, end, io.EOF)
}

// recordEnd records the same end for several requests.
func (c *client) recordEnd(pending []*request, end requestEnd, err error) {
	c.run.records.mu.Lock()
	defer c.run.records.mu.Unlock()
	now := time.Now()
	for _, r := range pending {
		r.end, r.endedAt, r.err = end, now, err
	}
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// holdIdleConnections opens up to size connections that send nothing, and keeps them open until ctx ends. It opens no
// more once mayConnect is false or a connection fails.
func holdIdleConnections(ctx context.Context, address string, size int, mayConnect *atomic.Bool) {
	var conns []net.Conn
	for range size {
		if !mayConnect.Load() || ctx.Err() != nil {
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
