package edgeproxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// connectionLimiter bounds the connections of clients, so that descriptors never run out. A new
// connection is accepted first; if it is one too many, the one that can best be spared
// is closed, and never one on which a request is open.
type connectionLimiter struct {
	maxConns     int
	evictsOldest bool // of those without a request the eldest goes, whatever it is at

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	silentCount int // of them, those on which nothing has come

	handOver      func(*clientConn) error // hands a connection to the process that takes over; nil: none does
	handOverCount int                     // connections that it is handing over just now
}

// isCrowded tells whether answers should close their connections. To close one that has
// been idle for a moment costs its client the next request, and a new connection, for
// which another would be closed; one that is told of the close with its answer loses
// nothing. Silent connections don't count: they give way at no cost.
func (s *connectionLimiter) isCrowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (len(s.conns)-s.silentCount)*4 >= s.maxConns*3
}

// clientConnState is what a client's connection is at.
type clientConnState int

const (
	stateSilent  clientConnState = iota // new: nothing has come on it
	stateReading                        // something has come, but no whole head
	stateActive                         // a request is open
	stateIdle                           // between requests, or closing after the last
	stateClosed                         // closed
)

// Ages past which a connection is spared more easily.
const (
	silentGrace  = 100 * time.Millisecond // clients that mean to ask do so as soon as they have connected
	idleGrace    = 2 * time.Second        // a client's due
	readingGrace = 500 * time.Millisecond // between the pieces of a head
	writtenGrace = 100 * time.Millisecond // after it an answer is on its way
)

func newConnectionLimiter(n int) *connectionLimiter {
	return &connectionLimiter{maxConns: n, conns: map[*clientConn]struct{}{}}
}

// add takes in a new connection and returns the one to be closed for it, if any,
// which is the new one where no other can be spared.
func (s *connectionLimiter) add(c *clientConn) (spare *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	for spare == nil && len(s.conns) >= s.maxConns {
		best := 0
		for o := range s.conns {
			if r := o.evictionPriority(now); r > best || r == best && r > 0 && o.stateSince.Before(spare.stateSince) {
				best, spare = r, o
			}
		}
		switch {
		case spare == nil:
			c.state = stateClosed
			return c
		case (spare.state != stateReading || !s.evictsOldest) && spare.hasUnreadData():
			// A request has come that was not read yet: one client more that means to ask. The rest of a head may have
			// come as well while its goroutine waits for the core: then it is whole, and the node's to answer.
			s.changeState(spare, stateReading)
			spare.stateSince, spare.lastReadAt, spare = now, now, nil
		default:
			s.changeState(spare, stateClosed)
			delete(s.conns, spare)
		}
	}
	s.conns[c] = struct{}{}
	s.silentCount++
	return spare
}

// evictIdle ends connections on which no request is open, for a drain: those idle, or silent since
// they came, for at least the given times. A request that has come on one and was not read
// keeps it. The caller closes what is returned.
func (s *connectionLimiter) evictIdle(idleFor, silentFor time.Duration) (shed []*clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		age := now.Sub(c.stateSince)
		if (c.state == stateIdle && age >= max(idleFor, writtenGrace) || c.state == stateSilent && age >= silentFor) && !c.hasUnreadData() {
			s.changeState(c, stateClosed)
			delete(s.conns, c)
			shed = append(shed, c)
		}
	}
	return shed
}

// changeState changes the state of a connection that counts. Called under the mutex.
func (s *connectionLimiter) changeState(c *clientConn, to clientConnState) {
	if c.state == stateSilent {
		s.silentCount--
	}
	c.state = to
}

// evictionPriority tells how easily a connection is spared; 0 is never. Those that came by hundreds
// and say nothing go first, then what has been idle for its due or is slow to send, and
// only then the rest. Called under the mutex.
func (c *clientConn) evictionPriority(now time.Time) int {
	age := now.Sub(c.stateSince)
	switch {
	case c.limiter.evictsOldest:
		if c.state == stateActive {
			return 0
		}
		return 1
	case c.state == stateSilent && age >= silentGrace:
		return 6
	case c.state == stateIdle && age >= idleGrace:
		return 5
	case c.state == stateReading && age >= readingGrace && now.Sub(c.lastReadAt) >= readingGrace:
		return 4
	case c.state == stateSilent:
		return 3
	case c.state == stateIdle && age >= writtenGrace:
		return 2
	case c.state == stateReading && age >= readingGrace:
		return 1 // it still writes a request, if slowly
	}
	return 0
}

