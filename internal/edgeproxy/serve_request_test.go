package edgeproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// An app server receives the request byte for byte as the client sent it, with the remaining time. Headers that apply
// to a single connection are not forwarded.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		got <- r
		answer := "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Secret: 1\r\nContent-Length: 4\r\n\r\nbody"
		return respondWith(answer)(c, r, body)
	})
	n := runNode(t, testConfig(s.instance("a")))
	a := dial(t, n.addr).do(request("book", "t1", "Connection", "keep-alive, X-Hop", "X-Hop", "1", "TE", "trailers"))
	if a.status != 200 || a.body != "body" || a.header.Get("Content-Type") != "a/b" {
		t.Errorf("got answer %+v, want that of the app server", a)
	}
	r := <-got
	want := []string{"POST /book/a%2fb?customer=00000000b4d65521&x=%41+ slot"}
	if fmt.Sprint(s.requests()) != fmt.Sprint(want) {
		t.Errorf("forwarded requests: got %q, want %q", s.requests(), want)
	}
	if r.Header.Get("X-Trace-Id") != "t1" || r.Header.Get("Idempotency-Key") != "key-t1" {
		t.Errorf("forwarded header %v lacks the request's ID or key", r.Header)
	}
	for _, hop := range []string{"Connection", "X-Hop", "TE"} {
		if v := r.Header.Get(hop); v != "" {
			t.Errorf("hop-by-hop header was forwarded: %s: %s", hop, v)
		}
	}
	remaining, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil || remaining <= 0 || remaining >= 20 {
		t.Errorf("forwarded X-Expires-In: got %q, want between 0 and 20", r.Header.Get("X-Expires-In"))
	}
}

const checkPath = "/check?customer=00000000b4d65521"

