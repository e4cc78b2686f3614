package edgeproxy

import (
	"bufio"
	"bytes"
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

// A long answer goes on as it comes, whatever the form that tells its end.
func TestLongAnswers(t *testing.T) {
	whole := pattern(3 << 20)
	for name, head := range map[string]string{
		"length":  "Content-Length: " + strconv.Itoa(len(whole)) + "\r\n\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n",
		"close":   "Connection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan bool)
			app := newAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
				if r.RequestURI == loadPath {
					return say("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")(c, r, nil)
				}
				first, rest := string(whole[:1<<20]), string(whole[1<<20:])
				if name == "chunked" {
					first, rest = strings.TrimSuffix(chunked(whole[:1<<20], 7000), "0\r\nX-Sum: 1\r\n\r\n"), chunked(whole[1<<20:], 7000)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"+head+first)
				<-begun
				io.WriteString(c, rest)
				return name != "close"
			})
			n := run(t, testConfig(app.instance("a")))
			c := dial(t, n.addr)
			for range 2 {
				c.send(request("check", "t1"))
				resp, err := http.ReadResponse(c.br, nil)
				if err != nil {
					t.Fatal(err)
				}
				got := make([]byte, 1<<19)
				if _, err := io.ReadFull(resp.Body, got); err != nil {
					t.Fatalf("the first part, while the rest is still to come: %v", err)
				}
				begun <- true
				rest, err := io.ReadAll(resp.Body)
				if got = append(got, rest...); err != nil || !bytes.Equal(got, whole) || resp.Header.Get("Content-Type") != "a/b" {
					t.Fatalf("%d of %d bytes, error %v, header %v", len(got), len(whole), err, resp.Header)
				}
			}
			if got := len(app.conns); name != "close" && got != 1 {
				t.Errorf("%d connections for two answers, want one", got)
			}
		})
	}
}

// A long answer that breaks off has failed, and the client can tell; no other is sent after it.
func TestLongAnswerBreaks(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"} {
		n, at := managed(t, func(c net.Conn, r *http.Request, _ []byte) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			c.Write(pattern(200000))
			c.(*net.TCPConn).SetLinger(0)
			return false
		}, nil)
		c := dial(t, n.addr)
		c.send(request("check", "t1"))
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%d bytes were read as a whole answer", len(got))
		}
		eventually(t, "counted as failed", func() bool {
			_, text := call(t, "GET", at, countersCall)
			return strings.Contains(text, "app.errored.check=1\n") && strings.Contains(text, "app.current=0\n")
		})
	}
}

// longBody sends a body with a declared length or in chunks.
func longBody(id string, body []byte, inChunks bool) string {
	if inChunks {
		return request("book", id, "Content-Length", "", "Transfer-Encoding", "chunked", "body", chunked(body, 5000))
	}
	return request("book", id, "Content-Length", strconv.Itoa(len(body)), "body", string(body))
}

// Bodies of every length and form arrive as they were sent: those that are held, and those
// that go on as they come. What they took of the memory is given back.
func TestLongBodies(t *testing.T) {
	sums := make(chan [32]byte, 1)
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.RequestURI != loadPath {
			sums <- sha256.Sum256(body)
		}
		return say(okAnswer)(c, r, body)
	})
	cfg := testConfig(app.instance("a"))
	cfg.MemoryMB = 32
	n := run(t, cfg)
	for i, size := range []int{1, 4, maxBody - 1, maxBody, maxBody + 1, 100000, holdMost, holdMost + 1, 6 << 20} {
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
	if a := dial(t, n.addr).ask(longBody("y", []byte(looks), true)); a.status != 200 || <-sums != sha256.Sum256([]byte(looks)) {
		t.Errorf("a body like a head: %d %s", a.status, a.body)
	}
	if a := dial(t, n.addr).ask(request("book", "z", "Content-Length", strconv.Itoa(bodyMost+1))); a.status != 413 {
		t.Errorf("a body over the limit: %d", a.status)
	}
}

// The memory that bodies hold is bounded: one that finds none left goes on as it comes.
func TestBudget(t *testing.T) {
	b := newBudget(1)
	all := b.left.Load()
	if !b.reserve(all) || b.reserve(1) {
		t.Error("more was given than there is")
	}
	b.release(all)
	hold := make(chan bool)
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return say(okAnswer)(c, r, body)
	})
	cfg := testConfig(app.instance("a"))
	cfg.MemoryMB = 1 // 157,286 bytes for bodies
	r := run(t, cfg)
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

// A body that goes on as it comes is refused at once, before its end, and its rest is read so
// that the client finds the answer.
func TestLongBodyRefused(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	n := run(t, testConfig(app.instance("a")))
	dial(t, n.addr).ask(request("check", "a", "X-Contract", "tight"))
	text := request("book", "b", "X-Contract", "tight", "Content-Length", strconv.Itoa(holdMost+1), "body", string(pattern(holdMost+1)))
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

// A long body whose server can't be reached never ran: the client is told that it may try
// again. Once some of it is gone there is no second attempt.
func TestLongBodyUnsent(t *testing.T) {
	dead := discovery.Endpoint{Addr: freeAddr(t)}
	dead.ID, dead.Weight, dead.Kind, dead.Zone = "dead", 1, "k", "z"
	n := run(t, testConfig(dead))
	if a := dial(t, n.addr).ask(longBody("a", pattern(holdMost+1), false)); a.status != 429 {
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
	n = run(t, testConfig(list...))
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

// A client that stops in the middle of a long body is not waited for, and its request reaches no server whole.
func TestLongBodyStops(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, say(okAnswer))
	n, at := managed(t, say(okAnswer), func(cfg *Config) { cfg.SavedEndpoints.Servers[0] = app.instance("a") })
	c, began := dial(t, n.addr), time.Now()
	text := longBody("a", pattern(holdMost+1), false)
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
		_, text := call(t, "GET", at, countersCall)
		return strings.Contains(text, "app.current=0\n")
	})
}

// A request that is written slowly, but written, is served; its wait begins with its last byte.
func TestSlowRequest(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, say(okAnswer))
	n := run(t, testConfig(app.instance("a")))
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

// An answer in pieces is waited for while they come.
func TestAnswerInPieces(t *testing.T) {
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		for _, b := range []byte(okAnswer) {
			c.Write([]byte{b})
			time.Sleep(6 * time.Millisecond) // the server is slow, which is what is tested
		}
		return true
	})
	n := run(t, testConfig(app.instance("a")))
	if a := dial(t, n.addr).ask(request("check", "a")); a.status != 200 || a.body != "body" {
		t.Errorf("%+v", a)
	}
}