// hasUnreadData tells whether something has come that was not read, or was read a moment ago and is not noted yet. It does not
// wait for the goroutine that reads. Called under the mutex.
func (c *clientConn) hasUnreadData() bool {
	if len(c.readAhead) > 0 || c.hasUnrecordedData {
		return true
	}
	waiting := false
	var b [1]byte
	err := controlSocket(c.Conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

var errNoSocket = errors.New("no socket")

// controlSocket calls f with the descriptor of a connection or a listener. The error is errNoSocket where it has none; any
// other means that it is closed.
func controlSocket(of any, f func(fd int)) error {
	sc, ok := of.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// limitedListener counts what it accepts.
type limitedListener struct {
	net.Listener
	limiter *connectionLimiter

	mu         sync.Mutex
	isFinished bool          // by finish
	backlog    []net.Conn    // accepted by finish
	done       chan struct{} // closed once nothing more is accepted; nil where nobody waits for that
}

// finish ends the listening. What the machine has accepted by then is the node's to answer, also where the program has not
// come to it: closing at once would reset it.
func (l *limitedListener) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFinished = true
	_ = controlSocket(l.Listener, func(fd int) { l.backlog = acceptPending(fd) }) // of one that is closed there is no rest
	l.Listener.Close()
}

// acceptPending accepts the connections that wait at a listening socket, without waiting for more.
func acceptPending(fd int) (all []net.Conn) {
	for {
		n, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err == syscall.EINTR || err == syscall.ECONNABORTED {
			continue
		}
		if err != nil {
			return all
		}
		file := os.NewFile(uintptr(n), "client")
		if c, err := net.FileConn(file); err == nil {
			all = append(all, c)
		}
		file.Close()
	}
}

// acceptNext returns the next connection, those of finish last.
func (l *limitedListener) acceptNext() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		return nc, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.isFinished:
		return nil, err
	case len(l.backlog) == 0:
		return nil, http.ErrServerClosed
	}
	nc, l.backlog = l.backlog[0], l.backlog[1:]
	return nc, nil
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		c := newClientConn(nc, l.limiter)
		spare := l.limiter.add(c)
		if spare != nil {
			spare.Conn.Close()
		}
		if spare != c {
			return c, nil
		}
	}
}

// clientConn is a connection that counts until it is closed.
type clientConn struct {
	net.Conn
	raw               syscall.RawConn // nil where Conn has no socket
	limiter           *connectionLimiter
	hasUnrecordedData bool            // what came is out of the socket and not yet noted here; under slots.mu
	state             clientConnState // under slots.mu
	stateSince        time.Time       // of the state, under slots.mu
	isResponseWritten bool            // idle, and its last answer is written to the end; under slots.mu
	head              []byte          // of the request being read, as it came; under slots.mu
	isReadingHead     bool            // more of it is to come
	earlyBytes        []byte          // what came of the next request while one was open, and was given to the library
	readAhead         []byte          // what came behind that and the library has not got; under slots.mu
	isWatchEnded      bool            // more than ahead may hold came: that the client leaves is no longer noticed; under slots.mu
	lastReadAt        time.Time       // when something came; under slots.mu
}

func newClientConn(nc net.Conn, s *connectionLimiter) *clientConn {
	c := &clientConn{Conn: nc, limiter: s}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // of one that is closed already there is nothing to read
	}
	return c
}

