package edgeproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

func testUpstream(servers ...Instance) *upstream {
	u := newUpstream(simwire.ConnectionSettings{ConnIdleTimeout: time.Minute, ConnectTimeout: 5 * time.Second}, 100)
	u.update(servers, true)
	return u
}

var get = message{method: "GET", target: "/check?customer=1", id: "t1"}

func exchange(t *testing.T, u *upstream, server string) (reply, policy.Result) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return u.exchange(ctx, server, &get)
}

func wantResult(t *testing.T, got, want policy.Result) {
	t.Helper()
	if got != want {
		t.Errorf("result %d, want %d", got, want)
	}
}

// wantClosed waits until the peer has closed its end.
func wantClosed(t *testing.T, c net.Conn) {
	t.Helper()
	eventually(t, "connection closed by the node", func() bool {
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			return true
		}
		closed := false
		err = raw.Control(func(fd uintptr) {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			closed = err == nil && n == 0 || err == syscall.ECONNRESET
		})
		return err != nil || closed
	})
}

func TestResultsOfAnswers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       policy.Result
		reused     bool
	}{
		{"served", okAnswer, policy.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", policy.OK, true},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer, policy.OK, true},
		{"last on its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", policy.OK, false},
		{"more than asked for", okAnswer + okAnswer, policy.OK, false},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse, true},
		{"turned away, 503", "HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", policy.RejectedByServer, true},
		{"turned away, 504", "HTTP/1.1 504 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", policy.RejectedByServer, true},
		{"503 that may have run", "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse, true},
		{"never ran, in other words", "HTTP/1.1 503 F\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse, true},
		{"500 that claims it never ran", "HTTP/1.1 500 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse, true},
		{"unexpected", "HTTP/1.1 204 N\r\n\r\n", policy.ErrorResponse, true},
		{"ends with its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", policy.OK, false},
		{"long error", "HTTP/1.1 500 E\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), policy.ErrorResponse, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				return say(c.text)(conn, r, body) && !strings.Contains(c.text, "Connection: close")
			})
			u := testUpstream(s.instance("a"))
			rep, res := exchange(t, u, "a")
			wantResult(t, res, c.want)
			if res == policy.OK && string(rep.body) != "body" {
				t.Errorf("body %q", rep.body)
			}
			if got := len(u.backends["a"].idle) == 1; got != c.reused {
				t.Errorf("kept: %v, want %v", got, c.reused)
			}
		})
	}
}

// A break is a reset, whichever part of the answer it cuts: passed on in part, it
// could not be tried elsewhere.
func TestBrokenAnswerIsReset(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"} {
		s := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
			io.WriteString(c, text)
			return false
		})
		u := testUpstream(s.instance("a"))
		_, res := exchange(t, u, "a")
		wantResult(t, res, policy.ConnectionReset)
	}
}

// An answer that came and can't be read is an error that may have run, known at once:
// not a reset, which would make a warm server count as restarted and cold, and not a
// time-out, which would count as overload and cost the server its idle connections.
func TestSpoiltAnswers(t *testing.T) {
	const body = "\r\n\r\nbody"
	endless := func(line string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, line)
			}
			return false
		}
	}
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *http.Request, []byte) bool
	}{
		{"noise", say("\x85\x14\xe8 no HTTP\r\n\r\n")},
		{"another protocol", say("ICY 200 OK\r\nContent-Length: 4" + body)},
		{"status no number", say("HTTP/1.1 2x0 OK\r\nContent-Length: 4" + body)},
		{"line without colon", say("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4" + body)},
		{"two lengths", say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4" + body)},
		{"negative length", say("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4" + body)},
		{"bad chunk", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n")},
		{"no length", say("HTTP/1.1 200 OK" + body)},
		{"length too large", say("HTTP/1.1 200 OK\r\nContent-Length: 5" + body)},
		{"half a head", say("HTTP/1.1 200 OK\r\nContent-")},
		{"endless head", endless("X-Pad: pppppppppppppppppppppppp\r\n")},
		{"endless line", endless("pppppppppppppppppppppppp")},
		{"endless 1xx answers", func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			}
			return false
		}},
		{"endless body", endless("Content-Length: 3000000000\r\n\r\n")},
		{"endless chunks' heads", endless("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\nx\r\n", 1000))},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return say(okAnswer)(conn, r, body)
				}
				return c.serve(conn, r, body)
			})
			u := testUpstream(s.instance("a"))
			spare, err := u.take(context.Background(), "a")
			if err != nil {
				t.Fatal(err)
			}
			_, res := exchange(t, u, "a")
			wantResult(t, res, policy.ErrorResponse)
			u.giveBack(spare)
			if b := u.backends["a"]; len(b.idle) != 1 || u.open != 1 {
				t.Errorf("%d connections idle, %d counted, want the other one", len(b.idle), u.open)
			}
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			if _, res := u.exchange(ctx, "a", &message{method: "GET", target: "/check", id: "fine"}); res != policy.OK {
				t.Errorf("the next request: result %d", res)
			}
		})
	}
}

