package gateway

import (
	"net"
	"strconv"
	"testing"
	"time"

	"mulleinmux/policy"
)

// leftLimit is the time after a client's close from which on no attempt of its request may begin.
const leftLimit = 100 * time.Millisecond

// quietAfterLeave is for how long a test waits for an attempt that must not begin.
const quietAfterLeave = 300 * time.Millisecond

// leaveByReset resets a client's connection.
func leaveByReset(c *testClient) {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// waysToLeave are the ways in which clients leave.
var waysToLeave = map[string]func(c *testClient){
	"close":                     func(c *testClient) { c.Close() },
	"reset":                     leaveByReset,
	"close behind next request": func(c *testClient) { c.send(getRequest("GET /visits/next")); c.Close() },
	"reset behind next request": func(c *testClient) { c.send(getRequest("GET /visits/next")); leaveByReset(c) },
}

// retriedRequest is a request with the server's answer after which it is retried.
type retriedRequest struct{ text, answer string }

// retriedRequests are requests of each kind.
func retriedRequests() map[string]retriedRequest {
	return map[string]retriedRequest{
		"keyed": {postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: left", "X-Expires-In: 10"),
			responseText(500, "", "")},
		"safe":   {getRequest("GET /visits/left", "X-Expires-In: 10"), responseText(500, "", "")},
		"unsafe": {getRequest("DELETE /visits/left", "X-Expires-In: 10"), responseText(503, "X-Never-Ran: 1\r\n", "")},
	}
}

// startRetryingSites starts two sites with a second server at the far one, and has requests served that earn retries.
func startRetryingSites(t *testing.T, h *testSites) (near, far *testInstance, link *linkForwarder) {
	t.Helper()
	near, far, link = startTwoSites(t, h, nil)
	h.startServer("site-b", "s2")
	if err := far.AwaitServers(t.Context(), 2, testTimeout); err != nil {
		t.Fatal(err)
	}
	near.fillRetryBudget(h, 20)
	return near, far, link
}

// requireNoAttempt checks that no attempt reaches a server for quietAfterLeave.
func (h *testSites) requireNoAttempt() {
	h.t.Helper()
	time.Sleep(quietAfterLeave)
	h.expectNoRequest()
}

// Guards against the far instance's retry for a client that has left (review/8): nobody watched the client while its
// relayed attempt was out. The first attempt here is answered only after the limit.
func TestNoRelayedRetryAfterClientLeft(t *testing.T) {
	for kind, request := range retriedRequests() {
		for way, leave := range waysToLeave {
			t.Run(kind+", "+way, func(t *testing.T) {
				t.Parallel()
				h := newTestSites(t)
				near, _, _ := startRetryingSites(t, h)
				c := dial(t, near.addr)
				c.send(request.text)
				first := h.nextRequest()
				leave(c)
				time.Sleep(leftLimit)
				first.response <- request.answer
				h.requireNoAttempt()
			})
		}
	}
}

// Each request of the test above is retried at the far site if its client stays, so that the test shows something.
func TestRelayedRetryWhileClientStays(t *testing.T) {
	for kind, request := range retriedRequests() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			near, _, _ := startRetryingSites(t, h)
			c := dial(t, near.addr)
			c.send(request.text)
			first := h.nextRequest()
			time.Sleep(leftLimit)
			first.response <- request.answer
			h.nextRequest().response <- responseText(200, "", "done")
			if got := c.readResponse(); got.Status != 200 || got.Body != "done" {
				t.Errorf("retried request: got %+v, want status 200, body done", got)
			}
		})
	}
}

// Guards against the same while the far instance connects to its server: the connection comes up after the close.
func TestNothingIsSentAfterClientLeavesDuringFarDial(t *testing.T) {
	for way, leave := range waysToLeave {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			listener := h.startFullBacklogServer("site-b", "late")
			near, far, _ := startTwoSitesWith(t, h, nil, func(c *Config) { c.ConnectTimeout = testTimeout })
			h.listServer("site-b", "s1", "127.0.0.1:1", "removed") // the scripted server
			h.awaitServerCount(far, "site-b", 1)
			c := dial(t, near.addr)
			c.send(getRequest("DELETE /visits/1", "X-Expires-In: 10"))
			far.awaitServing(t)
			leave(c)
			requireNothingSent(t, listener)
		})
	}
}

// Guards against the same behind half of an answer: the server breaks off after the close.
func TestNoRelayedRetryAfterClientLeftHalfAnswered(t *testing.T) {
	h := newTestSites(t)
	near, _, _ := startRetryingSites(t, h)
	c := dial(t, near.addr)
	c.send(retriedRequests()["safe"].text)
	h.nextRequest().response <- "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"
	time.Sleep(leftLimit)
	leaveByReset(c)
	time.Sleep(leftLimit)
	h.closeServerConns()
	h.requireNoAttempt()
}

