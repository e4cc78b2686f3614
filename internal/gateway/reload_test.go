package gateway

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy"
	"mulleinmux/routing"
)

const changedDescription = `openapi: 3.0.3
info: {title: t, version: "2"}
x-mulleinmux: {class: check, units: 1}
paths:
  /visits:
    post:
      operationId: book
      x-mulleinmux: {class: book, effect: unsafe, units: 20, aim: 5s}
      responses: {"200": {description: ok}}
  /visits/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {operationId: get, x-mulleinmux: {units: 9}, responses: {"200": {description: ok}}}
`

// install puts a description in force.
func (r *testInstance) install(t *testing.T, number uint64, description string) {
	t.Helper()
	table, _ := testTable(t, description)
	if err := r.Install(r.cfg.Setup(number, table, nil)); err != nil {
		t.Fatal(err)
	}
}

// A change of the description does not affect a keyed request that waits for its second attempt: it keeps its class,
// version and cost, and is charged once. The second attempt goes only to servers of the first attempt's site. A retry
// by the client under the new version is charged the new cost.
func TestDescriptionChangesInFlight(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s0")
	h.startServer("site-a", "s1")
	h.startServer("site-b", "s2")
	g := startInstance(t, h, 3, nil)
	g.fillRetryBudget(h, 40)
	for i := range 3 {
		book := func(trace string) string {
			return postRequest("POST /visits", `{"installers": 7}`, "Idempotency-Key: k"+strconv.Itoa(i),
				"X-Trace-Id: "+trace+strconv.Itoa(i))
		}
		changedNumber := uint64(2 + 2*i)
		c := dial(t, g.addr)
		c.send(book("t"))
		first := h.nextRequest()
		g.install(t, changedNumber, changedDescription)
		first.response <- responseText(500, "", "") // it may have run
		h.expectSecondAttempt(first, c)
		if units, sent, _ := g.totals(); units != int64(40+27*i+7) || sent != int64(40+2*i+1) {
			t.Fatalf("round %d: got %d units for %d requests, each charged once at its version's cost", i, units, sent)
		}
		c.send(book("u"))
		h.expectNonIdempotent(changedNumber, c)
		// An operation that the new version lacks is not found.
		if r := c.roundTrip(getRequest("GET /slots?days=1")); r.Status != 404 {
			t.Errorf("operation that the new version lacks: got %+v, want status 404", r)
		}
		g.install(t, changedNumber+1, description)
	}
}

// expectSecondAttempt expects a second attempt that equals the first one, at the same site, and answers it.
func (h *testSites) expectSecondAttempt(first *receivedRequest, c *testClient) {
	h.t.Helper()
	second := h.nextRequest()
	if site := strings.Split(first.server, "/")[0]; !strings.HasPrefix(second.server, site) {
		h.t.Errorf("first attempt at %s, second at %s; want the same site", first.server, second.server)
	}
	if v := second.header.Get("X-Mulleinmux-Version"); v != first.header.Get("X-Mulleinmux-Version") ||
		second.line != first.line || second.body != first.body {
		h.t.Errorf("second attempt: got %s, version %s, body %q; want those of the first", second.line, v, second.body)
	}
	second.response <- responseText(200, "", "ok")
	if r := c.readResponse(); r.Status != 200 {
		h.t.Errorf("retried request: got %+v, want status 200", r)
	}
}

// expectNonIdempotent expects a request of a version that is not sent again after an attempt that may have run.
func (h *testSites) expectNonIdempotent(version uint64, c *testClient) {
	h.t.Helper()
	only := h.nextRequest()
	if v := only.header.Get("X-Mulleinmux-Version"); v != strconv.FormatUint(version, 10) {
		h.t.Errorf("request under the wrong version: got %s", v)
	}
	only.response <- responseText(500, "", "")
	if r := c.readResponse(); r.Status != 502 {
		h.t.Errorf("request that may have run: got %+v, want status 502", r)
	}
	h.expectNoRequest()
}

