package gateway

import (
	"io"
	"strings"
	"testing"
)

// rejectedRequest is a request that is answered with a status and, for a wrong method, the methods that are allowed.
type rejectedRequest struct {
	text   string
	status int
	allow  string
}

// rejectedRequests have no operation, or none whose cost is certain.
func rejectedRequests() []rejectedRequest {
	key := "Idempotency-Key: k"
	return []rejectedRequest{
		{getRequest("GET /nothing"), 404, ""},
		{getRequest("GET /visits/"), 404, ""},
		{getRequest("GET /visits/1/x"), 404, ""},
		{getRequest("PUT /visits/1"), 405, "DELETE, GET, HEAD, OPTIONS"},
		{getRequest("DELETE /visits/new"), 405, "GET, HEAD, OPTIONS"},
		{getRequest("GET /visits"), 405, "OPTIONS, POST"},
		{getRequest("HEAD /visits"), 405, "OPTIONS, POST"},
		{getRequest("OPTIONS /visits"), 204, "OPTIONS, POST"},
		{getRequest("OPTIONS /nothing"), 404, ""},
		{getRequest("GET /visits/a%2Fb"), 400, ""},
		{getRequest("GET /visits/n%65w"), 400, ""},
		{getRequest("GET /visits/../visits/new"), 400, ""},
		{getRequest("GET /visits/new;x=1"), 400, ""},
		{getRequest("GET //visits/new"), 400, ""},
		{getRequest("GET /visits//new"), 400, ""},
		{getRequest("GET http://h/visits/new"), 400, ""},
		{getRequest("GET /visits/new#x"), 400, ""},
		{getRequest("GET /slots?days=1#x"), 400, ""},
		{getRequest("OPTIONS *"), 400, ""},
		{getRequest("GET /visits/1", "X-HTTP-Method-Override: DELETE"), 400, ""},
		{getRequest("GET /visits/1", "X_HTTP_Method_Override: DELETE"), 400, ""},
		{getRequest("GET /visits/1?_method=DELETE"), 400, ""},
		{getRequest("GET /visits/1", "X-Original-URL: /visits/new"), 400, ""},
		{getRequest("GET /slots"), 400, ""},
		{getRequest("GET /slots?days=2&days=2"), 400, ""},
		{getRequest("GET /slots?days=-2"), 400, ""},
		{getRequest("GET /slots?days=15"), 400, ""},
		{getRequest("GET /slots?days=99999999999999999999"), 400, ""},
		{getRequest("GET /slots?days=1;days=14"), 400, ""},
		{postRequest("POST /visits", `{"installers": 2}`), 400, ""}, // no key
		{postRequest("POST /visits", `{"installers": 2, "installers": 3}`, key), 400, ""},
		{postRequest("POST /visits", `{"installers": 2`, key), 400, ""},
		{postRequest("POST /visits", `{}`, key), 400, ""},
		{postRequest("POST /visits", `{"installers": 2}`, key, "Connection: Idempotency-Key"), 400, ""},
		{getRequest("POST /visits", key, "Content-Length: 0"), 415, ""},
		{getRequest("GET /visits/1", "X-Licensee: nobody"), 403, ""},
		{getRequest("GET /visits/1", "X-Licensee: honest", "X-Licensee: small"), 400, ""},
		{getRequest("GET /visits/1", "X-Trace-Id: a b"), 400, ""},
		{getRequest("GET /visits/1", "X-Expires-In: -1"), 400, ""},
	}
}

// What is no operation, or can't be charged for certain, is turned down: nothing is sent
// on, and nothing is charged.
func TestRejectedRequests(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s")
	g := startInstance(t, h, 1, nil)
	for _, c := range rejectedRequests() {
		a := dial(t, g.addr).roundTrip(c.text)
		if a.status != c.status || a.header.Get("Allow") != c.allow {
			t.Errorf("%.60q: %d, allow %q (%s); want %d, %q", c.text, a.status, a.header.Get("Allow"),
				strings.TrimSpace(a.body), c.status, c.allow)
		}
		if a.close {
			t.Errorf("%.60q: closes the connection", c.text)
		}
	}
	h.expectNoRequest()
	if units, sent, answers := g.totals(); units+sent+answers != 0 {
		t.Errorf("%d units, %d sent, %d answers", units, sent, answers)
	}
}

