package edgeproxy

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// What goes on to an app server is what the client sent, byte for byte, with the
// wait that is left; what concerns one connection alone does not go on.
func TestRequestGoesOnUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		got <- r
		return say("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Secret: 1\r\nContent-Length: 4\r\n\r\nbody")(c, r, body)
	})
	n := run(t, testConfig(s.instance("a")))
	a := dial(t, n.addr).ask(request("book", "t1", "Connection", "keep-alive, X-Hop", "X-Hop", "1", "TE", "trailers"))
	if a.status != 200 || a.body != "body" || a.header.Get("Content-Type") != "a/b" {
		t.Errorf("answer %+v", a)
	}
	r := <-got
	if want := []string{"POST /book/a%2fb?customer=00000000b4d65521&x=%41+ slot"}; fmt.Sprint(s.requests()) != fmt.Sprint(want) {
		t.Errorf("%q arrived, want %q", s.requests(), want)
	}
	if r.Header.Get("X-Trace-Id") != "t1" || r.Header.Get("Idempotency-Key") != "key-t1" {
		t.Errorf("header %v", r.Header)
	}
	for _, hop := range []string{"Connection", "X-Hop", "TE"} {
		if v := r.Header.Get(hop); v != "" {
			t.Errorf("%s: %s went on", hop, v)
		}
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil || left <= 0 || left >= 20 {
		t.Errorf("X-Expires-In %q of 20", r.Header.Get("X-Expires-In"))
	}
}

// A client's mistake is its own: a plain 4xx that no client takes for a refusal,
// nothing sent on, and the connection good for the next request.
func TestBadRequests(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	cfg := testConfig(s.instance("a"))
	cfg.Settings.InstanceCount, cfg.Settings.MaxUnits = 2, 8
	n := run(t, cfg)
	const path = "/check?customer=00000000b4d65521"
	for _, c := range []struct {
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
		{"two customers", "check", []string{"", "GET " + path + "&customer=00000000b4d65521 HTTP/1.1"}, 400},
		{"whole address", "check", []string{"", "GET http://app.svc" + path + " HTTP/1.1"}, 400},
		{"no key", "book", []string{"Idempotency-Key", ""}, 400},
		{"body where there is none", "check", []string{"Content-Length", "4", "body", "slot"}, 400},
		{"body that stands behind two lengths", "book", []string{"Transfer-Encoding", "chunked", "body", "0\r\n\r\n" + request("check", "hidden")}, 411},
		{"two encodings", "book", []string{"Content-Length", "", "Transfer-Encoding", "gzip, chunked", "body", "4\r\nslot\r\n0\r\n\r\n"}, 501},
		{"half a chunk", "book", []string{"Content-Length", "", "Transfer-Encoding", "chunked", "body", "4\r\nsl"}, 400},
		{"chunk that is none", "book", []string{"Content-Length", "", "Transfer-Encoding", "chunked", "body", "x\r\nslot\r\n0\r\n\r\n"}, 400},
		{"both lengths below HTTP/1.1", "book", []string{"", "POST /book?customer=00000000b4d65521 HTTP/1.0", "Transfer-Encoding", "chunked", "body", "0\r\n\r\n"}, 505},
		{"negative length", "book", []string{"Content-Length", "-4"}, 400},
		{"bad head with half a body", "book", []string{"X-Contract", "novel", "Content-Length", "9"}, 400},
		{"half a body", "book", []string{"Content-Length", "9"}, 400},
		{"60 MB", "book", []string{"Content-Length", "60000000"}, 413},
		{"method of another class", "check", []string{"", "POST " + path + " HTTP/1.1", "Content-Length", "4", "body", "slot"}, 405},
	} {
		client := dial(t, n.addr)
		if a := client.ask(request(c.class, "t1", c.replace...)); a.status != c.status {
			t.Errorf("%s: status %d, want %d: %s", c.name, a.status, c.status, a.body)
		} else if c.status == 405 && a.header.Get("Allow") != "GET" {
			t.Errorf("%s: Allow %q", c.name, a.header.Get("Allow"))
		} else if len(s.requests()) != 0 {
			t.Fatalf("%s: %q went on", c.name, s.requests())
		} else if a.close {
			if _, err := client.br.ReadByte(); err != io.EOF {
				t.Errorf("%s: after the last answer: %v, want EOF", c.name, err)
			}
		} else if a := client.ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.status != 200 {
			t.Errorf("%s: next request on the connection: status %d", c.name, a.status)
		}
	}
}

