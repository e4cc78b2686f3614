//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
)

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0: no whole answer came
	Header http.Header
	Body   string
	Err    error
}

// crossingTime is how soon after a request was written its kept connection must have ended for the end to have crossed
// the request.
const crossingTime = 5 * time.Millisecond

// Client sends requests to one address. It keeps its connections, sends one request at a time on each, and opens more
// when all are busy. A request that crossed the end of a kept connection is sent once more on a new one, unless
// NoResend is set.
type Client struct {
	Addr     string
	NoResend bool

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// Send sends a request's text and waits for its answer until the deadline. The client then closes the connection.
func (c *Client) Send(method, text string, deadline time.Time) Answer {
	for {
		conn, isKept, err := c.connect(deadline)
		if err != nil {
			return Answer{Err: err}
		}
		writtenAt := time.Now()
		answer := conn.exchange(method, text, deadline)
		if answer.Err == nil {
			c.keep(conn, answer.Header)
			return answer
		}
		conn.Close()
		closed := errors.Is(answer.Err, io.EOF) || errors.Is(answer.Err, io.ErrUnexpectedEOF) ||
			errors.Is(answer.Err, syscall.ECONNRESET) || errors.Is(answer.Err, syscall.EPIPE)
		if !isKept || !closed || c.NoResend || time.Since(writtenAt) > crossingTime {
			return answer
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func (c *Client) connect(deadline time.Time) (conn *clientConn, isKept bool, err error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.usedAt) < 10*time.Second && !graceful.IsPeerDisconnected(conn.Conn) {
			c.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.Addr, time.Until(deadline))
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc)}, false, nil
}

func (c *Client) keep(conn *clientConn, header http.Header) {
	if header.Get("Connection") == "close" || conn.reader.Buffered() > 0 {
		conn.Close()
		return
	}
	conn.usedAt = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

func (conn *clientConn) exchange(method, text string, deadline time.Time) Answer {
	conn.SetDeadline(deadline)
	if _, err := io.WriteString(conn, text); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body)}
}

// SlotCheck returns a look-up as a licensee's client sends it to the gateway.
func SlotCheck(licensee, trace string, expiresIn time.Duration) string {
	return fmt.Sprintf("GET /v1/slots/%s HTTP/1.1\r\nHost: booking.example.org\r\nX-Licensee: %s\r\nX-Trace-Id: %s\r\n"+
		"X-Expires-In: %.3f\r\n\r\n", trace, licensee, trace, expiresIn.Seconds())
}

// VisitBook returns a booking as a licensee's client sends it to the gateway.
func VisitBook(licensee, trace, key string, expiresIn time.Duration) string {
	const body = `{"district":"kigoma","installers":1}`
	return fmt.Sprintf("POST /v1/visits HTTP/1.1\r\nHost: booking.example.org\r\nX-Licensee: %s\r\nX-Trace-Id: %s\r\n"+
		"X-Expires-In: %.3f\r\nIdempotency-Key: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		licensee, trace, expiresIn.Seconds(), key, len(body), body)
}
