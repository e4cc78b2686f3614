package gateway

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/raftnode"
)

// leaseHarness is a far instance with two servers, and a link client in place of the near instance.
type leaseHarness struct {
	*testSites
	far   *testInstance
	addr  string
	clock messageClock
	link  linkClient // carries the requests
	other linkClient // carries the status queries
}

func newLeaseHarness(t *testing.T) *leaseHarness {
	t.Helper()
	h := &leaseHarness{testSites: newTestSites(t), clock: newMessageClock()}
	_, h.far, _ = startTwoSites(t, h.testSites, func(_, far *RelayConfig) { h.addr = far.listener.Addr().String() })
	h.startServer("site-b", "s2")
	if err := h.far.AwaitServers(t.Context(), 2, testTimeout); err != nil {
		t.Fatal(err)
	}
	h.link, h.other = dialLinkAs(t, h.testSites, 1, h.addr), dialLinkAs(t, h.testSites, 1, h.addr)
	h.earnRetries(t)
	return h
}

// earnRetries has requests served that earn the far instance retries.
func (h *leaseHarness) earnRetries(t *testing.T) {
	t.Helper()
	for range 20 {
		h.link.send(getRequest("GET /visits/new", relayIDField+": old.1"+time.Now().Format(".000000000")))
		h.nextRequest().response <- responseText(200, "", "")
		if got := h.link.readResponse(); got.Status != 200 {
			t.Fatalf("request that earns retries: got %+v, want status 200", got)
		}
	}
}

// sendRenewable sends a booking whose relaying instance answers questions.
func (h *leaseHarness) sendRenewable(number string) {
	field := string(h.clock.appendRenewable(nil))
	h.link.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+number, "X-Expires-In: 10",
		relayIDField+": "+number, strings.TrimSuffix(field, "\r\n")))
}

// nextQuestion reads the next question, which comes in an interim response.
func (h *leaseHarness) nextQuestion(t *testing.T) clockReading {
	t.Helper()
	var head httpwire.Head
	text := ""
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := h.link.br.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		text += line
	}
	if err := head.ParseResponse(text); err != nil || head.Status != 102 {
		t.Fatalf("got response %q, error %v; want an interim response", text, err)
	}
	question := parseLeaseReply(&head).question
	if question == 0 {
		t.Fatalf("interim response %q: no question", text)
	}
	return question
}

// report sends a status query with a report, and returns the reply and the status.
func (h *leaseHarness) report(t *testing.T, number string, report leaseReport) (reply leaseReply, status string) {
	t.Helper()
	field := strings.TrimSuffix(string(report.appendTo(nil)), "\r\n")
	got := h.other.roundTrip(getRequest("GET "+executionStatusPath, relayIDField+": "+number, field))
	head := httpwire.Head{Fields: []httpwire.Field{{Name: leaseField, Value: got.Header.Get(leaseField)}}}
	return parseLeaseReply(&head), got.Header.Get(executionStatusField)
}

// answer answers a question: the client is connected.
func (h *leaseHarness) answer(t *testing.T, number string, question clockReading) {
	t.Helper()
	h.report(t, number, leaseReport{question: question, sentAt: h.clock.reading(time.Now())})
}

// Guards against a retry for a client that has left while the near instance is stopped, so that it can't say so: the
// retry begins once the near instance has answered, not before, and an answer counts from when it was sent.
func TestRetryAwaitsAnswerAboutClient(t *testing.T) {
	h := newLeaseHarness(t)
	h.sendRenewable("a.1")
	h.answer(t, "a.1", h.nextQuestion(t))
	first := h.nextRequest()
	time.Sleep(leftLimit)
	first.response <- responseText(500, "", "")
	late := leaseReport{question: h.nextQuestion(t), sentAt: h.clock.reading(time.Now())}
	h.requireNoAttempt()
	h.report(t, "a.1", late) // sent before, delivered now
	time.Sleep(leftLimit / 4)
	h.expectNoRequest()
	h.answer(t, "a.1", late.question)
	h.nextRequest().response <- responseText(201, "", "booked")
	got := h.link.readResponse()
	for got.Status == 102 { // questions that were asked meanwhile
		got = h.link.readResponse()
	}
	if got.Status != 201 || got.Body != "booked" {
		t.Errorf("retried request: got %+v, want status 201, body booked", got)
	}
}

// A first attempt needs no question once the sender's clock is known, unless its request arrives late.
func TestOnlyLateRequestsAreAskedFor(t *testing.T) {
	h := newLeaseHarness(t)
	h.sendRenewable("a.1")
	h.answer(t, "a.1", h.nextQuestion(t))
	h.nextRequest().response <- responseText(201, "", "first")
	if got := h.link.readResponse(); got.Body != "first" {
		t.Fatalf("first request: got %+v, want body first", got)
	}
	h.sendRenewable("a.2")
	h.nextRequest().response <- responseText(201, "", "second")
	if got := h.link.readResponse(); got.Status != 201 || got.Body != "second" {
		t.Fatalf("second request: got %+v, want status 201, body second", got)
	}
	h.clock.zero = h.clock.zero.Add(leftLimit) // the third request is sent earlier, by its sender's clock
	h.sendRenewable("a.3")
	h.nextQuestion(t)
	h.requireNoAttempt()
}

