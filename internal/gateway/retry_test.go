package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// What an attempt's end says of whether it ran decides what follows.
func TestRetries(t *testing.T) {
	never := responseText(503, "X-Never-Ran: 1\r\n", "")
	book := func(id string) string {
		return postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+id)
	}
	for _, c := range []struct {
		name, text, answer string
		again              bool // another attempt is made
		status             int  // if not
	}{
		{"safe, reset", getRequest("GET /visits/1"), "", true, 0},
		{"safe, half an answer", getRequest("GET /visits/1"), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
			true, 0},
		{"safe, 429 that may have run", getRequest("GET /visits/1"), responseText(429, "", ""), true, 0},
		{"unsafe, never ran", getRequest("DELETE /visits/1"), never, true, 0},
		{"unsafe, reset", getRequest("DELETE /visits/1"), "", false, 502},
		{"unsafe, 500", getRequest("DELETE /visits/1"), responseText(500, "", ""), false, 502},
		{"unsafe, 503 that may have run", getRequest("DELETE /visits/1"), responseText(503, "", ""), false, 502},
		{"unsafe, noise", getRequest("DELETE /visits/1"), "noise\r\n\r\n", false, 502},
		{"unsafe, two lengths", getRequest("DELETE /visits/1"),
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, 502},
		{"unsafe, no length", getRequest("DELETE /visits/1"), "HTTP/1.1 200 OK\r\n\r\nab", false, 502},
		{"unsafe, 404", getRequest("DELETE /visits/1"), responseText(404, "", "none"), false, 404},
		{"keyed, 500", book("k"), responseText(500, "", ""), true, 0},
		{"keyed, 409", book("k"), responseText(409, "", ""), false, 409},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestSites(t)
			for _, id := range []string{"s0", "s1", "s2"} {
				h.startServer("hall-a", id)
			}
			g := startInstance(t, h, 3, nil)
			g.earnRetries(h, 8)
			a := dial(t, g.addr)
			a.send(c.text)
			h.nextRequest().response <- c.answer
			want := c.status
			if c.again {
				h.nextRequest().response <- responseText(200, "", "ok")
				want = 200
			}
			if r := a.readResponse(); r.status != want {
				t.Errorf("%+v, want %d", r, want)
			}
			h.expectNoRequest()
		})
	}
}

// A request that nobody answers gets its final answer in time.
func TestUnresponsiveServer(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s")
	g := startInstance(t, h, 1, nil)
	c := dial(t, g.addr)
	began := time.Now()
	c.send(getRequest("DELETE /visits/1", "X-Expires-In: 0.3"))
	a := h.nextRequest()
	r := c.readResponse()
	if took := time.Since(began); r.status != 502 || took > time.Second {
		t.Errorf("%+v after %v", r, took)
	}
	a.response <- ""
	if units, _, _ := g.totals(); units != 2 {
		t.Errorf("%d units", units)
	}
}

// A client that has left gets no further attempt.
func TestNoRetryAfterClientLeft(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s0")
	h.startServer("hall-a", "s1")
	var last atomic.Pointer[RequestRecord]
	g := startInstance(t, h, 2, func(c *Config) { c.Observe = func(r RequestRecord) { last.Store(&r) } })
	g.earnRetries(h, 8)
	last.Store(nil)
	c := dial(t, g.addr)
	c.send(getRequest("GET /visits/1"))
	a := h.nextRequest()
	c.Close()
	a.response <- ""
	for end := time.Now().Add(testTimeout); last.Load() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request has no end")
		}
	}
	h.expectNoRequest()
	if r := last.Load(); r.Answer != "failed" || !r.Sent {
		t.Errorf("%+v", r)
	}
}
