package edgeproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// slotFront serves clients with room for most connections.
func slotFront(t *testing.T, most int, servers ...Instance) (*clientServer, string) {
	t.Helper()
	f := idleFront(t, testConfig(servers...))
	f.limiter.maxConns = most
	f.isReady.Store(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.serve(ln)
	t.Cleanup(func() { f.httpServer.Close() })
	return f, ln.Addr().String()
}

// age makes all connections in a state older and returns their number.
func (l *connectionLimiter) age(state clientConnState, by time.Duration) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state == state {
			c.stateSince, c.lastReadAt = c.stateSince.Add(-by), c.lastReadAt.Add(-by)
			n++
		}
	}
	return n
}

const readyRequest = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"

func wantEOF(t *testing.T, what string, c *client) {
	t.Helper()
	if _, err := c.br.ReadByte(); err == nil {
		t.Errorf("%s: something came, want a close", what)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("%s: still open", what)
	}
}

// Clients that connect by hundreds and say nothing shut nobody out, and cost no one a
// connection that is in use.
func TestSilentClientsGiveWay(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	f, addr := slotFront(t, 8, s.instance("a"))
	kept := dial(t, addr)
	if a := kept.ask(readyRequest); a.status != 200 {
		t.Errorf("before: %+v", a)
	}
	var silents []*client
	for i := range 40 {
		silents = append(silents, dial(t, addr))
		if i%10 == 0 {
			if a := dial(t, addr).ask(request("check", fmt.Sprint("t", i))); a.status != 200 || a.close {
				t.Errorf("between %d silent ones: %+v", i, a)
			}
		}
	}
	for i := range 20 {
		wantEOF(t, fmt.Sprint("silent ", i), silents[i])
	}
	if a := kept.ask(request("check", "kept")); a.status != 200 {
		t.Errorf("on the connection kept: %+v", a)
	}
	f.limiter.mu.Lock()
	defer f.limiter.mu.Unlock()
	if n := len(f.limiter.conns); n > 8 {
		t.Errorf("%d connections for 8 slots", n)
	}
}

// Where three quarters of the slots are in use, answers close their connections; silent
// ones don't make a crowd, and the count of them follows every ending.
func TestCrowdedAnswersClose(t *testing.T) {
	f, addr := slotFront(t, 4)
	first := dial(t, addr)
	var others []*client
	for range 3 {
		others = append(others, dial(t, addr))
	}
	silents := func(n int) func() bool {
		return func() bool {
			f.limiter.mu.Lock()
			defer f.limiter.mu.Unlock()
			return f.limiter.silentCount == n
		}
	}
	eventually(t, "all accepted", silents(4))
	if a := first.ask(readyRequest); a.status != 200 || a.close {
		t.Errorf("among silent ones: %+v", a)
	}
	if a := others[0].ask(readyRequest); a.status != 200 || a.close {
		t.Errorf("with half in use: %+v", a)
	}
	if a := others[1].ask(readyRequest); a.status != 200 || !a.close {
		t.Errorf("with three quarters in use: %+v", a)
	}
	wantEOF(t, "after it", others[1])
	for _, c := range []*client{first, others[0], others[2]} {
		c.Close()
	}
	eventually(t, "all gone", func() bool {
		f.limiter.mu.Lock()
		defer f.limiter.mu.Unlock()
		return len(f.limiter.conns) == 0
	})
	if !silents(0)() {
		t.Errorf("%d silent connections counted, none open", f.limiter.silentCount)
	}
}

