package gateway

import (
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// heldInstance is an instance with one server, whose calls on client connections can be blocked.
type heldInstance struct {
	*testInstance
	sites *testSites
	held  *heldListener
}

func startHeldInstance(t *testing.T, at holdPoint) *heldInstance {
	t.Helper()
	g := &heldInstance{sites: newTestSites(t), held: &heldListener{at: at}}
	g.sites.startServer("site-a", "s")
	g.testInstance = startInstance(t, g.sites, 1, func(c *Config) {
		g.held.Listener = c.listener
		c.listener = g.held
	})
	return g
}

// serveNext makes the server answer the next request.
func (g *heldInstance) serveNext(body string) {
	g.sites.nextRequest().response <- responseText(200, "", body)
}

// awaitListenerClosed waits until the instance's listener has closed, which begins the last phase of a drain.
func (g *heldInstance) awaitListenerClosed(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", g.addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	t.Fatal("the instance still accepts connections, want its listener closed")
}

// readDelaysMs are the times in milliseconds by which reads or writes are delayed, as if the process were not
// scheduled.
var readDelaysMs = []time.Duration{1, 50, 300, 2000}

// forEachDelay runs a test with each delay of readDelaysMs, in parallel.
func forEachDelay(t *testing.T, test func(t *testing.T, delay time.Duration)) {
	for _, milliseconds := range readDelaysMs {
		t.Run(strconv.Itoa(int(milliseconds))+"ms", func(t *testing.T) {
			t.Parallel()
			test(t, milliseconds*time.Millisecond)
		})
	}
}

// A request that was received before a drain closes its connection is answered, however late the process reads it:
// on a new and on an idle connection, whether the request is still in the socket or has just left it.
func TestDrainAnswersRequestReadLate(t *testing.T) {
	for name, c := range map[string]struct {
		at     holdPoint
		isIdle bool
	}{
		"new, in the socket":      {heldBeforeRead, false},
		"new, out of the socket":  {heldAfterRead, false},
		"idle, out of the socket": {heldAfterRead, true},
	} {
		t.Run(name, func(t *testing.T) {
			forEachDelay(t, func(t *testing.T, delay time.Duration) {
				g := startHeldInstance(t, c.at)
				var client *testClient
				if c.isIdle {
					client = dial(t, g.addr)
					client.send(getRequest("GET /visits/1"))
					g.serveNext("first")
					client.readResponse()
				}
				release := g.held.hold()
				defer release()
				if !c.isIdle {
					client = dial(t, g.addr)
				}
				client.send(getRequest("GET /visits/2"))
				g.stop()
				g.awaitListenerClosed(t)
				time.Sleep(delay)
				release()
				g.serveNext("second")
				if r := client.readResponse(); r.Body != "second" || !r.Close {
					t.Errorf("request read late: got %+v, want body second and a close", r)
				}
			})
		})
	}
}

// A client that connects before the listener closes is answered if its request follows soon, even in several pieces.
func TestDrainAwaitsFirstRequest(t *testing.T) {
	text := postRequest("POST /visits", `{"installers": 1}`, "Idempotency-Key: k")
	for name, pieces := range map[string][]string{
		"whole":              {text},
		"in the head":        {text[:30], text[30:]},
		"in the body":        {text[:len(text)-5], text[len(text)-5:]},
		"byte after the end": {text[:len(text)-1], text[len(text)-1:]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startHeldInstance(t, heldAfterRead)
			client := dial(t, g.addr)
			g.stop()
			g.awaitListenerClosed(t)
			for _, piece := range pieces {
				time.Sleep(newConnGrace / 4)
				client.send(piece)
			}
			client.method = "POST"
			g.serveNext("booked")
			if r := client.readResponse(); r.Body != "booked" || !r.Close {
				t.Errorf("first request: got %+v, want body booked and a close", r)
			}
		})
	}
}

