package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// receivedRequest is a request that a scripted server has received.
type receivedRequest struct {
	server   string
	line     string // method and target, byte for byte
	header   http.Header
	body     string
	response chan string // receives the text of the response; "" closes the connection
}

// testSites is a set of sites with scripted servers, whose responses the test provides.
type testSites struct {
	t          *testing.T
	discovery  map[string]*testserver.Discovery // by site
	authority  *raftnode.Authority              // issues the certificates for the relay
	requests   chan *receivedRequest
	goroutines sync.WaitGroup
	mu         sync.Mutex
	conns      []net.Conn
	done       chan struct{} // closed when the test ends
}

// newTestSites creates two sites, site-a and site-b, without servers.
func newTestSites(t *testing.T) *testSites {
	t.Helper()
	h := &testSites{t: t, discovery: map[string]*testserver.Discovery{}, requests: make(chan *receivedRequest, 100),
		done: make(chan struct{})}
	t.Cleanup(func() {
		close(h.done)
		h.goroutines.Wait()
	})
	for _, name := range []string{"site-a", "site-b"} {
		r, err := testserver.NewDiscovery()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		h.discovery[name] = r
	}
	return h
}

// startServer starts a scripted server and adds it to the endpoint list of its site.
func (h *testSites) startServer(site, id string) {
	h.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		ln.Close()
		h.mu.Lock()
		for _, c := range h.conns {
			c.Close()
		}
		h.mu.Unlock()
	})
	h.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, c)
			h.mu.Unlock()
			h.goroutines.Go(func() { h.serveConn(c, site+"/"+id) })
		}
	})
	h.listServer(site, id, ln.Addr().String(), "up")
}

// listServer adds a server to the endpoint list of a site, or updates its entry.
func (h *testSites) listServer(site, id, addr, lifecycle string) {
	h.discovery[site].Put(testserver.Entry{InstanceID: id, HostPort: addr, Zone: site, MachineType: "k",
		Lifecycle: lifecycle, Weight: 1})
}

// serveConn passes each request to the test for a response, except health checks, which it answers itself.
func (h *testSites) serveConn(c net.Conn, id string) {
	testserver.ServeRequests(c, func(r *http.Request, body []byte) bool {
		if r.URL.Path == healthCheckPath {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.10")
			return true
		}
		a := &receivedRequest{id, r.Method + " " + r.RequestURI, r.Header, string(body), make(chan string, 1)}
		h.requests <- a
		var text string
		select {
		case text = <-a.response:
		case <-h.done:
		}
		_, err := io.WriteString(c, text)
		return err == nil && text != "" && text != halfAnswer
	})
}

// nextRequest waits for the next request that reaches a server and returns it.
func (h *testSites) nextRequest() *receivedRequest {
	h.t.Helper()
	select {
	case a := <-h.requests:
		return a
	case <-time.After(testTimeout):
		h.t.Fatal("nextRequest: got no request at any server before the timeout, want one")
		return nil
	}
}

// expectNoRequest checks that no request has reached a server.
func (h *testSites) expectNoRequest() {
	h.t.Helper()
	select {
	case a := <-h.requests:
		a.response <- ""
		h.t.Errorf("got request %s at server %s, want none", a.line, a.server)
	default:
	}
}

// awaitServerCount waits until the number of servers of a site that an instance knows has fallen to want.
func (h *testSites) awaitServerCount(g *testInstance, site string, want int) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		g.host.mu.Lock()
		n := len(g.endpoints.serverIDs[site])
		g.host.mu.Unlock()
		if n == want {
			return
		}
		if n < want || time.Now().After(end) {
			h.t.Fatalf("site %s: got %d known servers, want %d", site, n, want)
		}
	}
}

// responseText returns the text of a complete response. extra holds additional header lines.
func responseText(status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}
