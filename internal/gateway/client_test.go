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

// testClient is one connection of a client.
type testClient struct {
	net.Conn
	br     *bufio.Reader
	t      testing.TB
	method string // of the request sent last
}

// dial connects a client to an instance.
func dial(t testing.TB, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{c, bufio.NewReader(c), t, ""}
}

// clientResponse is a response as a client reads it.
type clientResponse struct {
	status int
	header http.Header
	body   string
	close  bool
}

func (a *testClient) send(text string) {
	a.t.Helper()
	a.method, _, _ = strings.Cut(text, " ")
	if _, err := io.WriteString(a, text); err != nil {
		a.t.Fatal(err)
	}
}

func (a *testClient) readResponse() clientResponse {
	a.t.Helper()
	resp, err := http.ReadResponse(a.br, &http.Request{Method: a.method})
	if err != nil {
		a.t.Fatalf("reading the answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.t.Fatalf("reading the answer's body: %v", err)
	}
	return clientResponse{resp.StatusCode, resp.Header, string(body), resp.Close}
}

func (a *testClient) roundTrip(text string) clientResponse {
	a.t.Helper()
	a.send(text)
	return a.readResponse()
}

// getRequest words a request without a body; lines are added to its head.
func getRequest(line string, lines ...string) string {
	text := line + " HTTP/1.1\r\nHost: h\r\n"
	if !strings.Contains(strings.Join(lines, "\n"), "X-Licensee") {
		text += "X-Licensee: honest\r\n"
	}
	for _, l := range lines {
		text += l + "\r\n"
	}
	return text + "\r\n"
}

// postRequest words a request with a JSON body.
func postRequest(line, body string, lines ...string) string {
	lines = append(lines, "Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(body)))
	return getRequest(line, lines...) + body
}
