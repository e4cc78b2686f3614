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

// A request crosses as it came, with less time than it came with, and is counted where it entered alone.
func TestRelay(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := twoSites(t, h, nil)
	c := dial(t, near.addr)
	c.send(getRequest("GET /visits/new", "X-Expires-In: 1.000", "X-Mulleinmux-Crossing: mine"))
	a := h.nextRequest()
	if left := a.header.Get("X-Expires-In"); a.server != "hall-b/s1" || left < "0.5" || left > "0.985" {
		t.Errorf("reached %s with %s s left of 1", a.server, left)
	}
	if a.header.Get(relayIDField) != "" {
		t.Error("the crossing's id goes on to the hall")
	}
	a.response <- responseText(200, "X-Of-Hall: 1\r\n", "slots")
	if got := c.readResponse(); got.status != 200 || got.body != "slots" || got.header.Get("X-Of-Hall") != "1" {
		t.Errorf("%+v", got)
	}
	if units, sent, answers := near.totals(); units == 0 || sent != 1 || answers != 1 {
		t.Errorf("where it entered: %d units, %d sent, %d answers", units, sent, answers)
	}
	if units, sent, answers := far.totals(); units+sent+answers != 0 {
		t.Errorf("where it crossed to: %d units, %d sent, %d answers", units, sent, answers)
	}
}