// A drain may begin after a response that leaves its connection open and before the next read. The client's next
// request on the connection must still be answered.
func TestDrainBetweenResponseAndNextRead(t *testing.T) {
	forEachDelay(t, func(t *testing.T, delay time.Duration) {
		g := startHeldInstance(t, heldAfterWrite)
		client := dial(t, g.addr)
		client.send(getRequest("GET /visits/1"))
		release := g.held.hold()
		defer release()
		g.serveNext("first")
		if r := client.readResponse(); r.Close {
			t.Fatalf("response before the drain: got %+v, want no close", r)
		}
		g.stop()
		time.Sleep(delay)
		client.send(getRequest("GET /visits/2"))
		release()
		g.serveNext("second")
		if r := client.readResponse(); r.Body != "second" || !r.Close {
			t.Errorf("response in the drain: got %+v, want body second and a close", r)
		}
	})
}

// Requests that were pipelined before a drain are all answered; the last answer closes the connection.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	g := startHeldInstance(t, heldAfterRead)
	client := dial(t, g.addr)
	client.send(getRequest("GET /visits/1") + getRequest("GET /visits/2") + getRequest("GET /visits/3"))
	first := g.sites.nextRequest()
	g.stop()
	g.awaitListenerClosed(t)
	first.response <- responseText(200, "", "1")
	for i, want := range []string{"1", "2", "3"} {
		if i > 0 {
			g.serveNext(want)
		}
		if r := client.readResponse(); r.Body != want || r.Close != (i == 2) {
			t.Errorf("pipelined request: got %+v", r)
		}
	}
	if _, err := client.br.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: got error %v, want io.EOF", err)
	}
}

// nonAcceptingListener accepts no connections, so that they wait in the kernel's backlog until it is closed.
type nonAcceptingListener struct {
	*net.TCPListener
	closing   chan struct{}
	closeOnce sync.Once
}

func (l *nonAcceptingListener) Accept() (net.Conn, error) {
	<-l.closing
	return nil, net.ErrClosed
}

func (l *nonAcceptingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	return l.TCPListener.Close()
}

// Connections that the kernel has accepted before the listener closes, but the process has not, are answered.
func TestDrainAnswersBacklog(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, func(c *Config) {
		c.listener = &nonAcceptingListener{TCPListener: c.listener.(*net.TCPListener), closing: make(chan struct{})}
	})
	defer h.respondToAll(responseText(200, "", "x"))()
	var clients []*testClient
	for i := range 3 {
		clients = append(clients, dial(t, g.addr))
		clients[i].send(getRequest("GET /visits/1"))
	}
	g.stop()
	for _, client := range clients {
		// An instance that has just started may reject some of several concurrent requests.
		if r := client.readResponse(); r.Status != 200 && r.Status != 429 || !r.Close {
			t.Errorf("connection in the backlog: got %+v, want status 200 or 429 and a close", r)
		}
	}
}

// The timeout of a pipelined request counts from when it was sent, also while the request before it takes long. If no
// time is left, the request is rejected without an attempt.
func TestPipelinedRequestHasItsOwnTime(t *testing.T) {
	h, _, c := startWithServer(t)
	c.send(getRequest("GET /visits/1", "X-Expires-In: 0.6") + getRequest("GET /visits/2", "X-Expires-In: 0.3") +
		getRequest("GET /visits/3", "X-Expires-In: 5"))
	first := h.nextRequest()
	time.Sleep(400 * time.Millisecond)
	first.response <- responseText(200, "", "1")
	if r := c.readResponse(); r.Body != "1" {
		t.Errorf("first request: got %+v, want body 1", r)
	}
	if r := c.readResponse(); r.Status != 429 || r.Header.Get("Retry-After") == "" {
		t.Errorf("request whose timeout has passed: got %+v, want status 429 with Retry-After", r)
	}
	third := h.nextRequest()
	if left := third.header.Get("X-Expires-In"); third.line != "GET /visits/3" || left > "4.6" {
		t.Errorf("%s is sent with %s s left, want GET /visits/3 with at most 4.6 s", third.line, left)
	}
	third.response <- responseText(200, "", "3")
	if r := c.readResponse(); r.Body != "3" {
		t.Errorf("third request: got %+v, want body 3", r)
	}
}
