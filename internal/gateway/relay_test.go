package gateway

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/raftnode"
)

// A request is relayed unchanged but with a shorter timeout, and only the instance that received it from the client
// counts it.
func TestRelay(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := startTwoSites(t, h, nil)
	c := dial(t, near.addr)
	c.send(getRequest("GET /visits/new", "X-Expires-In: 1.000", "X-Mulleinmux-Crossing: mine"))
	a := h.nextRequest()
	if left := a.header.Get("X-Expires-In"); a.server != "site-b/s1" || left < "0.5" || left > "0.985" {
		t.Errorf("request reached %s with a timeout of %s s, want site-b/s1 with 0.5 to 0.985", a.server, left)
	}
	if a.header.Get(relayIDField) != "" {
		t.Error("the relay ID was forwarded to the server")
	}
	a.response <- responseText(200, "X-Of-Site: 1\r\n", "slots")
	if got := c.readResponse(); got.Status != 200 || got.Body != "slots" || got.Header.Get("X-Of-Site") != "1" {
		t.Errorf("relayed response: got %+v", got)
	}
	if units, sent, answers := near.totals(); units == 0 || sent != 1 || answers != 1 {
		t.Errorf("near instance: got %d units, %d sent, %d answers; want units, 1 sent, 1 answer", units, sent, answers)
	}
	if units, sent, answers := far.totals(); units+sent+answers != 0 {
		t.Errorf("far instance: got %d units, %d sent, %d answers; want none", units, sent, answers)
	}
}

// A far instance drops its record of a relayed request once the answer has been read. So it records one request per
// connection, not all of the last 30 s.
func TestAnsweredRelaysAreForgotten(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := startTwoSites(t, h, nil)
	c := dial(t, near.addr)
	for range 20 {
		c.send(getRequest("GET /visits/new"))
		(h.nextRequest()).response <- responseText(200, "", "slots")
		if got := c.readResponse(); got.Status != 200 {
			t.Fatalf("relayed request: got %+v, want status 200", got)
		}
	}
	l := far.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.forwarded.Len(); n == 0 || n > 2 {
		t.Errorf("recorded relayed requests after 20 sequential ones: got %d, want 1 or 2", n)
	}
}

// The far site reports whether a request that it can't serve never ran or may have run. The near instance may retry or
// reject a request that never ran; one that may have run fails.
func TestRelayFails(t *testing.T) {
	h := newTestSites(t)
	near, _, _ := startTwoSites(t, h, nil)
	c := dial(t, near.addr)
	for _, test := range []struct {
		name     string
		response string // of the server to every attempt
		status   int
	}{
		{"never ran", responseText(503, "X-Never-Ran: 1\r\n", ""), 429},
		{"the connection breaks, and it may have run", "", 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+test.name))
			for !c.hasResponse() { // each attempt may be followed by another
				h.nextRequest().response <- test.response
			}
			if got := c.readResponse(); got.Status != test.status {
				t.Errorf("got %+v, want status %d", got, test.status)
			}
		})
	}
}

// hasResponse reports whether a response begins to arrive within 50 ms.
func (a *testClient) hasResponse() bool {
	defer a.SetDeadline(time.Now().Add(testTimeout))
	a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := a.br.Peek(1)
	return err == nil
}

// If the link breaks while a relayed request is executing, its answer is fetched over another connection, and the
// request runs only once.
func TestLinkBreaksBeforeResponse(t *testing.T) {
	h := newTestSites(t)
	near, _, w := startTwoSites(t, h, nil)
	c := dial(t, near.addr)
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k"))
	a := h.nextRequest()
	w.breakAll()
	time.Sleep(2 * statusPollInterval) // its status is queried while it is executing
	a.response <- responseText(201, "Content-Type: text/plain\r\n", "booked")
	if got := c.readResponse(); got.Status != 201 || got.Body != "booked" ||
		got.Header.Get("Content-Type") != "text/plain" {
		t.Errorf("retained response: got %+v, want status 201, text/plain, body booked", got)
	}
	h.expectNoRequest()
}

