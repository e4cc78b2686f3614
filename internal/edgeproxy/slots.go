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

// slots bounds the connections of clients, so that descriptors never run out. A new
// connection is accepted first; if it is one too many, the one that can best be spared
// is closed, and never one on which a request is open.
type slots struct {
	most  int
	eager bool // of those without a request the eldest goes, whatever it is at

	mu     sync.Mutex
	conns  map[*slotConn]struct{}
	silent int // of them, those on which nothing has come

	mover  func(*slotConn) error // hands a connection to the process that takes over; nil: none does
	moving int                   // connections that it is handing over just now
}

// crowded tells whether answers should close their connections. To close one that has
// been idle for a moment costs its client the next request, and a new connection, for
// which another would be closed; one that is told of the close with its answer loses
// nothing. Silent connections don't count: they give way at no cost.
func (s *slots) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (len(s.conns)-s.silent)*4 >= s.most*3
}

// slotState is what a client's connection is at.
type slotState int

const (
	silent  slotState = iota // new: nothing has come on it
	reading                  // something has come, but no whole head
	open                     // a request is open
	idle                     // between requests, or closing after the last
	ended                    // closed
)

// Ages past which a connection is spared more easily.
const (
	silentFor  = 100 * time.Millisecond // clients that mean to ask do so as soon as they have connected
	idleFor    = 2 * time.Second        // a client's due
	readingFor = 500 * time.Millisecond // between the pieces of a head
	writtenFor = 100 * time.Millisecond // after it an answer is on its way
)

func newSlots(n int) *slots {
	return &slots{most: n, conns: map[*slotConn]struct{}{}}
}

// add takes in a new connection and returns the one to be closed for it, if any,
// which is the new one where no other can be spared.
func (s *slots) add(c *slotConn) (spare *slotConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.since = now
	for spare == nil && len(s.conns) >= s.most {
		best := 0
		for o := range s.conns {
			if r := o.rank(now); r > best || r == best && r > 0 && o.since.Before(spare.since) {
				best, spare = r, o
			}
		}
		switch {
		case spare == nil:
			c.state = ended
			return c
		case (spare.state != reading || !s.eager) && spare.waiting():
			// A request has come that was not read yet: one client more that means to ask. The rest of a head may have
			// come as well while its goroutine waits for the core: then it is whole, and the node's to answer.
			s.leave(spare, reading)
			spare.since, spare.last, spare = now, now, nil
		default:
			s.leave(spare, ended)
			delete(s.conns, spare)
		}
	}
	s.conns[c] = struct{}{}
	s.silent++
	return spare
}

// shed ends connections on which no request is open, for a drain: those idle, or silent since
// they came, for at least the given times. A request that has come on one and was not read
// keeps it. The caller closes what is returned.
func (s *slots) shed(idleFor, silentFor time.Duration) (shed []*slotConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		age := now.Sub(c.since)
		if (c.state == idle && age >= max(idleFor, writtenFor) || c.state == silent && age >= silentFor) && !c.waiting() {
			s.leave(c, ended)
			delete(s.conns, c)
			shed = append(shed, c)
		}
	}
	return shed
}

// leave changes the state of a connection that counts. Called under the mutex.
func (s *slots) leave(c *slotConn, to slotState) {
	if c.state == silent {
		s.silent--
	}
	c.state = to
}

// rank tells how easily a connection is spared; 0 is never. Those that came by hundreds
// and say nothing go first, then what has been idle for its due or is slow to send, and
// only then the rest. Called under the mutex.
func (c *slotConn) rank(now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case c.slots.eager:
		if c.state == open {
			return 0
		}
		return 1
	case c.state == silent && age >= silentFor:
		return 6
	case c.state == idle && age >= idleFor:
		return 5
	case c.state == reading && age >= readingFor && now.Sub(c.last) >= readingFor:
		return 4
	case c.state == silent:
		return 3
	case c.state == idle && age >= writtenFor:
		return 2
	case c.state == reading && age >= readingFor:
		return 1 // it still writes a request, if slowly
	}
	return 0
}

