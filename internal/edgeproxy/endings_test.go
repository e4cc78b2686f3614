package edgeproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinmux/policy"
)

// gatedListener accepts nothing before its gate opens: the machine has accepted what the program has not come to.
type gatedListener struct {
	*net.TCPListener
	gate   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case <-l.gate:
		return l.TCPListener.Accept()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *gatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// slowReader gives connections whose reads, once gated is closed, find out that something has come and leave it in the socket until
// the gate opens, or take it out and return once the gate opens: the goroutine has not had its turn.
type slowReader struct {
	*net.TCPListener
	takes       bool
	gated, gate chan struct{}
}

type slowConn struct {
	*net.TCPConn
	l *slowReader
}

type slowRaw struct {
	syscall.RawConn
	l *slowReader
}

func (l *slowReader) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

func (c *slowConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &slowRaw{raw, c.l}, err
}

func (r *slowRaw) Read(read func(fd uintptr) bool) error {
	if !r.l.takes {
		if err := r.RawConn.Read(func(fd uintptr) bool {
			var b [1]byte
			_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err != syscall.EAGAIN
		}); err != nil {
			return err
		}
		r.wait()
	}
	err := r.RawConn.Read(read)
	if r.l.takes && err == nil {
		r.wait()
	}
	return err
}

func (r *slowRaw) wait() {
	select {
	case <-r.l.gated:
		<-r.l.gate
	default:
	}
}

// endsBefore waits for the node's end, before the clean-up does.
func (r *running) endsBefore(t *testing.T) {
	t.Helper()
	r.ends(t)
	r.done <- nil
}

func refuses(t *testing.T, addr string) {
	t.Helper()
	eventually(t, "listener closed", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// A request is the node's once the machine has accepted its connection and its last byte has come: a listener that closes must not
// reset what waits for the program to accept it.
func TestAcceptedByTheMachineAlone(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 50 * time.Millisecond
	n := runOver(t, cfg, func(ln *net.TCPListener) net.Listener {
		return &gatedListener{TCPListener: ln, gate: make(chan struct{}), closed: make(chan struct{})}
	})
	var clients []*client
	for i := range 2 {
		c := dial(t, n.addr)
		c.send(request("check", fmt.Sprint("t", i)))
		clients = append(clients, c)
	}
	n.stop()
	for _, c := range clients {
		if a := c.read(); a.status != 200 || !a.close {
			t.Errorf("answered %d, close %v", a.status, a.close)
		}
	}
	n.endsBefore(t)
}

// A request that has come on a kept connection at the moment at which a planned restart closes what is idle is answered, whether it
// is in the socket still or just out of it.
func TestRequestAtTheIdleClose(t *testing.T) {
	for name, takes := range map[string]bool{"unread": false, "just read": true} {
		t.Run(name, func(t *testing.T) {
			app := newAppServer(t, say(okAnswer))
			cfg := testConfig(app.instance("a"))
			cfg.drainDelay = 2 * writtenGrace
			l := &slowReader{takes: takes, gated: make(chan struct{}), gate: make(chan struct{})}
			n := runOver(t, cfg, func(ln *net.TCPListener) net.Listener {
				l.TCPListener = ln
				return l
			})
			c := dial(t, n.addr)
			if a := c.ask(request("check", "t1")); a.status != 200 || a.close {
				t.Fatalf("before: %+v", a)
			}
			close(l.gated)
			c.send(request("check", "t2"))
			n.stop()
			refuses(t, n.addr)
			time.Sleep(10 * drainPollInterval) // what closes it without a look has done so by then
			close(l.gate)
			if a := c.read(); a.status != 200 || !a.close {
				t.Errorf("answered %d, close %v", a.status, a.close)
			}
			n.endsBefore(t)
		})
	}
}

// A planned restart beside servers that hang, clients that say nothing and half a head: what came is answered before the
// platform kills the process, which ends by itself; also what comes late on a connection that is still open.
func TestTheEndWaitsForNobody(t *testing.T) {
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.RequestURI, "/book") {
			select {}
		}
		return say(okAnswer)(c, r, body)
	})
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 50 * time.Millisecond
	n := run(t, cfg)
	hangs, half, silent, late := dial(t, n.addr), dial(t, n.addr), dial(t, n.addr), dial(t, n.addr)
	hangs.send(request("book", "t1"))
	eventually(t, "request out", func() bool { return len(app.requests()) == 1 })
	text := request("check", "t2")
	half.send(text[:40])
	late.send(text[:40])
	n.stop()
	told := time.Now()
	refuses(t, n.addr)
	late.send(text[40:])
	if a := late.read(); a.status != 200 || !a.close {
		t.Errorf("late: %d", a.status)
	}
	if a := hangs.read(); a.status != 502 || !a.close {
		t.Errorf("at a server that hangs: %d", a.status)
	}
	if took := time.Since(told); took > 10*time.Second { // due after 3.55 s; its own wait is 20 s
		t.Errorf("answered %v after the node was told to end", took)
	}
	if a := half.read(); a.status != 400 || !a.close {
		t.Errorf("half a head: %+v", a)
	}
	wantEOF(t, "silent", silent)
	n.endsBefore(t)
}

