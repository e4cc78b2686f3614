package gateway

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/openapi"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// A drain finishes accepted requests, answers those that still arrive during DrainTimeout, and ends.
func TestDrain(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, func(c *Config) { c.DrainTimeout = 300 * time.Millisecond })
	idle, c := dial(t, g.addr), dial(t, g.addr)
	c.send(getRequest("GET /visits/1"))
	a := h.nextRequest()
	g.stop()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if r := dial(t, g.addr).roundTrip(getRequest("GET /health/ready")); r.Status == 503 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("a draining instance still reports that it is ready")
		}
	}
	late := dial(t, g.addr)
	late.send(getRequest("GET /visits/2"))
	b := h.nextRequest()
	b.response <- responseText(200, "", "late")
	if r := late.readResponse(); r.Status != 200 || !r.Close {
		t.Errorf("request received while draining: got %+v, want status 200 and a close", r)
	}
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("read on an idle connection: got error %v, want io.EOF", err)
	}
	a.response <- responseText(200, "", "x")
	if r := c.readResponse(); r.Status != 200 || !r.Close {
		t.Errorf("request received before the drain: got %+v, want status 200 and a close", r)
	}
	select {
	case g.done <- <-g.done:
	case <-time.After(testTimeout):
		t.Error("the drained instance does not end")
	}
}

// Guards against a drained instance that waits for a health check which its server leaves unanswered: it ended up to
// healthCheckTimeout after everything was answered.
func TestDrainedInstanceEndsHealthChecks(t *testing.T) {
	h := newTestSites(t)
	stopped, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, and nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer stopped.Close()
	h.listServer("site-a", "stopped", stopped.Addr().String(), "up")
	g := startInstance(t, h, 1, func(c *Config) { c.DrainTimeout = 20 * time.Millisecond })
	g.host.handleEvent(func(_ time.Duration, out policy.Actions) { out.CheckHealth("site-a/stopped") })
	stoppedAt := time.Now()
	g.stop()
	g.done <- <-g.done
	if took := time.Since(stoppedAt); took > healthCheckTimeout/2 {
		t.Errorf("the instance ended after %v, while nothing but a health check was open", took)
	}
}

// Guards against a drain that cuts off a request whose deadline is that of a version which was just replaced by one with
// shorter deadlines.
func TestDrainFinishesRequestsOfReplacedVersion(t *testing.T) {
	h, g, c := startWithServer(t)
	c.send(getRequest("GET /visits/1"))
	a := h.nextRequest()
	classes := testClasses()
	for i := range classes {
		classes[i].LatencyObjective, classes[i].Deadline = 10*time.Millisecond, 10*time.Millisecond
	}
	table, _, err := openapi.Compile("test.yaml", []byte(description), routing.Options{Classes: classes, MaxUnits: 100})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Install(g.cfg.Setup(2, table, nil)); err != nil {
		t.Fatal(err)
	}
	g.stop()
	time.Sleep(3 * graceful.AnswerTimeout(10*time.Millisecond, g.cfg.DrainTimeout))
	a.response <- responseText(200, "", "x")
	if r := c.readResponse(); r.Status != 200 {
		t.Errorf("request of the replaced version: got %+v, want status 200", r)
	}
}

// acceptOnCloseListener accepts nothing until it is closed, and then the one connection that waits. A listener may
// behave so if it is closed while a connection arrives.
type acceptOnCloseListener struct {
	net.Listener
	closing     chan struct{}
	closeOnce   sync.Once
	hasAccepted bool
}

func (l *acceptOnCloseListener) Accept() (net.Conn, error) {
	<-l.closing
	if l.hasAccepted {
		l.Listener.Close()
	}
	l.hasAccepted = true
	return l.Listener.Accept()
}

func (l *acceptOnCloseListener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	return nil
}

// A connection that is accepted while its listener closes is served before the instance ends.
func TestDrainServesLastAcceptedConnection(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, func(c *Config) {
		c.listener = &acceptOnCloseListener{Listener: c.listener, closing: make(chan struct{})}
	})
	c := dial(t, g.addr)
	c.send(getRequest("GET /visits/1"))
	g.stop()
	a := h.nextRequest()
	select {
	case err := <-g.done:
		t.Fatalf("the instance ended before the request was answered: %v", err)
	default:
	}
	a.response <- responseText(200, "", "x")
	if r := c.readResponse(); r.Status != 200 || !r.Close {
		t.Errorf("connection accepted during the close: got %+v, want status 200 and a close", r)
	}
}

// A change of one site's endpoint list affects only the servers that it names, neither others of the site nor those of
// other sites. A removed server is sent no new requests.
func TestSitesAreIndependent(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s")
	h.startServer("site-a", "t")
	h.startServer("site-b", "s")
	g := startInstance(t, h, 3, nil)
	h.listServer("site-a", "t", "127.0.0.1:1", "removed") // a change leaves the site's other servers
	h.awaitServerCount(g, "site-a", 1)
	h.listServer("site-a", "s", "127.0.0.1:1", "removed")
	h.awaitServerCount(g, "site-a", 0)
	c := dial(t, g.addr)
	for range 5 {
		c.send(getRequest("GET /visits/1"))
		a := h.nextRequest()
		if a.server != "site-b/s" {
			t.Errorf("request sent to %s, want site-b/s", a.server)
		}
		a.response <- responseText(200, "", "")
		if r := c.readResponse(); r.Status != 200 {
			t.Errorf("got %+v, want status 200", r)
		}
	}
}
