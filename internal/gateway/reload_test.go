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

// A description that changes while a keyed request waits for its second attempt does not
// touch it: it keeps class, version and price, and is charged once. A try of the same
// client under the new version is charged at the new price. Servers of the keyed
// request's own site alone get the second attempt.
func TestDescriptionChangesInFlight(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s0")
	h.startServer("hall-a", "s1")
	h.startServer("hall-b", "s2")
	g := startInstance(t, h, 3, nil)
	g.earnRetries(h, 40)
	for i := range 3 {
		c := dial(t, g.addr)
		c.send(postRequest("POST /visits", `{"installers": 7}`, "Idempotency-Key: k"+strconv.Itoa(i),
			"X-Trace-Id: t"+strconv.Itoa(i)))
		first := h.nextRequest()
		tab, _ := testTable(t, changedDescription)
		if err := g.Install(g.cfg.Setup(uint64(2+2*i), tab, nil)); err != nil {
			t.Fatal(err)
		}
		first.response <- responseText(500, "", "") // it may have run
		second := h.nextRequest()
		if hall := strings.Split(first.server, "/")[0]; !strings.HasPrefix(second.server, hall) {
			t.Errorf("first at %s, then at %s", first.server, second.server)
		}
		if v := second.header.Get("X-Mulleinmux-Version"); v != first.header.Get("X-Mulleinmux-Version") ||
			second.line != first.line || second.body != first.body {
			t.Errorf("sent again as %s, version %s, %q", second.line, v, second.body)
		}
		second.response <- responseText(200, "", "ok")
		if r := c.readResponse(); r.status != 200 {
			t.Errorf("answer %+v", r)
		}
		if units, sent, _ := g.totals(); units != int64(40+27*i+7) || sent != int64(40+2*i+1) {
			t.Fatalf("round %d: %d units of %d requests", i, units, sent)
		}
		// The client tries again, under the new version, which has the operation unsafe.
		c.send(postRequest("POST /visits", `{"installers": 7}`, "Idempotency-Key: k"+strconv.Itoa(i),
			"X-Trace-Id: u"+strconv.Itoa(i)))
		again := h.nextRequest()
		if v := again.header.Get("X-Mulleinmux-Version"); v != strconv.Itoa(2+2*i) {
			t.Errorf("tried again under version %s", v)
		}
		again.response <- responseText(500, "", "")
		if r := c.readResponse(); r.status != 502 { // unsafe: not sent again
			t.Errorf("answer %+v", r)
		}
		h.expectNoRequest()
		// What has gone is no longer taken.
		if r := c.roundTrip(getRequest("GET /slots?days=1")); r.status != 404 {
			t.Errorf("an operation that has gone: %+v", r)
		}
		old, _ := testTable(t, description)
		if err := g.Install(g.cfg.Setup(uint64(3+2*i), old, nil)); err != nil {
			t.Fatal(err)
		}
	}
}

// An operation that vanishes finishes what it has.
func TestRemovedOperationFinishes(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s")
	g := startInstance(t, h, 1, nil)
	c := dial(t, g.addr)
	c.send(getRequest("GET /slots?days=4"))
	a := h.nextRequest()
	tab, _ := testTable(t, changedDescription)
	if err := g.Install(g.cfg.Setup(uint64(2), tab, nil)); err != nil {
		t.Fatal(err)
	}
	a.response <- responseText(200, "", "late")
	if r := c.readResponse(); r.status != 200 || r.body != "late" {
		t.Errorf("%+v", r)
	}
	if units, _, answers := g.totals(); units != 4 || answers != 1 {
		t.Errorf("%d units, %d answers", units, answers)
	}
}

// invalidChanges make setups that an instance must reject.
var invalidChanges = map[string]func(*Setup){
	"a hall twice":  func(s *Setup) { s.Sites = append(s.Sites, s.Sites[0]) },
	"a plan twice":  func(s *Setup) { s.Plans = append(s.Plans, s.Plans[0]) },
	"a place gone":  func(s *Setup) { s.Plans = s.Plans[:1] },
	"a class twice": func(s *Setup) { s.Table = &routing.Table{Classes: append(otherClasses(), otherClasses()...)} },
	"a bad quota":   func(s *Setup) { s.Plans = []policy.Plan{{Name: "wide", Rate: -1}, s.Plans[1]} },
	"another order": func(s *Setup) { s.Sites, s.Plans = nil, nil },
}

// Sites, licensees and plans change while the instance runs: a site that goes takes its
// servers along, one that comes is used, a licensee's new plan holds from its next request,
// and what can't be leaves all as it was.
func TestSitesAndPlansChange(t *testing.T) {
	h := newTestSites(t)
	h.startServer("hall-a", "s0")
	h.startServer("hall-b", "s1")
	g := startInstance(t, h, 2, nil)
	c := dial(t, g.addr)
	ask := func(want string) {
		t.Helper()
		for range 8 {
			c.send(getRequest("GET /slots?days=1"))
			a := h.nextRequest()
			a.response <- responseText(200, "", "ok")
			if r := c.readResponse(); r.status != 200 || want != "" && !strings.HasPrefix(a.server, want) {
				t.Fatalf("%+v at %s, want %s", r, a.server, want)
			}
		}
	}
	ask("")
	install := func(number uint64, change func(*Setup)) error {
		s := g.cfg.Setup(number, nil, nil)
		change(&s)
		return g.Install(s)
	}
	if err := install(2, func(s *Setup) { s.Sites = s.Sites[1:] }); err != nil || g.Version() != 2 {
		t.Fatal(err)
	}
	ask("hall-b")
	if err := install(3, func(s *Setup) { s.Sites = s.Sites[:1] }); err != nil {
		t.Fatal(err)
	}
	if err := g.AwaitServers(context.Background(), 1, testTimeout); err != nil {
		t.Fatal(err)
	}
	ask("hall-a")
	for name, change := range invalidChanges {
		if err := install(9, change); err == nil || g.Version() != 3 {
			t.Errorf("%s is taken", name)
		}
	}
	ask("hall-a")
	// The licensee moves to a plan of three units.
	if err := install(4, func(s *Setup) {
		s.Sites = s.Sites[:1]
		s.Licensees = map[string]Licensee{"honest": {"tight", 1}}
	}); err != nil {
		t.Fatal(err)
	}
	if r := c.roundTrip(getRequest("GET /slots?days=7")); r.status != 429 {
		t.Errorf("%+v", r)
	}
}

func otherClasses() []policy.Class {
	return []policy.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}
}