// A process that has taken over accepts on its predecessor's connections as well as on its own socket: a drain ends both.
func TestDrainEndsEveryListener(t *testing.T) {
	app, held, hold := newHoldingServer(t)
	f := idleFront(t, testConfig(app.instance("a")))
	var clients []*client
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go f.serve(ln)
		c := dial(t, ln.Addr().String())
		c.ask(request("check", fmt.Sprint("t", i))) // it is served
		clients = append(clients, c)
	}
	clients[0].send(request("check", "t2", "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1"))
	<-held
	f.startShutdownTimer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.drain(0)
	}()
	for _, c := range clients {
		refuses(t, c.RemoteAddr().String())
	}
	close(hold)
	if a := clients[0].read(); a.status != 200 {
		t.Errorf("answered %d: a listener was closed by the end alone", a.status)
	}
	<-done
}

// A client that has sent its next request already is owed an answer to that as well: the answer to the first one must not close
// the connection.
func TestTwoAtOnceDuringADrain(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 2 * time.Second
	n := run(t, cfg)
	c := dial(t, n.addr)
	c.ask(request("check", "t0"))
	n.stop()
	n.says(t, "draining")
	c.send(request("check", "t1") + request("book", "t2") + request("check", "t3"))
	for i := range 3 {
		if a := c.read(); a.status != 200 || a.close != (i == 2) {
			t.Errorf("answer %d: %d, close %v", i, a.status, a.close)
		}
	}
}