// Without silent ones the connection that has been idle for longest gives way, then one
// that does not finish its head; never one whose request is open. With only those, the
// newcomer is closed: it may have waited in vain for a slot otherwise.
func TestWhoGivesWay(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return say(okAnswer)(c, r, body)
	})
	f, addr := slotFront(t, 100, s.instance("a"), s.instance("b")) // so that nobody is told to close

	busy, half, rested := dial(t, addr), dial(t, addr), dial(t, addr)
	busy.send(request("check", "t1"))
	eventually(t, "request out", func() bool { return len(s.requests()) == 1 })
	half.send("GET /check")
	eventually(t, "head begun", func() bool { return f.limiter.age(stateReading, readingGrace) == 1 })
	if a := rested.ask(readyRequest); a.status != 200 {
		t.Errorf("%+v", a)
	}
	eventually(t, "idle", func() bool { return f.limiter.age(stateIdle, idleGrace) == 1 })
	f.limiter.mu.Lock()
	f.limiter.maxConns = 3
	f.limiter.mu.Unlock()
	second := dial(t, addr)
	second.send(request("check", "t2"))
	wantEOF(t, "the idle one", rested)
	third := dial(t, addr)
	third.send(request("check", "t3"))
	wantEOF(t, "the one with half a head", half)
	eventually(t, "requests out", func() bool { return len(s.requests()) == 3 })
	wantEOF(t, "a newcomer with all busy", dial(t, addr))
	close(hold)
	for i, c := range []*client{busy, second, third} {
		if a := c.read(); a.status != 200 {
			t.Errorf("request %d: %+v", i, a)
		}
	}
}

// slotPair is a connection, as its client has it and as slots have it, which it is not added to.
func slotPair(t *testing.T, s *connectionLimiter) (far *client, near *clientConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far = dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return far, newClientConn(nc, s)
}

// A connection on which a request has come that was not read yet is not taken for a
// silent one: its goroutine may not have had its turn.
func TestUnreadRequestIsNoSilence(t *testing.T) {
	s := newConnectionLimiter(2)
	asks, first := slotPair(t, s)
	_, second := slotPair(t, s)
	_, third := slotPair(t, s)
	s.add(first)
	s.add(second)
	asks.send(readyRequest)
	eventually(t, "request arrived", first.hasUnreadData)
	if spare := s.add(third); spare != second {
		t.Errorf("the one with a request gave way, or none: %v", spare)
	}
	// What was given up takes nothing in.
	if second.setState(stateActive) {
		t.Error("a request was opened on a connection that was given up")
	}
	buf := make([]byte, 10)
	if _, err := io.ReadFull(first, buf); err != nil {
		t.Error(err)
	}
}

// The first byte of a request may come before the handler of the one before has ended: its head
// is kept whole all the same, and the connection is neither idle nor to be handed over.
func TestEarlyByte(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	s := newConnectionLimiter(4)
	c := newClientConn(near, s)
	s.add(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		io.WriteString(far, "GET / HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nA: b\r\n\r\n")
	}()
	buf := make([]byte, 18)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	if head, _ := c.takeHead(); string(head) != "GET / HTTP/1.1\r\n\r\n" {
		t.Fatalf("first head %q", head)
	}
	c.setState(stateActive)
	// As the library's background reader does, which ends once the handler has: it waits on for the client to leave.
	watch := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		watch <- err
	}()
	<-written
	c.setState(stateIdle)
	near.SetReadDeadline(time.Unix(1, 0))
	if err := <-watch; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the watch ended with %v", err)
	}
	near.SetReadDeadline(time.Time{})
	c.markResponseWritten()
	if s.mu.Lock(); c.state != stateReading || c.canHandOver() {
		t.Errorf("state %d, movable %v", c.state, c.canHandOver())
	}
	s.mu.Unlock()
	if _, err := io.ReadFull(c, make([]byte, 26)); err != nil {
		t.Fatal(err)
	}
	if head, _ := c.takeHead(); string(head) != "POST /b HTTP/1.1\r\nA: b\r\n\r\n" {
		t.Errorf("second head %q", head)
	}
}

// Of two requests that are slow to come the one that has stopped gives way, though the other began earlier.
func TestStoppedGivesWayFirst(t *testing.T) {
	s := newConnectionLimiter(2)
	var conns []*clientConn
	for range 3 {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		conns = append(conns, newClientConn(near, s))
	}
	writes, stopped := conns[0], conns[1]
	s.add(writes)
	s.add(stopped)
	writes.setState(stateReading)
	stopped.setState(stateReading)
	s.age(stateReading, 3*readingGrace)
	writes.stateSince = writes.stateSince.Add(-time.Second)
	writes.setState(stateReading) // a further piece has come
	if got := s.add(conns[2]); got != stopped {
		t.Error("the wrong one was closed")
	}
	// Where no other is left it gives way as well: a trickle must not keep others out.
	conns[2].setState(stateActive)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	if got := s.add(newClientConn(near, s)); got != writes {
		t.Error("a slow writer keeps a new client out")
	}
}
