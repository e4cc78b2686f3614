package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mulleinmux/internal/openapi"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// patience bounds every wait of a test; none is expected to come near it.
const patience = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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
	regs      map[string]*testserver.Discovery
	authority *raftnode.Authority // of the link's certificates
	came      chan *arrival
	life      sync.WaitGroup
	mu        sync.Mutex
	open      []net.Conn
	quit      chan struct{} // closed when the test ends
}

func newHalls(t *testing.T) *halls {
	h := &halls{t: t, regs: map[string]*testserver.Discovery{}, came: make(chan *arrival, 100), quit: make(chan struct{})}
	t.Cleanup(func() {
		close(h.quit)
		h.life.Wait()
	})
	for _, name := range []string{"hall-a", "hall-b"} {
		r, err := testserver.NewDiscovery()
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
	h.regs[hall].Put(testserver.Entry{InstanceID: id, HostPort: addr, Zone: hall, MachineType: "k", Lifecycle: lifecycle, Weight: 1})
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

const description = `openapi: 3.0.3
info: {title: t, version: "1"}
x-mulleinmux: {class: check, units: 1}
paths:
  /visits/new:
    get: {operationId: form, responses: {"200": {description: ok}}}
  /visits/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {operationId: get, responses: {"200": {description: ok}}}
    delete: {operationId: cancel, x-mulleinmux: {class: book, units: 2}, responses: {"204": {description: ok}}}
  /slots:
    get:
      operationId: slots
      x-mulleinmux: {units: {query: days, most: 14}}
      parameters: [{name: days, in: query, schema: {type: integer}}, {name: kind, in: query, schema: {type: string, enum: [home, office]}}]
      responses: {"200": {description: ok}}
  /visits:
    post:
      operationId: book
      x-mulleinmux: {class: book, effect: keyed, key: {header: Idempotency-Key}, group: zone, window: 4s, units: {body: installers, most: 20}}
      parameters: [{name: Idempotency-Key, in: header, required: true, schema: {type: string}}]
      requestBody:
        content: {application/json: {schema: {type: object, properties: {installers: {type: integer}, note: {type: string, maxLength: 5}}}}}
      responses: {"200": {description: ok}}
`

func testClasses() []routing.Class {
	return []routing.Class{{Name: "check", PriorityWeight: 3, LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second},
		{Name: "book", PriorityWeight: 9, LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second}}
}

func testTable(t testing.TB, text string) (*routing.Table, *openapi.Description) {
	t.Helper()
	tab, d, err := openapi.Compile("test.yaml", []byte(text), routing.Options{Classes: testClasses(), MaxUnits: 100})
	if err != nil {
		t.Fatal(err)
	}
	return tab, d
}

// running is an instance in this process.
type running struct {
	*Instance
	cfg  *Config
	addr string
	stop context.CancelFunc
	done chan error
}

func testSettings() policy.Settings {
	return policy.Settings{InstanceCount: 1, Zone: "hall-a", MaxAttempts: 3, AllowsCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		MinEventInterval: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond, AllowsHealthChecks: true, LoadReports: policy.LoadReportsInHealthChecks, MaxUnits: 100,
		Plans: []policy.Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}, {Name: "tight", Rate: 0.1, Burst: 3, PriorityFactor: 1}}}
}

// start starts an instance between the halls and waits until it knows so many servers.
func start(t *testing.T, h *halls, known int, change func(*Config)) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tab, d := testTable(t, description)
	cfg := &Config{Name: "g", Settings: testSettings(), Classes: testClasses(), DrainTimeout: 10 * time.Millisecond,
		Licensees: map[string]Licensee{"honest": {"wide", 1}, "small": {"tight", 2}}}
	for _, name := range []string{"hall-a", "hall-b"} {
		cfg.Sites = append(cfg.Sites, Site{name, h.regs[name].Addr()})
	}
	if change != nil {
		change(cfg)
	}
	var check Checker
	if cfg.FullValidation {
		check = d.Checker()
	}
	cfg.UseSockets(ln, nil)
	ctx, stop := context.WithCancel(context.Background())
	r := &running{cfg: cfg, addr: ln.Addr().String(), stop: stop, done: make(chan error, 1)}
	ready := make(chan *Instance, 1)
	go func() {
		r.done <- Run(ctx, cfg, cfg.Setup(1, tab, check), log.New(io.Discard, "", 0), func(in *Instance) { ready <- in })
	}()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-r.done:
			if err != nil {
				t.Errorf("run: %v", err)
			}
		case <-time.After(patience):
			t.Error("the instance does not end")
		}
	})
	select {
	case r.Instance = <-ready:
	case <-time.After(patience):
		t.Fatal("the instance does not become ready")
	}
	if err := r.AwaitServers(ctx, known, patience); err != nil {
		t.Fatal(err)
	}
	return r
}

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

// warm has requests served, which earn the further attempts that others may need.
func (r *running) warm(h *halls, n int) {
	h.t.Helper()
	c := dial(h.t, r.addr)
	for range n {
		c.send(get("GET /visits/new"))
		h.next().answer <- answerText(200, "", "")
		if a := c.read(); a.status != 200 {
			h.t.Fatalf("warming up: %+v", a)
		}
	}
}

// totals sums the counters of all operations.
func (r *running) totals() (units, sent, answers int64) {
	r.EachOperation(func(_ string, c *Counters) {
		units += c.Units.Load()
		sent += c.Sent.Load()
		answers += c.Served.Load() + c.Refused.Load() + c.Failed.Load()
	})
	return units, sent, answers
}
