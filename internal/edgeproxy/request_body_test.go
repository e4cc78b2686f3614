package edgeproxy

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy"
)

// pattern is n bytes that tell where they stand.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>12 ^ i)
	}
	return b
}

// chunked words a body in chunks of a size.
func chunked(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;note=1\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// longBody sends a body with a declared length or in chunks.
func longBody(id string, body []byte, inChunks bool) string {
	if inChunks {
		return request("book", id, "Content-Length", "", "Transfer-Encoding", "chunked", "body", chunked(body, 5000))
	}
	return request("book", id, "Content-Length", strconv.Itoa(len(body)), "body", string(body))
}

// newSummingServer is an app server that sends the checksum of each body on sums.
func newSummingServer(t *testing.T) (app *appServer, sums chan [32]byte) {
	t.Helper()
	sums = make(chan [32]byte, 1)
	return newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.RequestURI != loadReportPath {
			sums <- sha256.Sum256(body)
		}
		return respondWith(okAnswer)(c, r, body)
	}), sums
}

// Bodies of every length and framing arrive as they were sent: those that are buffered, and those that are
// streamed. The memory that they took is released.
func TestLongRequestBodies(t *testing.T) {
	t.Parallel()
	app, sums := newSummingServer(t)
	cfg := testConfig(app.instance("a"))
	cfg.MemoryMB = 32
	n := runNode(t, cfg)
	for i, size := range []int{
		1, 4, alwaysBufferedBody - 1, alwaysBufferedBody, alwaysBufferedBody + 1, 100000,
		maxBufferedBody, maxBufferedBody + 1, 6 << 20,
	} {
		for _, inChunks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, chunked %v", size, inChunks), func(t *testing.T) {
				c := dial(t, n.addr)
				if a := c.ask(request("check", fmt.Sprintf("a%d-%v", i, inChunks))); a.status != 200 {
					t.Fatalf("the request before: %d %s", a.status, a.body)
				}
				<-sums
				requireBodyArrives(t, c, sums, fmt.Sprintf("b%d-%v", i, inChunks), pattern(size), inChunks)
			})
		}
	}
	t.Run("a body like a head", func(t *testing.T) {
		looks := "a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
		requireBodyArrives(t, dial(t, n.addr), sums, "y", []byte(looks), true)
	})
	t.Run("a body over the limit", func(t *testing.T) {
		tooLong := request("book", "z", "Content-Length", strconv.Itoa(maxRequestBody+1))
		if a := dial(t, n.addr).ask(tooLong); a.status != 413 {
			t.Errorf("status %d", a.status)
		}
	})
}

// requireBodyArrives sends a body and checks that the app server receives it.
func requireBodyArrives(
	t *testing.T, c *client, sums <-chan [32]byte, id string, body []byte, inChunks bool,
) {
	t.Helper()
	if a := c.ask(longBody(id, body, inChunks)); a.status != 200 {
		t.Fatalf("%d %s", a.status, a.body)
	}
	if <-sums != sha256.Sum256(body) {
		t.Fatal("other bytes arrived")
	}
}

// The memory that bodies take is limited.
func TestMemoryBudgetIsLimited(t *testing.T) {
	b := newMemoryBudget(1)
	all := b.available.Load()
	if !b.reserve(all) || b.reserve(1) {
		t.Error("more was given than there is")
	}
	b.release(all)
	if b.available.Load() != all {
		t.Error("not all of it came back")
	}
}

// A body that finds no memory left is streamed.
func TestMemoryBudget(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return respondWith(okAnswer)(c, r, body)
	})
	cfg := testConfig(app.instance("a"))
	cfg.MemoryMB = 1 // 157,286 bytes for bodies
	r := runNode(t, cfg)
	first, second := dial(t, r.addr), dial(t, r.addr)
	first.send(longBody("a", pattern(100000), false))
	second.send(longBody("b", pattern(100000), true))
	eventually(t, "both are written", func() bool { return len(app.requests()) == 2 })
	close(hold)
	for _, c := range []*client{first, second} {
		if a := c.read(); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
}

// A streamed body is rejected at once, before its end, and its rest is read so that the client finds the response.
func TestLongBodyRejected(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(app.instance("a")))
	dial(t, n.addr).ask(request("check", "a", "X-Contract", "tight"))
	text := request("book", "b", "X-Contract", "tight",
		"Content-Length", strconv.Itoa(maxBufferedBody+1), "body", string(pattern(maxBufferedBody+1)))
	c := dial(t, n.addr)
	c.send(text[:len(text)-100])
	if a := c.read(); a.status != 429 || a.header.Get("Retry-After") == "" || !a.close {
		t.Errorf("status %d, header %v", a.status, a.header)
	}
	c.send(text[len(text)-100:])
	if len(app.requests()) != 1 {
		t.Errorf("%q was forwarded", app.requests())
	}
}

