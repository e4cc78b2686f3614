package edgeproxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
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

// pattern returns n bytes whose values depend on their position.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>12 ^ i)
	}
	return b
}

// encodeChunked encodes a body in chunks of at most size bytes, with chunk extensions and a trailer.
func encodeChunked(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;note=1\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// longBody returns a request whose body has a declared length or is chunked.
func longBody(id string, body []byte, inChunks bool) string {
	if inChunks {
		return request("book", id, "Content-Length", "", "Transfer-Encoding", "chunked",
			"body", encodeChunked(body, 5000))
	}
	return request("book", id, "Content-Length", strconv.Itoa(len(body)), "body", string(body))
}

// newChecksumServer returns an app server that sends the checksum of each body it receives on sums.
func newChecksumServer(t *testing.T) (app *appServer, sums chan [32]byte) {
	t.Helper()
	sums = make(chan [32]byte, 1)
	return newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.RequestURI != loadReportPath {
			sums <- sha256.Sum256(body)
		}
		return respondWith(okAnswer)(c, r, body)
	}), sums
}

// Bodies of every length and framing, buffered and streamed, arrive unchanged, and the memory taken by one is released.
func TestLongRequestBodies(t *testing.T) {
	t.Parallel()
	app, sums := newChecksumServer(t)
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
				if a := c.do(request("check", fmt.Sprintf("a%d-%v", i, inChunks))); a.status != 200 {
					t.Fatalf("preceding request: got status %d, body %q, want 200", a.status, a.body)
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
		if a := dial(t, n.addr).do(tooLong); a.status != 413 {
			t.Errorf("body over the limit: got status %d, want 413", a.status)
		}
	})
}

// requireBodyArrives sends a body and checks that the app server receives it.
func requireBodyArrives(
	t *testing.T, c *client, sums <-chan [32]byte, id string, body []byte, inChunks bool,
) {
	t.Helper()
	if a := c.do(longBody(id, body, inChunks)); a.status != 200 {
		t.Fatalf("got status %d, body %q, want 200", a.status, a.body)
	}
	if <-sums != sha256.Sum256(body) {
		t.Fatal("the app server received a different body")
	}
}

// The memory taken by clients is limited.
func TestMemoryAccountIsLimited(t *testing.T) {
	account := newMemoryAccount(1, discard)
	_, limit, _ := account.usage()
	first, second := reservation{memory: account.newConn()}, reservation{memory: account.newConn()}
	if !first.tryGrowTo(limit) || second.tryGrowTo(1) {
		t.Error("the reservations exceed the limit")
	}
	if err := second.growTo(1); !errors.Is(err, errNoMemory) {
		t.Errorf("reservation beyond the limit: got error %v, want %v", err, errNoMemory)
	}
	first.release()
	if used, _, _ := account.usage(); used != 0 || !second.tryGrowTo(limit) {
		t.Error("release did not give back all of the reservation")
	}
}

// A body for which no memory is left is streamed.
func TestBodyIsStreamedWithoutMemory(t *testing.T) {
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
	eventually(t, "both requests forwarded", func() bool { return len(app.requests()) == 2 })
	close(hold)
	for _, c := range []*client{first, second} {
		if a := c.read(); a.status != 200 {
			t.Errorf("got status %d, want 200", a.status)
		}
	}
}

// A request with a streamed body is rejected before the end of the body, and the rest of the body is read, so that the
// client receives the response.
func TestLongBodyRejected(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(app.instance("a")))
	dial(t, n.addr).do(request("check", "a", "X-Contract", "tight"))
	text := request("book", "b", "X-Contract", "tight",
		"Content-Length", strconv.Itoa(maxBufferedBody+1), "body", string(pattern(maxBufferedBody+1)))
	c := dial(t, n.addr)
	c.send(text[:len(text)-100])
	if a := c.read(); a.status != 429 || a.header.Get("Retry-After") == "" || !a.close {
		t.Errorf("got status %d, header %v, want 429 with a Retry-After and a close", a.status, a.header)
	}
	c.send(text[len(text)-100:])
	if len(app.requests()) != 1 {
		t.Errorf("forwarded requests: got %q, want only the first", app.requests())
	}
}

