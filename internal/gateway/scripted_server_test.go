package gateway

import (
	"bufio"
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

// arrival is a request as a scripted server reads it.
type arrival struct {
	server string
	line   string // method and target, byte for byte
	header http.Header
	body   string
	answer chan string // takes the answer's text; "" closes the connection
}

// halls is a set of scripted servers, which hand each request to the test.
type halls struct {
	t         *testing.T
	regs      map[string]*testserver.Register
	authority *raftnode.Authority // of the link's certificates
	came      chan *arrival
	life      sync.WaitGroup
	mu        sync.Mutex
	open      []net.Conn
	quit      chan struct{} // closed when the test ends
}

func newHalls(t *testing.T) *halls {
	h := &halls{t: t, regs: map[string]*testserver.Register{}, came: make(chan *arrival, 100),
		quit: make(chan struct{})}
	t.Cleanup(func() {
		close(h.quit)
		h.life.Wait()
	})
	for _, name := range []string{"hall-a", "hall-b"} {
		r, err := testserver.NewRegister()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		h.regs[name] = r
	}
	return h
}

// server starts a scripted server and lists it.
func (h *halls) server(hall, id string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		ln.Close()
		h.mu.Lock()
		for _, c := range h.open {
			c.Close()
		}
		h.mu.Unlock()
	})
	h.life.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.open = append(h.open, c)
			h.mu.Unlock()
			h.life.Go(func() { h.talk(c, hall+"/"+id) })
		}
	})
	h.list(hall, id, ln.Addr().String(), "up")
}

func (h *halls) list(hall, id, addr, lifecycle string) {
	h.regs[hall].Put(testserver.Entry{InstanceID: id, HostPort: addr, Zone: hall, MachineType: "k",
		Lifecycle: lifecycle, Weight: 1})
}

func (h *halls) talk(c net.Conn, id string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == healthCheckPath {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.10")
			continue
		}
		a := &arrival{id, r.Method + " " + r.RequestURI, r.Header, string(body), make(chan string, 1)}
		h.came <- a
		var text string
		select {
		case text = <-a.answer:
		case <-h.quit:
		}
		if _, err := io.WriteString(c, text); err != nil || text == "" {
			return
		}
	}
}

// next is the next request that reaches a server.
func (h *halls) next() *arrival {
	h.t.Helper()
	select {
	case a := <-h.came:
		return a
	case <-time.After(patience):
		h.t.Fatal("no request reaches a server")
		return nil
	}
}

// none checks that no request has reached a server.
func (h *halls) none() {
	h.t.Helper()
	select {
	case a := <-h.came:
		a.answer <- ""
		h.t.Errorf("%s reached %s", a.line, a.server)
	default:
	}
}

// gone waits until an instance knows so many servers of a hall.
func (h *halls) gone(g *running, hall string, left int) {
	h.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		n := len(g.serversBySite[hall])
		g.mu.Unlock()
		if n == left {
			return
		}
		if n < left || time.Now().After(end) {
			h.t.Fatalf("%s: %d servers known, not %d", hall, n, left)
		}
	}
}

func answerText(status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}
