package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// retryCase is a request, the response to its first attempt, and whether a retry is expected.
type retryCase struct {
	name, text, answer string
	isRetried          bool // a second attempt is expected
	status             int  // of the final response if not isRetried
}

func retryCases() []retryCase {
	neverRan := responseText(503, "X-Never-Ran: 1\r\n", "")
	keyed := postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k")
	return []retryCase{
		{"idempotent, reset", getRequest("GET /visits/1"), "", true, 0},
		{"idempotent, half an answer", getRequest("GET /visits/1"), halfAnswer, true, 0},
		{"idempotent, 429 that may have run", getRequest("GET /visits/1"), responseText(429, "", ""), true, 0},
		{"non-idempotent, never ran", getRequest("DELETE /visits/1"), neverRan, true, 0},
		{"non-idempotent, reset", getRequest("DELETE /visits/1"), "", false, 502},
		{"non-idempotent, 500", getRequest("DELETE /visits/1"), responseText(500, "", ""), false, 502},
		{"non-idempotent, 503 that may have run", getRequest("DELETE /visits/1"), responseText(503, "", ""), false, 502},
		{"non-idempotent, noise", getRequest("DELETE /visits/1"), "noise\r\n\r\n", false, 502},
		{"non-idempotent, two lengths", getRequest("DELETE /visits/1"),
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, 502},
		{"non-idempotent, no length", getRequest("DELETE /visits/1"), "HTTP/1.1 200 OK\r\n\r\nab", false, 502},
		{"non-idempotent, 404", getRequest("DELETE /visits/1"), responseText(404, "", "none"), false, 404},
		{"idempotent with a key, 500", keyed, responseText(500, "", ""), true, 0},
		{"idempotent with a key, 409", keyed, responseText(409, "", ""), false, 409},
	}
}

// halfAnswer is an answer whose server closes the connection before its end.
const halfAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"

// The result of an attempt, which determines whether the request may have run, decides whether it is retried.
func TestRetries(t *testing.T) {
	for _, c := range retryCases() {
		t.Run(c.name, func(t *testing.T) {
			h := newTestSites(t)
			for _, id := range []string{"s0", "s1", "s2"} {
				h.startServer("site-a", id)
			}
			g := startInstance(t, h, 3, nil)
			g.fillRetryBudget(h, 8)
			a := dial(t, g.addr)
			a.send(c.text)
			h.nextRequest().response <- c.answer
			want := c.status
			if c.isRetried {
				h.nextRequest().response <- responseText(200, "", "ok")
				want = 200
			}
			if r := a.readResponse(); r.Status != want {
				t.Errorf("response: got %+v, want status %d", r, want)
			}
			h.expectNoRequest()
		})
	}
}

// A request to a server that does not respond gets its final answer within its timeout.
func TestUnresponsiveServer(t *testing.T) {
	h, g, c := startWithServer(t)
	began := time.Now()
	c.send(getRequest("DELETE /visits/1", "X-Expires-In: 0.3"))
	a := h.nextRequest()
	r := c.readResponse()
	if took := time.Since(began); r.Status != 502 || took > time.Second {
		t.Errorf("response: got %+v after %v, want status 502 within 1s", r, took)
	}
	a.response <- ""
	if units, _, _ := g.totals(); units != 2 {
		t.Errorf("counters: got %d units, want 2", units)
	}
}

// A request is not retried after its client has disconnected.
func TestNoRetryAfterClientLeft(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s0")
	h.startServer("site-a", "s1")
	var last atomic.Pointer[RequestRecord]
	g := startInstance(t, h, 2, func(c *Config) { c.OnAnswer = func(r RequestRecord) { last.Store(&r) } })
	g.fillRetryBudget(h, 8)
	last.Store(nil)
	c := dial(t, g.addr)
	c.send(getRequest("GET /visits/1"))
	a := h.nextRequest()
	c.Close()
	a.response <- ""
	for end := time.Now().Add(testTimeout); last.Load() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("access log: got no record of the request before the timeout, want one")
		}
	}
	h.expectNoRequest()
	if r := last.Load(); r.Answer != "failed" || !r.Sent {
		t.Errorf("access log record: got %+v, want a failed request that was sent", r)
	}
}