func TestEndlessHead(t *testing.T) {
	n := run(t, testConfig())
	c := dial(t, n.addr)
	c.send("GET /check HTTP/1.1\r\n")
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, "X-Pad: pppppppppppppppppppppppp\r\n")
		}
	}()
	if line, err := c.br.ReadString('\n'); err != nil || !strings.Contains(line, "431") {
		t.Errorf("%q, %v", line, err)
	}
}

// A header or body that stops coming, or a connection that says nothing, holds its
// socket for a bounded time.
func TestHalfSentRequestsEnd(t *testing.T) {
	t.Parallel()
	if headLimit >= 3*time.Second || bodyGrace >= 3*time.Second {
		t.Errorf("limits of %v and %v: an error or a close is owed within 3 s", headLimit, bodyGrace)
	}
	n := run(t, testConfig())
	whole := request("book", "t1")
	var clients []*client
	for _, part := range []string{"", whole[:40], whole[:len(whole)-2]} {
		c := dial(t, n.addr)
		c.send(part)
		clients = append(clients, c)
	}
	for i, c := range clients {
		if _, err := io.ReadAll(c.br); err != nil {
			t.Errorf("part %d: %v", i, err)
		}
	}
}

// No client waits for longer than its class allows, so that requests can't pile up.
func TestWaitIsThatOfTheClass(t *testing.T) {
	s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.instance("a"))
	cfg.Settings.Classes[0].Deadline = 100 * time.Millisecond
	n := run(t, cfg)
	c := dial(t, n.addr)
	c.SetDeadline(time.Now().Add(patience))
	if a := c.ask(request("check", "t1", "X-Expires-In", "1000000")); a.status != 429 && a.status != 502 {
		t.Errorf("status %d", a.status)
	}
}

// Beyond its quota a customer is refused at once and told when to come back.
func TestRefusal(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	n := run(t, testConfig(s.instance("a")))
	c := dial(t, n.addr)
	if a := c.ask(request("check", "t1", "X-Contract", "tight")); a.status != 200 {
		t.Errorf("inside the quota: status %d", a.status)
	}
	a := c.ask(request("check", "t2", "X-Contract", "tight"))
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if a.status != 429 || err != nil || wait <= 0 || wait > 2 {
		t.Errorf("beyond it: status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if got := len(s.requests()); got != 1 {
		t.Errorf("%d requests went on, want 1", got)
	}
}

// The host bounds every request by its client's deadline, also at a server that is
// silent for ever, and a keyed one that may have run is failed, not refused.
func TestSilentServer(t *testing.T) {
	s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	n := run(t, testConfig(s.instance("a")))
	a := dial(t, n.addr).ask(request("book", "t1", "X-Expires-In", "2"))
	if a.status != 502 {
		t.Errorf("status %d, want 502", a.status)
	}
	wantClosed(t, <-s.conns)
}

// A request that the module sits on gets its answer from the host all the same.
func TestHeldRequestIsAnswered(t *testing.T) {
	cfg := testConfig()
	front, fl := idleFront(t, cfg), &flight{id: "t1", answer: make(chan answer, 1)}
	front.node.flights["t1"] = fl
	front.node.abandon(fl)
	if a := <-fl.answer; a.kind != failed {
		t.Errorf("answer %+v", a)
	}
	if len(front.node.flights) != 0 {
		t.Error("the flight is still held")
	}
	if front.node.abandon(fl); len(fl.answer) != 0 {
		t.Error("a second final answer")
	}
}

// A client that goes away ends its request: the attempt is given up, the books cleared.
func TestClientGone(t *testing.T) {
	s := newAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.instance("a"))
	n := run(t, cfg)
	c := dial(t, n.addr)
	c.send(request("check", "t1"))
	eventually(t, "request out", func() bool { return len(s.requests()) == 1 })
	c.Close()
	wantClosed(t, <-s.conns)
	// The id is free once nothing is held any more.
	eventually(t, "second request taken", func() bool {
		again := dial(t, n.addr)
		again.send(request("check", "t1", "X-Expires-In", "0.05"))
		return again.read().status != 409
	})
}