// readSocket reads from the socket. Between the moment at which something leaves the socket and that at which its reader notes it
// the connection would look idle, with nothing to read; whoever closed it then would lose a request that was taken. So
// that it has taken something is noted with it, under the mutex (the call never waits), until become or keepAhead note the rest.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	if c.raw == nil {
		return c.Conn.Read(p)
	}
	ended := c.raw.Read(func(fd uintptr) bool {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				break
			}
		}
		c.hasUnrecordedData = n > 0
		return err != syscall.EAGAIN
	})
	switch {
	case ended != nil:
		return 0, ended
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// startHandOver has every connection handed over by move as soon as no request is on it.
func (s *connectionLimiter) startHandOver(move func(*clientConn) error) {
	s.mu.Lock()
	s.handOver = move
	var resting []*clientConn
	for c := range s.conns {
		if c.canHandOver() {
			resting = append(resting, c)
		}
	}
	s.mu.Unlock()
	for _, c := range resting {
		c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends its Read, which hands it over
	}
}

// count is the number of connections, with those that are just being handed over: a process that ended now would drop them.
func (s *connectionLimiter) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.handOverCount
}

// canHandOver tells whether nothing of a request has come on it. Called under slots.mu.
func (c *clientConn) canHandOver() bool {
	return (c.state == stateSilent || c.state == stateIdle && c.isResponseWritten) && len(c.readAhead) == 0 && !c.hasUnrecordedData
}

// markResponseWritten notes that the last answer is written to the end.
func (c *clientConn) markResponseWritten() {
	c.limiter.mu.Lock()
	c.isResponseWritten = c.state == stateIdle
	c.limiter.mu.Unlock()
}

// handOverIfPossible hands the connection over if that is wanted and can be, and tells whether it has.
func (c *clientConn) handOverIfPossible() bool {
	s := c.limiter
	s.mu.Lock()
	if s.handOver == nil || !c.canHandOver() {
		s.mu.Unlock()
		return false
	}
	s.changeState(c, stateClosed)
	delete(s.conns, c)
	move := s.handOver
	s.handOverCount++
	s.mu.Unlock()
	// One that can't be handed over is closed: a client sends what crosses that again.
	_ = move(c)
	c.Conn.Close()
	s.mu.Lock()
	s.handOverCount--
	s.mu.Unlock()
	return true
}

// Read notes that something has come. What comes after the connection was given up is
// not taken in: the client can tell that it was not read. One that is to be handed over is
// handed over here, where nothing else can read from it any more.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.handOverIfPossible() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.isDisconnectWatch() {
		return c.watchForDisconnect(p)
	}
	n := c.takeReadAhead(p)
	var err error
	if n == 0 {
		n, err = c.readSocket(p)
	}
	if n == 0 && err != nil && c.handOverIfPossible() {
		return 0, io.EOF
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.hasLateRequest() {
		c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		n, err = c.readSocket(p)
	}
	if n > 0 && !c.setState(stateReading) {
		return 0, net.ErrClosed
	}
	c.recordHead(p[:n], len(p) == 1)
	return n, err
}

// maxReadAhead bounds what is read of later requests while one is open.
const maxReadAhead = 16 << 10

// isDisconnectWatch tells whether a read of one byte is the library's watch on a connection whose request has come whole.
func (c *clientConn) isDisconnectWatch() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateActive || c.state == stateReading) && !c.isReadingHead && !c.isWatchEnded
}

// watchForDisconnect waits until the client leaves or the library ends its watch. The library's own watch ends with the first byte that a
// client sends behind its request; a client that leaves after that would go unnoticed, and its request be sent on.
// So what comes is kept here, for the reads of the next request.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	var buf []byte
	for {
		if buf == nil {
			// Most clients send nothing: one byte is enough to wait with.
			n, err := c.readSocket(p)
			if c.appendReadAhead(p[:n]); err != nil {
				return 0, err
			}
			buf = make([]byte, 2<<10)
		}
		n, err := c.readSocket(buf)
		full := c.appendReadAhead(buf[:n])
		if err != nil {
			return 0, err
		}
		if full {
			c.limiter.mu.Lock()
			defer c.limiter.mu.Unlock()
			c.isWatchEnded = true
			p[0], c.readAhead = c.readAhead[0], c.readAhead[1:]
			c.earlyBytes = append(c.earlyBytes, p[0])
			return 1, nil
		}
	}
}

