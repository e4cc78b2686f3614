package edgeproxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// wantClosing checks that a response has a status and closes its connection.
func wantClosing(t *testing.T, what string, a clientResponse, status int) {
	t.Helper()
	if a.status != status || !a.close {
		t.Errorf("%s: status %d, close %v, want %d and close true", what, a.status, a.close, status)
	}
}

// At a planned restart the node is not ready, but answers new requests on connections that then close, and finishes the
// requests in flight. Then the process ends.
func TestDrain(t *testing.T) {
	t.Parallel()
	app, blocked, release := newBlockingServer(t)
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 2 * time.Second // a process has 3.55 s in all
	n := runNode(t, cfg)
	idle, busy := dial(t, n.addr), dial(t, n.addr)
	wantKeptOpen(t, "readiness before", idle.do(readyRequest), 200)
	busy.send(blockedCheck("t1"))
	<-blocked
	n.stop()
	n.awaitLog(t, "draining")
	wantClosing(t, "on a kept connection", idle.do(request("check", "t2")), 200)
	wantClosing(t, "on a new connection", dial(t, n.addr).do(request("check", "t3")), 200)
	wantReadiness(t, "in a drain", n.addr, 503)
	awaitRefused(t, n.addr)
	close(release)
	wantClosing(t, "in flight", busy.read(), 200)
	n.awaitEndBeforeCleanup(t)
}

// A request has to be answered once the kernel has accepted its connection and received its last byte: closing the
// listener must not reset connections that the process has not accepted.
func TestBacklogIsAnsweredAtDrain(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 50 * time.Millisecond
	n := runNodeWithListener(t, cfg, func(ln *net.TCPListener) net.Listener {
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
			t.Errorf("request in the backlog: status %d, close %v, want 200 and close true", a.status, a.close)
		}
	}
	n.awaitEndBeforeCleanup(t)
}

// A planned restart with a server that hangs, a silent client and an incomplete head ends before the platform kills the
// process. Requests that were received are answered before, also one that is completed late on an open connection.
func TestShutdownEndsInTime(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.RequestURI, "/book") {
			select {}
		}
		return respondWith(okAnswer)(c, r, body)
	})
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 50 * time.Millisecond
	n := runNode(t, cfg)
	hangs, half, silent, late := dial(t, n.addr), dial(t, n.addr), dial(t, n.addr), dial(t, n.addr)
	hangs.send(request("book", "t1"))
	eventually(t, "request out", func() bool { return len(app.requests()) == 1 })
	text := request("check", "t2")
	half.send(text[:40])
	late.send(text[:40])
	n.stop()
	stoppedAt := time.Now()
	awaitRefused(t, n.addr)
	late.send(text[40:])
	wantClosing(t, "late", late.read(), 200)
	wantClosing(t, "at a server that hangs", hangs.read(), 502)
	if took := time.Since(stoppedAt); took > 10*time.Second { // due after 3.55 s; the request's own deadline is 20 s
		t.Errorf("request at a server that hangs was answered %v after the stop, want within 10 s", took)
	}
	wantClosing(t, "half a head", half.read(), 400)
	wantEOF(t, "silent", silent)
	n.awaitEndBeforeCleanup(t)
}

// A process that has taken over accepts connections from its predecessor and from its own socket: a drain finishes both
// listeners.
func TestDrainClosesEveryListener(t *testing.T) {
	app, blocked, release := newBlockingServer(t)
	server := newIdleClientServer(t, testConfig(app.instance("a")))
	var clients []*client
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go server.serve(ln)
		c := dial(t, ln.Addr().String())
		c.do(request("check", fmt.Sprint("t", i))) // the listener is served by now
		clients = append(clients, c)
	}
	clients[0].send(request("check", "t2", "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1"))
	<-blocked
	server.startShutdownTimer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.drain(0, nil)
	}()
	for _, c := range clients {
		awaitRefused(t, c.RemoteAddr().String())
	}
	close(release)
	if a := clients[0].read(); a.status != 200 {
		t.Errorf("request in flight: status %d, want 200", a.status)
	}
	<-done
}

// Pipelined requests have to be answered as well: during a drain the response to a request must not close the
// connection if the next request was already received.
func TestPipelinedRequestsDuringDrain(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	cfg := testConfig(app.instance("a"))
	cfg.drainDelay = 2 * time.Second
	n := runNode(t, cfg)
	c := dial(t, n.addr)
	c.do(request("check", "t0"))
	n.stop()
	n.awaitLog(t, "draining")
	c.send(request("check", "t1") + request("book", "t2") + request("check", "t3"))
	for i := range 3 {
		if a := c.read(); a.status != 200 || a.close != (i == 2) {
			t.Errorf("response %d: status %d, close %v, want 200 and close on the last one", i, a.status, a.close)
		}
	}
}

// A request that is received on an idle connection just when a planned restart evicts idle connections is answered,
// whether it is still in the socket or was just read.
func TestRequestRacesIdleEviction(t *testing.T) {
	for name, readsFirst := range map[string]bool{"unread": false, "just read": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			app := newAppServer(t, respondWith(okAnswer))
			cfg := testConfig(app.instance("a"))
			cfg.drainDelay = 2 * writtenGrace
			l := &pausedListener{readsFirst: readsFirst, paused: make(chan struct{}), resume: make(chan struct{})}
			n := runNodeWithListener(t, cfg, func(ln *net.TCPListener) net.Listener {
				l.TCPListener = ln
				return l
			})
			c := dial(t, n.addr)
			if a := c.do(request("check", "t1")); a.status != 200 || a.close {
				t.Fatalf("first request: response %+v, want status 200 and close false", a)
			}
			close(l.paused)
			c.send(request("check", "t2"))
			n.stop()
			awaitRefused(t, n.addr)
			time.Sleep(10 * drainPollInterval) // an eviction that ignores received data has closed it by then
			close(l.resume)
			if a := c.read(); a.status != 200 || !a.close {
				t.Errorf("raced request: status %d, close %v, want 200 and close true", a.status, a.close)
			}
			n.awaitEndBeforeCleanup(t)
		})
	}
}

// A closed node starts no goroutines: a call to take it out of service must not start evictions.
func TestNothingStartsAfterClose(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n, err := newNode(ctx, testConfig(), discard)
	if err != nil {
		t.Fatal(err)
	}
	server := newClientServer(n)
	n.close()
	started := make(chan bool, 1)
	if n.spawn(func() { started <- true }) || len(started) > 0 {
		t.Fatal("closed node started a goroutine")
	}
	server.takeOutOfService()
	n.work.Wait()
	if server.isAvailable() {
		t.Error("node is available while out of service")
	}
}
