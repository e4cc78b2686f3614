package gateway

import (
	"net/http"
	"strconv"
	"testing"
)

// A request is forwarded unchanged except for the fields that the gateway sets, with the version by which it was
// matched. The server's status, fields and body are returned to the client.
func TestForwardsUnchanged(t *testing.T) {
	h, g, c := startWithServer(t)
	c.send(postRequest("POST /visits?x=%26a;b&&c", `{"installers": 7}`, "Idempotency-Key: k1", "X-Trace-Id: t1",
		"Accept: a/b", "X-Mulleinmux-Explain: 1", "X-Mulleinmux-Version: 99", "TE: x"))
	a := h.nextRequest()
	if a.line != "POST /visits?x=%26a;b&&c" || a.body != `{"installers": 7}` || a.header.Get("X-Trace-Id") != "t1" ||
		a.header.Get("Accept") != "a/b" ||
		a.header.Get("Idempotency-Key") != "k1" || len(a.header["X-Mulleinmux-Version"]) != 1 ||
		a.header.Get("X-Mulleinmux-Version") != "1" || a.header.Get("Te") != "" {
		t.Errorf("forwarded request: got %s, header %v, body %q; want it unchanged except for the gateway's own fields",
			a.line, a.header, a.body)
	}
	if s, err := strconv.ParseFloat(a.header.Get("X-Expires-In"), 64); err != nil || s <= 0 || s > 20.01 {
		t.Errorf("forwarded X-Expires-In: got %q, want a number of seconds in (0, 20.01]", a.header.Get("X-Expires-In"))
	}
	a.response <- responseText(201, "X-Own: 1\r\nEndpoint-Load-Metrics: TEXT util=0.1\r\nConnection: keep-alive\r\n",
		"made")
	r := c.readResponse()
	if r.Status != 201 || r.Body != "made" || r.Header.Get("X-Own") != "1" ||
		r.Header.Get("Endpoint-Load-Metrics") != "" {
		t.Errorf("response: got %+v, want status 201 with body made, X-Own and no load report", r)
	}
	if r.Header.Get("X-Mulleinmux-Operation") != "book" || r.Header.Get("X-Mulleinmux-Units") != "7" ||
		r.Header.Get("X-Mulleinmux-Version") != "1" {
		t.Errorf("explanation fields: got header %v, want operation book, 7 units, version 1", r.Header)
	}
	if units, sent, _ := g.totals(); units != 7 || sent != 1 {
		t.Errorf("counters: got %d units of %d requests, want 7 units of 1 request", units, sent)
	}
}

// A HEAD request is charged like a GET of the same target, and its response has no body.
func TestHeadRequest(t *testing.T) {
	h, g, c := startWithServer(t)
	c.send(getRequest("HEAD /slots?days=3"))
	a := h.nextRequest()
	if a.line != "HEAD /slots?days=3" {
		t.Errorf("forwarded request: got %s, want HEAD /slots?days=3", a.line)
	}
	a.response <- "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	resp, err := http.ReadResponse(c.br, &http.Request{Method: "HEAD"})
	if err != nil || resp.StatusCode != 200 || resp.ContentLength != 5 {
		t.Fatalf("response to HEAD: got %+v, error %v; want status 200 with Content-Length 5", resp, err)
	}
	// The response had no body, so the connection can be reused.
	c.send(getRequest("GET /visits/1"))
	h.nextRequest().response <- responseText(200, "", "x")
	if r := c.readResponse(); r.Status != 200 || r.Body != "x" {
		t.Errorf("second response on the connection: got %+v, want status 200 with body x", r)
	}
	if units, _, _ := g.totals(); units != 4 {
		t.Errorf("counters: got %d units, want 4", units)
	}
}

// Data that a server sends after a response, such as a stray second response, is not delivered to any client.
func TestBytesAfterResponse(t *testing.T) {
	h, _, c := startWithServer(t)
	c.send(getRequest("GET /visits/1"))
	h.nextRequest().response <- responseText(200, "", "one") + responseText(200, "", "stray")
	if r := c.readResponse(); r.Body != "one" {
		t.Errorf("first response: got %+v, want body one", r)
	}
	c.send(getRequest("GET /visits/2"))
	h.nextRequest().response <- "HTTP/1.1 100 Continue\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\ntw\r\n1\r\no\r\n0\r\nX: y\r\n\r\n"
	if r := c.readResponse(); r.Body != "two" {
		t.Errorf("second response: got %+v, want body two", r)
	}
}

// A server connection is not reused after a 101 (Switching Protocols) response.
func TestUpgradedConnection(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1,
		func(c *Config) { c.Settings.AllowsHealthChecks = false }) // health checks open further connections
	c := dial(t, g.addr)
	c.send(getRequest("DELETE /visits/1"))
	h.nextRequest().response <- "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n"
	if r := c.readResponse(); r.Status != 502 {
		t.Errorf("response of the upgraded connection: got %+v, want status 502", r)
	}
	h.mu.Lock()
	before := len(h.conns)
	h.mu.Unlock()
	c.send(getRequest("GET /visits/1"))
	h.nextRequest().response <- responseText(200, "", "x")
	if r := c.readResponse(); r.Status != 200 {
		t.Errorf("response after the upgrade: got %+v, want status 200", r)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) == before {
		t.Error("the upgraded connection was reused, want a new connection")
	}
}
