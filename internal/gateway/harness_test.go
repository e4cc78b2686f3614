package gateway

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mulleinmux/internal/openapi"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// testTimeout bounds every wait of a test. It is far above the expected waits.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// description is the API that the tests' instances serve.
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
      parameters:
        - {name: days, in: query, schema: {type: integer}}
        - {name: kind, in: query, schema: {type: string, enum: [home, office]}}
      responses: {"200": {description: ok}}
  /visits:
    post:
      operationId: book
      x-mulleinmux:
        class: book
        effect: keyed
        key: {header: Idempotency-Key}
        group: zone
        window: 4s
        units: {body: installers, most: 20}
      parameters: [{name: Idempotency-Key, in: header, required: true, schema: {type: string}}]
      requestBody:
        content:
          application/json:
            schema:
              type: object
              properties: {installers: {type: integer}, note: {type: string, maxLength: 5}}
      responses: {"200": {description: ok}}
`

func testClasses() []routing.Class {
	return []routing.Class{
		{Name: "check", PriorityWeight: 3, LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second},
		{Name: "book", PriorityWeight: 9, LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second},
	}
}

func testTable(t testing.TB, text string) (*routing.Table, *openapi.Description) {
	t.Helper()
	tab, d, err := openapi.Compile("test.yaml", []byte(text), routing.Options{Classes: testClasses(), MaxUnits: 100})
	if err != nil {
		t.Fatal(err)
	}
	return tab, d
}

// testInstance is an instance that runs in the test process.
type testInstance struct {
	*Instance
	cfg  *Config
	addr string
	stop context.CancelFunc
	done chan error
}

func testSettings() policy.Settings {
	return policy.Settings{InstanceCount: 1, Zone: "site-a", MaxAttempts: 3, AllowsCancel: true,
		SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		MinEventInterval: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond, AllowsHealthChecks: true,
		LoadReports: policy.LoadReportsInHealthChecks, MaxUnits: 100,
		Plans: []policy.Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1},
			{Name: "tight", Rate: 0.1, Burst: 3, PriorityFactor: 1}}}
}

// testConfig returns an instance's configuration with an open listener, and the listener's address.
func (h *testSites) testConfig() (cfg *Config, addr string) {
	h.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	cfg = &Config{Name: "g", Settings: testSettings(), Classes: testClasses(), DrainTimeout: 10 * time.Millisecond,
		Licensees: map[string]Licensee{"honest": {"wide", 1}, "small": {"tight", 2}}}
	for _, name := range []string{"site-a", "site-b"} {
		cfg.Sites = append(cfg.Sites, Site{name, h.discovery[name].Addr()})
	}
	cfg.UseSockets(ln, nil)
	return cfg, ln.Addr().String()
}

// startInstance starts an instance that uses the sites and waits until it has discovered serverCount servers. change,
// if set, changes its configuration first.
func startInstance(t *testing.T, h *testSites, serverCount int, change func(*Config)) *testInstance {
	t.Helper()
	tab, d := testTable(t, description)
	cfg, addr := h.testConfig()
	if change != nil {
		change(cfg)
	}
	var check Checker
	if cfg.FullValidation {
		check = d.Checker()
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &testInstance{cfg: cfg, addr: addr, stop: stop, done: make(chan error, 1)}
	ready := make(chan *Instance, 1)
	go func() {
		r.done <- Run(ctx, cfg, cfg.Setup(1, tab, check), slog.New(slog.DiscardHandler),
			func(in *Instance) { ready <- in })
	}()
	t.Cleanup(func() {
		stop()
		if err := testserver.AwaitEnd(r.done, testTimeout); err != nil {
			t.Errorf("run: %v", err)
		}
	})
	select {
	case r.Instance = <-ready:
	case <-time.After(testTimeout):
		t.Fatal("the instance is not ready within testTimeout")
	}
	if err := r.AwaitServers(ctx, serverCount, testTimeout); err != nil {
		t.Fatal(err)
	}
	return r
}

// startWithServer starts an instance with one server at site-a and connects a client.
func startWithServer(t *testing.T) (*testSites, *testInstance, *testClient) {
	t.Helper()
	h := newTestSites(t)
	h.startServer("site-a", "s")
	g := startInstance(t, h, 1, nil)
	return h, g, dial(t, g.addr)
}

// fillRetryBudget has n requests served, each of which adds to the budget for retries.
func (r *testInstance) fillRetryBudget(h *testSites, n int) {
	h.t.Helper()
	c := dial(h.t, r.addr)
	for range n {
		c.send(getRequest("GET /visits/new"))
		h.nextRequest().response <- responseText(200, "", "")
		if a := c.readResponse(); a.Status != 200 {
			h.t.Fatalf("request that fills the retry budget: got %+v, want status 200", a)
		}
	}
}

// totals sums the counters of all operations.
func (r *testInstance) totals() (units, sent, answers int64) {
	r.EachOperation(func(_ string, c *Counters) {
		units += c.SentUnits.Load()
		sent += c.SentRequests.Load()
		answers += c.Served.Load() + c.Rejected.Load() + c.Failed.Load()
	})
	return units, sent, answers
}
