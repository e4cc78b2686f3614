package gateway

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// silentServer is a server of site-b that answers only health checks. It reports each other request on began, and on
// ended when the request's connection is closed.
type silentServer struct {
	began, ended chan string // method and target
}

// newSilentServer starts a silent server and adds it to the site's endpoint list.
func newSilentServer(t *testing.T, h *testSites, id string) *silentServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &silentServer{began: make(chan string, 10), ended: make(chan string, 10)}
	h.goroutines.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			h.goroutines.Go(func() { s.serve(conn) })
		}
	})
	h.listServer("site-b", id, ln.Addr().String(), "up")
	return s
}

func (s *silentServer) serve(conn net.Conn) {
	testserver.ServeRequests(conn, func(r *http.Request, _ []byte) bool {
		if r.URL.Path == healthCheckPath {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.10")
			return err == nil
		}
		line := r.Method + " " + r.RequestURI
		s.began <- line
		conn.Read(make([]byte, 1)) // until the instance closes the connection
		s.ended <- line
		return false
	})
}

// awaitEvent waits for an event of a silent server and fails the test after the timeout.
func awaitEvent(t *testing.T, events <-chan string, what string, timeout time.Duration) {
	t.Helper()
	select {
	case <-events:
	case <-time.After(timeout):
		t.Fatalf("%s: no event within %v", what, timeout)
	}
}

// holdFarReads returns a change for startTwoSites that lets the far instance's reads from the link be blocked.
func holdFarReads(held *heldListener) func(near, far *RelayConfig) {
	return func(_, far *RelayConfig) {
		held.Listener = far.listener
		far.listener = held
	}
}

// heldLink is a far instance whose reads from the link can be blocked, with the TLS configuration to connect to it as
// the near instance does.
type heldLink struct {
	*heldListener
	far    *testInstance
	config *tls.Config
}

func newHeldLink(t *testing.T, h *testSites) *heldLink {
	t.Helper()
	link := &heldLink{heldListener: &heldListener{}}
	_, link.far, _ = startTwoSites(t, h, func(near, far *RelayConfig) {
		link.config = near.TLS
		holdFarReads(link.heldListener)(near, far)
	})
	return link
}

func (l *heldLink) dial(t *testing.T) linkClient {
	t.Helper()
	conn, err := tls.Dial("tcp", l.Addr().String(), l.config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return linkClient{&testClient{conn, bufio.NewReader(conn), t, ""}}
}

// awaitRecordedRequests waits until the far instance has recorded want relayed requests.
func (l *heldLink) awaitRecordedRequests(t *testing.T, want int) {
	t.Helper()
	relay := l.far.relay
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		relay.mu.Lock()
		n := relay.forwarded.Len()
		relay.mu.Unlock()
		if n == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("recorded relayed requests: got %d, want %d", n, want)
		}
	}
}

// finalStatus queries the status of a relayed request until its attempt has ended.
func (c linkClient) finalStatus(id string) (status string) {
	c.t.Helper()
	for status = "underway"; status == "underway"; {
		status = c.executionStatus(id)
	}
	return status
}

// No attempt begins for a relayed request that is read after the near instance has given it up, however late that is.
func TestRelayedRequestReadAfterClose(t *testing.T) {
	for _, milliseconds := range []time.Duration{1, 50, 300, 2000} {
		delay := milliseconds * time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			link := newHeldLink(t, h)
			c := link.dial(t)
			c.executionStatus("other.1") // completes the handshake
			release := link.hold()
			defer release()
			c.send(getRequest("GET /visits/new", relayIDField+": late.1", "X-Expires-In: 15"))
			c.Close()
			time.Sleep(delay)
			release()
			link.awaitRecordedRequests(t, 2)
			if status := link.dial(t).finalStatus("late.1"); status != "never" {
				t.Errorf("status of a request that was given up: got %q, want \"never\"", status)
			}
			h.expectNoRequest()
		})
	}
}

// The attempt of a relayed request ends as soon as the near instance gives the request up.
func TestRelayedAttemptEndsWithItsRequest(t *testing.T) {
	h := newTestSites(t)
	server := newSilentServer(t, h, "s0")
	link := newHeldLink(t, h)
	h.listServer("site-b", "s1", "127.0.0.1:1", "removed") // the scripted server of startTwoSites
	const timeout = 15 * time.Second
	for i := range 3 {
		c := link.dial(t)
		c.send(getRequest("GET /visits/"+strconv.Itoa(i), relayIDField+": a."+strconv.Itoa(i), "X-Expires-In: 15"))
		awaitEvent(t, server.began, "start of the attempt", timeout)
		c.Close()
		awaitEvent(t, server.ended, "end of the attempt", timeout/3)
	}
}

// A broken link does not mean that the request was given up: its attempt continues, and the answer is retained.
func TestRelayedAttemptOutlivesBrokenLink(t *testing.T) {
	h := newTestSites(t)
	link := newHeldLink(t, h)
	c := link.dial(t)
	c.send(getRequest("GET /visits/new", relayIDField+": b.1", "X-Expires-In: 15"))
	a := h.nextRequest()
	c.Conn.(*tls.Conn).NetConn().Close()
	query := link.dial(t)
	time.Sleep(2 * statusPollInterval)
	if status := query.executionStatus("b.1"); status != "underway" {
		t.Errorf("status after the link broke: got %q, want \"underway\"", status)
	}
	a.response <- responseText(200, "", "made")
	if status := query.finalStatus("b.1"); status != "ran" {
		t.Errorf("status after the answer: got %q, want \"ran\"", status)
	}
}

