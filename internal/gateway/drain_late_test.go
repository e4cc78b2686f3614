package gateway

import (
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// heldInstance is an instance with one server whose clients' connections can be held back.
type heldInstance struct {
	*testInstance
	sites *testSites
	held  *heldListener
}

func startHeldInstance(t *testing.T, at heldAt) *heldInstance {
	t.Helper()
	g := &heldInstance{sites: newTestSites(t), held: &heldListener{at: at}}
	g.sites.startServer("site-a", "s")
	g.testInstance = startInstance(t, g.sites, 1, func(c *Config) {
		g.held.Listener = c.listener
		c.listener = g.held
	})
	return g
}

// serveNext has the server answer the next request.
func (g *heldInstance) serveNext(body string) {
	g.sites.nextRequest().response <- responseText(200, "", body)
}

// awaitFinished waits until the instance's listener has closed, by which a drain has reached its last phase.
func (g *heldInstance) awaitFinished(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", g.addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	t.Fatal("the instance goes on listening")
}

// readDelays are the times for which a process gets no processor.
var readDelays = []time.Duration{1, 50, 300, 2000}

// forEachDelay runs a test for each of readDelays, side by side.
func forEachDelay(t *testing.T, test func(t *testing.T, delay time.Duration)) {
	for _, milliseconds := range readDelays {
		t.Run(strconv.Itoa(int(milliseconds))+"ms", func(t *testing.T) {
			t.Parallel()
			test(t, milliseconds*time.Millisecond)
		})
	}
}

// A request that was received before a drain closes its connection is answered, however late it is read: on a new
// connection and on an idle one, in the socket or just out of it.
func TestDrainAnswersRequestReadLate(t *testing.T) {
	for name, c := range map[string]struct {
		at     heldAt
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
				g.awaitFinished(t)
				time.Sleep(delay)
				release()
				g.serveNext("second")
				if r := client.readResponse(); r.Body != "second" || !r.Close {
					t.Errorf("%+v", r)
				}
			})
		})
	}
}

// A client that has connected before the listener closes is answered if its request follows soon, also in pieces.
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
			g.awaitFinished(t)
			for _, piece := range pieces {
				time.Sleep(newConnGrace / 4)
				client.send(piece)
			}
			client.method = "POST"
			g.serveNext("booked")
			if r := client.readResponse(); r.Body != "booked" || !r.Close {
				t.Errorf("%+v", r)
			}
		})
	}
}

// A drain that begins between a response that leaves its connection open and the next read does not close the
// connection on the client's next request.
func TestDrainBetweenResponseAndNextRead(t *testing.T) {
	forEachDelay(t, func(t *testing.T, delay time.Duration) {
		g := startHeldInstance(t, heldAfterWrite)
		client := dial(t, g.addr)
		client.send(getRequest("GET /visits/1"))
		release := g.held.hold()
		defer release()
		g.serveNext("first")
		if r := client.readResponse(); r.Close {
			t.Fatalf("%+v", r)
		}
		g.stop()
		time.Sleep(delay)
		client.send(getRequest("GET /visits/2"))
		release()
		g.serveNext("second")
		if r := client.readResponse(); r.Body != "second" || !r.Close {
			t.Errorf("%+v", r)
		}
	})
}

// Requests that were sent one behind the other before a drain are all answered; the last answer closes the connection.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	g := startHeldInstance(t, heldAfterRead)
	client := dial(t, g.addr)
	client.send(getRequest("GET /visits/1") + getRequest("GET /visits/2") + getRequest("GET /visits/3"))
	first := g.sites.nextRequest()
	g.stop()
	g.awaitFinished(t)
	first.response <- responseText(200, "", "1")
	for i, want := range []string{"1", "2", "3"} {
		if i > 0 {
			g.serveNext(want)
		}
		if r := client.readResponse(); r.Body != want || r.Close != (i == 2) {
			t.Errorf("%+v", r)
		}
	}
	if _, err := client.br.ReadByte(); err != io.EOF {
		t.Errorf("after the last: %v", err)
	}
}

// closedUntilEndListener accepts nothing until it is closed: what connects waits in the kernel's backlog.
type closedUntilEndListener struct {
	*net.TCPListener
	closing   chan struct{}
	closeOnce sync.Once
}

func (l *closedUntilEndListener) Accept() (net.Conn, error) {
	<-l.closing
	return nil, net.ErrClosed
}

func (l *closedUntilEndListener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	return l.TCPListener.Close()
}

// Connections that the kernel has accepted before the listener closes, and the process has not, are answered.
func TestDrainAnswersBacklog(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, func(c *Config) {
		c.listener = &closedUntilEndListener{TCPListener: c.listener.(*net.TCPListener), closing: make(chan struct{})}
	})
	defer h.respondToAll(responseText(200, "", "x"))()
	var clients []*testClient
	for i := range 3 {
		clients = append(clients, dial(t, g.addr))
		clients[i].send(getRequest("GET /visits/1"))
	}
	g.stop()
	for _, client := range clients {
		// An instance that has just started may reject some of several at once.
		if r := client.readResponse(); r.Status != 200 && r.Status != 429 || !r.Close {
			t.Errorf("%+v", r)
		}
	}
}

// A request that was sent behind one that takes long has the time that is left to its client, and is rejected without
// an attempt where that is over.
func TestPipelinedRequestHasItsOwnTime(t *testing.T) {
	h, _, c := startWithServer(t)
	c.send(getRequest("GET /visits/1", "X-Expires-In: 0.6") + getRequest("GET /visits/2", "X-Expires-In: 0.3") +
		getRequest("GET /visits/3", "X-Expires-In: 5"))
	first := h.nextRequest()
	time.Sleep(400 * time.Millisecond)
	first.response <- responseText(200, "", "1")
	if r := c.readResponse(); r.Body != "1" {
		t.Errorf("%+v", r)
	}
	if r := c.readResponse(); r.Status != 429 || r.Header.Get("Retry-After") == "" {
		t.Errorf("with its time over: %+v", r)
	}
	third := h.nextRequest()
	if left := third.header.Get("X-Expires-In"); third.line != "GET /visits/3" || left > "4.6" {
		t.Errorf("%s has %s s left", third.line, left)
	}
	third.response <- responseText(200, "", "3")
	if r := c.readResponse(); r.Body != "3" {
		t.Errorf("%+v", r)
	}
}