// A far instance remembers one relayed request for each connection whose answers are read, not all of half a minute.
func TestAnsweredRelaysAreForgotten(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := twoSites(t, h, nil)
	c := dial(t, near.addr)
	for range 20 {
		c.send(getRequest("GET /visits/new"))
		(h.nextRequest()).response <- responseText(200, "", "slots")
		if got := c.readResponse(); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	l := far.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.arrivals.Len(); n == 0 || n > 2 {
		t.Errorf("%d crossings are remembered after 20, one after the other", n)
	}
}

// What the far site can't take is told truthfully: never ran, which the near instance may try again elsewhere or
// refuse; and "it may have run", which it may not.
func TestRelayFails(t *testing.T) {
	h := newTestSites(t)
	near, _, _ := twoSites(t, h, nil)
	c := dial(t, near.addr)
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k1"))
	for a := h.nextRequest(); ; a = h.nextRequest() { // each attempt may be tried again
		a.response <- responseText(503, "X-Never-Ran: 1\r\n", "")
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.br.Peek(1); err == nil {
			break
		}
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	if got := c.readResponse(); got.status != 429 {
		t.Errorf("never ran: %+v", got)
	}
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k2"))
	for a := h.nextRequest(); ; a = h.nextRequest() {
		a.response <- "" // the connection breaks, and it may have run
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.br.Peek(1); err == nil {
			break
		}
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	if got := c.readResponse(); got.status != 502 {
		t.Errorf("may have run: %+v", got)
	}
}

// The link breaks with the request at the site: the answer is fetched over another connection, and the booking has
// run once.
func TestLinkBreaksBeforeResponse(t *testing.T) {
	h := newTestSites(t)
	near, _, w := twoSites(t, h, nil)
	c := dial(t, near.addr)
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k"))
	a := h.nextRequest()
	w.breakAll()
	time.Sleep(2 * statusPollInterval) // it is asked for while it is under way
	a.response <- responseText(201, "Content-Type: text/plain\r\n", "booked")
	if got := c.readResponse(); got.status != 201 || got.body != "booked" ||
		got.header.Get("Content-Type") != "text/plain" {
		t.Errorf("%+v", got)
	}
	h.expectNoRequest()
}

// The link breaks before the request has come through, and delivers it later: once it was asked for it is void.
func TestLinkDeliversLate(t *testing.T) {
	h := newTestSites(t)
	near, _, w := twoSites(t, h, nil)
	near.earnRetries(h, 20) // the connection is there, and further attempts are earned
	release := w.setHold(true)
	c := dial(t, near.addr)
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k"))
	<-w.held
	w.setHold(false)
	w.breakAll()
	a := h.nextRequest() // the further attempt
	release()            // and now the first one comes through
	h.expectNoRequest()
	a.response <- responseText(201, "", "")
	if got := c.readResponse(); got.status != 201 {
		t.Errorf("%+v", got)
	}
	h.expectNoRequest()
}

// What has come over the link goes to the site's own servers or nowhere.
func TestNothingIsRelayedTwice(t *testing.T) {
	h := newTestSites(t)
	third, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	near, _, _ := twoSites(t, h, func(_, far *RelayConfig) {
		// The far site's instance could go on to a third site.
		far.Remote = map[string][]RelayPeer{"hall-a": {{9, third.Addr().(*net.TCPAddr).AddrPort()}}}
	})
	h.listServer("hall-b", "s1", "127.0.0.1:1", "removed")
	c := dial(t, near.addr)
	got := c.roundTrip(getRequest("GET /visits/new"))
	for end := time.Now().Add(testTimeout); got.status == 200 && time.Now().Before(end); {
		got = c.roundTrip(getRequest("GET /visits/new"))
	}
	if got.status != 429 {
		t.Errorf("%+v", got)
	}
	h.expectNoRequest()
	third.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
	if c, err := third.Accept(); err == nil {
		c.Close()
		t.Error("what has crossed goes on to a third site")
	}
}

// What a site says over the link of requests that were refused: never ran, or not known; and a second copy of a
// relayed request runs nothing.
func TestExecutionStatus(t *testing.T) {
	h := newTestSites(t)
	var as *tls.Config
	var door string
	twoSites(t, h, func(a, b *RelayConfig) { as, door = a.TLS, b.listener.Addr().String() })
	tc, err := tls.Dial("tcp", door, as)
	if err != nil {
		t.Fatal(err)
	}
	defer tc.Close()
	tc.SetDeadline(time.Now().Add(testTimeout))
	c := &testClient{tc, bufio.NewReader(tc), t, ""}
	fate := func(id string) string {
		return c.roundTrip(getRequest("GET "+executionStatusPath,
			relayIDField+": "+id)).header.Get(executionStatusField)
	}
	got := c.roundTrip(getRequest("GET /unknown", relayIDField+": a.1"))
	if got.status != 503 || got.header.Get("X-Never-Ran") != "1" || fate("a.1") != "never" {
		t.Errorf("an operation that is not known here: %+v", got)
	}
	c.send(getRequest("GET /visits/new", relayIDField+": b.1"))
	tries := make(chan bool)
	go func() { // a safe request may be tried again, and refused after it ran
		defer close(tries)
		for {
			select {
			case a := <-h.requests:
				a.response <- responseText(500, "", "")
			case <-tries:
				return
			}
		}
	}()
	got = c.readResponse()
	tries <- true
	<-tries
	if got.status == 200 || got.header.Get("X-Never-Ran") != "" || fate("b.1") != "unknown" {
		t.Errorf("refused after it may have run: %+v", got)
	}
	if got := c.roundTrip(getRequest("GET /visits/new", relayIDField+": b.1")); got.status != 502 ||
		got.header.Get("X-Never-Ran") != "" {
		t.Errorf("a second copy: %+v", got)
	}
	h.expectNoRequest()
}

// An instance without a certificate of this cluster is not heard, and one that is another member than expected is
// sent nothing.
func TestLinkAuthenticatesPeers(t *testing.T) {
	h := newTestSites(t)
	var door string
	dir := t.TempDir()
	var operator *tls.Config
	near, _, _ := twoSites(t, h, func(a, b *RelayConfig) {
		door = b.listener.Addr().String()
		a.Remote["hall-b"][0].Member = 7
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
		"Idempotency-Key: k")); got.status != 429 {
		t.Errorf("by a member that is not the one expected: %+v", got)
	}
	for name, cfg := range map[string]*tls.Config{"a stranger": {InsecureSkipVerify: true}, "an operator": operator} {
		c, err := tls.Dial("tcp", door, cfg)
		if err != nil {
			continue
		}
		defer c.Close() // in TLS 1.3 the client learns of it with its first read
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, strings.Replace(getRequest("GET /visits/new"), "\r\n\r\n",
			"\r\n"+relayIDField+": x.1\r\n\r\n", 1))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%d bytes for %s", n, name)
		}
	}
	h.expectNoRequest()
}

// Where a request enters its units are counted; the far instance, which has a count of its own clients, does not
// refuse it for that.
func TestRelayIsChargedWhereItEntered(t *testing.T) {
	h := newTestSites(t)
	near, far, _ := twoSites(t, h, nil)
	ask := func(r *testInstance) int {
		c := dial(t, r.addr)
		c.send(getRequest("GET /visits/new", "X-Licensee: small"))
		c.SetReadDeadline(time.Now().Add(testTimeout))
		got := make(chan int, 1)
		go func() { got <- c.readResponse().status }()
		for {
			select {
			case a := <-h.requests:
				a.response <- responseText(200, "", "")
			case status := <-got:
				return status
			}
		}
	}
	for status := 200; status == 200; { // until the far instance has none left for it
		status = ask(far)
	}
	if status := ask(near); status != 200 {
		t.Errorf("a crossing that was paid for: %d", status)
	}
}

// No more crosses at once than the budget allows: the surplus is refused at once, and a place that is free again is
// used.
func TestRelayLimit(t *testing.T) {
	h := newTestSites(t)
	near, _, _ := twoSites(t, h, func(near, _ *RelayConfig) { near.MaxInFlight = 2 })
	for began := time.Now(); time.Since(began) < 300*time.Millisecond; {
		near.earnRetries(h, 1) // or the module would take two out at one server for a jam
	}
	var out []*testClient
	var at []*receivedRequest
	book := func(key string) *testClient {
		c := dial(t, near.addr)
		c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+key))
		return c
	}
	for _, key := range []string{"a", "b"} {
		out = append(out, book(key))
		at = append(at, h.nextRequest())
	}
	if got := book("c").readResponse(); got.status != 429 {
		t.Errorf("a third crossing: %+v", got)
	}
	h.expectNoRequest()
	at[0].response <- responseText(201, "", "")
	out[0].readResponse()
	next := book("d")
	h.nextRequest().response <- responseText(201, "", "")
	if got := next.readResponse(); got.status != 201 {
		t.Errorf("with a place free again: %+v", got)
	}
	at[1].response <- responseText(201, "", "")
	out[1].readResponse()
}
