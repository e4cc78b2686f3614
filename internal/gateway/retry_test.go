package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// What an attempt's end says of whether it ran decides what follows.
func TestRepeats(t *testing.T) {
	never := answerText(503, "X-Never-Ran: 1\r\n", "")
	book := func(id string) string {
		return post("POST /visits", `{"installers": 1}`, "Idempotency-Key: "+id)
	}
	for _, c := range []struct {
		name, text, answer string
		again              bool // another attempt is made
		status             int  // if not
	}{
		{"safe, reset", get("GET /visits/1"), "", true, 0},
		{"safe, half an answer", get("GET /visits/1"), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true, 0},
		{"safe, 429 that may have run", get("GET /visits/1"), answerText(429, "", ""), true, 0},
		{"unsafe, never ran", get("DELETE /visits/1"), never, true, 0},
		{"unsafe, reset", get("DELETE /visits/1"), "", false, 502},
		{"unsafe, 500", get("DELETE /visits/1"), answerText(500, "", ""), false, 502},
		{"unsafe, 503 that may have run", get("DELETE /visits/1"), answerText(503, "", ""), false, 502},
		{"unsafe, noise", get("DELETE /visits/1"), "noise\r\n\r\n", false, 502},
		{"unsafe, two lengths", get("DELETE /visits/1"),
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, 502},
		{"unsafe, no length", get("DELETE /visits/1"), "HTTP/1.1 200 OK\r\n\r\nab", false, 502},
		{"unsafe, 404", get("DELETE /visits/1"), answerText(404, "", "none"), false, 404},
		{"keyed, 500", book("k"), answerText(500, "", ""), true, 0},
		{"keyed, 409", book("k"), answerText(409, "", ""), false, 409},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHalls(t)
			for _, id := range []string{"s0", "s1", "s2"} {
				h.server("hall-a", id)
			}
			g := start(t, h, 3, nil)
			g.warm(h, 8)
			a := dial(t, g.addr)
			a.send(c.text)
			h.next().answer <- c.answer
			want := c.status
			if c.again {
				h.next().answer <- answerText(200, "", "ok")
				want = 200
			}
			if r := a.read(); r.status != want {
				t.Errorf("%+v, want %d", r, want)
			}
			h.none()
		})
	}
}

// A request that nobody answers gets its final answer in time.
func TestSilence(t *testing.T) {
	h := newHalls(t)
	h.server("hall-a", "s")
	g := start(t, h, 1, nil)
	c := dial(t, g.addr)
	began := time.Now()
	c.send(get("DELETE /visits/1", "X-Expires-In: 0.3"))
	a := h.next()
	r := c.read()
	if took := time.Since(began); r.status != 502 || took > time.Second {
		t.Errorf("%+v after %v", r, took)
	}
	a.answer <- ""
	if units, _, _ := g.totals(); units != 2 {
		t.Errorf("%d units", units)
	}
}

// A client that has left gets no further attempt.
func TestGone(t *testing.T) {
	h := newHalls(t)
	h.server("hall-a", "s0")
	h.server("hall-a", "s1")
	var last atomic.Pointer[RequestRecord]
	g := start(t, h, 2, func(c *Config) { c.Observe = func(r RequestRecord) { last.Store(&r) } })
	g.warm(h, 8)
	last.Store(nil)
	c := dial(t, g.addr)
	c.send(get("GET /visits/1"))
	a := h.next()
	c.Close()
	a.answer <- ""
	for end := time.Now().Add(patience); last.Load() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request has no end")
		}
	}
	h.none()
	if r := last.Load(); r.Answer != "failed" || !r.Sent {
		t.Errorf("%+v", r)
	}
}