// Two open requests with one id could not be told apart by the module.
func TestIDInUse(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return say(okAnswer)(c, r, body)
	})
	n := run(t, testConfig(s.instance("a")))
	c := dial(t, n.addr)
	c.send(request("check", "t1"))
	eventually(t, "request out", func() bool { return len(s.requests()) == 1 })
	if a := dial(t, n.addr).ask(request("check", "t1")); a.status != 409 {
		t.Errorf("status %d, want 409", a.status)
	}
	close(hold)
	if a := c.read(); a.status != 200 {
		t.Errorf("the first: status %d", a.status)
	}
}

// A reset is the module's to act on: a safe request is tried at the other server.
func TestBreakIsTriedElsewhere(t *testing.T) {
	var broken atomic.Bool
	var resets atomic.Int32
	bad := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if broken.Load() {
			resets.Add(1)
			return false
		}
		return say(okAnswer)(c, r, body)
	})
	good := newAppServer(t, say(okAnswer))
	n := run(t, testConfig(bad.instance("a"), good.instance("b")))
	c := dial(t, n.addr)
	i := 0
	ask := func() answered {
		i++
		return c.ask(request("check", fmt.Sprint("t", i)))
	}
	for range 20 { // the module earns further attempts by first ones
		ask()
	}
	broken.Store(true)
	eventually(t, "a reset and an answer for one request", func() bool {
		before := resets.Load()
		return ask().status == 200 && resets.Load() > before
	})
}

// A panic of the module costs one request, which is refused, since nothing of it was sent on, and is logged with its stack.
func TestPanicIsAnswered(t *testing.T) {
	f := idleFront(t, testConfig())
	logs := &testserver.Log{}
	f.node.log.SetOutput(logs)
	f.node.gw = nil
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.serve(ln)
	t.Cleanup(func() { f.srv.Close() })
	a := dial(t, ln.Addr().String()).ask(request("check", "t1"))
	if a.status != 429 || !strings.Contains(logs.String(), "choice.(*Gateway).Request") {
		t.Errorf("status %d, logged %q", a.status, logs.String())
	}
	// One of the host's own.
	f.node.cfg = nil
	if a := dial(t, ln.Addr().String()).ask(request("check", "t2")); a.status != 500 {
		t.Errorf("status %d", a.status)
	}
}