// A link may break before it delivers a request and deliver it later. The request must not run then, as the status
// query has voided it.
func TestLinkDeliversLate(t *testing.T) {
	h := newTestSites(t)
	near, _, w := startTwoSites(t, h, nil)
	near.fillRetryBudget(h, 20) // opens the link's connection and earns retries
	release := w.setHold(true)
	c := dial(t, near.addr)
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k"))
	<-w.held
	w.setHold(false)
	w.breakAll()
	a := h.nextRequest() // the retry
	release()            // delivers the first attempt
	h.expectNoRequest()
	a.response <- responseText(201, "", "")
	if got := c.readResponse(); got.Status != 201 {
		t.Errorf("retried request: got %+v, want status 201", got)
	}
	h.expectNoRequest()
}

// A relayed request is sent only to the site's own servers.
func TestNothingIsRelayedTwice(t *testing.T) {
	h := newTestSites(t)
	third, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	near, _, _ := startTwoSites(t, h, func(_, far *RelayConfig) {
		// The far site's instance could relay to a third site.
		far.PeersBySite = map[string][]RelayPeer{"site-a": {{9, third.Addr().(*net.TCPAddr).AddrPort()}}}
	})
	h.listServer("site-b", "s1", "127.0.0.1:1", "removed")
	c := dial(t, near.addr)
	got := c.roundTrip(getRequest("GET /visits/new"))
	for end := time.Now().Add(testTimeout); got.Status == 200 && time.Now().Before(end); {
		got = c.roundTrip(getRequest("GET /visits/new"))
	}
	if got.Status != 429 {
		t.Errorf("relayed request without a server at the far site: got %+v, want status 429", got)
	}
	h.expectNoRequest()
	third.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
	if c, err := third.Accept(); err == nil {
		c.Close()
		t.Error("a relayed request was relayed to a third site")
	}
}

// linkClient is a client that connects to an instance as another site's instance does.
type linkClient struct{ *testClient }

// dialLink starts two sites and connects a client to the far instance with the near instance's certificate.
func dialLink(t *testing.T, h *testSites) linkClient {
	t.Helper()
	var config *tls.Config
	var addr string
	startTwoSites(t, h, func(a, b *RelayConfig) { config, addr = a.TLS, b.listener.Addr().String() })
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return linkClient{&testClient{conn, bufio.NewReader(conn), t, ""}}
}

// executionStatus queries the status of a relayed request.
func (c linkClient) executionStatus(id string) string {
	c.t.Helper()
	query := getRequest("GET "+executionStatusPath, relayIDField+": "+id)
	return c.roundTrip(query).Header.Get(executionStatusField)
}

// An instance reports to the other site whether a failed request never ran or may have run, and does not run a second
// copy of a relayed request.
func TestExecutionStatus(t *testing.T) {
	h := newTestSites(t)
	c := dialLink(t, h)
	got := c.roundTrip(getRequest("GET /unknown", relayIDField+": a.1"))
	if got.Status != 503 || got.Header.Get("X-Never-Ran") != "1" || c.executionStatus("a.1") != "never" {
		t.Errorf("unknown operation: got %+v, want status 503 with X-Never-Ran, and \"never\" as its status", got)
	}
	c.send(getRequest("GET /visits/new", relayIDField+": b.1"))
	stop := h.respondToAll(responseText(500, "", "")) // a retry may be rejected after the request has run
	got = c.readResponse()
	stop()
	if got.Status == 200 || got.Header.Get("X-Never-Ran") != "" || c.executionStatus("b.1") != "unknown" {
		t.Errorf("failed request that may have run: got %+v, want no X-Never-Ran, and \"unknown\" as its status", got)
	}
	if got := c.roundTrip(getRequest("GET /visits/new", relayIDField+": b.1")); got.Status != 502 ||
		got.Header.Get("X-Never-Ran") != "" {
		t.Errorf("second copy of a relayed request: got %+v, want status 502 without X-Never-Ran", got)
	}
	h.expectNoRequest()
}