// closeServerConns closes the connections of all scripted servers.
func (h *testSites) closeServerConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.Close()
	}
}

// Guards against the same while the near instance queries the status of an attempt, as the link broke.
func TestNoRelayedRetryAfterClientLeftDuringStatusQueries(t *testing.T) {
	for way, leave := range waysToLeave {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			near, _, link := startRetryingSites(t, h)
			c := dial(t, near.addr)
			request := retriedRequests()["keyed"]
			c.send(request.text)
			first := h.nextRequest()
			link.breakAll()
			time.Sleep(5 * statusPollInterval)
			leave(c)
			time.Sleep(leftLimit)
			first.response <- request.answer
			h.requireNoAttempt()
		})
	}
}

// A retry after a broken link goes on while the client stays: the status queries show that it does.
func TestRelayedRetryDuringStatusQueries(t *testing.T) {
	h := newTestSites(t)
	near, _, link := startRetryingSites(t, h)
	c := dial(t, near.addr)
	request := retriedRequests()["keyed"]
	c.send(request.text)
	first := h.nextRequest()
	link.breakAll()
	time.Sleep(leftLimit)
	first.response <- request.answer
	h.nextRequest().response <- responseText(201, "", "booked")
	if got := c.readResponse(); got.Status != 201 || got.Body != "booked" {
		t.Errorf("retried request: got %+v, want status 201, body booked", got)
	}
}

// Guards against the same where the link delivers nothing from the moment at which the client leaves, or nothing until
// later, and where it breaks just then.
func TestNoRelayedRetryAfterClientLeftOverBadLink(t *testing.T) {
	for name, disturb := range map[string]func(link *linkForwarder) (restore func()){
		"stalled":        func(link *linkForwarder) func() { return link.setHold(true) },
		"slow and later": func(link *linkForwarder) func() { return link.delayFor(leftLimit / 4) },
		"broken":         func(link *linkForwarder) func() { link.breakAll(); return func() {} },
		"refusing": func(link *linkForwarder) func() {
			link.redirect("127.0.0.1:1")
			link.breakAll()
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			near, _, link := startRetryingSites(t, h)
			c := dial(t, near.addr)
			request := retriedRequests()["keyed"]
			c.send(request.text)
			first := h.nextRequest()
			restore := disturb(link)
			c.Close()
			time.Sleep(leftLimit)
			first.response <- request.answer
			h.requireNoAttempt()
			link.setHold(false)
			restore()
			h.requireNoAttempt()
		})
	}
}

// Guards against a first attempt of a request that a link delivers after its client has left.
func TestNothingIsSentOfRequestDeliveredAfterClientLeft(t *testing.T) {
	for _, milliseconds := range []time.Duration{10, 50, 100, 500, 1500} {
		t.Run((milliseconds * time.Millisecond).String(), func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			near, _, link := startRetryingSites(t, h)
			c := dial(t, near.addr)
			release := link.setHold(true)
			c.send(retriedRequests()["keyed"].text)
			<-link.held
			time.Sleep(milliseconds * time.Millisecond)
			c.Close()
			time.Sleep(leftLimit)
			link.setHold(false)
			release()
			h.requireNoAttempt()
		})
	}
}

// delayFor holds back, from now on, each piece of data for a time. restore ends that.
func (w *linkForwarder) delayFor(pause time.Duration) (restore func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = pause
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.delay = 0
	}
}

// Guards against the same at instances that drain.
func TestNoRelayedRetryAfterClientLeftDuringDrain(t *testing.T) {
	for name, drain := range map[string]func(near, far *testInstance){
		"near": func(near, _ *testInstance) { near.stop() },
		"far":  func(_, far *testInstance) { far.stop() },
		"both": func(near, far *testInstance) { near.stop(); far.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			near, far, _ := startRetryingSites(t, h)
			c := dial(t, near.addr)
			request := retriedRequests()["keyed"]
			c.send(request.text)
			first := h.nextRequest()
			drain(near, far)
			time.Sleep(leftLimit)
			c.Close()
			time.Sleep(leftLimit)
			first.response <- request.answer
			h.requireNoAttempt()
		})
	}
}