// earlyRetryDescription is a description with latency objectives so low that the engine retries slow requests early.
const earlyRetryDescription = `openapi: 3.0.3
info: {title: t, version: "1"}
x-mulleinmux: {class: check, units: 1}
paths:
  /visits/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {operationId: get, x-mulleinmux: {aim: 400ms}, responses: {"200": {description: ok}}}
    delete: {operationId: cancel, x-mulleinmux: {class: book, aim: 400ms}, responses: {"204": {description: ok}}}
  /visits:
    post:
      operationId: book
      x-mulleinmux: {class: book, effect: keyed, key: {header: Idempotency-Key}, group: zone, window: 30s, aim: 400ms}
      parameters: [{name: Idempotency-Key, in: header, required: true, schema: {type: string}}]
      responses: {"200": {description: ok}}
`

// startFarInstance starts an instance of site-b that accepts the near instance's connections on a listener.
func startFarInstance(t *testing.T, h *testSites, listener net.Listener, member uint64) *testInstance {
	t.Helper()
	credentials, err := h.authority.IssueCredentials(member)
	if err != nil {
		t.Fatal(err)
	}
	config := &RelayConfig{OwnSites: []string{"site-b"}, TLS: credentials.TLSConfig(), listener: listener,
		Verify: func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember("test", s) }}
	config.TLS.SessionTicketsDisabled = true
	return startInstance(t, h, 1, func(c *Config) { c.Relay = config })
}

// isServing reports whether the instance has a request without a final answer.
func (r *testInstance) isServing() bool {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	return len(r.requests.byID) > 0
}

// startTwoFarInstances starts a near instance and two far ones, with earlyRetryDescription. The far instances' reads
// from their links can be blocked.
func startTwoFarInstances(t *testing.T, h *testSites) (near, second *testInstance, links []*heldListener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links = []*heldListener{{}, {Listener: listener}}
	const secondMember = 3
	near, first, _ := startTwoSites(t, h, func(near, far *RelayConfig) {
		holdFarReads(links[0])(near, far)
		second := RelayPeer{secondMember, listener.Addr().(*net.TCPAddr).AddrPort()}
		near.PeersBySite["site-b"] = append(near.PeersBySite["site-b"], second)
	})
	second = startFarInstance(t, h, links[1], secondMember)
	for _, instance := range []*testInstance{near, first, second} {
		instance.install(t, 2, earlyRetryDescription)
	}
	return near, second, links
}

// serveWarmUpRequests has requests served, from which the engine learns the latencies that it retries slow requests by.
func serveWarmUpRequests(t *testing.T, send func(key string) *receivedRequest, c *testClient) {
	t.Helper()
	for i := range 40 {
		send("warm" + strconv.Itoa(i)).response <- responseText(201, "", "")
		if got := c.readResponse(); got.Status != 201 {
			t.Fatalf("warm-up request: got %+v, want status 201", got)
		}
	}
}

// holdServingInstance blocks the link reads of the far instance that is serving a request.
func holdServingInstance(second *testInstance, links []*heldListener) (release func()) {
	if second.isServing() {
		return links[1].hold()
	}
	return links[0].hold()
}

// While the far instance has not reported that the first attempt of a non-idempotent request has ended, no second
// attempt begins, neither there nor at the site's other instance.
func TestNoSecondAttemptWhileFirstMayRun(t *testing.T) {
	h := newTestSites(t)
	near, second, links := startTwoFarInstances(t, h)
	c := dial(t, near.addr)
	book := func(key string) *receivedRequest {
		c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: "+key, "X-Expires-In: 3"))
		return h.nextRequest()
	}
	serveWarmUpRequests(t, book, c)
	attempt := book("k")
	release := holdServingInstance(second, links)
	defer release()
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("request with an attempt of unknown status: got %+v, want status 502", got)
	}
	h.expectNoRequest()
	release()
	attempt.response <- ""
}

// Guards against a status query that gives up, with time left, a request which must not be repeated: it failed although it
// had been served, if the link was down for longer than statusTimeout.
func TestStatusQueryLastsAsLongAsItsRequest(t *testing.T) {
	h := newTestSites(t)
	near, far, link := startTwoSites(t, h, nil)
	for _, instance := range []*testInstance{near, far} {
		instance.install(t, 2, earlyRetryDescription)
	}
	c := dial(t, near.addr)
	book := func(key string) *receivedRequest {
		c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: "+key, "X-Expires-In: 3"))
		return h.nextRequest()
	}
	serveWarmUpRequests(t, book, c)
	attempt := book("k")
	farAddr := link.target()
	link.redirect("127.0.0.1:1")
	link.breakAll()
	attempt.response <- responseText(201, "", "")
	time.Sleep(2 * statusTimeout)
	link.redirect(farAddr)
	if got := c.readResponse(); got.Status != 201 {
		t.Errorf("request that was served: got %+v, want status 201", got)
	}
}

// An idempotent request is retried at the site's other instance once the far instance has had statusTimeout to report
// that the first attempt has ended.
func TestIdempotentRequestOutlivesSilentInstance(t *testing.T) {
	h := newTestSites(t)
	near, second, links := startTwoFarInstances(t, h)
	c := dial(t, near.addr)
	get := func(key string) *receivedRequest {
		c.send(getRequest("GET /visits/" + key))
		return h.nextRequest()
	}
	serveWarmUpRequests(t, get, c)
	began := time.Now()
	attempt := get("k")
	release := holdServingInstance(second, links)
	defer release()
	retry := h.nextRequest()
	if waited := time.Since(began); waited < statusTimeout {
		t.Errorf("the next attempt began after %v, want at least statusTimeout", waited)
	}
	retry.response <- responseText(200, "", "x")
	if got := c.readResponse(); got.Status != 200 {
		t.Errorf("retried request: got %+v, want status 200", got)
	}
	release()
	attempt.response <- ""
}