// A long body whose server can't be reached never ran: the client is told that it may retry.
func TestLongBodyUnsent(t *testing.T) {
	t.Parallel()
	n := runNode(t, testConfig(instanceAt("dead", freeAddr(t))))
	if a := dial(t, n.addr).ask(longBody("a", pattern(maxBufferedBody+1), false)); a.status != 429 {
		t.Errorf("status %d", a.status)
	}
}

// Once some of a long body is forwarded there is no second attempt: both servers break off half way; the first meets
// it, and the other gets nothing.
func TestLongBodyIsForwardedOnce(t *testing.T) {
	t.Parallel()
	attempts := make(chan bool, 10)
	first, second := newBreakingServer(t, attempts), newBreakingServer(t, attempts)
	n := runNode(t, testConfig(instanceAt("a", first), instanceAt("b", second)))
	for i := range 20 { // they earn retries
		dial(t, n.addr).ask(request("check", fmt.Sprint("e", i)))
	}
	if a := dial(t, n.addr).ask(longBody("b", pattern(20<<20), false)); a.status != 429 {
		t.Errorf("status %d", a.status)
	}
	if len(attempts) != 1 {
		t.Errorf("%d attempts, want 1", len(attempts))
	}
}

// instanceAt is the entry of an app server at an address.
func instanceAt(id string, addr netip.AddrPort) Instance {
	return Instance{Server: policy.Server{ID: id, Weight: 1, Kind: "k", Zone: "z"}, Addr: addr}
}

// newBreakingServer is an app server that resets its connection in the middle of a body, after it has said so on
// attempts. It answers requests without a body.
func newBreakingServer(t *testing.T, attempts chan<- bool) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveUntilBody(c, attempts)
		}
	}()
	return addrOf(ln)
}

// serveUntilBody answers requests on a connection until one has a body, in the middle of which it resets it.
func serveUntilBody(c net.Conn, attempts chan<- bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.Method == "POST" {
			attempts <- true
			io.CopyN(io.Discard, br, 100000)
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		io.WriteString(c, okAnswer)
	}
}

// A client that stalls in the middle of a long body is not waited for, and its request reaches no server complete.
func TestLongBodyStalls(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	n, at := runNodeWithAdmin(t, respondWith(okAnswer), func(cfg *Config) {
		cfg.SavedEndpoints.Servers[0] = app.instance("a")
	})
	c, began := dial(t, n.addr), time.Now()
	text := longBody("a", pattern(maxBufferedBody+1), false)
	c.send(text[:len(text)/2])
	if rest, err := io.ReadAll(c.br); err == nil && strings.Contains(string(rest), " 200 ") {
		t.Errorf("answered %q", rest)
	}
	if d := time.Since(began); d > 5*time.Second {
		t.Errorf("ended after %v", d)
	}
	if len(app.requests()) != 0 {
		t.Error("half a body was forwarded as a complete one")
	}
	eventually(t, "nothing in flight", hasMetric(t, at, "app.current=0"))
}

// A request that is sent slowly, but sent, is served; its wait begins with its last byte.
func TestSlowRequest(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(app.instance("a")))
	c, text := dial(t, n.addr), request("book", "a", "X-Expires-In", "0.5")
	for i := range len(text) {
		c.send(text[i : i+1])
		if i%(len(text)/8) == 0 {
			time.Sleep(200 * time.Millisecond) // the client is slow, which is what is tested
		}
	}
	if a := c.read(); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
}

// panickingReader gives some bytes, then panics.
type panickingReader struct{ left int }

func (r *panickingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		panic("while a body is read")
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

// deadlineWriter is a response writer whose read deadline can be set.
type deadlineWriter struct{ http.ResponseWriter }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }

// A panic while a body is read gives its memory back.
func TestPanicWhileBodyIsRead(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int64{"of known length": 1 << 20, "chunked": -1} {
		budget := newMemoryBudget(64)
		before := budget.available.Load()
		body := &requestBody{source: &panickingReader{left: 500 << 10}, startedAt: time.Now(), length: length,
			controller: http.NewResponseController(deadlineWriter{})}
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: no panic", name)
				}
			}()
			if length > 0 {
				body.readSized(budget)
			} else {
				body.readChunked(budget)
			}
		}()
		if left := budget.available.Load(); left != before {
			t.Errorf("%s: %d bytes of the budget are left of %d", name, left, before)
		}
	}
}