// The time between requests ends just as one comes: it is read all the same.
func TestRequestAtTheIdleTimeout(t *testing.T) {
	s := newConnectionLimiter(2)
	far, c := slotPair(t, s)
	s.add(c)
	far.send(readyRequest)
	eventually(t, "arrived", c.hasNextRequest)
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	buf := make([]byte, 100)
	if n, err := c.Read(buf); n != len(readyRequest) || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// Of two heads that are slow to come, one whose rest is in the socket is no slow one.
func TestUnreadRestGivesNotWay(t *testing.T) {
	s := newConnectionLimiter(2)
	asks, first := slotPair(t, s)
	_, second := slotPair(t, s)
	_, third := slotPair(t, s)
	s.add(first)
	s.add(second)
	first.setState(stateReading)
	second.setState(stateReading)
	s.age(stateReading, time.Minute)
	s.mu.Lock()
	second.stateSince = second.stateSince.Add(time.Second) // the younger: the other would go first
	s.mu.Unlock()
	asks.send(readyRequest)
	eventually(t, "arrived", first.hasNextRequest)
	if spare := s.add(third); spare != second {
		t.Errorf("the one whose request has come gave way, or none: %v", spare)
	}
}

// A client that sends something behind its request and leaves has left: the attempt is given up.
func TestClientLeavesAfterSendingMore(t *testing.T) {
	for name, more := range map[string]string{"a byte": "G", "a request": request("check", "t2"), "two": request("check", "t2") + request("check", "t3")} {
		t.Run(name, func(t *testing.T) {
			app := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
			cfg := testConfig(app.instance("a"))
			cfg.Settings.Classes[0].Deadline, cfg.Settings.Classes[0].LatencyObjective = time.Hour, time.Hour
			n := run(t, cfg)
			c := dial(t, n.addr)
			c.send(request("check", "t1", "X-Expires-In", "3600"))
			eventually(t, "request out", func() bool { return len(app.requests()) == 1 })
			c.send(more)
			c.Close()
			wantClosed(t, <-app.conns)
			if sent := app.requests(); len(sent) != 1 {
				t.Errorf("sent on: %q", sent)
			}
		})
	}
}

// One that sends more than is read ahead is seen to have left when something is to be sent on.
func TestClientLeavesAfterSendingMuch(t *testing.T) {
	s := newConnectionLimiter(2)
	far, c := slotPair(t, s)
	s.add(c)
	far.send(readyRequest)
	if _, err := io.ReadFull(c, make([]byte, len(readyRequest))); err != nil {
		t.Fatal(err)
	}
	c.takeHead()
	c.setState(stateActive)
	far.send(strings.Repeat("x", maxReadAhead+4<<10))
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("the watch ended with %d, %v", n, err)
	}
	if c.isClientGone() {
		t.Error("gone, and the client is there")
	}
	far.Close()
	eventually(t, "seen to have left", c.isClientGone)
	app := newAppServer(t, say(okAnswer))
	u := testUpstream(app.instance("a"))
	m := get
	m.isClientGone = c.isClientGone
	_, res := u.exchange(t.Context(), "a", &m)
	wantResult(t, res, policy.NotSent)
	wantClosed(t, <-app.conns)
	if len(app.requests()) != 0 || u.openCount != 0 {
		t.Errorf("sent on: %q, %d connections counted", app.requests(), u.openCount)
	}
}

// A request whose time or client has gone while it waited is not written, also to a connection that stands ready: the
// deadline that ends its I/O is set by another goroutine, which comes later.
func TestEndedBeforeTheFirstByte(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	u := testUpstream(app.instance("a"))
	for range 20 {
		exchange(t, u, "a")
		sent := len(app.requests())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, res := u.exchange(ctx, "a", &get)
		wantResult(t, res, policy.Cancelled)
		for len(app.conns) > 0 {
			wantClosed(t, <-app.conns)
		}
		if n := len(app.requests()); n != sent {
			t.Fatal("a request was sent on after its end")
		}
	}
}

// The list says that a server drains between the choice of its connection and the first byte.
func TestDrainBeforeTheFirstByte(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	u := testUpstream(app.instance("a"))
	exchange(t, u, "a")
	m := get
	m.isClientGone = func() bool { // asked at that moment
		drains := app.instance("a")
		drains.State = policy.Draining
		closeConns(u.updateEndpoints([]Instance{drains}, policy.EndpointsDelta))
		return false
	}
	_, res := u.exchange(t.Context(), "a", &m)
	wantResult(t, res, policy.ConnectFailed)
	wantClosed(t, <-app.conns)
	if len(app.requests()) != 1 || u.openCount != 0 {
		t.Errorf("requests %q, %d connections counted", app.requests(), u.openCount)
	}
}

