package edgeproxy

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/discovery"
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

// Bodies of every length and framing arrive as they were sent: those that are buffered, and those that are
// streamed. The memory that they took is released.
func TestLongRequestBodies(t *testing.T) {
	sums := make(chan [32]byte, 1)
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.RequestURI != loadReportPath {
			sums <- sha256.Sum256(body)
		}
		return respondWith(okAnswer)(c, r, body)
	})
	cfg := testConfig(app.instance("a"))
	cfg.MemoryMB = 32
	n := runNode(t, cfg)
	for i, size := range []int{
		1, 4, alwaysBufferedBody - 1, alwaysBufferedBody, alwaysBufferedBody + 1, 100000,
		maxBufferedBody, maxBufferedBody + 1, 6 << 20,
	} {
		for _, inChunks := range []bool{false, true} {
			body := pattern(size)
			c := dial(t, n.addr)
			if a := c.ask(request("check", fmt.Sprintf("a%d-%v", i, inChunks))); a.status != 200 {
				t.Fatalf("the request before: %d %s", a.status, a.body)
			}
			<-sums
			if a := c.ask(longBody(fmt.Sprintf("b%d-%v", i, inChunks), body, inChunks)); a.status != 200 {
				t.Fatalf("%d bytes, chunked %v: %d %s", size, inChunks, a.status, a.body)
			}
			if <-sums != sha256.Sum256(body) {
				t.Fatalf("%d bytes, chunked %v: other bytes arrived", size, inChunks)
			}
		}
	}
	// A body may look like a head.
	looks := "a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
	a := dial(t, n.addr).ask(longBody("y", []byte(looks), true))
	if a.status != 200 || <-sums != sha256.Sum256([]byte(looks)) {
		t.Errorf("a body like a head: %d %s", a.status, a.body)
	}
	tooLong := request("book", "z", "Content-Length", strconv.Itoa(maxRequestBody+1))
	if a := dial(t, n.addr).ask(tooLong); a.status != 413 {
		t.Errorf("a body over the limit: %d", a.status)
	}
}

// The memory that bodies take is limited: one that finds none left is streamed.
func TestMemoryBudget(t *testing.T) {
	b := newMemoryBudget(1)
	all := b.available.Load()
	if !b.reserve(all) || b.reserve(1) {
		t.Error("more was given than there is")
	}
	b.release(all)
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
		t.Errorf("%q went on", app.requests())
	}
}

// A long body whose server can't be reached never ran: the client is told that it may retry. Once some of it is
// forwarded there is no second attempt.
func TestLongBodyUnsent(t *testing.T) {
	dead := discovery.Endpoint{Addr: freeAddr(t)}
	dead.ID, dead.Weight, dead.Kind, dead.Zone = "dead", 1, "k", "z"
	n := runNode(t, testConfig(dead))
	if a := dial(t, n.addr).ask(longBody("a", pattern(maxBufferedBody+1), false)); a.status != 429 {
		t.Errorf("status %d", a.status)
	}
	// Both servers break off half way; the first meets it, and no other is asked.
	var seen = make(chan bool, 10)
	breaks := func() net.Listener {
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
				go func() {
					defer c.Close()
					br := bufio.NewReader(c)
					for {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						if r.Method == "POST" {
							seen <- true
							io.CopyN(io.Discard, br, 100000)
							c.(*net.TCPConn).SetLinger(0)
							return
						}
						io.WriteString(c, okAnswer)
					}
				}()
			}
		}()
		return ln
	}
	var list []Instance
	for _, id := range []string{"a", "b"} {
		s := dead
		s.ID, s.Addr = id, addrOf(breaks())
		list = append(list, s)
	}
	n = runNode(t, testConfig(list...))
	for i := range 20 { // they earn further attempts
		dial(t, n.addr).ask(request("check", fmt.Sprint("e", i)))
	}
	if a := dial(t, n.addr).ask(longBody("b", pattern(20<<20), false)); a.status != 429 {
		t.Errorf("status %d", a.status)
	}
	if len(seen) != 1 {
		t.Errorf("%d attempts, want 1", len(seen))
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
		t.Error("half a body went on as a whole one")
	}
	eventually(t, "nothing is under way", func() bool {
		_, text := callAdmin(t, "GET", at, adminCountersPath)
		return strings.Contains(text, "app.current=0\n")
	})
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