// Framing that can be read in two ways, heads without end and bodies cut short are turned
// down on a connection that closes.
func TestInvalidFraming(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s")
	g := startInstance(t, h, 1, nil)
	head := "POST /visits HTTP/1.1\r\nHost: h\r\nX-Licensee: honest\r\n" +
		"Idempotency-Key: k\r\nContent-Type: application/json\r\n"
	for _, c := range []struct {
		name   string
		text   string
		status int
		half   bool // the client closes its side
	}{
		{"body cut short", head + "Content-Length: 20\r\n\r\n{\"installers\":1}", 400, true},
		{"two lengths", head + "Content-Length: 16\r\nContent-Length: 16\r\n\r\n{\"installers\":1}", 400, false},
		{"length with a sign", head + "Content-Length: +16\r\n\r\n{\"installers\":1}", 400, false},
		{"length and chunked", head + "Content-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, false},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411, false},
		{"unknown transfer coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, false},
		{"body too large", head + "Content-Length: 70000\r\n\r\n", 413, false},
		{"space before the colon", head + "X-A : 1\r\n\r\n", 400, false},
		{"folded field", head + "X-A: 1\r\n folded\r\n\r\n", 400, false},
		{"bare line feed", head + "X-A: 1\nX-B: 2\r\n\r\n", 400, false},
		{"HTTP/1.0", "GET /visits/1 HTTP/1.0\r\nHost: h\r\n\r\n", 505, false},
		{"no host", "GET /visits/1 HTTP/1.1\r\n\r\n", 400, false},
		{"two hosts", "GET /visits/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, false},
		{"space in the target", "GET /visits/1 x HTTP/1.1\r\nHost: a\r\n\r\n", 400, false},
		{"noise", "noise\r\n\r\n", 400, false},
		{"head too large",
			"GET /visits/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 17<<10) + "\r\n\r\n", 431, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := dial(t, g.addr)
			a.send(c.text)
			if c.half {
				a.Conn.(interface{ CloseWrite() error }).CloseWrite()
			}
			r := a.readResponse()
			if r.status != c.status || !r.close {
				t.Errorf("%.60q: %d, close %v; want %d", c.text, r.status, r.close, c.status)
			}
			if _, err := a.br.ReadByte(); err != io.EOF {
				t.Errorf("%.60q: then %v, not the connection's end", c.text, err)
			}
		})
	}
	h.expectNoRequest()
}

// A request that comes in parts gets its time, and no more.
func TestSlowHead(t *testing.T) {
	h := newTestSites(t)
	g := startInstance(t, h, 0, nil)
	c := dial(t, g.addr)
	c.send("GET /visits/1 HT")
	if r := c.readResponse(); r.status != 408 || !r.close {
		t.Errorf("%+v", r)
	}
}

// With full validation what the cost does not depend on is checked too.
func TestFullValidation(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s")
	for _, full := range []bool{true, false} {
		g := startInstance(t, h, 1, func(c *Config) { c.FullValidation = full })
		for _, text := range []string{getRequest("GET /slots?days=1&kind=castle"),
			postRequest("POST /visits", `{"installers": 1, "note": "too long"}`, "Idempotency-Key: k")} {
			c := dial(t, g.addr)
			c.send(text)
			if !full {
				h.nextRequest().response <- responseText(200, "", "")
			}
			r := c.readResponse()
			if want := map[bool]int{true: 400, false: 200}[full]; r.status != want {
				t.Errorf("full %v, %.40q: %+v", full, text, r)
			}
			if full && !strings.Contains(r.body, "kind") && !strings.Contains(r.body, "note") {
				t.Errorf("%q does not name the field", r.body)
			}
		}
		h.expectNoRequest()
	}
}

// Beyond its connections an instance says so, instead of holding them unanswered.
func TestConnectionLimit(t *testing.T) {
	h := newTestSites(t)
	g := startInstance(t, h, 0, func(c *Config) { c.MaxClientConns = 2 })
	kept := []*testClient{dial(t, g.addr), dial(t, g.addr)}
	for _, c := range kept {
		if r := c.roundTrip(getRequest("GET /health/ready")); r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
	if r := dial(t, g.addr).readResponse(); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("%+v", r)
	}
}