// An answer that comes a second time, some milliseconds late, is nobody's: not that of the next request either.
func TestSecondAnswerIsNobodys(t *testing.T) {
	var mu sync.Mutex
	asked := map[net.Conn]int{}
	app := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		mu.Lock()
		asked[c]++
		second := asked[c] > 1
		mu.Unlock()
		if second { // what came late for the first request comes now
			io.WriteString(c, strings.Replace(okAnswer, "body", "evil", 1))
		}
		_, err := io.WriteString(c, okAnswer)
		return err == nil
	})
	u := testUpstream(app.instance("a"))
	u.minIdleTime = time.Minute // a moment, however slow the machine
	for range 5 {
		rep, res := exchange(t, u, "a")
		if wantResult(t, res, policy.OK); string(rep.body) != "body" {
			t.Fatalf("body %q", rep.body)
		}
	}
	c, err := u.acquire(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	u.release(c)
	u.mu.Lock()
	for i := range u.servers["a"].idle {
		u.servers["a"].idle[i].idleSince = time.Now().Add(-2 * u.minIdleTime)
	}
	idle := u.servers["a"].idle
	want := idle[len(idle)-1]
	u.mu.Unlock()
	u.maxIdleTimeout = time.Hour
	if got, err := u.acquire(t.Context(), "a"); got != want || err != nil {
		t.Errorf("one that has stood idle is not used again: %v", err)
	}
}

// A request that the host can't wait for any longer is refused where it was never sent on, and failed where it may have run.
func TestExpired(t *testing.T) {
	cfg := testConfig()
	f := idleFront(t, cfg)
	for _, c := range []struct {
		attempts []*attempt
		want     answerKind
	}{{nil, answerRejected}, {[]*attempt{{permit: newSendPermit(), cancel: func() {}}}, answerFailed}} {
		pending := &pendingRequest{id: "t1", answer: make(chan finalAnswer, 1), attempts: c.attempts}
		f.node.requests["t1"] = pending
		f.node.deadlineExceeded(pending)
		if a := <-pending.answer; a.kind != c.want {
			t.Errorf("%d attempts: answer %v, want %v", len(c.attempts), a.kind, c.want)
		}
		if len(f.node.requests) != 0 {
			t.Error("the flight is still held")
		}
		if f.node.deadlineExceeded(pending); len(pending.answer) != 0 {
			t.Error("a second final answer")
		}
	}
}

// The final answer takes back the leave of each attempt: one that was not written never is, one that is just being written is cut short
// and waited for, and one that was written is neither.
func TestTheFinalAnswerTakesLeaveBack(t *testing.T) {
	f := idleFront(t, testConfig())
	cancelled := map[string]bool{}
	at := func(name string) *attempt {
		return &attempt{permit: newSendPermit(), cancel: func() { cancelled[name] = true }}
	}
	waits, writing, written := at("waits"), at("writing"), at("written")
	if !writing.permit.use() || !written.permit.use() {
		t.Fatal("no leave at first")
	}
	close(written.permit.done)
	pending := &pendingRequest{id: "t1", answer: make(chan finalAnswer, 1), attempts: []*attempt{waits, writing, written}}
	f.node.finishRequest(pending, finalAnswer{kind: answerServed})
	a := <-pending.answer
	if len(a.pendingWrites) != 1 || a.pendingWrites[0] != writing.permit || a.kind != answerServed {
		t.Errorf("the answer waits for %d attempts, want the one that is being written", len(a.pendingWrites))
	}
	if waits.permit.use() {
		t.Error("sent on after the final answer")
	}
	if !cancelled["waits"] || !cancelled["writing"] || cancelled["written"] {
		t.Errorf("cancelled: %v", cancelled)
	}
}

// A process that hands its clients over counts one until it is handed over: it ends once it has none left, and what it was just sending to its
// successor would be dropped.
func TestAConnectionCountsUntilItIsHandedOver(t *testing.T) {
	s := newConnectionLimiter(2)
	_, c := slotPair(t, s)
	s.add(c)
	begun, sent, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.Read(make([]byte, 1))
	}()
	s.startHandOver(func(*clientConn) error {
		close(begun)
		<-sent
		return nil
	})
	<-begun
	if n := s.count(); n != 1 {
		t.Errorf("%d connections, and one is on its way", n)
	}
	close(sent)
	<-ended
	if n := s.count(); n != 0 {
		t.Errorf("%d connections are left", n)
	}
}
