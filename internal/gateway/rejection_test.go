package gateway

import (
	"io"
	"slices"
	"strings"
	"testing"
)

// rejectedRequest is a request with the status and the Allow header that its response must have.
type rejectedRequest struct {
	name   string
	text   string
	status int
	allow  string
}

const testKeyField = "Idempotency-Key: k"

var unknownOperations = []rejectedRequest{
	{"unknown path", getRequest("GET /nothing"), 404, ""},
	{"empty parameter", getRequest("GET /visits/"), 404, ""},
	{"longer path", getRequest("GET /visits/1/x"), 404, ""},
	{"unknown method", getRequest("PUT /visits/1"), 405, "DELETE, GET, HEAD, OPTIONS"},
	{"method of the wider path", getRequest("DELETE /visits/new"), 405, "GET, HEAD, OPTIONS"},
	{"GET of a POST", getRequest("GET /visits"), 405, "OPTIONS, POST"},
	{"HEAD of a POST", getRequest("HEAD /visits"), 405, "OPTIONS, POST"},
	{"preflight", getRequest("OPTIONS /visits"), 204, "OPTIONS, POST"},
	{"preflight of an unknown path", getRequest("OPTIONS /nothing"), 404, ""},
}

var ambiguousTargets = []rejectedRequest{
	{"escaped slash", getRequest("GET /visits/a%2Fb"), 400, ""},
	{"escaped letter", getRequest("GET /visits/n%65w"), 400, ""},
	{"dot segments", getRequest("GET /visits/../visits/new"), 400, ""},
	{"path parameter", getRequest("GET /visits/new;x=1"), 400, ""},
	{"two slashes first", getRequest("GET //visits/new"), 400, ""},
	{"two slashes", getRequest("GET /visits//new"), 400, ""},
	{"absolute form", getRequest("GET http://h/visits/new"), 400, ""},
	{"fragment", getRequest("GET /visits/new#x"), 400, ""},
	{"fragment after a query", getRequest("GET /slots?days=1#x"), 400, ""},
	{"asterisk", getRequest("OPTIONS *"), 400, ""},
	{"method override", getRequest("GET /visits/1", "X-HTTP-Method-Override: DELETE"), 400, ""},
	{"method override with underscores", getRequest("GET /visits/1", "X_HTTP_Method_Override: DELETE"), 400, ""},
	{"method override in the query", getRequest("GET /visits/1?_method=DELETE"), 400, ""},
	{"path override", getRequest("GET /visits/1", "X-Original-URL: /visits/new"), 400, ""},
}

var uncertainCosts = []rejectedRequest{
	{"no units", getRequest("GET /slots"), 400, ""},
	{"units twice", getRequest("GET /slots?days=2&days=2"), 400, ""},
	{"negative units", getRequest("GET /slots?days=-2"), 400, ""},
	{"too many units", getRequest("GET /slots?days=15"), 400, ""},
	{"units beyond any integer", getRequest("GET /slots?days=99999999999999999999"), 400, ""},
	{"semicolon in the query", getRequest("GET /slots?days=1;days=14"), 400, ""},
	{"no key", postRequest("POST /visits", `{"installers": 2}`), 400, ""},
	{"a field twice", postRequest("POST /visits", `{"installers": 2, "installers": 3}`, testKeyField), 400, ""},
	{"invalid JSON", postRequest("POST /visits", `{"installers": 2`, testKeyField), 400, ""},
	{"no units in the body", postRequest("POST /visits", `{}`, testKeyField), 400, ""},
	{"key for one hop", postRequest("POST /visits", `{"installers": 2}`, testKeyField, "Connection: Idempotency-Key"),
		400, ""},
	{"no body", getRequest("POST /visits", testKeyField, "Content-Length: 0"), 415, ""},
	{"unknown licensee", getRequest("GET /visits/1", "X-Licensee: nobody"), 403, ""},
	{"two licensees", getRequest("GET /visits/1", "X-Licensee: honest", "X-Licensee: small"), 400, ""},
	{"malformed trace ID", getRequest("GET /visits/1", "X-Trace-Id: a b"), 400, ""},
	{"negative timeout", getRequest("GET /visits/1", "X-Expires-In: -1"), 400, ""},
}

// Requests that match no operation or whose cost is uncertain are rejected. They are neither forwarded nor charged.
func TestRejectedRequests(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, nil)
	for _, c := range slices.Concat(unknownOperations, ambiguousTargets, uncertainCosts) {
		t.Run(c.name, func(t *testing.T) {
			a := dial(t, g.addr).roundTrip(c.text)
			if a.Status != c.status || a.Header.Get("Allow") != c.allow {
				t.Errorf("%.60q: got status %d, Allow %q (body %s); want %d, %q", c.text, a.Status, a.Header.Get("Allow"),
					strings.TrimSpace(a.Body), c.status, c.allow)
			}
			if a.Close {
				t.Errorf("%.60q: the response closes the connection, want it kept open", c.text)
			}
		})
	}
	h.expectNoRequest()
	if units, sent, answers := g.totals(); units+sent+answers != 0 {
		t.Errorf("counters: got %d units, %d sent, %d answers; want 0, 0, 0", units, sent, answers)
	}
}