// A reported leave ends the attempt at once, the request is answered, and its connection carries the next one. What was
// written may have run.
func TestRevokedRequestIsAnswered(t *testing.T) {
	h := newLeaseHarness(t)
	for _, number := range []string{"a.1", "a.2", "a.3"} {
		h.link.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+number, "X-Expires-In: 10",
			relayIDField+": "+number))
		first := h.nextRequest()
		reply, _ := h.report(t, number, leaseReport{isRevoked: true})
		if !reply.isRevoked {
			t.Error("report that the client has left: not acknowledged")
		}
		if got := h.link.readResponse(); got.Status != 502 || got.Header.Get(neverRanField) != "" {
			t.Errorf("request whose client has left: got %+v, want status 502", got)
		}
		if _, status := h.report(t, number, leaseReport{isRevoked: true}); status != "unknown" {
			t.Errorf("status of a request that may have run: got %q, want unknown", status)
		}
		first.response <- ""
	}
}

// A leave that is reported before the request arrives voids the request.
func TestRevokedRequestThatArrivesLate(t *testing.T) {
	h := newLeaseHarness(t)
	if reply, status := h.report(t, "a.1", leaseReport{isRevoked: true}); !reply.isRevoked || status != "never" {
		t.Errorf("report on a request that has not arrived: got acknowledged %v, status %q; want true, never",
			reply.isRevoked, status)
	}
	h.sendRenewable("a.1")
	if got := h.link.readResponse(); got.Header.Get(neverRanField) != neverRanValue {
		t.Errorf("voided request: got %+v, want a statement that it never ran", got)
	}
	h.requireNoAttempt()
}

// Reports that no instance sends have no effect.
func TestInvalidLeaseReports(t *testing.T) {
	for _, text := range []string{"", "renewable", "-1", "1e3 1", "18446744073709551616 1", "revoked 1", " ", "x y"} {
		head := httpwire.Head{Fields: []httpwire.Field{{Name: leaseField, Value: text}}}
		if got := parseLeaseReport(&head); got.isRevoked || got.question != 0 {
			t.Errorf("report %q: got %+v, want an empty one", text, got)
		}
	}
	h := newLeaseHarness(t)
	h.sendRenewable("a.1")
	question := h.nextQuestion(t)
	future := h.far.relay.clock.reading(time.Now().Add(time.Hour))
	for _, invalid := range []clockReading{1, future, 1<<64 - 1} {
		h.answer(t, "a.1", invalid)
	}
	h.expectNoRequest()
	h.answer(t, "a.1", question)
	h.nextRequest().response <- responseText(201, "", "")
}

// An instance of an older version does not acknowledge that a client has left. It gives the request up as the connection
// is closed.
func TestLinkToOlderInstanceIsClosedWhenClientLeaves(t *testing.T) {
	h := newTestSites(t)
	authority, err := raftnode.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	h.authority = authority
	ln, err := tls.Listen("tcp", "127.0.0.1:0", memberTLSConfig(t, authority, 2))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	old := &olderInstance{began: make(chan string, 10), closed: make(chan bool, 10)}
	h.goroutines.Go(func() { old.accept(h, ln) })
	near := startInstance(t, h, 1, func(c *Config) {
		c.Relay = &RelayConfig{OwnSites: []string{"site-a"}, TLS: memberTLSConfig(t, authority, 1),
			Listen:      ln.Addr().(*net.TCPAddr).AddrPort(),
			PeersBySite: map[string][]RelayPeer{"site-b": {{2, ln.Addr().(*net.TCPAddr).AddrPort()}}},
			Verify:      func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember("test", s) }}
		if c.Relay.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	})
	c := dial(t, near.addr)
	c.send(retriedRequests()["keyed"].text)
	awaitEvent(t, old.began, "relayed request", testTimeout)
	c.Close()
	select {
	case isAlert := <-old.closed:
		if !isAlert {
			t.Error("the link's connection ended without an alert, by which a request is not given up")
		}
	case <-time.After(testTimeout):
		t.Error("the link's connection stays open after the client has left")
	}
}

// olderInstance is a far instance that knows no leases.
type olderInstance struct {
	began  chan string // receives the line of each relayed request
	closed chan bool   // receives whether the connection of a relayed request was closed with an alert
}

func (o *olderInstance) accept(h *testSites, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		h.goroutines.Go(func() { o.serve(conn) })
	}
}

// serve answers health checks and status queries, but no relayed request.
func (o *olderInstance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case healthCheckPath:
			io.WriteString(conn, responseText(200, "", ""))
		case executionStatusPath:
			io.WriteString(conn, "HTTP/1.1 204 No Content\r\n"+executionStatusField+": underway\r\n"+uptimeField+": 100\r\n\r\n")
		default:
			o.began <- r.Method
			_, err := reader.ReadByte()
			o.closed <- err == io.EOF
			return
		}
	}
}

// Clients that leave cost no connection of the link: the requests of others go on over those that are open.
func TestLinkConnectionsOutliveClientsThatLeave(t *testing.T) {
	h := newTestSites(t)
	near, _, link := startRetryingSites(t, h)
	count := func() int {
		link.mu.Lock()
		defer link.mu.Unlock()
		return len(link.nearConns)
	}
	for range 30 {
		c := dial(t, near.addr)
		c.send(getRequest("GET /visits/left"))
		first := h.nextRequest()
		c.Close()
		for end := time.Now().Add(testTimeout); near.isServing(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the request of a client that left is still in progress")
			}
		}
		first.response <- ""
	}
	if n := count(); n > 4 {
		t.Errorf("connections of the link after 30 clients that left one after the other: got %d, want 4 at most", n)
	}
}
