package gateway

import (
	"net"
	"testing"
	"time"

	"mulleinmux/policy"
)

// restartFar has another instance of site-b, which knows nothing of what the first was sent, take the first one's place
// on the link, with its certificate. The first one's connections break.
func restartFar(t *testing.T, h *testSites, link *linkForwarder) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	startSecondFar(t, h, listener, 2)
	link.redirect(listener.Addr().String())
	link.breakAll()
}

// A far instance that was restarted does not know what its predecessor has sent to servers: a request that may have run
// is not sent again on its word that it never did.
func TestRestartedInstanceCannotTellThatNothingRan(t *testing.T) {
	h := newTestSites(t)
	near, _, link := twoSites(t, h, nil)
	near.earnRetries(h, 20)
	c := dial(t, near.addr)
	c.send(getRequest("DELETE /visits/1")) // not idempotent
	attempt := h.nextRequest()
	restartFar(t, h, link)
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("%+v", got)
	}
	h.expectNoRequest()
	attempt.response <- responseText(204, "", "")
}

// An idempotent request whose link breaks goes on elsewhere once the far instance has had time to say what became of the
// first attempt, however short that attempt's own time was.
func TestIdempotentRequestAwaitsStatusAfterBrokenLink(t *testing.T) {
	h := newTestSites(t)
	near, far, link := twoSites(t, h, nil)
	for _, instance := range []*testInstance{near, far} {
		instance.install(t, 2, quickBooking)
	}
	c := dial(t, near.addr)
	get := func(key string) *receivedRequest {
		c.send(getRequest("GET /visits/" + key))
		return h.nextRequest()
	}
	learnLatencies(t, get, c)
	attempt := get("k")
	const nobody = "127.0.0.1:1"
	link.redirect(nobody)
	brokenAt := time.Now()
	link.breakAll()
	h.startServer("site-a", "s0")
	retry := h.nextRequest()
	if waited := time.Since(brokenAt); retry.server != "site-a/s0" || waited < statusTimeout {
		t.Errorf("the next attempt, at %s, follows after %v", retry.server, waited)
	}
	retry.response <- responseText(200, "", "x")
	if got := c.readResponse(); got.Status != 200 {
		t.Errorf("%+v", got)
	}
	attempt.response <- ""
}

// A request that gets its answer while the far instance is asked what became of its attempt is answered at once.
func TestAnswerDoesNotAwaitStatus(t *testing.T) {
	h := newTestSites(t)
	traces := &traceCollector{}
	near, second, links := twoFarInstances(t, h)
	near.config.Trace = traces.record
	c := dial(t, near.addr)
	book := func(key string) *receivedRequest {
		c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: "+key))
		return h.nextRequest()
	}
	learnLatencies(t, book, c)
	c.send(postRequest("POST /visits", `{}`, "Idempotency-Key: k", "X-Trace-Id: k.0"))
	attempt := h.nextRequest()
	release := holdServing(second, links)
	defer release()
	request := near.awaitStep(t, StepStatusAsked)
	askedAt := time.Now()
	near.fail(request)
	if got := c.readResponse(); got.Status != 502 {
		t.Errorf("%+v", got)
	}
	if took := time.Since(askedAt); took > statusTimeout/2 {
		t.Errorf("answered after %v", took)
	}
	release()
	attempt.response <- ""
}

// awaitStep waits until a request of the instance has come to a step, and returns it.
func (r *testInstance) awaitStep(t *testing.T, kind StepKind) *pendingRequest {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if request := r.requestAtStep(kind); request != nil {
			return request
		}
	}
	t.Fatalf("no request comes to %q", kind)
	return nil
}

// requestAtStep returns a request whose latest step is of a kind; nil: none is.
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

// latest is the kind of the latest step.
func (t *traceRecorder) latest() StepKind {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trace.Steps[len(t.trace.Steps)-1].Kind
}

// An attempt whose connection needs a handshake with an instance that is held up ends at its deadline.
func TestHandshakeEndsAtDeadline(t *testing.T) {
	h := newTestSites(t)
	held := &heldListener{at: heldBeforeRead}
	near, _, _ := twoSites(t, h, holdFarReads(held))
	release := held.hold()
	defer release()
	const timeout = 200 * time.Millisecond
	began := time.Now()
	var rep response
	result := near.servers.exchange(t.Context(), &attemptControl{}, "site-b"+remoteServerMark+"2", began.Add(timeout), false,
		&rep, func(b []byte) []byte { return append(b, getRequest("GET /visits/new")...) })
	if took := time.Since(began); took > 2*timeout || result != policy.NotSent {
		t.Errorf("%v after %v", result, took)
	}
}
