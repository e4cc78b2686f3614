package edgeproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// A request that can't wait any longer is rejected if it was never forwarded, and failed if it may have run.
func TestDeadlineExceeded(t *testing.T) {
	cfg := testConfig()
	server := newIdleClientServer(t, cfg)
	for _, c := range []struct {
		name     string
		attempts []*attempt
		want     answerKind
	}{
		{"never forwarded", nil, answerRejected},
		{"may have run", []*attempt{{permit: newSendPermit(), cancel: func() {}}}, answerFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			pending := &pendingRequest{id: "t1", answer: make(chan finalAnswer, 1), attempts: c.attempts}
			server.node.requests["t1"] = pending
			server.node.deadlineExceeded(pending)
			if a := <-pending.answer; a.kind != c.want {
				t.Errorf("%d attempts: answer %v, want %v", len(c.attempts), a.kind, c.want)
			}
			if len(server.node.requests) != 0 {
				t.Error("the request is still in the table")
			}
			if server.node.deadlineExceeded(pending); len(pending.answer) != 0 {
				t.Error("a second final answer")
			}
		})
	}
}

// The final answer revokes the permit of each attempt: one that was not written never is, one that is just being
// written is cancelled and waited for, and one that was written is neither.
func TestFinalAnswerRevokesPermits(t *testing.T) {
	server := newIdleClientServer(t, testConfig())
	cancelled := map[string]bool{}
	at := func(name string) *attempt {
		return &attempt{permit: newSendPermit(), cancel: func() { cancelled[name] = true }}
	}
	waits, writing, written := at("waits"), at("writing"), at("written")
	if !writing.permit.use() || !written.permit.use() {
		t.Fatal("no permit at first")
	}
	close(written.permit.done)
	attempts := []*attempt{waits, writing, written}
	pending := &pendingRequest{id: "t1", answer: make(chan finalAnswer, 1), attempts: attempts}
	server.node.finishRequest(pending, finalAnswer{kind: answerServed})
	a := <-pending.answer
	if len(a.pendingWrites) != 1 || a.pendingWrites[0] != writing.permit || a.kind != answerServed {
		t.Errorf("the answer waits for %d attempts, want the one that is being written", len(a.pendingWrites))
	}
	if waits.permit.use() {
		t.Error("forwarded after the final answer")
	}
	if !cancelled["waits"] || !cancelled["writing"] || cancelled["written"] {
		t.Errorf("cancelled: %v", cancelled)
	}
}

// answerAfterFillers accepts from a listener until it closes; all but the first connections, which fill its queue, are
// answered, and the ID of each request is sent on ids.
func answerAfterFillers(ln net.Listener, fillers int, ids chan<- string) {
	for k := 0; ; k++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if k < fillers {
			defer c.Close()
			continue
		}
		go func() {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				ids <- r.Header.Get("X-Trace-Id")
				c.Write([]byte(okAnswer))
			}
		}()
	}
}

// lateServers are entries of app servers at one address: so many that the bound on work in flight rejects none of a
// burst.
func lateServers(addr netip.AddrPort, count int) (servers []Instance) {
	for i := range count {
		servers = append(servers, instanceAt(fmt.Sprint("late-", i), addr))
	}
	return servers
}

// sendBurst has as many clients send a request each.
func sendBurst(t *testing.T, addr string, count int) (clients []*client) {
	t.Helper()
	for i := range count {
		c := dial(t, addr)
		c.send(request([]string{"check", "book"}[i%2], fmt.Sprint("t", i)))
		clients = append(clients, c)
	}
	return clients
}

// Clients disconnect, by FIN and by reset, while their requests wait for connections that are established late:
// when these are, nothing is sent.
func TestNothingIsSentAfterClientsDisconnect(t *testing.T) {
	t.Parallel()
	ln, fillers := fullListener(t)
	const burst = 12
	cfg := testConfig(lateServers(addrOf(ln), 2*burst)...)
	cfg.AdminListen = freeAddr(t)
	n := runNode(t, cfg)
	n.awaitLog(t, "ready")
	metric := func(line string) func() bool { return hasMetric(t, cfg.AdminListen, line) }
	clients := sendBurst(t, n.addr, burst)
	eventually(t, "all received", metric(fmt.Sprintf("app.current=%d", burst)))
	for i, c := range clients {
		if i%3 == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0) // by reset
		}
		c.Close()
	}
	eventually(t, "all seen to have left", metric("app.current=0"))
	stays := dial(t, n.addr)
	stays.send(request("check", "stays"))
	eventually(t, "one more received", metric("app.current=1"))
	ids := make(chan string, burst)
	go answerAfterFillers(ln, fillers, ids)
	if a := stays.read(); a.status != 200 {
		t.Errorf("the one that stayed: %d", a.status)
	}
	if id := <-ids; id != "stays" || len(ids) != 0 {
		t.Errorf("%q was forwarded, and %d more", id, len(ids))
	}
	if !metric("app.sends=1")() || !metric("app.sends_after_leave=0")() {
		_, text := callAdmin(t, "GET", cfg.AdminListen, adminCountersPath)
		t.Errorf("one request had a client, and forwarded were:\n%s", text)
	}
}

