package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// asker is one connection of a client.
type asker struct {
	net.Conn
	br   *bufio.Reader
	t    testing.TB
	last string // method of the request sent last
}

func dial(t testing.TB, addr string) *asker {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &asker{c, bufio.NewReader(c), t, ""}
}

type gotAnswer struct {
	status int
	header http.Header
	body   string
	close  bool
}

func (a *asker) send(text string) {
	a.t.Helper()
	a.last, _, _ = strings.Cut(text, " ")
	if _, err := io.WriteString(a, text); err != nil {
		a.t.Fatal(err)
	}
}

func (a *asker) read() gotAnswer {
	a.t.Helper()
	resp, err := http.ReadResponse(a.br, &http.Request{Method: a.last})
	if err != nil {
		a.t.Fatalf("reading the answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.t.Fatalf("reading the answer's body: %v", err)
	}
	return gotAnswer{resp.StatusCode, resp.Header, string(body), resp.Close}
}

func (a *asker) ask(text string) gotAnswer {
	a.t.Helper()
	a.send(text)
	return a.read()
}

// get words a request without a body; lines are added to its head.
func get(line string, lines ...string) string {
	text := line + " HTTP/1.1\r\nHost: h\r\n"
	if !strings.Contains(strings.Join(lines, "\n"), "X-Licensee") {
		text += "X-Licensee: honest\r\n"
	}
	for _, l := range lines {
		text += l + "\r\n"
	}
	return text + "\r\n"
}

func post(line, body string, lines ...string) string {
	lines = append(lines, "Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(body)))
	return get(line, lines...) + body
}