// A request in flight is finished even if a new version lacks its operation.
func TestRemovedOperationFinishes(t *testing.T) {
	h, g, c := startWithServer(t)
	c.send(getRequest("GET /slots?days=4"))
	a := h.nextRequest()
	g.install(t, 2, changedDescription)
	a.response <- responseText(200, "", "late")
	if r := c.readResponse(); r.Status != 200 || r.Body != "late" {
		t.Errorf("request of a removed operation: got %+v, want status 200, body late", r)
	}
	if units, _, answers := g.totals(); units != 4 || answers != 1 {
		t.Errorf("counters: got %d units, %d answers; want 4 and 1", units, answers)
	}
}

// invalidChanges change a setup so that an instance must reject it.
var invalidChanges = map[string]func(*Setup){
	"a site twice":        func(s *Setup) { s.Sites = append(s.Sites, s.Sites[0]) },
	"a plan twice":        func(s *Setup) { s.Plans = append(s.Plans, s.Plans[0]) },
	"a plan's index gone": func(s *Setup) { s.Plans = s.Plans[:1] },
	"a class twice": func(s *Setup) {
		s.Table = &routing.Table{Classes: append(otherClasses(), otherClasses()...)}
	},
	"a bad quota":             func(s *Setup) { s.Plans = []policy.Plan{{Name: "wide", Rate: -1}, s.Plans[1]} },
	"neither sites nor plans": func(s *Setup) { s.Sites, s.Plans = nil, nil },
}

// installChanged installs the configuration's setup with a change.
func (r *testInstance) installChanged(number uint64, change func(*Setup)) error {
	s := r.cfg.Setup(number, nil, nil)
	change(&s)
	return r.Install(s)
}

// expectServedAt sends requests and expects that servers of a site receive all of them.
func (h *testSites) expectServedAt(c *testClient, site string) {
	h.t.Helper()
	for range 8 {
		c.send(getRequest("GET /slots?days=1"))
		a := h.nextRequest()
		a.response <- responseText(200, "", "ok")
		if r := c.readResponse(); r.Status != 200 || !strings.HasPrefix(a.server, site) {
			h.t.Fatalf("got %+v from server %s, want status 200 from site %s", r, a.server, site)
		}
	}
}

// Sites, licensees and plans may change while the instance runs: the servers of a removed site are no longer used,
// those of an added site are, and a licensee's new plan applies from its next request. An invalid change has no effect.
func TestSitesAndPlansChange(t *testing.T) {
	h := newTestSites(t)
	h.startServer("site-a", "s0")
	h.startServer("site-b", "s1")
	g := startInstance(t, h, 2, nil)
	c := dial(t, g.addr)
	h.expectServedAt(c, "") // at any
	if err := g.installChanged(2, func(s *Setup) { s.Sites = s.Sites[1:] }); err != nil || g.Version() != 2 {
		t.Fatal(err)
	}
	h.expectServedAt(c, "site-b")
	if err := g.installChanged(3, func(s *Setup) { s.Sites = s.Sites[:1] }); err != nil {
		t.Fatal(err)
	}
	if err := g.AwaitServers(context.Background(), 1, testTimeout); err != nil {
		t.Fatal(err)
	}
	h.expectServedAt(c, "site-a")
	for name, change := range invalidChanges {
		t.Run(name, func(t *testing.T) {
			if err := g.installChanged(9, change); err == nil || g.Version() != 3 {
				t.Errorf("the invalid setup was accepted or the version changed: got version %d, want 3", g.Version())
			}
		})
	}
	h.expectServedAt(c, "site-a")
	// The licensee moves to a plan of three units.
	if err := g.installChanged(4, func(s *Setup) {
		s.Sites = s.Sites[:1]
		s.Licensees = map[string]Licensee{"honest": {"tight", 1}}
	}); err != nil {
		t.Fatal(err)
	}
	if r := c.roundTrip(getRequest("GET /slots?days=7")); r.Status != 429 {
		t.Errorf("request over the new plan's burst: got %+v, want status 429", r)
	}
}

func otherClasses() []policy.Class {
	return []policy.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}
}