// A long body whose server can't be reached was never executed, so the client may retry the request.
func TestLongBodyUnsent(t *testing.T) {
	t.Parallel()
	n := runNode(t, testConfig(instanceAt("dead", freeAddr(t))))
	if a := dial(t, n.addr).do(longBody("a", pattern(maxBufferedBody+1), false)); a.status != 429 {
		t.Errorf("unsent long body: got status %d, want 429", a.status)
	}
}

// Once part of a long body has been forwarded there is no second attempt. Both servers reset the connection in the
// middle of the body; only one of them may receive an attempt.
func TestLongBodyIsForwardedOnce(t *testing.T) {
	t.Parallel()
	attempts := make(chan bool, 10)
	first, second := newResettingServer(t, attempts), newResettingServer(t, attempts)
	n := runNode(t, testConfig(instanceAt("a", first), instanceAt("b", second)))
	for i := range 20 { // first attempts earn retries
		dial(t, n.addr).do(request("check", fmt.Sprint("e", i)))
	}
	if a := dial(t, n.addr).do(longBody("b", pattern(20<<20), false)); a.status != 429 {
		t.Errorf("long body cut off by its server: got status %d, want 429", a.status)
	}
	if len(attempts) != 1 {
		t.Errorf("got %d attempts, want 1", len(attempts))
	}
}

// instanceAt returns the endpoint of an app server at an address.
func instanceAt(id string, addr netip.AddrPort) Instance {
	return Instance{Server: policy.Server{ID: id, Weight: 1, Kind: "k", Zone: "z"}, Addr: addr}
}

// newResettingServer returns the address of an app server that resets its connection in the middle of a body, after
// reporting the attempt on attempts. It answers requests without a body.
func newResettingServer(t *testing.T, attempts chan<- bool) netip.AddrPort {
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

// serveUntilBody answers requests on a connection until one has a body, and resets the connection in the middle of it.
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

// A client that stalls in the middle of a long body is not waited for, and no server receives its request completely.
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
		t.Errorf("incomplete request was served: %q", rest)
	}
	if d := time.Since(began); d > 5*time.Second {
		t.Errorf("request ended after %v, want at most 5s", d)
	}
	if len(app.requests()) != 0 {
		t.Error("an incomplete body was forwarded as a complete one")
	}
	eventually(t, "no request in flight", hasMetric(t, at, "app.current=0"))
}

// A request that is sent slowly but steadily is served. Its timeout starts with its last byte.
func TestSlowRequest(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(app.instance("a")))
	c, text := dial(t, n.addr), request("book", "a", "X-Expires-In", "0.5")
	for i := range len(text) {
		c.send(text[i : i+1])
		if i%(len(text)/8) == 0 {
			time.Sleep(200 * time.Millisecond) // the slow client under test
		}
	}
	if a := c.read(); a.status != 200 {
		t.Errorf("slow request: got status %d, want 200", a.status)
	}
}

// panickingReader returns a number of bytes and then panics.
type panickingReader struct{ remaining int }

func (r *panickingReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		panic("while a body is read")
	}
	n := min(len(p), r.remaining)
	r.remaining -= n
	return n, nil
}

// deadlineWriter is a response writer that accepts read deadlines.
type deadlineWriter struct{ http.ResponseWriter }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }

// readBodyFrom reads the first part of a body from a reader, on a connection with the given memory.
func readBodyFrom(source io.Reader, length int64, memory *connMemory) (bufferedBody, error) {
	r := &http.Request{ContentLength: length, Body: io.NopCloser(source)}
	return readBody(deadlineWriter{}, r, time.Now(), &clientConn{memory: memory, limiter: newConnectionLimiter(1)})
}

// A panic while a body is read returns the body's memory to the account.
func TestPanicWhileBodyIsRead(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int64{"of known length": 1 << 20, "chunked": -1} {
		account := newMemoryAccount(64, discard)
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: reading the body did not panic", name)
				}
			}()
			readBodyFrom(&panickingReader{remaining: 500 << 10}, length, account.newConn())
		}()
		if used, _, _ := account.usage(); used != 0 {
			t.Errorf("%s: %d bytes are still reserved", name, used)
		}
	}
}

