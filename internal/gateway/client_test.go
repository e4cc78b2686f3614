package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"mulleinmux/internal/testserver"
)

// testClient is a client with one connection.
type testClient struct {
	net.Conn
	br     *bufio.Reader
	t      testing.TB
	method string // of the request sent last
}

// dial connects a client to an instance.
func dial(t testing.TB, addr string) *testClient {
	t.Helper()
	c, br, err := testserver.DialClient(addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testClient{c, br, t, ""}
}

func (a *testClient) send(text string) {
	a.t.Helper()
	a.method, _, _ = strings.Cut(text, " ")
	if _, err := io.WriteString(a, text); err != nil {
		a.t.Fatal(err)
	}
}

func (a *testClient) readResponse() testserver.Response {
	a.t.Helper()
	response, err := testserver.ReadResponse(a.br, a.method)
	if err != nil {
		a.t.Fatal(err)
	}
	return response
}

func (a *testClient) roundTrip(text string) testserver.Response {
	a.t.Helper()
	a.send(text)
	return a.readResponse()
}

// getRequest returns the text of a request without a body. lines are additional header lines.
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

// postRequest returns the text of a request with a JSON body.
func postRequest(line, body string, lines ...string) string {
	lines = append(lines, "Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(body)))
	return getRequest(line, lines...) + body
}