// badRequests are invalid requests, each with its replacements in a valid request and the expected status.
var badRequests = []struct {
	name    string
	class   string
	replace []string
	status  int
}{
	{"no id", "check", []string{"X-Trace-Id", ""}, 400},
	{"malformed id", "check", []string{"X-Trace-Id", "a b"}, 400},
	{"id too long", "check", []string{"X-Trace-Id", strings.Repeat("a", 65)}, 400},
	{"no class", "check", []string{"X-Qos", ""}, 400},
	{"unknown class", "check", []string{"X-Qos", "novel"}, 400},
	{"class not that of the path", "check", []string{"X-Qos", "book"}, 400},
	{"no plan", "check", []string{"X-Contract", ""}, 400},
	{"unknown plan", "check", []string{"X-Contract", "novel"}, 400},
	{"no deadline", "check", []string{"X-Expires-In", ""}, 400},
	{"malformed deadline", "check", []string{"X-Expires-In", "soon"}, 400},
	{"NaN deadline", "check", []string{"X-Expires-In", "NaN"}, 400},
	{"endless deadline", "check", []string{"X-Expires-In", "1e99"}, 400},
	{"infinite deadline", "check", []string{"X-Expires-In", "inf"}, 400},
	{"hex deadline", "check", []string{"X-Expires-In", "0x1p3"}, 400},
	{"past deadline", "check", []string{"X-Expires-In", "-1"}, 400},
	{"no metering", "check", []string{"X-Metering", ""}, 400},
	{"metering in part", "check", []string{"X-Metering", "units=1,spread=1"}, 400},
	{"metering twice", "check", []string{"X-Metering", "units=1,units=1,spread=1,first=0"}, 400},
	{"malformed metering", "check", []string{"X-Metering", "units=1,spread=one,first=0"}, 400},
	{"no units", "check", []string{"X-Metering", "units=0,spread=1,first=0"}, 400},
	{"more units than a request has", "check", []string{"X-Metering", "units=9,spread=1,first=0"}, 400},
	{"units no number", "check", []string{"X-Metering", "units=NaN,spread=1,first=0"}, 400},
	{"infinite units", "check", []string{"X-Metering", "units=inf,spread=1,first=0"}, 400},
	{"hex units", "check", []string{"X-Metering", "units=0x1,spread=1,first=0"}, 400},
	{"set in parts", "check", []string{"X-Metering", "units=1,spread=1.5,first=0"}, 400},
	{"negative first", "check", []string{"X-Metering", "units=1,spread=1,first=-1"}, 400},
	{"set without this node", "check", []string{"X-Metering", "units=1,spread=1,first=1"}, 400},
	{"negative units", "check", []string{"X-Metering", "units=-1,spread=1,first=0"}, 400},
	{"spread over all", "check", []string{"X-Metering", "units=1,spread=3,first=0"}, 400},
	{"first over all", "check", []string{"X-Metering", "units=1,spread=1,first=2"}, 400},
	{"no customer", "check", []string{"", "GET /check HTTP/1.1"}, 400},
	{"short customer", "check", []string{"", "GET /check?customer=b4d65521 HTTP/1.1"}, 400},
	{"customer too large", "check", []string{"", "GET /check?customer=0000000200000000 HTTP/1.1"}, 400},
	{"two customers", "check", []string{"", "GET " + checkPath + "&customer=00000000b4d65521 HTTP/1.1"}, 400},
	{"whole address", "check", []string{"", "GET http://app.svc" + checkPath + " HTTP/1.1"}, 400},
	{"no key", "book", []string{"Idempotency-Key", ""}, 400},
	{"body where there is none", "check", []string{"Content-Length", "4", "body", "slot"}, 400},
	{"body that stands behind two lengths", "book",
		[]string{"Transfer-Encoding", "chunked", "body", "0\r\n\r\n" + request("check", "hidden")}, 411},
	{"two encodings", "book",
		[]string{"Content-Length", "", "Transfer-Encoding", "gzip, chunked", "body", "4\r\nslot\r\n0\r\n\r\n"}, 501},
	{"half a chunk", "book", []string{"Content-Length", "", "Transfer-Encoding", "chunked", "body", "4\r\nsl"}, 400},
	{"chunk that is none", "book",
		[]string{"Content-Length", "", "Transfer-Encoding", "chunked", "body", "x\r\nslot\r\n0\r\n\r\n"}, 400},
	{"both lengths below HTTP/1.1", "book",
		[]string{"", "POST /book?customer=00000000b4d65521 HTTP/1.0", "Transfer-Encoding", "chunked",
			"body", "0\r\n\r\n"}, 505},
	{"negative length", "book", []string{"Content-Length", "-4"}, 400},
	{"bad head with half a body", "book", []string{"X-Contract", "novel", "Content-Length", "9"}, 400},
	{"half a body", "book", []string{"Content-Length", "9"}, 400},
	{"60 MB", "book", []string{"Content-Length", "60000000"}, 413},
	{"method of another class", "check",
		[]string{"", "POST " + checkPath + " HTTP/1.1", "Content-Length", "4", "body", "slot"}, 405},
}

// An invalid request gets a 4xx or 5xx status that no client takes for a rejection. Nothing is forwarded, and the
// connection is either closed or serves the next request.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	cfg := testConfig(app.instance("a"))
	cfg.Settings.InstanceCount, cfg.Settings.MaxUnits = 2, 8
	n := runNode(t, cfg)
	for _, c := range badRequests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			client := dial(t, n.addr)
			a := client.do(request(c.class, "t1", c.replace...))
			if a.status != c.status {
				t.Errorf("got status %d, want %d; body %q", a.status, c.status, a.body)
			}
			if c.status == 405 && a.header.Get("Allow") != "GET" {
				t.Errorf("Allow header: got %q, want \"GET\"", a.header.Get("Allow"))
			}
			if forwarded := app.requests(); len(forwarded) != 0 {
				t.Errorf("invalid request was forwarded: %q", forwarded)
			}
			requireStillUsable(t, client, a.close)
		})
	}
}

// requireStillUsable checks that a connection is closed if isClosed is true, and otherwise serves the next request.
func requireStillUsable(t *testing.T, c *client, isClosed bool) {
	t.Helper()
	if isClosed {
		if _, err := c.br.ReadByte(); err != io.EOF {
			t.Errorf("read after the last answer: got error %v, want EOF", err)
		}
		return
	}
	if a := c.do(readyRequest); a.status != 200 {
		t.Errorf("next request on the connection: got status %d, want 200", a.status)
	}
}