// The same in a process that gets no processor meanwhile: the goroutine that would notice the disconnect runs later than
// the one that sends.
func TestNothingIsSentAfterUnnoticedDisconnect(t *testing.T) {
	t.Parallel()
	ln, fillers := fullListener(t)
	const burst = 12
	cfg := testConfig(lateServers(addrOf(ln), 2*burst)...)
	cfg.AdminListen = freeAddr(t)
	l := &pausedListener{paused: make(chan struct{}), resume: make(chan struct{})}
	n := runNodeOver(t, cfg, func(ln *net.TCPListener) net.Listener {
		l.TCPListener = ln
		return l
	})
	n.awaitLog(t, "ready")
	metric := func(line string) func() bool { return hasMetric(t, cfg.AdminListen, line) }
	clients := sendBurst(t, n.addr, burst)
	stays := dial(t, n.addr)
	stays.send(request("check", "stays"))
	eventually(t, "all received", metric(fmt.Sprintf("app.current=%d", burst+1)))
	close(l.paused)
	for _, c := range clients {
		c.Close()
	}
	ids := make(chan string, burst+1)
	go answerAfterFillers(ln, fillers, ids)
	if a := stays.read(); a.status != 200 {
		t.Errorf("the one that stayed: %d", a.status)
	}
	close(l.resume)
	eventually(t, "all seen to have left", metric("app.current=0"))
	if id := <-ids; id != "stays" || len(ids) != 0 {
		t.Errorf("%q was forwarded, and %d more", id, len(ids))
	}
}

// requireNothingSent checks that on no connection for which the node waits at a full listener anything is sent.
func requireNothingSent(t *testing.T, ln net.Listener, fillers int) {
	t.Helper()
	// Connections come up in the order in which they were asked for: what the node still waits for, then this.
	mine, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(mine)
	to := &syscall.SockaddrInet4{Port: int(addrOf(ln).Port()), Addr: [4]byte{127, 0, 0, 1}}
	if err := syscall.Connect(mine, to); err != syscall.EINPROGRESS {
		t.Fatal("the queue is not full: ", err)
	}
	from, err := syscall.Getsockname(mine)
	if err != nil {
		t.Fatal(err)
	}
	for k := 0; ; k++ {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if c.RemoteAddr().(*net.TCPAddr).Port == from.(*syscall.SockaddrInet4).Port {
			break
		}
		if k < fillers {
			continue
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		if said, _ := io.ReadAll(io.LimitReader(c, 20)); len(said) > 0 {
			t.Errorf("%q... was forwarded after its final answer", said)
		}
	}
}

// startGrowingDiscovery is an agent whose list has a second server once added is closed.
func startGrowingDiscovery(t *testing.T, first, second Instance, added <-chan bool) netip.AddrPort {
	t.Helper()
	return startDiscovery(t, func(_ int, _ string, w io.Writer, ctx context.Context) {
		fmt.Fprintf(w, "%s\n", listJSON(8, true, first))
		select {
		case <-added:
		case <-ctx.Done(): // the watch was given up, and another is open
			return
		}
		fmt.Fprintf(w, "%s\n", listJSON(9, true, first, second))
		<-ctx.Done()
	})
}

// Where two attempts may be in flight, the response to one is final while the other's connection is not established
// yet: the other is not sent, also where attempts may not be cancelled.
func TestNothingIsSentAfterFinalAnswer(t *testing.T) {
	for name, cancels := range map[string]bool{"cancels": true, "may not cancel": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, fillers := fullListener(t)
			app := newAppServer(t, respondWith(okAnswer))
			late := instanceAt("late", addrOf(ln))
			add := make(chan bool)
			cfg := testConfig(app.instance("a"))
			cfg.Settings.AllowsHedging, cfg.Settings.AllowsCancel = true, cancels
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].LatencyObjective = 100 * time.Millisecond
			}
			cfg.Discovery = startGrowingDiscovery(t, app.instance("a"), late, add)
			n := runNode(t, cfg)
			c := dial(t, n.addr)
			for i := range 30 { // it learns how long responses take, and so when to hedge
				c.ask(request("check", fmt.Sprint("known", i)))
			}
			close(add)
			i := 0
			eventually(t, "an attempt that waits for its connection, and a second one that is answered", func() bool {
				i++
				begun := time.Now()
				if a := c.ask(request("check", fmt.Sprint("t", i))); a.status != 200 {
					t.Fatalf("answered %d", a.status)
				}
				return time.Since(begun) >= cfg.Settings.Classes[0].LatencyObjective/4
			})
			requireNothingSent(t, ln, fillers)
		})
	}
}

// fullListener listens with its queue filled: connections are established late, once the queue is accepted from,
// and in the order in which they were asked for. fillers is how many fill it, which send nothing and are closed
// with the test.
func fullListener(t *testing.T) (ln net.Listener, fillers int) {
	t.Helper()
	l, err := testserver.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.TCPListener, l.FillerCount()
}

