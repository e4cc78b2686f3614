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

// silentServer is a server of site-b that answers health checks alone. It tells of each other request, and of its end.
type silentServer struct {
	began, ended chan string // method and target
}

// newSilentServer starts a silent server and lists it.
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

// receive waits for what a channel of the server's tells, within a time.
func receive(t *testing.T, events <-chan string, what string, timeout time.Duration) {
	t.Helper()
	select {
	case <-events:
	case <-time.After(timeout):
		t.Fatalf("%s: not within %v", what, timeout)
	}
}

// holdFarReads has twoSites start the far instance with a link listener whose reads can be held back.
func holdFarReads(held *heldListener) func(near, far *RelayConfig) {
	return func(_, far *RelayConfig) {
		held.Listener = far.listener
		far.listener = held
	}
}

// heldLink is a far instance whose link is held, and what it takes to connect as the near instance does.
type heldLink struct {
	*heldListener
	far    *testInstance
	config *tls.Config
}

func newHeldLink(t *testing.T, h *testSites) *heldLink {
	t.Helper()
	link := &heldLink{heldListener: &heldListener{}}
	_, link.far, _ = twoSites(t, h, func(near, far *RelayConfig) {
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

// awaitArrivals waits until the far instance has recorded so many relayed requests.
func (l *heldLink) awaitArrivals(t *testing.T, want int) {
	t.Helper()
	relay := l.far.relay
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		relay.mu.Lock()
		n := relay.arrivals.Len()
		relay.mu.Unlock()
		if n == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d relayed requests are recorded, not %d", n, want)
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

// A relayed request that is read after the near instance has given it up begins no attempt, however late it is read.
func TestRelayedRequestReadAfterClose(t *testing.T) {
	for _, milliseconds := range []time.Duration{1, 50, 300, 2000} {
		delay := milliseconds * time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			h := newTestSites(t)
			link := newHeldLink(t, h)
			c := link.dial(t)
			c.executionStatus("other.1") // the connection is there
			release := link.hold()
			defer release()
			c.send(getRequest("GET /visits/new", relayIDField+": late.1", "X-Expires-In: 15"))
			c.Close()
			time.Sleep(delay)
			release()
			link.awaitArrivals(t, 2)
			if status := link.dial(t).finalStatus("late.1"); status != "never" {
				t.Errorf("a request that was given up: %s", status)
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
	h.listServer("site-b", "s1", "127.0.0.1:1", "removed") // its scripted one
	const timeout = 15 * time.Second
	for i := range 3 {
		c := link.dial(t)
		c.send(getRequest("GET /visits/"+strconv.Itoa(i), relayIDField+": a."+strconv.Itoa(i), "X-Expires-In: 15"))
		receive(t, server.began, "the attempt's begin", timeout)
		c.Close()
		receive(t, server.ended, "the attempt's end", timeout/3)
	}
}

// A link that breaks is not a request that was given up: its attempt goes on, and the answer is kept.
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
		t.Errorf("once the link is broken: %s", status)
	}
	a.response <- responseText(200, "", "made")
	if status := query.finalStatus("b.1"); status != "ran" {
		t.Errorf("after its answer: %s", status)
	}
}

// quickBooking is a description whose bookings are retried early.
const quickBooking = `openapi: 3.0.3
info: {title: t, version: "1"}
x-mulleinmux: {class: check, units: 1}
paths:
  /visits/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {operationId: get, x-mulleinmux: {aim: 400ms}, responses: {"200": {description: ok}}}
  /visits:
    post:
      operationId: book
      x-mulleinmux: {class: book, effect: keyed, key: {header: Idempotency-Key}, group: zone, window: 30s, aim: 400ms}
      parameters: [{name: Idempotency-Key, in: header, required: true, schema: {type: string}}]
      responses: {"200": {description: ok}}
`

// startSecondFar starts another instance of site-b, which listens for the near one on a socket.
func startSecondFar(t *testing.T, h *testSites, listener net.Listener, member uint64) *testInstance {
	t.Helper()
	credentials, err := h.authority.IssueCredentials(member)
	if err != nil {
		t.Fatal(err)
	}
	config := &RelayConfig{Own: []string{"site-b"}, TLS: credentials.TLSConfig(), listener: listener,
		Verify: func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember("test", s) }}
	config.TLS.SessionTicketsDisabled = true
	return startInstance(t, h, 1, func(c *Config) { c.Relay = config })
}

// isServing reports whether an instance has a request without a final answer.
func (r *testInstance) isServing() bool {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	return len(r.requests.byID) > 0
}

// twoFarInstances starts a near instance and two far ones, whose links can be held back, and which know quickBooking.
func twoFarInstances(t *testing.T, h *testSites) (near, second *testInstance, links []*heldListener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links = []*heldListener{{}, {Listener: listener}}
	const secondMember = 3
	near, first, _ := twoSites(t, h, func(near, far *RelayConfig) {
		holdFarReads(links[0])(near, far)
		second := RelayPeer{secondMember, listener.Addr().(*net.TCPAddr).AddrPort()}
		near.Remote["site-b"] = append(near.Remote["site-b"], second)
	})
	second = startSecondFar(t, h, links[1], secondMember)
	for _, instance := range []*testInstance{near, first, second} {
		instance.install(t, 2, quickBooking)
	}
	return near, second, links
}

// learnLatencies has requests served, so that slow ones are retried early.
func learnLatencies(t *testing.T, send func(key string) *receivedRequest, c *testClient) {
	t.Helper()
	for i := range 40 {
		send("warm" + strconv.Itoa(i)).response <- responseText(201, "", "")
		if got := c.readResponse(); got.Status != 201 {
			t.Fatalf("warming up: %+v", got)
		}
	}
}

// holdServing holds back the far instance that serves a request.
func holdServing(second *testInstance, links []*heldListener) (release func()) {
	if second.isServing() {
		return links[1].hold()
	}
	return links[0].hold()
}

// While the far instance does not say that the first attempt of a booking has ended, no second one begins, neither
// there nor at the site's other instance.
func TestNoSecondAttemptWhileFirstMayRun(t *testing.T) {
	h := newTestSites(t)
	near, second, links := twoFarInstances(t, h)
	c := dial(t, near.addr)
	book := func(key string) *receivedRequest {
		c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: "+key))
		return h.nextRequest()
	}
	learnLatencies(t, book, c)
	attempt := book("k")
	release := holdServing(second, links)
	defer release()
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("with an attempt in doubt: %+v", got)
	}
	h.expectNoRequest()
	release()
	attempt.response <- ""
}

// An idempotent request goes on to the site's other instance, once the far one has had time to say that its attempt has
// ended.
func TestIdempotentRequestOutlivesSilentInstance(t *testing.T) {
	h := newTestSites(t)
	near, second, links := twoFarInstances(t, h)
	c := dial(t, near.addr)
	get := func(key string) *receivedRequest {
		c.send(getRequest("GET /visits/" + key))
		return h.nextRequest()
	}
	learnLatencies(t, get, c)
	began := time.Now()
	attempt := get("k")
	release := holdServing(second, links)
	defer release()
	retry := h.nextRequest()
	if waited := time.Since(began); waited < statusTimeout {
		t.Errorf("the next attempt follows after %v", waited)
	}
	retry.response <- responseText(200, "", "x")
	if got := c.readResponse(); got.Status != 200 {
		t.Errorf("%+v", got)
	}
	release()
	attempt.response <- ""
}
