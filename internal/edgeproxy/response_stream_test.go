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

// A long response is forwarded as received, whatever marks its end.
func TestStreamedResponses(t *testing.T) {
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
				if r.RequestURI == loadReportPath {
					return respondWith("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")(c, r, nil)
				}
				first, rest := string(whole[:1<<20]), string(whole[1<<20:])
				if name == "chunked" {
					first = strings.TrimSuffix(chunked(whole[:1<<20], 7000), "0\r\nX-Sum: 1\r\n\r\n")
					rest = chunked(whole[1<<20:], 7000)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"+head+first)
				<-begun
				io.WriteString(c, rest)
				return name != "close"
			})
			n := runNode(t, testConfig(app.instance("a")))
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
				got = append(got, rest...)
				if err != nil || !bytes.Equal(got, whole) || resp.Header.Get("Content-Type") != "a/b" {
					t.Fatalf("%d of %d bytes, error %v, header %v", len(got), len(whole), err, resp.Header)
				}
			}
			if got := len(app.conns); name != "close" && got != 1 {
				t.Errorf("%d connections for two answers, want one", got)
			}
		})
	}
}

// A long response that breaks off has failed, and the client can tell; no other is sent after it.
func TestStreamedResponseBreaks(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"} {
		n, at := runNodeWithAdmin(t, func(c net.Conn, r *http.Request, _ []byte) bool {
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
			_, text := callAdmin(t, "GET", at, adminCountersPath)
			return strings.Contains(text, "app.errored.check=1\n") && strings.Contains(text, "app.current=0\n")
		})
	}
}

// A response in pieces is waited for while they are received.
func TestResponseInPieces(t *testing.T) {
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		for _, b := range []byte(okAnswer) {
			c.Write([]byte{b})
			time.Sleep(6 * time.Millisecond) // the server is slow, which is what is tested
		}
		return true
	})
	n := runNode(t, testConfig(app.instance("a")))
	if a := dial(t, n.addr).ask(request("check", "a")); a.status != 200 || a.body != "body" {
		t.Errorf("%+v", a)
	}
}