// Half an answer when the attempt's time ends is an error, not silence.
func TestHalfAnAnswerIsNoSilence(t *testing.T) {
	s := newAppServer(t, say("HTTP/1.1 200 OK\r\n"))
	u := testUpstream(s.instance("a"))
	spare, err := u.take(context.Background(), "a")
	if err != nil {
		t.Fatal(err)
	}
	u.giveBack(spare)
	other, err := u.dial(context.Background(), u.backends["a"])
	if err != nil {
		t.Fatal(err)
	}
	u.open++
	u.giveBack(other)
	ctx, cancel := context.WithTimeout(context.Background(), restLimit/2)
	defer cancel()
	_, res := u.exchange(ctx, "a", &get)
	wantResult(t, res, policy.ErrorResponse)
	if len(u.backends["a"].idle) != 1 {
		t.Error("the other idle connection is gone")
	}
}

// A server that gives idle connections up sooner than it tells shows only when one is
// written to, which may have run: from the first on they are kept for less. A reset under
// a request that the server was at, or on a connection just used, teaches nothing.
func TestStaleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		rested, answer time.Duration
		learns         bool
	}{
		"stale":           {10 * leastKeep, 0, true},
		"just used":       {0, 0, false},
		"at the work":     {10 * leastKeep, 2 * staleWithin, false},
		"not much rested": {leastKeep / 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return say(okAnswer)(conn, r, body)
				}
				time.Sleep(c.answer) // the server at work
				conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			u := testUpstream(s.instance("a"))
			b := u.backends["a"]
			fine := &message{method: "GET", target: "/check", id: "fine"}
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			rest := func(d time.Duration) {
				u.exchange(ctx, "a", fine)
				b.idle[0].idle = time.Now().Add(-d)
			}
			rest(c.rested)
			_, res := exchange(t, u, "a")
			wantResult(t, res, policy.ConnectionReset)
			if got := b.keep != 0; got != c.learns {
				t.Fatalf("kept for %v, learned: %v, want %v", b.keep, got, c.learns)
			}
			rest(c.rested)
			old := b.idle[0]
			u.exchange(ctx, "a", fine)
			if again := b.idle[0] == old; again == c.learns {
				t.Errorf("used again: %v", again)
			}
			b.keepAt = time.Now().Add(-12 * keepDoubles)
			if keep := u.keepFor(b); keep != u.maxIdle {
				t.Errorf("kept for %v long after, want %v", keep, u.maxIdle)
			}
		})
	}
}

// A 1xx answer is no part of the one that counts, which may come as late as it likes.
func TestInterimAnswerThenAPause(t *testing.T) {
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		time.Sleep(restLimit * 3 / 2) // the server at work
		return say(okAnswer)(c, r, body)
	})
	u := testUpstream(s.instance("a"))
	_, res := exchange(t, u, "a")
	wantResult(t, res, policy.OK)
}

// An attempt whose own time ends before it is written says nothing of its server.
func TestOwnTimeEnds(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	u := testUpstream(s.instance("a"))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	_, res := u.exchange(ctx, "a", &get)
	wantResult(t, res, policy.NotSent)
}

// A kept connection that breaks under a request ends it as a reset. A client that
// resends by itself would make a second copy.
func TestNothingIsResent(t *testing.T) {
	first := true
	s := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		if first {
			first = false
			io.WriteString(c, okAnswer)
			return true
		}
		return false
	})
	u := testUpstream(s.instance("a"))
	_, res := exchange(t, u, "a")
	wantResult(t, res, policy.OK)
	_, res = exchange(t, u, "a")
	wantResult(t, res, policy.ConnectionReset)
	if n := len(s.requests()); n != 2 {
		t.Errorf("%d copies arrived of 2 requests", n)
	}
}