// framingCase is an invalid request whose response closes the connection.
type framingCase struct {
	name            string
	text            string
	status          int
	closesWriteSide bool // the client closes its write side after the request
}

const (
	bookHead = "POST /visits HTTP/1.1\r\nHost: h\r\nX-Licensee: honest\r\n" +
		"Idempotency-Key: k\r\nContent-Type: application/json\r\n"
	bookBody = "{\"installers\":1}"
)

var framingCases = []framingCase{
	{"body cut short", bookHead + "Content-Length: 20\r\n\r\n" + bookBody, 400, true},
	{"two lengths", bookHead + "Content-Length: 16\r\nContent-Length: 16\r\n\r\n" + bookBody, 400, false},
	{"length with a sign", bookHead + "Content-Length: +16\r\n\r\n" + bookBody, 400, false},
	{"length and chunked", bookHead + "Content-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, false},
	{"chunked", bookHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411, false},
	{"unknown transfer coding", bookHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, false},
	{"body too large", bookHead + "Content-Length: 70000\r\n\r\n", 413, false},
	{"space before the colon", bookHead + "X-A : 1\r\n\r\n", 400, false},
	{"folded field", bookHead + "X-A: 1\r\n folded\r\n\r\n", 400, false},
	{"bare line feed", bookHead + "X-A: 1\nX-B: 2\r\n\r\n", 400, false},
	{"HTTP/1.0", "GET /visits/1 HTTP/1.0\r\nHost: h\r\n\r\n", 505, false},
	{"no host", "GET /visits/1 HTTP/1.1\r\n\r\n", 400, false},
	{"two hosts", "GET /visits/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, false},
	{"space in the target", "GET /visits/1 x HTTP/1.1\r\nHost: a\r\n\r\n", 400, false},
	{"noise", "noise\r\n\r\n", 400, false},
	{"head too large",
		"GET /visits/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 17<<10) + "\r\n\r\n", 431, false},
}

// Requests with ambiguous framing, an oversized or malformed head or a truncated body are rejected, and their
// connection is closed.
func TestInvalidFraming(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, nil)
	for _, c := range framingCases {
		t.Run(c.name, func(t *testing.T) {
			a := dial(t, g.addr)
			a.send(c.text)
			if c.closesWriteSide {
				a.Conn.(interface{ CloseWrite() error }).CloseWrite()
			}
			r := a.readResponse()
			if r.Status != c.status || !r.Close {
				t.Errorf("%.60q: got status %d, close %v; want %d, close true", c.text, r.Status, r.Close, c.status)
			}
			if _, err := a.br.ReadByte(); err != io.EOF {
				t.Errorf("%.60q: read after the response: got error %v, want EOF", c.text, err)
			}
		})
	}
	h.expectNoRequest()
}

// A request whose head does not arrive completely within requestReadTimeout is answered with 408.
func TestSlowHead(t *testing.T) {
	h := newTestSites(t)
	g := startInstance(t, h, 0, nil)
	c := dial(t, g.addr)
	c.send("GET /visits/1 HT")
	if r := c.readResponse(); r.Status != 408 || !r.Close {
		t.Errorf("response to an incomplete head: got %+v, want status 408 and a closed connection", r)
	}
}

// Full validation also checks the parts of a request that its cost does not depend on.
func TestFullValidation(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	book := postRequest("POST /visits", `{"installers": 1, "note": "too long"}`, testKeyField)
	full := startInstance(t, h, 1, func(c *Config) { c.FullValidation = true })
	costOnly := startInstance(t, h, 1, nil)
	for _, c := range []struct{ name, text, field string }{
		{"unknown value in the query", getRequest("GET /slots?days=1&kind=castle"), "kind"},
		{"too long a text in the body", book, "note"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if r := dial(t, full.addr).roundTrip(c.text); r.Status != 400 || !strings.Contains(r.Body, c.field) {
				t.Errorf("with full validation: got %+v, want status 400 with a body that names %s", r, c.field)
			}
			h.expectNoRequest()
			client := dial(t, costOnly.addr)
			client.send(c.text)
			h.nextRequest().response <- responseText(200, "", "")
			if r := client.readResponse(); r.Status != 200 {
				t.Errorf("with validation of the cost only: got %+v, want status 200", r)
			}
			h.expectNoRequest()
		})
	}
}

// An instance answers a connection over MaxClientConns with 503 instead of leaving it without a response.
func TestConnectionLimit(t *testing.T) {
	h := newTestSites(t)
	g := startInstance(t, h, 0, func(c *Config) { c.MaxClientConns = 2 })
	kept := []*testClient{dial(t, g.addr), dial(t, g.addr)}
	for _, c := range kept {
		if r := c.roundTrip(getRequest("GET /health/ready")); r.Status != 200 {
			t.Errorf("connection within the limit: got %+v, want status 200", r)
		}
	}
	if r := dial(t, g.addr).readResponse(); r.Status != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("connection over the limit: got %+v, want status 503 with Retry-After", r)
	}
}