// A short body is buffered if there is memory for it, one of medium size too, and else streamed, or refused where not
// even that is possible; a long one is always streamed. What is buffered is reserved.
func TestBufferedPartOfBody(t *testing.T) {
	for name, c := range map[string]struct {
		length, taken int64 // bytes; taken is reserved by another connection
		isBuffered    bool
		wantErr       error
	}{
		"tiny, no memory":           {includedBodyBytes / 2, 1 << 40, true, nil},
		"short":                     {alwaysBufferedBody, 0, true, nil},
		"short, no memory":          {alwaysBufferedBody, 1 << 40, true, errNoMemory},
		"medium":                    {alwaysBufferedBody + 1, 0, true, nil},
		"medium, memory is short":   {maxBufferedBody, 9 << 20, false, nil},
		"medium, no memory":         {maxBufferedBody, 1 << 40, true, errNoMemory},
		"the longest":               {maxBufferedBody, 0, true, nil},
		"too long":                  {maxBufferedBody + 1, 0, false, nil},
		"too long, memory is short": {maxBufferedBody + 1, 1 << 40, false, errNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			account := newMemoryAccount(64, discard)
			_, limit, _ := account.usage()
			taken := min(c.taken, limit)
			(&reservation{memory: account.newConn()}).tryGrowTo(taken)
			memory := account.newConn()
			memory.received(time.Now())
			body, err := readBodyFrom(bytes.NewReader(pattern(int(c.length))), c.length, memory)
			if !errors.Is(err, c.wantErr) || err == nil && (body.rest == nil) != c.isBuffered {
				t.Errorf("buffered %v, error %v, want %v and %v", body.rest == nil, err, c.isBuffered, c.wantErr)
			}
			used, _, _ := account.usage()
			if err == nil && used-taken < int64(len(body.bytes))-includedBodyBytes || used > limit {
				t.Errorf("%d bytes reserved of %d for a buffer of %d", used-taken, limit, len(body.bytes))
			}
			body.memory.release()
			if used, _, _ := account.usage(); used != taken {
				t.Errorf("%d bytes are still reserved, want %d", used, taken)
			}
		})
	}
}

// readerThen calls a function once some bytes were read from it, and reads on.
type readerThen struct {
	io.Reader
	remaining int // until the call
	then      func()
}

func (r *readerThen) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.remaining > 0 && n >= r.remaining {
		r.then()
	}
	r.remaining -= n
	return n, err
}

// A body that is partly buffered when others take all the memory is streamed: it was refused, since the buffers for that
// were not reserved.
func TestBodyIsStreamedAfterOthersTakeMemory(t *testing.T) {
	for name, length := range map[string]int64{"of known length": 1 << 20, "chunked": -1} {
		account := newMemoryAccount(64, discard)
		takeAll := func() {
			used, limit, _ := account.usage()
			(&reservation{memory: account.newConn()}).tryGrowTo(limit - used)
		}
		memory := account.newConn()
		memory.received(time.Now())
		source := &readerThen{bytes.NewReader(pattern(1 << 20)), 20 << 10, takeAll}
		body, err := readBodyFrom(source, length, memory)
		if err != nil || body.rest == nil {
			t.Errorf("%s: %d bytes buffered, streamed %v, error %v; want it streamed", name, len(body.bytes), body.rest != nil, err)
		}
	}
}

// The trailer of a chunked body is dropped: its fields took some 30 times their size while the request was served.
func TestTrailerIsDropped(t *testing.T) {
	text := "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\nC: d\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	conn := &clientConn{memory: newMemoryAccount(64, discard).newConn(), limiter: newConnectionLimiter(1)}
	body, err := readBody(deadlineWriter{}, r, time.Now(), conn)
	if err != nil || string(body.bytes) != "body" {
		t.Fatalf("body %q, error %v", body.bytes, err)
	}
	if len(r.Trailer) > 0 {
		t.Errorf("the request still has the trailer %v", r.Trailer)
	}
}
