package gateway

import (
	"bufio"
	"crypto/tls"
	"testing"
	"time"
)

// dialLinkAs connects a client to an instance's link with the certificate of a member.
func dialLinkAs(t *testing.T, h *testSites, member uint64, addr string) linkClient {
	t.Helper()
	conn, err := tls.Dial("tcp", addr, memberTLSConfig(t, h.authority, member))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return linkClient{&testClient{conn, bufio.NewReader(conn), t, ""}}
}

// Guards against a booking that is confirmed with the answer to another one and never runs (review/3): the link breaks,
// and another client has sent a booking with the same X-Trace-Id through another instance.
func TestSharedTraceIDOverBrokenLink(t *testing.T) {
	h := newTestSites(t)
	var linkAddr string
	near, _, w := startTwoSites(t, h, func(_, far *RelayConfig) { linkAddr = far.listener.Addr().String() })
	near.fillRetryBudget(h, 20) // opens the link's connection and earns retries
	release := w.setHold(true)
	c := dial(t, near.addr)
	c.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: own", "X-Trace-Id: shared"))
	<-w.held
	t.Cleanup(release)
	other := dialLinkAs(t, h, 3, linkAddr)
	other.send(postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: foreign", "X-Trace-Id: shared",
		relayIDField+": shared.1"))
	h.nextRequest().response <- responseText(201, "", "foreign booking")
	if got := other.readResponse(); got.Status != 201 {
		t.Fatalf("booking of the other client: got %+v, want status 201", got)
	}
	w.setHold(false)
	w.breakAll()
	if c.hasResponse() {
		t.Fatalf("answer before the retry was sent: got %+v", c.readResponse())
	}
	a := h.nextRequest()
	if key := a.header.Get("Idempotency-Key"); key != "own" {
		t.Errorf("retry after the break: got a booking with key %q, want own", key)
	}
	a.response <- responseText(201, "", "own booking")
	if got := c.readResponse(); got.Status != 201 || got.Body != "own booking" {
		t.Errorf("answer after the break: got %+v, want status 201, body own booking", got)
	}
}

// Guards against a status that is another instance's request's: instances of an older version make their IDs from the
// clients' trace IDs, so that two instances may send the same.
func TestExecutionStatusIsOfTheQueryingInstance(t *testing.T) {
	h := newTestSites(t)
	var linkAddr string
	startTwoSites(t, h, func(_, far *RelayConfig) { linkAddr = far.listener.Addr().String() })
	first, second := dialLinkAs(t, h, 1, linkAddr), dialLinkAs(t, h, 3, linkAddr)
	first.send(getRequest("GET /visits/new", relayIDField+": a.1"))
	h.nextRequest().response <- responseText(200, "", "slots")
	if got := first.readResponse(); got.Status != 200 || first.executionStatus("a.1") != "ran" {
		t.Errorf("request of the first instance: got %+v, want status 200, and \"ran\" as its status", got)
	}
	if got := second.executionStatus("a.1"); got != "never" {
		t.Errorf("status of the second instance's request, which has not arrived: got %q, want never", got)
	}
}

// Numbers of relayed attempts differ between the attempts of a process and between processes.
func TestRelayNumbers(t *testing.T) {
	seen := map[string]bool{}
	for range 2 {
		r, err := newRelay(&RelayConfig{OwnSites: []string{"a"}, TLS: &tls.Config{}, Verify: verifyNone})
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			seen[r.numbers.next()] = true
		}
	}
	if len(seen) != 6 {
		t.Errorf("different numbers of six attempts of two processes: got %d, want 6", len(seen))
	}
}

func verifyNone(tls.ConnectionState) (uint64, error) { return 0, nil }