// respondToAll answers every request that reaches a server with the same response, until stop is called.
func (h *testSites) respondToAll(response string) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case a := <-h.requests:
				a.response <- response
			case <-stopping:
				return
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// An instance does not answer a peer without a member certificate of its cluster, and sends no request to a peer that
// is another member than expected.
func TestLinkAuthenticatesPeers(t *testing.T) {
	h := newTestSites(t)
	var linkAddr string
	dir := t.TempDir()
	var operator *tls.Config
	near, _, _ := startTwoSites(t, h, func(a, b *RelayConfig) {
		linkAddr = b.listener.Addr().String()
		a.PeersBySite["site-b"][0].Member = 7
		auth := h.authority
		if err := errors.Join(auth.Write(dir), auth.WriteOperator(dir, "op")); err != nil {
			t.Fatal(err)
		}
		creds, err := raftnode.LoadCredentialFiles(dir, raftnode.OperatorFilePrefix("op"))
		if err != nil {
			t.Fatal(err)
		}
		operator = creds.TLSConfig()
	})
	if got := dial(t, near.addr).roundTrip(postRequest("POST /visits", `{"installers": 1}`,
		"Idempotency-Key: k")); got.Status != 429 {
		t.Errorf("request via an unexpected member: got %+v, want status 429", got)
	}
	for name, cfg := range map[string]*tls.Config{"a stranger": {InsecureSkipVerify: true}, "an operator": operator} {
		c, err := tls.Dial("tcp", linkAddr, cfg)
		if err != nil {
			continue
		}
		defer c.Close() // in TLS 1.3 the client's first read returns the rejection
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, strings.Replace(getRequest("GET /visits/new"), "\r\n\r\n",
			"\r\n"+relayIDField+": x.1\r\n\r\n", 1))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("got %d bytes as %s, want an error", n, name)
		}
	}
	h.expectNoRequest()
}

// A connection to an instance whose certificate is not that of the expected member is rejected with the reason.
func TestRelayRejectsCertificateOfOtherMember(t *testing.T) {
	authority, err := raftnode.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	config := &RelayConfig{TLS: memberTLSConfig(t, authority, 1)}
	r := &relay{config: config}
	for name, test := range map[string]struct{ cluster, server, want string }{
		"member": {"test", "site-b/@7", "link: peer certificate is for member 2, want member 7"},
		"cluster": {
			"other", "site-b/@2", `link: certificate of "test/2" is not the certificate of a member of cluster "other"`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			go tls.Server(far, memberTLSConfig(t, authority, 2)).HandshakeContext(t.Context())
			config.Verify = func(s tls.ConnectionState) (uint64, error) { return raftnode.VerifyMember(test.cluster, s) }
			_, err := r.secure(t.Context(), test.server, near)
			if err == nil || err.Error() != test.want {
				t.Errorf("secure: got error %v, want %q", err, test.want)
			}
		})
	}
}

// memberTLSConfig returns the TLS configuration of a member with a new certificate.
func memberTLSConfig(t *testing.T, authority *raftnode.Authority, member uint64) *tls.Config {
	t.Helper()
	credentials, err := authority.IssueCredentials(member)
	if err != nil {
		t.Fatal(err)
	}
	config := credentials.TLSConfig()
	config.SessionTicketsDisabled = true
	return config
}

// The near instance charges a relayed request. The far instance does not reject it even if the customer's quota is
// exhausted there.
func TestRelayIsChargedWhereItEntered(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := startTwoSites(t, h, nil)
	defer h.respondToAll(responseText(200, "", ""))()
	request := getRequest("GET /visits/new", "X-Licensee: small")
	for status := 200; status == 200; { // until the customer's quota at the far instance is exhausted
		status = dial(t, far.addr).roundTrip(request).Status
	}
	if status := dial(t, near.addr).roundTrip(request).Status; status != 200 {
		t.Errorf("relayed request that the near instance charges: got status %d, want 200", status)
	}
}

// At most MaxInFlight requests are relayed concurrently. Others are rejected immediately, until one of these has ended.
func TestRelayLimit(t *testing.T) {
	h := newTestSites(t)
	near, _, _ := startTwoSites(t, h, func(near, _ *RelayConfig) { near.MaxInFlight = 2 })
	for began := time.Now(); time.Since(began) < 300*time.Millisecond; {
		near.fillRetryBudget(h, 1) // otherwise the engine treats two in flight at one server as an overload
	}
	book := func(key string) *testClient {
		c := dial(t, near.addr)
		c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+key))
		return c
	}
	first := book("a")
	atFirst := h.nextRequest()
	second := book("b")
	atSecond := h.nextRequest()
	if got := book("c").readResponse(); got.Status != 429 {
		t.Errorf("third request in flight: got %+v, want status 429", got)
	}
	h.expectNoRequest()
	atFirst.response <- responseText(201, "", "")
	first.readResponse()
	next := book("d")
	h.nextRequest().response <- responseText(201, "", "")
	if got := next.readResponse(); got.Status != 201 {
		t.Errorf("request after one has ended: got %+v, want status 201", got)
	}
	atSecond.response <- responseText(201, "", "")
	second.readResponse()
}