// appendReadAhead keeps what came of later requests and tells whether that is as much as it may be.
func (c *clientConn) appendReadAhead(p []byte) (full bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.readAhead, c.hasUnrecordedData = append(c.readAhead, p...), false
	return len(c.readAhead) >= maxReadAhead
}

// takeReadAhead gives what is kept of later requests.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	n := copy(p, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// hasNextRequest tells whether something of a later request has come.
func (c *clientConn) hasNextRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return len(c.earlyBytes) > 0 || c.hasUnreadData()
}

// hasLateRequest tells whether a request came at the moment at which the connection's time between requests ended: it
// is the node's to answer.
func (c *clientConn) hasLateRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateIdle || c.state == stateSilent) && c.hasUnreadData()
}

// isClientGone tells whether the client of the open request has left, where the library's watch has ended before that.
func (c *clientConn) isClientGone() bool {
	c.limiter.mu.Lock()
	blind := c.isWatchEnded
	c.limiter.mu.Unlock()
	if !blind {
		return false
	}
	gone := false
	err := controlSocket(c.Conn, func(fd int) {
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff // its first byte
		gone = err == nil && (state == tcpClose || state == tcpCloseWait || state == tcpLastAck)
	})
	return gone || err != nil && err != errNoSocket
}

// States of a TCP connection, as Linux numbers them: reset, and closed by the peer.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// maxRecordedHead bounds what is kept of a head; the library takes no longer one.
const maxRecordedHead = 32 << 10

// recordHead keeps a head as it comes, for what the library does not tell of it. It may keep
// more than the head, and never less. While a request is open the library looks for the first
// byte of the next one, which comes early where a client has its answer before its handler ends.
func (c *clientConn) recordHead(p []byte, one bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if one && c.state == stateActive {
		c.earlyBytes = append(c.earlyBytes, p...)
		return
	}
	if !c.isReadingHead {
		return
	}
	from := max(len(c.head)-3, 0)
	c.head = append(c.head, p...)
	if bytes.Contains(c.head[from:], []byte("\r\n\r\n")) || len(c.head) > maxRecordedHead {
		c.isReadingHead = false
	}
}

// recordEarlyBytes notes what the library has of the next request.
func (c *clientConn) recordEarlyBytes(p []byte) {
	if len(p) > 0 {
		c.limiter.mu.Lock()
		c.earlyBytes = append(c.earlyBytes, p...)
		c.limiter.mu.Unlock()
	}
}

// takeHead returns the head of the request whose handler calls, or nil if it was not kept
// whole, and when its first byte came.
func (c *clientConn) takeHead() ([]byte, time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	head := bytes.TrimLeft(c.head, "\r\n")
	c.head = nil
	if c.isReadingHead || len(head) > maxRecordedHead {
		c.isReadingHead = false
		return nil, c.stateSince
	}
	return head, c.stateSince
}

// setState changes the state; it is false once the connection has ended. What comes while
// a request is open, or while a head is being read, changes nothing.
func (c *clientConn) setState(state clientConnState) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	if state == stateReading {
		c.lastReadAt, c.hasUnrecordedData = time.Now(), false
	}
	begins := state == stateReading && (c.state == stateSilent || c.state == stateIdle) || state == stateIdle && len(c.earlyBytes)+len(c.readAhead) > 0
	if begins { // the first bytes of a request
		state = stateReading
		c.head, c.isReadingHead, c.earlyBytes, c.isWatchEnded = c.earlyBytes, !bytes.Contains(c.earlyBytes, []byte("\r\n\r\n")), nil, false
	}
	if state != stateReading || begins {
		c.limiter.changeState(c, state)
		c.stateSince, c.isResponseWritten = time.Now(), false
	}
	return true
}

func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	if c.state != stateClosed {
		c.limiter.changeState(c, stateClosed)
		delete(c.limiter.conns, c)
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

type clientConnKey struct{}

// withClientConn lets a request find its connection.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf returns the connection of a request.
func clientConnOf(r *http.Request) *clientConn {
	return r.Context().Value(clientConnKey{}).(*clientConn)
}