// Guards against the same at an instance that sends to its own site's servers.
func TestNoDirectRetryAfterClientLeft(t *testing.T) {
	for kind, request := range retriedRequests() {
		for way, leave := range waysToLeave {
			t.Run(kind+", "+way, func(t *testing.T) {
				t.Parallel()
				h := newTestSites(t)
				h.startServer("site-a", "s1")
				h.startServer("site-a", "s2")
				g := startInstance(t, h, 2, nil)
				g.fillRetryBudget(h, 20)
				c := dial(t, g.addr)
				c.send(request.text)
				first := h.nextRequest()
				leave(c)
				time.Sleep(leftLimit)
				first.response <- request.answer
				h.requireNoAttempt()
			})
		}
	}
}

// A client that leaves while the link's connection is dialled or in its handshake has nothing sent.
func TestNothingIsRelayedAfterClientLeftDuringHandshake(t *testing.T) {
	h := newTestSites(t)
	near, _, link := startTwoSites(t, h, nil)
	release := link.setHold(true)
	c := dial(t, near.addr)
	c.send(retriedRequests()["keyed"].text)
	near.awaitServing(t)
	<-link.held // the first bytes of the handshake
	c.Close()
	time.Sleep(leftLimit)
	link.setHold(false)
	release()
	h.requireNoAttempt()
}

// A client that returns with its key at once is served by the site that may have run its first attempt.
func TestKeyStaysWithItsSiteAfterClientLeft(t *testing.T) {
	h := newTestSites(t)
	near, _, _ := startRetryingSites(t, h)
	text := retriedRequests()["keyed"].text
	for i := range 5 {
		c := dial(t, near.addr)
		c.send(text)
		first := h.nextRequest()
		if i%2 == 0 {
			leaveByReset(c)
		} else {
			c.Close()
		}
		again := dial(t, near.addr)
		again.send(text)
		second := h.nextRequest()
		if first.server[:6] != second.server[:6] {
			t.Errorf("the key was sent to %s, then to %s, of another site", first.server, second.server)
		}
		second.response <- responseText(201, "", "booked "+strconv.Itoa(i))
		first.response <- ""
		if got := again.readResponse(); got.Status != 201 || got.Body != "booked "+strconv.Itoa(i) {
			t.Errorf("client that returned: got %+v, want status 201, body booked %d", got, i)
		}
		again.Close()
	}
}

// An answer that crosses the close of its client reaches nobody else, and capacity and units come back once.
func TestAnswerThatCrossesCloseReachesNobodyElse(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := startRetryingSites(t, h)
	for i := range 60 {
		c := dial(t, near.addr)
		c.send(getRequest("GET /visits/crossing"))
		first := h.nextRequest()
		crossed := make(chan struct{})
		go func() {
			defer close(crossed)
			first.response <- responseText(200, "", "crossing")
		}()
		time.Sleep(time.Duration(i%4) * 100 * time.Microsecond)
		leaveByReset(c)
		<-crossed
		other := dial(t, near.addr)
		other.send(getRequest("GET /visits/other"))
		h.nextRequest().response <- responseText(200, "", strconv.Itoa(i))
		if got := other.readResponse(); got.Status != 200 || got.Body != strconv.Itoa(i) {
			t.Fatalf("request beside a client that left: got %+v, want status 200, body %d", got, i)
		}
		other.Close()
	}
	for end := time.Now().Add(testTimeout); near.isServing() || far.isServing(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("requests of clients that left are still in progress")
		}
	}
	near.relay.mu.Lock()
	defer near.relay.mu.Unlock()
	if n := near.relay.budget.InFlight(); n != 0 {
		t.Errorf("relayed requests in flight at the end: got %d, want 0", n)
	}
}

// Guards against a request that is counted as not sent though it reached a server, which rejected it while its client
// left (found by the scenario relay-clients-leave). What the other site says of it frees its key and no more.
func TestAttemptCountsAfterClientLeft(t *testing.T) {
	for _, c := range []struct {
		answered, want policy.Result
		isKeyFree      bool
	}{
		{policy.RejectedByServer, policy.NotSent, true},
		{policy.ErrorResponse, policy.Cancelled, false},
		{policy.Cancelled, policy.Cancelled, false},
		{policy.ConnectionReset, policy.ConnectionReset, false},
		{policy.TimedOut, policy.TimedOut, false},
	} {
		r := &pendingRequest{counters: &Counters{}, units: 2, response: response{wasWritten: true}}
		got := resultAfterClientLeft(c.answered)
		r.countAttempt(got)
		if got != c.want || r.neverExecuted(got) != c.isKeyFree {
			t.Errorf("answer %v: got result %v, key free %v; want %v, %v", c.answered, got, r.neverExecuted(got), c.want, c.isKeyFree)
		}
		if sent, units := r.counters.SentRequests.Load(), r.counters.SentUnits.Load(); sent != 1 || units != 2 {
			t.Errorf("answer %v: counted %d sent, %d units; want 1, 2", c.answered, sent, units)
		}
	}
}
