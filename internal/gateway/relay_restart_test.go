package gateway

import (
	"net"
	"testing"
	"time"

	"mulleinmux/policy"
)

// replaceFarInstance replaces the far instance on the link by a new one of site-b, with the same member certificate but
// no record of the requests that were relayed to the first. The connections to the first one break.
func replaceFarInstance(t *testing.T, h *testSites, link *linkForwarder) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	startFarInstance(t, h, listener, 2)
	link.redirect(listener.Addr().String())
	link.breakAll()
}

// A restarted far instance has no record of what its predecessor sent to servers. If it reports that a request never
// ran, the request must not be sent again, as it may have run.
func TestRestartedInstanceCannotTellThatNothingRan(t *testing.T) {
	h := newTestSites(t)
	near, _, link := startTwoSites(t, h, nil)
	near.fillRetryBudget(h, 20)
	c := dial(t, near.addr)
	c.send(getRequest("DELETE /visits/1")) // not idempotent
	attempt := h.nextRequest()
	replaceFarInstance(t, h, link)
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("request whose far instance restarted: got %+v, want status 502", got)
	}
	h.expectNoRequest()
	attempt.response <- responseText(204, "", "")
}

// An idempotent request whose link breaks is retried elsewhere once the far instance has had statusTimeout to report
// the status of the first attempt, even if that attempt's own timeout was shorter.
func TestIdempotentRequestAwaitsStatusAfterBrokenLink(t *testing.T) {
	h := newTestSites(t)
	near, far, link := startTwoSites(t, h, nil)
	for _, instance := range []*testInstance{near, far} {
		instance.install(t, 2, earlyRetryDescription)
	}
	c := dial(t, near.addr)
	get := func(key string) *receivedRequest {
		c.send(getRequest("GET /visits/" + key))
		return h.nextRequest()
	}
	serveWarmUpRequests(t, get, c)
	attempt := get("k")
	const unusedAddr = "127.0.0.1:1"
	link.redirect(unusedAddr)
	brokenAt := time.Now()
	link.breakAll()
	h.startServer("site-a", "s0")
	retry := h.nextRequest()
	if waited := time.Since(brokenAt); retry.server != "site-a/s0" || waited < statusTimeout {
		t.Errorf("the next attempt began at %s after %v, want site-a/s0 after statusTimeout", retry.server, waited)
	}
	retry.response <- responseText(200, "", "x")
	if got := c.readResponse(); got.Status != 200 {
		t.Errorf("retried request: got %+v, want status 200", got)
	}
	attempt.response <- ""
}

// A request whose answer is decided while the far instance is being queried for the attempt's status is answered at
// once.
func TestAnswerDoesNotAwaitStatus(t *testing.T) {
	h := newTestSites(t)
	traces := &traceCollector{}
	near, second, links := startTwoFarInstances(t, h)
	near.config.OnTrace = traces.record
	c := dial(t, near.addr)
	book := func(key string) *receivedRequest {
		c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: "+key))
		return h.nextRequest()
	}
	serveWarmUpRequests(t, book, c)
	c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: k", "X-Trace-Id: k.0"))
	attempt := h.nextRequest()
	release := holdServingInstance(second, links)
	defer release()
	request := near.awaitStep(t, StepStatusQueried)
	queriedAt := time.Now()
	near.fail(request)
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("request answered during the query: got %+v, want status 502", got)
	}
	if took := time.Since(queriedAt); took > statusTimeout/2 {
		t.Errorf("answered %v after the query began, want at most half of statusTimeout", took)
	}
	release()
	attempt.response <- ""
}

// awaitStep waits until the latest step of a request of the instance is of a kind, and returns the request.
func (r *testInstance) awaitStep(t *testing.T, kind StepKind) *pendingRequest {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if request := r.requestAtStep(kind); request != nil {
			return request
		}
	}
	t.Fatalf("no request reached step %q within testTimeout", kind)
	return nil
}

// requestAtStep returns a request whose latest step is of a kind, or nil if there is none.
func (r *testInstance) requestAtStep(kind StepKind) *pendingRequest {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	for _, request := range r.requests.byID {
		if request.recorder.latest() == kind {
			return request
		}
	}
	return nil
}

// latest returns the kind of the latest step.
func (t *traceRecorder) latest() StepKind {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trace.Steps[len(t.trace.Steps)-1].Kind
}

// An attempt that waits for the TLS handshake with an unresponsive instance ends at its deadline.
func TestHandshakeEndsAtDeadline(t *testing.T) {
	h := newTestSites(t)
	held := &heldListener{at: heldBeforeRead}
	near, _, _ := startTwoSites(t, h, holdFarReads(held))
	release := held.hold()
	defer release()
	const timeout = 200 * time.Millisecond
	began := time.Now()
	var resp response
	request := exchangeRequest{
		server: "site-b" + remoteServerSeparator + "2",
		limits: untilDeadline(began.Add(timeout)),
		append: func(b []byte) []byte { return append(b, getRequest("GET /visits/new")...) },
	}
	result := near.servers.exchange(t.Context(), &attemptControl{}, request, &resp)
	if took := time.Since(began); took > 2*timeout || result != policy.NotSent {
		t.Errorf("handshake with an unresponsive instance: got %v after %v, want NotSent at the deadline", result, took)
	}
}
