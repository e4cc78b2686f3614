package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/logging"
)

const (
	readyPath          = "/health/ready"
	maxRequestBody     = 64 << 10                // bytes that the body of a request may hold
	clientTransit      = 10 * time.Millisecond   // taken off a client's wait, which counts from its send
	requestReadTimeout = 1500 * time.Millisecond // for a request, from its first bytes to its last
	clientIdleTimeout  = 30 * time.Second        // for a connection between requests
	clientWriteTimeout = 10 * time.Second        // for an answer
	minConfigAgeShown  = 2 * time.Second         // of a setup that was not confirmed since: answers tell it
	// By which idleLimit and writeLimit may come early: saves setting them for each request.
	deadlineSlack = 5 * time.Second
)

// tooManyConnections answers a connection beyond the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientServer accepts the connections of clients, and of other sites' instances.
type clientServer struct {
	instance   *Instance
	isReady    atomic.Bool
	isDraining atomic.Bool
	handlers   sync.WaitGroup

	relayListener net.Listener // of other sites' instances; nil: none come

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// clientConn is a connection of a client.
type clientConn struct {
	server        *clientServer
	nc            net.Conn
	raw           syscall.RawConn
	reader        *httpwire.Reader
	request       pendingRequest
	buffer        []byte
	readCount     int       // since the request under way began
	readDeadline  time.Time // read deadline in force
	writeDeadline time.Time // write deadline in force
	isBusy        atomic.Bool
	isRelay       bool   // it is of another site's instance
	lastRelayID   string // then, the last relayed request that came on it
}

// serve answers clients until the listener closes.
func (f *clientServer) serve(ln net.Listener) error {
	_, linked := ln.(relayListener)
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			time.Sleep(time.Millisecond) // a connection may end meanwhile
			continue
		}
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		c := &clientConn{server: f, nc: nc, isRelay: linked}
		c.reader = httpwire.NewReader(c)
		c.request.wake = make(chan struct{}, 1)
		if c.raw, err = raw(nc); err != nil {
			nc.Close()
			continue
		}
		f.mu.Lock()
		full := len(f.conns) >= f.instance.config.MaxClientConns
		if !full {
			f.conns[c] = struct{}{}
		}
		f.mu.Unlock()
		if full && linked { // the handshake is not worth a wait
			nc.Close()
			continue
		}
		if full {
			nc.SetDeadline(time.Now().Add(requestReadTimeout))
			io.WriteString(nc, tooManyConnections)
			nc.Close()
			continue
		}
		f.handlers.Go(c.serve)
	}
}

// Read counts the reads of a request: one that does not come whole in the first gets a
// deadline of its own, so that none holds a connection by sending slowly.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.readCount == 1 {
		c.readDeadline = time.Now().Add(requestReadTimeout)
		c.nc.SetReadDeadline(c.readDeadline)
	}
	c.readCount++
	return c.nc.Read(p)
}

// serve answers the requests of one connection.
func (c *clientConn) serve() {
	defer func() {
		c.nc.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	}()
	if c.isRelay && !c.verifyPeer() {
		return
	}
	// A connection that was made while the instance drains is answered once.
	for first := true; first || !c.server.isDraining.Load(); first = false {
		if now := time.Now(); c.readCount > 1 || c.readDeadline.Sub(now) < clientIdleTimeout-deadlineSlack {
			c.readDeadline = now.Add(clientIdleTimeout)
			c.nc.SetReadDeadline(c.readDeadline)
		}
		c.readCount = 0
		if c.reader.Fill() != nil {
			return
		}
		c.isBusy.Store(true)
		again := c.serveOne()
		c.isBusy.Store(false)
		if !again {
			return
		}
	}
}

// serveOne answers one request; it is false if the connection is to be closed.
func (c *clientConn) serveOne() (again bool) {
	r := &c.request
	r.reset(c.isRelay)
	defer func() {
		if p := recover(); p != nil {
			logging.Panic(c.server.instance.logger, p, debug.Stack())
			again = false
		}
	}()
	err := c.reader.Request(&r.requestHead)
	began := time.Now()
	if err != nil {
		return c.rejectUnreadable(err)
	}
	if err := c.readBody(); err != nil {
		return c.rejectBadRequest(err)
	}
	if handler := c.ownHandler(); handler != nil {
		return handler()
	}
	q, err := c.server.parse(r, began)
	if err == nil && c.isRelay {
		r.counters = &Counters{} // it counts where it entered
		err = c.acceptRelayed()
	}
	if err != nil {
		return c.rejectBadRequest(err)
	}
	r.deadline = began.Add(q.Timeout + c.server.instance.config.Settings.ResponseSlack)
	c.server.instance.serveRequest(r, q, c.hasDisconnected)
	if c.isRelay {
		c.finishRelayed()
	}
	return c.writeAnswer()
}

// ownHandler returns what answers a request to the instance itself, or nil for one that is to be forwarded.
func (c *clientConn) ownHandler() func() bool {
	head := &c.request.requestHead
	if head.Method != http.MethodGet {
		return nil
	}
	switch {
	case head.Target == readyPath:
		return c.serveHealth
	case c.isRelay && head.Target == executionStatusPath:
		return c.serveExecutionStatus
	case c.isRelay && head.Target == healthCheckPath:
		return c.serveRelayHealth
	}
	return nil
}

// readBody reads the body of the request whose head has been read. Its error is a *badRequest or nil.
func (c *clientConn) readBody() error {
	head := &c.request.requestHead
	switch {
	case head.Chunked:
		return &badRequest{status: http.StatusLengthRequired, close: true,
			text: "Content-Length is wanted, not Transfer-Encoding"}
	case head.Length > maxRequestBody:
		return &badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB", close: true}
	case head.Length <= 0:
		return nil
	}
	expect, n := head.Values("Expect")
	if n > 0 && strings.EqualFold(expect, "100-continue") && c.reader.Buffered() == 0 {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.request.body = make([]byte, head.Length)
	if err := c.reader.Body(c.request.body); err != nil {
		return &badRequest{status: http.StatusBadRequest, text: "body: incomplete", close: true}
	}
	return nil
}

// hasDisconnected tells whether the client has closed its connection.
func (c *clientConn) hasDisconnected() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	gone := false
	var b [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err == syscall.ECONNRESET
		return true
	})
	return gone || err != nil
}