// A planned restart: not ready, but whatever still comes is answered, on connections
// that then close; what is out is finished; then the process ends.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.RequestURI, "/book") {
			<-hold
		}
		return say(okAnswer)(c, r, body)
	})
	cfg := testConfig(s.instance("a"))
	cfg.drainFor = 2 * time.Second // a process has 3.55 s in all
	n := run(t, cfg)
	idle, held := dial(t, n.addr), dial(t, n.addr)
	if a := idle.ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.status != 200 || a.close {
		t.Errorf("before: %+v", a)
	}
	held.send(request("book", "t1"))
	eventually(t, "request out", func() bool { return len(s.requests()) == 1 })
	n.stop()
	eventually(t, "draining", func() bool { return strings.Contains(n.logs.String(), "draining") })
	if a := idle.ask(request("check", "t2")); a.status != 200 || !a.close {
		t.Errorf("on a kept connection: %+v", a)
	}
	if a := dial(t, n.addr).ask(request("check", "t3")); a.status != 200 || !a.close {
		t.Errorf("on a new connection: %+v", a)
	}
	if a := dial(t, n.addr).ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.status != 503 {
		t.Errorf("readiness: %+v", a)
	}
	eventually(t, "listener closed", func() bool {
		c, err := net.Dial("tcp", n.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(hold)
	if a := held.read(); a.status != 200 || !a.close {
		t.Errorf("taken before: %+v", a)
	}
	select {
	case err := <-n.done:
		if n.done <- nil; err != nil { // for the clean-up
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("the node does not end")
	}
}

// idleFront is the client side of a node that has no goroutines of its own.
func idleFront(t *testing.T, cfg *Config) *front {
	t.Helper()
	n, err := newNode(t.Context(), cfg, log.New(&testserver.Log{}, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	n.boot()
	return newFront(n)
}

// The descriptors of both sides and the rest stay inside the limit together.
func TestDescriptorShares(t *testing.T) {
	for _, all := range []int{leastSockets, 1024} {
		if c, s := clientSockets(all), serverSockets(all); c < 1 || s < c || c+s+otherFiles > all {
			t.Errorf("of %d: %d for clients, %d for servers", all, c, s)
		}
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	const settings = `{"instances":2,"me":1,"lanes":[{"name":"c","idempotency":"retryable"}],"policyLimits":{"peers":true}}`
	good := map[string]string{"name": `"n1"`, "listen": `"127.0.0.1:1"`, "discovery": `"127.0.0.1:2"`, "seed": `"8c1f30d27a5be964"`,
		"limits": `{"memory_mb":192,"sockets":1024}`, "peer_listen": `"127.0.0.1:3"`, "peers": `["127.0.0.1:4","127.0.0.1:5"]`,
		"peers_all": `"127.0.0.1:6"`, "known": `{"generation":41,"reset":true,"instances":[]}`, "settings": settings}
	text := func(field, val string) []byte {
		var parts []string
		for f, v := range good {
			if f == field {
				v = val
			}
			if v != "" {
				parts = append(parts, fmt.Sprintf("%q:%s", f, v))
			}
		}
		return []byte("{" + strings.Join(parts, ",") + "}")
	}
	none := func(string) string { return "" }
	c, err := parseConfig(text("", ""), none)
	if err != nil || c.Seed != 0x8c1f30d27a5be964 || c.SavedEndpoints.Generation != 41 || c.Settings.InstanceIndex != 1 || len(c.GossipPeers) != 2 || c.MemoryMB != 192 {
		t.Fatalf("%+v, error %v", c, err)
	}
	for _, b := range [][3]string{
		{"name", `""`, "name"}, {"listen", `"nowhere"`, "listen"}, {"discovery", "", "discovery"}, {"seed", `"x"`, "seed"},
		{"limits", `{"sockets":9}`, "limits.sockets"}, {"limits", `{"memory_mb":-1}`, "limits.memory_mb"},
		{"settings", "", "settings"}, {"settings", `{"lanes":[{"idempotency":"odd"}]}`, "settings: lanes"},
		{"peer_listen", "", "peer_listen"}, {"peers", `["127.0.0.1:4"]`, "peers"}, {"peers", `["127.0.0.1:4","x"]`, "peers[1]"},
		{"peers_all", "", "peers_all"}, {"known", `{"instances":1}`, "known: "},
	} {
		if _, err := parseConfig(text(b[0], b[1]), none); err == nil || !strings.HasPrefix(err.Error(), b[2]) {
			t.Errorf("%s %s: error %v, want one that names %s", b[0], b[1], err, b[2])
		}
	}
	if _, err := LoadConfig(none); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("error %v", err)
	}
	if _, err := LoadConfig(func(string) string { return "/nonexistent" }); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v", err)
	}
	c, err = parseConfig(text("", ""), func(name string) string { return map[string]string{"PROXY_LISTEN": "127.0.0.1:9"}[name] })
	if err != nil || c.Listen.Port() != 9 {
		t.Errorf("PROXY_LISTEN: %v, error %v", c.Listen, err)
	}
}

// The saved list serves while discovery is down.
func TestKnownServes(t *testing.T) {
	s := newAppServer(t, say(okAnswer))
	n := run(t, testConfig(s.instance("a"))) // its discovery refuses connections
	eventually(t, "discovery found down", func() bool { return strings.Contains(n.logs.String(), "discovery:") })
	if a := dial(t, n.addr).ask(request("check", "t1")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
}