// The connection used last is used next, so that a quiet spell lets the others go.
func TestPoolIsLIFO(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		<-hold
		return say(okAnswer)(c, nil, nil)
	})
	u := testUpstream(s.instance("a"))
	done := make(chan policy.Result, 2)
	for range 2 {
		go func() {
			_, res := u.exchange(context.Background(), "a", &get)
			done <- res
		}()
	}
	eventually(t, "two requests out", func() bool { return len(s.requests()) == 2 })
	close(hold)
	wantResult(t, <-done, policy.OK)
	wantResult(t, <-done, policy.OK)
	idle := u.backends["a"].idle
	if len(idle) != 2 {
		t.Fatalf("%d idle connections for two requests at once", len(idle))
	}
	older, last := idle[0], idle[1]
	exchange(t, u, "a")
	if idle = u.backends["a"].idle; len(idle) != 2 || idle[0] != older || idle[1] != last {
		t.Error("another connection was used than the last")
	}
}

// One that the server has closed meanwhile is noticed: a request written to it
// would end as a reset, which a keyed request may not freely repeat.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	u := testUpstream(s.instance("a"))
	exchange(t, u, "a")
	(<-s.conns).Close()
	c := u.backends["a"].idle[0]
	eventually(t, "close arrived", func() bool { return !c.quiet() })
	_, res := exchange(t, u, "a")
	wantResult(t, res, policy.OK)
	if u.open != 1 {
		t.Errorf("%d connections counted, 1 open", u.open)
	}
}

// A connection near the age at which servers close is retired, in use and at rest.
func TestIdleConnectionsRetire(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	u := testUpstream(s.instance("a"))
	exchange(t, u, "a")
	u.backends["a"].idle[0].idle = time.Now().Add(-u.maxIdle)
	exchange(t, u, "a")
	wantClosed(t, <-s.conns)
	u.backends["a"].idle[0].idle = time.Now().Add(-u.maxIdle)
	u.maxIdle = 50 * time.Millisecond // sets the reaper's pace
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go u.reap(ctx)
	wantClosed(t, <-s.conns)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open != 0 {
		t.Errorf("%d connections counted, none open", u.open)
	}
}

// Outside of the node's part an idle connection is closed soon; in it, and where there is no part, it stays.
func TestFarConnectionsRetireSoon(t *testing.T) {
	near, far := newAppServer(t, say(okAnswer)), newAppServer(t, say(okAnswer))
	u := testUpstream(near.instance("near"), far.instance("far"))
	for _, id := range []string{"near", "far"} {
		exchange(t, u, id)
		u.backends[id].idle[0].idle = time.Now().Add(-farIdle)
	}
	if stale := u.stand(); len(stale) != 0 {
		t.Fatalf("without a part %d connections are closed", len(stale))
	}
	u.near = func() map[string]bool { return map[string]bool{"near": true} }
	closeAll(u.stand())
	wantClosed(t, <-far.conns)
	if u.open != 1 || len(u.backends["near"].idle) != 1 {
		t.Errorf("%d connections counted, the one in the part is open", u.open)
	}
}

// A server whose machine is gone says nothing: the dial has a bound of its own, and
// what it ends has never run.
func TestDialIsBounded(t *testing.T) {
	ln, _ := fullListener(t) // it drops what comes
	u := newUpstream(simwire.ConnectionSettings{ConnIdleTimeout: time.Minute, ConnectTimeout: 50 * time.Millisecond}, 100)
	u.update([]Instance{{Server: policy.Server{ID: "a"}, Addr: addrOf(ln)}}, true)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, res := u.exchange(ctx, "a", &get)
	wantResult(t, res, policy.ConnectFailed)
	if ctx.Err() != nil || u.open != 0 {
		t.Errorf("context %v, %d connections counted", ctx.Err(), u.open)
	}
}

// Giving up closes the connection before the outcome is known, or the next attempt
// would be a second copy.
func TestGivingUpClosesTheConnection(t *testing.T) {
	for _, c := range []struct {
		want   policy.Result
		giveUp func() (context.Context, context.CancelFunc)
	}{
		{policy.TimedOut, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 100*time.Millisecond)
		}},
		{policy.Cancelled, func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		}},
	} {
		s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
		u := testUpstream(s.instance("a"))
		ctx, cancel := c.giveUp()
		_, res := u.exchange(ctx, "a", &get)
		cancel()
		wantResult(t, res, c.want)
		wantClosed(t, <-s.conns)
		if u.open != 0 {
			t.Errorf("%d connections counted, none open", u.open)
		}
	}
}

