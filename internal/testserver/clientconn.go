package testserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmux/internal/graceful"
)

const (
	// maxIdleTime is how long a client keeps an idle connection. It is less than the idle timeout of instances.
	maxIdleTime = 10 * time.Second
	// lateAnswerWindow is how long after its deadline an answer is still read, so that it can
	// be recorded as late.
	lateAnswerWindow = time.Second
	// clientDialTimeout is how long a client tries to connect.
	clientDialTimeout = time.Second
)

// clientConn is a connection that carries one request at a time.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

// send sends an attempt's request and reads its answer. Data that follows the answer counts as a second one. It
// returns the delay of the answer's Retry-After header, or 0.
func (clients *Clients) send(
	attempt *Attempt, text string, deadline time.Time, leave leave,
) (retryAfter time.Duration) {
	readUntil := deadline.Add(lateAnswerWindow)
	headBy := readUntil
	if leave.after > 0 {
		headBy = time.Now().Add(leave.after)
	}
	for {
		conn, isReused, err := clients.connect(attempt.Instance)
		if err != nil {
			attempt.ConnectionLost = true
			return 0
		}
		resp, err := conn.exchange(text, headBy)
		if err == nil {
			conn.SetDeadline(readUntil)
			return clients.receive(attempt, conn, resp, text)
		}
		conn.close(leave)
		if netError, ok := errors.AsType[net.Error](err); ok && netError.Timeout() && leave.after > 0 {
			attempt.LeftAt = time.Now()
			return 0
		}
		if isReused && !clients.NoResend && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
			continue // the idle connection had been closed: resend on another one
		}
		if netError, ok := errors.AsType[net.Error](err); !ok || !netError.Timeout() {
			attempt.ConnectionLost = true
		}
		return 0
	}
}

// close closes or resets the connection.
func (conn *clientConn) close(leave leave) {
	if tcpConn, ok := conn.Conn.(*net.TCPConn); ok && leave.byReset {
		tcpConn.SetLinger(0)
	}
	conn.Close()
}

// exchange sends a request's text and reads the head of its answer.
func (conn *clientConn) exchange(text string, deadline time.Time) (*http.Response, error) {
	conn.SetDeadline(deadline)
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	method, _, _ := strings.Cut(text, " ")
	return http.ReadResponse(conn.reader, &http.Request{Method: method})
}

// receive reads an answer's body, records the answer in the attempt and keeps the
// connection if it can be used again.
func (clients *Clients) receive(attempt *Attempt, conn *clientConn, resp *http.Response, text string) time.Duration {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		conn.Close()
		attempt.ConnectionLost = true
		return 0
	}
	attempt.AnswerCount, attempt.Status = 1, resp.StatusCode
	attempt.Served = resp.StatusCode < 300
	hasBody := resp.StatusCode != http.StatusNoContent && !strings.HasPrefix(text, "HEAD ")
	if attempt.Served && hasBody && !attempt.isAnsweredBy(string(body)) {
		attempt.Mismatch = "served with another request's answer: " + string(body)
	}
	if conn.reader.Buffered() > 0 {
		attempt.AnswerCount++
	}
	if resp.Close || attempt.AnswerCount > 1 {
		conn.Close()
	} else {
		clients.keep(attempt.Instance, conn)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// isAnsweredBy reports whether an answer's body names the attempt's trace and operation.
func (attempt *Attempt) isAnsweredBy(body string) bool {
	return strings.Contains(body, `"`+attempt.Trace+`"`) && strings.Contains(body, `"`+attempt.Operation+`"`)
}

// connect returns an idle connection to an address, or dials a new one.
func (clients *Clients) connect(addr string) (conn *clientConn, isReused bool, err error) {
	if conn := clients.takeIdle(addr); conn != nil {
		return conn, true, nil
	}
	netConn, err := net.DialTimeout("tcp", addr, clientDialTimeout)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: netConn, reader: bufio.NewReader(netConn)}, false, nil
}

// takeIdle removes and returns the connection to an address that was idle for the shortest time, or nil if there is
// none. It closes the connections it meets that were idle for too long or that the instance has closed, as HTTP clients
// do.
func (clients *Clients) takeIdle(addr string) *clientConn {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for n := len(clients.idle[addr]); n > 0; n-- {
		conn := clients.idle[addr][n-1]
		clients.idle[addr] = clients.idle[addr][:n-1]
		if time.Since(conn.idleSince) <= maxIdleTime && !graceful.IsPeerDisconnected(conn.Conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// keep stores an idle connection for a later request.
func (clients *Clients) keep(addr string, conn *clientConn) {
	conn.idleSince = time.Now()
	clients.mu.Lock()
	clients.idle[addr] = append(clients.idle[addr], conn)
	clients.mu.Unlock()
}
