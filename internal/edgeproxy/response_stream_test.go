package edgeproxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// respondInTwoParts returns a serve function that writes a response's head and the first part of a body, and the rest
// after a receive from halfRead. framing is the end of the head.
func respondInTwoParts(body []byte, framing string, halfRead <-chan bool) func(net.Conn, *http.Request, []byte) bool {
	isChunked, closes := strings.Contains(framing, "chunked"), strings.Contains(framing, "close")
	first, rest := string(body[:len(body)/3]), string(body[len(body)/3:])
	if isChunked {
		first = strings.TrimSuffix(encodeChunked([]byte(first), 7000), "0\r\nX-Sum: 1\r\n\r\n")
		rest = encodeChunked([]byte(rest), 7000)
	}
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.RequestURI == loadReportPath {
			return respondWith("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")(c, r, nil)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"+framing+first)
		<-halfRead
		io.WriteString(c, rest)
		return !closes
	}
}

// requireStreamed reads a response whose rest is sent only after its first part has been read.
func requireStreamed(t *testing.T, c *client, want []byte, halfRead chan<- bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, want 200", resp.StatusCode)
	}
	got := make([]byte, len(want)/6)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatalf("read the first part before the rest is sent: %v", err)
	}
	halfRead <- true
	rest, err := io.ReadAll(resp.Body)
	got = append(got, rest...)
	if err != nil || !bytes.Equal(got, want) || resp.Header.Get("Content-Type") != "a/b" {
		t.Fatalf("response: got %d of %d bytes, error %v, header %v", len(got), len(want), err, resp.Header)
	}
}

// A long response is forwarded as it is received, whatever delimits its body.
func TestStreamedResponses(t *testing.T) {
	body := pattern(3 << 20)
	for name, c := range map[string]struct {
		framing     string
		connections int // used for two responses
	}{
		"length":  {"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n", 1},
		"chunked": {"Transfer-Encoding: chunked\r\n\r\n", 1},
		"close":   {"Connection: close\r\n\r\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			halfRead := make(chan bool)
			app := newAppServer(t, respondInTwoParts(body, c.framing, halfRead))
			client := dial(t, runNode(t, testConfig(app.instance("a"))).addr)
			for _, id := range []string{"t1", "t2"} {
				client.send(request("check", id))
				requireStreamed(t, client, body, halfRead)
			}
			if got := len(app.conns); got != c.connections {
				t.Errorf("%d connections for two responses, want %d", got, c.connections)
			}
		})
	}
}

// A long response that breaks off counts as failed, and the client can detect it. No other response follows it.
func TestStreamedResponseBreaks(t *testing.T) {
	for name, framing := range map[string]string{
		"length":  "Content-Length: 1000000\r\n\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n\r\nf4240\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, at := runNodeWithAdmin(t, func(c net.Conn, r *http.Request, _ []byte) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing)
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
				t.Errorf("broken response was read as complete with %d bytes", len(got))
			}
			eventually(t, "counted as failed", hasMetric(t, at, "app.errored.check=1"))
			eventually(t, "no request in flight", hasMetric(t, at, "app.current=0"))
		})
	}
}

// A response that arrives in small pieces is read completely.
func TestResponseInPieces(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		for _, b := range []byte(okAnswer) {
			c.Write([]byte{b})
			time.Sleep(6 * time.Millisecond) // the slow server under test
		}
		return true
	})
	n := runNode(t, testConfig(app.instance("a")))
	if a := dial(t, n.addr).do(request("check", "a")); a.status != 200 || a.body != "body" {
		t.Errorf("got %+v, want status 200 with the body", a)
	}
}