// After silence on one connection the others of that server are not used again: where
// its machine is gone they are silent too, and each would cost a request its time.
func TestSilenceDropsIdleConnections(t *testing.T) {
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Trace-Id") == "silent" {
			select {}
		}
		return say(okAnswer)(c, r, body)
	})
	u := testUpstream(s.instance("a"))
	c, err := u.take(context.Background(), "a")
	if err != nil {
		t.Fatal(err)
	}
	exchange(t, u, "a")
	u.giveBack(c)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, res := u.exchange(ctx, "a", &message{method: "GET", target: "/check", id: "silent"})
	wantResult(t, res, policy.TimedOut)
	wantClosed(t, <-s.conns)
	wantClosed(t, <-s.conns)
	if u.open != 0 {
		t.Errorf("%d connections counted, none open", u.open)
	}
}

// A server that moved, restarted, drains or is gone keeps no connection, neither an
// idle one nor one that was busy when the list changed.
func TestListDropsConnections(t *testing.T) {
	for name, change := range map[string]func(Instance) ([]Instance, bool){
		"moved": func(i Instance) ([]Instance, bool) {
			i.Addr = netip.MustParseAddrPort("127.0.0.1:1")
			return []Instance{i}, false
		},
		"restarted": func(i Instance) ([]Instance, bool) { i.StartedAt = time.Hour; return []Instance{i}, false },
		"draining":  func(i Instance) ([]Instance, bool) { i.State = policy.Draining; return []Instance{i}, false },
		"removed":   func(i Instance) ([]Instance, bool) { i.State = policy.Removed; return []Instance{i}, false },
		"vanished":  func(Instance) ([]Instance, bool) { return nil, true },
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			first := true
			s := newAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				if !first {
					<-hold
				}
				first = false
				return say(okAnswer)(c, nil, nil)
			})
			u := testUpstream(s.instance("a"))
			exchange(t, u, "a") // leaves one idle
			done := make(chan policy.Result)
			go func() {
				_, res := u.exchange(context.Background(), "a", &get)
				done <- res
			}()
			eventually(t, "second request out", func() bool { return len(s.requests()) == 2 })
			closeAll(u.update(change(s.instance("a"))))
			close(hold)
			wantResult(t, <-done, policy.OK)
			wantClosed(t, <-s.conns)
			if u.open != 0 {
				t.Errorf("%d connections counted, none open", u.open)
			}
		})
	}
}

// Nothing new goes to a server that came to drain while the connection was made.
func TestDrainDuringDial(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	u := testUpstream(s.instance("a"))
	b := u.backends["a"]
	drains := s.instance("a")
	drains.State = policy.Draining
	u.update([]Instance{drains}, false)
	u.open++
	if _, err := u.dial(context.Background(), b); err != errUnknown {
		t.Errorf("error %v, want %v", err, errUnknown)
	}
	_, res := exchange(t, u, "a")
	wantResult(t, res, policy.ConnectFailed)
	if len(s.requests()) != 0 || u.open != 0 {
		t.Errorf("requests %q, %d connections counted", s.requests(), u.open)
	}
}

// At the limit on descriptors an idle connection gives way; with none idle the
// attempt is moot, which is held against no server.
func TestDescriptorsAreBudgeted(t *testing.T) {
	a, b := newAppServer(t, say(okAnswer)), newAppServer(t, say(okAnswer))
	u := testUpstream(a.instance("a"), b.instance("b"))
	u.most = 1
	exchange(t, u, "a")
	_, res := exchange(t, u, "b")
	wantResult(t, res, policy.OK)
	wantClosed(t, <-a.conns)
	busy, err := u.take(context.Background(), "b")
	if err != nil {
		t.Fatal(err)
	}
	_, res = exchange(t, u, "a")
	wantResult(t, res, policy.NotSent)
	u.giveBack(busy)
	if u.open != 1 {
		t.Errorf("%d connections counted, 1 open", u.open)
	}
}