// waiting tells whether something has come that was not read, or was read a moment ago and is not noted yet. It does not
// wait for the goroutine that reads. Called under the mutex.
func (c *slotConn) waiting() bool {
	if len(c.ahead) > 0 || c.taken {
		return true
	}
	waiting := false
	var b [1]byte
	err := onSocket(c.Conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

var errNoSocket = errors.New("no socket")

// onSocket calls f with the descriptor of a connection or a listener. The error is errNoSocket where it has none; any
// other means that it is closed.
func onSocket(of any, f func(fd int)) error {
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

// slotListener counts what it accepts.
type slotListener struct {
	net.Listener
	slots *slots

	mu    sync.Mutex
	ended bool          // by finish
	rest  []net.Conn    // accepted by finish
	done  chan struct{} // closed once nothing more is accepted; nil where nobody waits for that
}

// finish ends the listening. What the machine has accepted by then is the node's to answer, also where the program has not
// come to it: closing at once would reset it.
func (l *slotListener) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	_ = onSocket(l.Listener, func(fd int) { l.rest = acceptAll(fd) }) // of one that is closed there is no rest
	l.Listener.Close()
}

// acceptAll accepts the connections that wait at a listening socket, without waiting for more.
func acceptAll(fd int) (all []net.Conn) {
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

// accept returns the next connection, those of finish last.
func (l *slotListener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		return nc, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.ended:
		return nil, err
	case len(l.rest) == 0:
		return nil, http.ErrServerClosed
	}
	nc, l.rest = l.rest[0], l.rest[1:]
	return nc, nil
}

func (l *slotListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		c := newSlotConn(nc, l.slots)
		spare := l.slots.add(c)
		if spare != nil {
			spare.Conn.Close()
		}
		if spare != c {
			return c, nil
		}
	}
}

// slotConn is a connection that counts until it is closed.
type slotConn struct {
	net.Conn
	raw   syscall.RawConn // nil where Conn has no socket
	slots *slots
	taken bool      // what came is out of the socket and not yet noted here; under slots.mu
	state slotState // under slots.mu
	since time.Time // of the state, under slots.mu
	rests bool      // idle, and its last answer is written to the end; under slots.mu
	head  []byte    // of the request being read, as it came; under slots.mu
	heads bool      // more of it is to come
	early []byte    // what came of the next request while one was open, and was given to the library
	ahead []byte    // what came behind that and the library has not got; under slots.mu
	blind bool      // more than ahead may hold came: that the client leaves is no longer noticed; under slots.mu
	last  time.Time // when something came; under slots.mu
}

func newSlotConn(nc net.Conn, s *slots) *slotConn {
	c := &slotConn{Conn: nc, slots: s}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // of one that is closed already there is nothing to read
	}
	return c
}

// recv reads from the socket. Between the moment at which something leaves the socket and that at which its reader notes it
// the connection would look idle, with nothing to read; whoever closed it then would lose a request that was taken. So
// that it has taken something is noted with it, under the mutex (the call never waits), until become or keepAhead note the rest.
func (c *slotConn) recv(p []byte) (n int, err error) {
	if c.raw == nil {
		return c.Conn.Read(p)
	}
	ended := c.raw.Read(func(fd uintptr) bool {
		c.slots.mu.Lock()
		defer c.slots.mu.Unlock()
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				break
			}
		}
		c.taken = n > 0
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

// moveAll has every connection handed over by move as soon as no request is on it.
func (s *slots) moveAll(move func(*slotConn) error) {
	s.mu.Lock()
	s.mover = move
	var resting []*slotConn
	for c := range s.conns {
		if c.movable() {
			resting = append(resting, c)
		}
	}
	s.mu.Unlock()
	for _, c := range resting {
		c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends its Read, which hands it over
	}
}

// count is the number of connections, with those that are just being handed over: a process that ended now would drop them.
func (s *slots) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.moving
}

// movable tells whether nothing of a request has come on it. Called under slots.mu.
func (c *slotConn) movable() bool {
	return (c.state == silent || c.state == idle && c.rests) && len(c.ahead) == 0 && !c.taken
}

// rest notes that the last answer is written to the end.
func (c *slotConn) rest() {
	c.slots.mu.Lock()
	c.rests = c.state == idle
	c.slots.mu.Unlock()
}

// leave hands the connection over if that is wanted and can be, and tells whether it has.
func (c *slotConn) leave() bool {
	s := c.slots
	s.mu.Lock()
	if s.mover == nil || !c.movable() {
		s.mu.Unlock()
		return false
	}
	s.leave(c, ended)
	delete(s.conns, c)
	move := s.mover
	s.moving++
	s.mu.Unlock()
	// One that can't be handed over is closed: a client sends what crosses that again.
	_ = move(c)
	c.Conn.Close()
	s.mu.Lock()
	s.moving--
	s.mu.Unlock()
	return true
}