// A request on which the engine does not decide gets its answer from the host.
func TestUndecidedRequestIsAnswered(t *testing.T) {
	cfg := testConfig()
	server, pending := newIdleClientServer(t, cfg), &pendingRequest{id: "t1", answer: make(chan finalAnswer, 1)}
	server.node.requests["t1"] = pending
	server.node.clientDisconnected(pending)
	if a := <-pending.answer; a.kind != answerFailed {
		t.Errorf("answer %+v", a)
	}
	if len(server.node.requests) != 0 {
		t.Error("the request is still in the table")
	}
	if server.node.clientDisconnected(pending); len(pending.answer) != 0 {
		t.Error("a second final answer")
	}
}

// Two active requests with one ID could not be told apart by the engine.
func TestIDInUse(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return respondWith(okAnswer)(c, r, body)
	})
	n := runNode(t, testConfig(s.instance("a")))
	c := dial(t, n.addr)
	c.send(request("check", "t1"))
	eventually(t, "request out", func() bool { return len(s.requests()) == 1 })
	if a := dial(t, n.addr).ask(request("check", "t1")); a.status != 409 {
		t.Errorf("status %d, want 409", a.status)
	}
	close(hold)
	if a := c.read(); a.status != 200 {
		t.Errorf("the first: status %d", a.status)
	}
}

// The engine decides what follows a reset: an idempotent request is retried at the other server.
func TestResetIsRetried(t *testing.T) {
	var broken atomic.Bool
	var resets atomic.Int32
	bad := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if broken.Load() {
			resets.Add(1)
			return false
		}
		return respondWith(okAnswer)(c, r, body)
	})
	good := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(bad.instance("a"), good.instance("b")))
	c := dial(t, n.addr)
	i := 0
	ask := func() clientResponse {
		i++
		return c.ask(request("check", fmt.Sprint("t", i)))
	}
	for range 20 { // the engine earns retries by first attempts
		ask()
	}
	broken.Store(true)
	eventually(t, "a reset and an answer for one request", func() bool {
		before := resets.Load()
		return ask().status == 200 && resets.Load() > before
	})
}

// A panic of the engine costs one request, which is rejected, since nothing of it was forwarded, and is logged with
// its stack.
func TestPanicIsAnswered(t *testing.T) {
	server := newIdleClientServer(t, testConfig())
	logs := &testserver.Log{}
	server.node.logger = logs.Logger()
	server.node.engine = nil
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.serve(ln)
	t.Cleanup(func() { server.httpServer.Close() })
	a := dial(t, ln.Addr().String()).ask(request("check", "t1"))
	if a.status != 429 || !logs.HasLine("panic recovered", "policy.(*Engine).RequestReceived") {
		t.Errorf("status %d, logged %q", a.status, logs.String())
	}
	// One of the host's own.
	server.node.cfg = nil
	if a := dial(t, ln.Addr().String()).ask(request("check", "t2")); a.status != 500 {
		t.Errorf("status %d", a.status)
	}
}

// The host bounds every request by its client's deadline, also at a server that never answers, and one with a key
// that may have run is failed, not rejected.
func TestUnresponsiveServer(t *testing.T) {
	t.Parallel()
	s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	n := runNode(t, testConfig(s.instance("a")))
	a := dial(t, n.addr).ask(request("book", "t1", "X-Expires-In", "2"))
	if a.status != 502 {
		t.Errorf("status %d, want 502", a.status)
	}
	wantClosed(t, <-s.conns)
}

// A client that disconnects ends its request: the attempt is cancelled, the request table empty.
func TestClientDisconnect(t *testing.T) {
	s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.instance("a"))
	n := runNode(t, cfg)
	c := dial(t, n.addr)
	c.send(request("check", "t1"))
	eventually(t, "request out", func() bool { return len(s.requests()) == 1 })
	c.Close()
	wantClosed(t, <-s.conns)
	// The id is free once nothing is held any more.
	eventually(t, "second request taken", func() bool {
		again := dial(t, n.addr)
		again.send(request("check", "t1", "X-Expires-In", "0.05"))
		return again.read().status != 409
	})
}

// newIdleClientServer is the client side of a node that has no goroutines of its own.
func newIdleClientServer(t *testing.T, cfg *Config) *clientServer {
	t.Helper()
	n, err := newNode(t.Context(), cfg, discard)
	if err != nil {
		t.Fatal(err)
	}
	n.startEngine()
	return newClientServer(n)
}

// The clock is Unix time, so that a server's start converts to the engine's.
func TestClock(t *testing.T) {
	server := newIdleClientServer(t, testConfig())
	before := time.Duration(time.Now().UnixNano())
	now := server.node.now()
	if d := now - before; d < -time.Second || d > testTimeout || server.node.now() < now {
		t.Errorf("the clock reads %v past Unix time", d)
	}
}