func TestLoadReports(t *testing.T) {
	for text, want := range map[string]*policy.LoadReport{
		"TEXT inflight=7, queue=2, util=0.61":     {InFlight: 7, QueueLength: 2, Utilization: 0.61},
		"TEXT backlog=2,utilization=0.5,novel=1 ": {InFlight: -1, QueueLength: 2, Utilization: 0.5},
		"TEXT util=x, queue=3":                    {InFlight: -1, QueueLength: 3, Utilization: -1},
		"TEXT util=NaN, queue=-1":                 {InFlight: -1, QueueLength: -1, Utilization: -1},
		"TEXT util=1e9, queue=0x1p4":              {InFlight: -1, QueueLength: -1, Utilization: -1},
		"TEXT util=1000000, queue=999999999":      {InFlight: -1, QueueLength: -1, Utilization: -1},
		"TEXT util=1.059, queue=1.674":            {InFlight: -1, QueueLength: 1.674, Utilization: 1.059},
		"":                                        nil, "JSON {}": nil,
	} {
		got := loadreport.Parse(text)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// A machine that has vanished leaves its connections open and silent, and the list says so
// late. The probe that finds it must keep clients' requests away until it answers again.
func TestSilentServerGetsNoRequest(t *testing.T) {
	const stats = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nTEXT util=0.1,queue="
	var gone atomic.Bool
	var met atomic.Int32 // requests of clients that the silent server has read
	answers := func(name string, silent *atomic.Bool) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, r *http.Request, _ []byte) bool {
			text := okAnswer
			switch {
			case r.RequestURI == loadPath:
				text = stats
			case name == "quick":
				met.Add(1)
			default:
				time.Sleep(5 * time.Millisecond) // the slower of the two: the other one is preferred
			}
			if silent != nil && silent.Load() {
				return true
			}
			_, err := io.WriteString(c, text)
			return err == nil
		}
	}
	quick, slow := newAppServer(t, answers("quick", &gone)), newAppServer(t, answers("slow", nil))
	cfg := testConfig(quick.instance("quick"), slow.instance("slow"))
	cfg.Settings.AllowsHealthChecks, cfg.Settings.LoadReports = true, policy.LoadReportsInHealthChecks
	r := run(t, cfg)
	c, n := dial(t, r.addr), 0
	ask := func() {
		n++
		if a := c.ask(request("check", fmt.Sprint("q", n))); a.status != http.StatusOK {
			t.Fatalf("request %d: %d", n, a.status)
		}
	}
	for n < 300 || met.Load() < 100 {
		ask()
	}
	gone.Store(true)
	eventually(t, "a probe finds the silent server", func() bool { return strings.Contains(r.logs.String(), "silent") })
	before := met.Load()
	for range 30 {
		ask()
	}
	if got := met.Load() - before; got != 0 {
		t.Errorf("%d requests went to a silent server", got)
	}
	gone.Store(false)
	for end := time.Now().Add(patience); met.Load() == before; ask() {
		if time.Now().After(end) {
			t.Fatal("the server answers again and gets no request")
		}
	}
}

// A server that refuses a new connection and goes on answering on an old one has not
// restarted: it must not count as cold, which would keep most requests from it.
func TestRefusedConnectionAtALiveServer(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.Header.Get("X-Trace-Id") == "held" {
			close(held)
			<-release
		}
		_, err := io.WriteString(c, okAnswer)
		return err == nil
	})
	cfg := testConfig(s.instance("a"))
	cfg.Settings.SlowStartWindow, cfg.Settings.SlowStartMinFraction = time.Hour, 0.01
	cfg.Settings.ColdOverloadMultiple, cfg.Settings.ColdOverloadWindow = 2, time.Second
	r := run(t, cfg)
	c, other := dial(t, r.addr), dial(t, r.addr)
	if a := c.ask(request("check", "first")); a.status != http.StatusOK {
		t.Fatalf("first request: %d", a.status)
	}
	c.send(request("check", "held"))
	<-held
	s.ln.Close()
	if a := other.ask(request("check", "refused")); a.status != http.StatusTooManyRequests {
		t.Fatalf("with no connection to be had: %d", a.status)
	}
	close(release)
	if a := c.read(); a.status != http.StatusOK {
		t.Fatalf("the request held: %d", a.status)
	}
	for i := range 20 {
		if a := c.ask(request("check", fmt.Sprint("next", i))); a.status != http.StatusOK {
			t.Fatalf("request %d after the old connection's answer: %d", i, a.status)
		}
	}
}