// Read notes that something has come. What comes after the connection was given up is
// not taken in: the client can tell that it was not read. One that is to be handed over is
// handed over here, where nothing else can read from it any more.
func (c *slotConn) Read(p []byte) (int, error) {
	if c.leave() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.watched() {
		return c.watch(p)
	}
	n := c.fromAhead(p)
	var err error
	if n == 0 {
		n, err = c.recv(p)
	}
	if n == 0 && err != nil && c.leave() {
		return 0, io.EOF
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.crossed() {
		c.Conn.SetReadDeadline(time.Now().Add(headLimit))
		n, err = c.recv(p)
	}
	if n > 0 && !c.become(reading) {
		return 0, net.ErrClosed
	}
	c.keepHead(p[:n], len(p) == 1)
	return n, err
}

// aheadMost bounds what is read of later requests while one is open.
const aheadMost = 16 << 10

// watched tells whether a read of one byte is the library's watch on a connection whose request has come whole.
func (c *slotConn) watched() bool {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	return (c.state == open || c.state == reading) && !c.heads && !c.blind
}

// watch waits until the client leaves or the library ends its watch. The library's own watch ends with the first byte that a
// client sends behind its request; a client that leaves after that would go unnoticed, and its request be sent on.
// So what comes is kept here, for the reads of the next request.
func (c *slotConn) watch(p []byte) (int, error) {
	var buf []byte
	for {
		if buf == nil {
			// Most clients send nothing: one byte is enough to wait with.
			n, err := c.recv(p)
			if c.keepAhead(p[:n]); err != nil {
				return 0, err
			}
			buf = make([]byte, 2<<10)
		}
		n, err := c.recv(buf)
		full := c.keepAhead(buf[:n])
		if err != nil {
			return 0, err
		}
		if full {
			c.slots.mu.Lock()
			defer c.slots.mu.Unlock()
			c.blind = true
			p[0], c.ahead = c.ahead[0], c.ahead[1:]
			c.early = append(c.early, p[0])
			return 1, nil
		}
	}
}

// keepAhead keeps what came of later requests and tells whether that is as much as it may be.
func (c *slotConn) keepAhead(p []byte) (full bool) {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	c.ahead, c.taken = append(c.ahead, p...), false
	return len(c.ahead) >= aheadMost
}

// fromAhead gives what is kept of later requests.
func (c *slotConn) fromAhead(p []byte) int {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// more tells whether something of a later request has come.
func (c *slotConn) more() bool {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	return len(c.early) > 0 || c.waiting()
}

// crossed tells whether a request came at the moment at which the connection's time between requests ended: it
// is the node's to answer.
func (c *slotConn) crossed() bool {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	return (c.state == idle || c.state == silent) && c.waiting()
}

// gone tells whether the client of the open request has left, where the library's watch has ended before that.
func (c *slotConn) gone() bool {
	c.slots.mu.Lock()
	blind := c.blind
	c.slots.mu.Unlock()
	if !blind {
		return false
	}
	gone := false
	err := onSocket(c.Conn, func(fd int) {
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

// headMost bounds what is kept of a head; the library takes no longer one.
const headMost = 32 << 10

// keepHead keeps a head as it comes, for what the library does not tell of it. It may keep
// more than the head, and never less. While a request is open the library looks for the first
// byte of the next one, which comes early where a client has its answer before its handler ends.
func (c *slotConn) keepHead(p []byte, one bool) {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	if one && c.state == open {
		c.early = append(c.early, p...)
		return
	}
	if !c.heads {
		return
	}
	from := max(len(c.head)-3, 0)
	c.head = append(c.head, p...)
	if bytes.Contains(c.head[from:], []byte("\r\n\r\n")) || len(c.head) > headMost {
		c.heads = false
	}
}

// keepEarly notes what the library has of the next request.
func (c *slotConn) keepEarly(p []byte) {
	if len(p) > 0 {
		c.slots.mu.Lock()
		c.early = append(c.early, p...)
		c.slots.mu.Unlock()
	}
}

// takeHead returns the head of the request whose handler calls, or nil if it was not kept
// whole, and when its first byte came.
func (c *slotConn) takeHead() ([]byte, time.Time) {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	head := bytes.TrimLeft(c.head, "\r\n")
	c.head = nil
	if c.heads || len(head) > headMost {
		c.heads = false
		return nil, c.since
	}
	return head, c.since
}

// become changes the state; it is false once the connection has ended. What comes while
// a request is open, or while a head is being read, changes nothing.
func (c *slotConn) become(state slotState) bool {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	if c.state == ended {
		return false
	}
	if state == reading {
		c.last, c.taken = time.Now(), false
	}
	begins := state == reading && (c.state == silent || c.state == idle) || state == idle && len(c.early)+len(c.ahead) > 0
	if begins { // the first bytes of a request
		state = reading
		c.head, c.heads, c.early, c.blind = c.early, !bytes.Contains(c.early, []byte("\r\n\r\n")), nil, false
	}
	if state != reading || begins {
		c.slots.leave(c, state)
		c.since, c.rests = time.Now(), false
	}
	return true
}

func (c *slotConn) Close() error {
	c.slots.mu.Lock()
	if c.state != ended {
		c.slots.leave(c, ended)
		delete(c.slots.conns, c)
	}
	c.slots.mu.Unlock()
	return c.Conn.Close()
}

type slotKey struct{}

// withSlot lets a request find its connection.
func withSlot(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, slotKey{}, c)
}

// slotOf returns the connection of a request.
func slotOf(r *http.Request) *slotConn {
	return r.Context().Value(slotKey{}).(*slotConn)
}