func TestOversizedRequestHead(t *testing.T) {
	t.Parallel()
	n := runNode(t, testConfig())
	c := dial(t, n.addr)
	c.send("GET /check HTTP/1.1\r\n")
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, "X-Pad: pppppppppppppppppppppppp\r\n")
		}
	}()
	if line, err := c.br.ReadString('\n'); err != nil || !strings.Contains(line, "431") {
		t.Errorf("status line of an oversized head: got %q, error %v, want status 431", line, err)
	}
}

// A head or body that stalls, or a silent connection, holds its socket only for a limited time.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	t.Parallel()
	if readHeaderTimeout >= 3*time.Second || minBodyTimeout >= 3*time.Second {
		t.Errorf("timeouts of %v and %v: an error or a close must come within 3 s", readHeaderTimeout, minBodyTimeout)
	}
	n := runNode(t, testConfig())
	whole := request("book", "t1")
	var clients []*client
	for _, part := range []string{"", whole[:40], whole[:len(whole)-2]} {
		c := dial(t, n.addr)
		c.send(part)
		clients = append(clients, c)
	}
	for i, c := range clients {
		if _, err := io.ReadAll(c.br); err != nil {
			t.Errorf("incomplete request %d: got error %v, want a close", i, err)
		}
	}
}

// A client's timeout is limited to its class's deadline, so that requests can't pile up.
func TestTimeoutIsLimitedByClassDeadline(t *testing.T) {
	s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.instance("a"))
	cfg.Settings.Classes[0].Deadline = 100 * time.Millisecond
	n := runNode(t, cfg)
	c := dial(t, n.addr)
	c.SetDeadline(time.Now().Add(testTimeout))
	if a := c.do(request("check", "t1", "X-Expires-In", "1000000")); a.status != 429 && a.status != 502 {
		t.Errorf("request with a long timeout: got status %d, want 429 or 502", a.status)
	}
}

// A customer over its quota is rejected at once, with a Retry-After header.
func TestRejection(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(s.instance("a")))
	c := dial(t, n.addr)
	if a := c.do(request("check", "t1", "X-Contract", "tight")); a.status != 200 {
		t.Errorf("inside the quota: got status %d, want 200", a.status)
	}
	a := c.do(request("check", "t2", "X-Contract", "tight"))
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if a.status != 429 || err != nil || wait <= 0 || wait > 2 {
		t.Errorf("over quota: got status %d, Retry-After %q, want 429, up to 2", a.status, a.header.Get("Retry-After"))
	}
	if got := len(s.requests()); got != 1 {
		t.Errorf("forwarded requests: got %d, want 1", got)
	}
}

// A request that was sent behind a slow one has only the remaining time of its client. If none remains it is rejected
// without an attempt.
func TestPipelinedRequestHasItsOwnTime(t *testing.T) {
	t.Parallel()
	timeouts := make(chan string, 10)
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		timeouts <- r.Header.Get("X-Trace-Id") + " " + r.Header.Get("X-Expires-In")
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(400 * time.Millisecond)
		}
		return respondWith(okAnswer)(c, r, body)
	})
	n := runNode(t, testConfig(app.instance("a")))
	c := dial(t, n.addr)
	slow := request("check", "a", "", "GET /check/slow?customer=00000000b4d65521 HTTP/1.1", "X-Expires-In", "5")
	c.send(slow + request("check", "b", "X-Expires-In", "0.3") + request("book", "c", "X-Expires-In", "5"))
	for i, want := range []int{200, 429, 200} {
		if a := c.read(); a.status != want {
			t.Errorf("answer %d: got status %d, want %d", i, a.status, want)
		}
	}
	if first, second := <-timeouts, <-timeouts; first[:2] != "a " || second[:2] != "c " || second > "c 4.61" {
		t.Errorf("forwarded IDs and timeouts: got %q and %q, want a and c less its wait", first, second)
	}
}
