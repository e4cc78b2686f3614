package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy/quota"
)

func TestInvalidSettings(t *testing.T) {
	tests := map[string]func(*Settings){
		"Instances":    func(s *Settings) { s.InstanceCount = 0 },
		"Me":           func(s *Settings) { s.InstanceIndex = 3 },
		"Classes":      func(s *Settings) { s.Classes = nil },
		"Plans":        func(s *Settings) { s.Plans[0].Rate = -1 },
		"FallMultiple": func(s *Settings) { s.ColdOverloadMultiple = -1 },
		"MaxAttempts":  func(s *Settings) { s.MaxAttempts = -1 },
		"twice":        func(s *Settings) { s.Classes[1].Name = s.Classes[0].Name },
	}
	for field, invalidate := range tests {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got error %v, want one with this text", field, err)
		}
	}
}

// testClass returns a class with a latency objective.
func testClass(name string, objective time.Duration) Class {
	return Class{Name: name, LatencyObjective: objective, Deadline: 2 * time.Second, PriorityWeight: 1}
}

// newClassesEngine returns an engine with the classes a and b, and a request of class a in flight.
func newClassesEngine(t *testing.T) (*Engine, *recorder) {
	t.Helper()
	s := Settings{
		InstanceCount: 1,
		MaxAttempts:   3,
		Classes:       []Class{testClass("a", time.Second), testClass("b", time.Second)},
		Plans:         []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}},
	}
	e, r := newEngine(t, s, testServers(4)...)
	e.RequestReceived(t0, newRequest(1, "a", "wide", 7), r)
	if got := r.last(); !strings.HasPrefix(got, "send") {
		t.Fatal(got)
	}
	return e, r
}

// setClasses replaces the classes.
func setClasses(t *testing.T, e *Engine, classes ...Class) {
	t.Helper()
	if err := e.SetClasses(classes); err != nil {
		t.Fatal(err)
	}
}

// Requests of a class that is removed are rejected. A class that stays keeps its statistics.
func TestSetClasses(t *testing.T) {
	e, r := newClassesEngine(t)
	e.latencies.classes[e.index.classes["b"]].mean = 0.25
	setClasses(t, e, testClass("b", 2*time.Second), testClass("c", time.Second))
	for n, want := range map[string]string{"a": "reject", "b": "send", "c": "send"} {
		e.RequestReceived(t0, newRequest(2+int(n[0]), n, "wide", 7), r)
		if got := r.last(); !strings.HasPrefix(got, want) {
			t.Errorf("request of class %s: got %s, want %s", n, got, want)
		}
	}
	b := e.index.classes["b"]
	if e.latencies.classes[b].mean != 0.25 || e.settings.Classes[b].LatencyObjective != 2*time.Second {
		t.Errorf("class b: got latency %+v and settings %+v", e.latencies.classes[b], e.settings.Classes[b])
	}
	err := e.SetClasses([]Class{testClass("x", time.Second), testClass("x", time.Second)})
	if err == nil || len(e.index.classes) != 2 {
		t.Errorf("classes of the same name: got error %v, classes %v, want an error, no change", err, e.index.classes)
	}
}

// The index of a class that was removed is reused only after the last of its requests has ended.
func TestSetClassesKeepsIndexInUse(t *testing.T) {
	e, r := newClassesEngine(t)
	setClasses(t, e, testClass("b", 2*time.Second), testClass("c", time.Second))
	if len(e.settings.Classes) != 3 {
		t.Errorf("%d indexes while a request of a removed class is in flight, want 3", len(e.settings.Classes))
	}
	id := newRequest(1, "a", "wide", 7).ID
	e.AttemptCompleted(t0+50*ms, AttemptResult{ID: id, Result: OK, RequestAnswered: true, Latency: 50 * ms}, r)
	for i := range 20 {
		setClasses(t, e, testClass("b", time.Second), testClass("c", time.Second),
			testClass(fmt.Sprint("d", i), time.Second))
	}
	if len(e.settings.Classes) != 3 || len(e.latencies.classes) != 3 {
		t.Errorf("%d indexes after twenty changes, want 3", len(e.settings.Classes))
	}
}

// A class that is removed and added again while one of its earlier requests is in flight has two indexes. The plans may
// change during that time.
func TestSetPlansWhileClassHasTwoIndexes(t *testing.T) {
	e, r := newClassesEngine(t)
	e.RequestReceived(t0, newRequest(9, "b", "wide", 7), r)
	plans := append([]Plan{}, e.settings.Plans...)
	for _, classes := range [][]Class{
		{testClass("c", time.Second)},
		{testClass("b", time.Second), testClass("c", time.Second), testClass("e", time.Second)},
	} {
		setClasses(t, e, classes...)
		if err := e.SetPlans(t0, plans); err != nil {
			t.Error(err)
		}
	}
	if len(e.index.classes) != 3 {
		t.Errorf("got classes %v, want 3", e.index.classes)
	}
}

// planFixture is an engine of two instances with the plans small and large, and a customer whose quotas are full.
type planFixture struct {
	*Engine
	recorder *recorder
	at       time.Duration
	count    int // requests so far
}

func newPlanFixture(t *testing.T) *planFixture {
	t.Helper()
	s := Settings{InstanceCount: 2, MaxAttempts: 3, AllowsGossip: true,
		Classes: []Class{testClass("a", time.Second)},
		Plans: []Plan{
			{Name: "small", Rate: 10, Burst: 40},
			{Name: "large", Rate: 20, Burst: 100, HardLimitRate: 40, HardLimitBurst: 120},
		}}
	e, r := newEngine(t, s, testServers(40)...)
	return &planFixture{Engine: e, recorder: r, at: t0 + time.Hour}
}

// request has the customer send a request under a plan, and returns the engine's last action.
func (p *planFixture) request(plan string, units float64) string {
	p.count++
	q := newRequest(p.count, "a", plan, 7)
	q.Units, q.InstanceCount = units, 2
	p.RequestReceived(p.at, q, p.recorder)
	return p.recorder.last()
}

// Units spent stay spent when the settings of a plan change.
func TestSetPlans(t *testing.T) {
	p := newPlanFixture(t)
	if got := p.request("small", 10); !strings.HasPrefix(got, "send") {
		t.Fatal(got)
	}
	customerQuota := p.quotas.Lookup(7)
	plans := p.settings.Plans
	err := p.SetPlans(p.at, []Plan{{Name: "small", Rate: 10, Burst: 15}, plans[1], {Name: "new", Rate: 1, Burst: 1}})
	if err != nil || customerQuota.Tokens != 5 {
		t.Fatalf("%v tokens after 10 units of a burst that is now 15, want 5 (error %v)", customerQuota.Tokens, err)
	}
	if got := p.request("small", 10); !strings.HasPrefix(got, "reject") {
		t.Errorf("request beyond the new burst of 15 units: got %s, want a rejection", got)
	}
}

// Units spent stay spent when a customer moves to another plan, and its first hard limit starts empty. Units that a
// peer still reports under the old plan are charged.
func TestCustomerChangesPlan(t *testing.T) {
	p := newPlanFixture(t)
	p.request("small", 10)
	p.request("large", 10)
	customerQuota := p.quotas.Lookup(7)
	if customerQuota.Plan != 1 || customerQuota.Tokens != 90 || customerQuota.HardLimitTokens != 0 {
		t.Errorf("quota under the larger plan: got %+v, want plan 1, 90 tokens, no hard limit tokens", customerQuota)
	}
	entry := quota.Entry{Customer: 7, Scope: quota.Scope{InstanceCount: 2}, Units: 30}
	p.quotas.ReceiveEntries(1, []quota.Entry{entry}, p.at)
	if customerQuota.Tokens != 60 || customerQuota.Plan != 1 {
		t.Errorf("%v tokens, plan %d after 30 units at a peer, want 60, 1", customerQuota.Tokens, customerQuota.Plan)
	}
}

// Units spent of a hard limit stay spent when it is lowered.
func TestSetPlansLowersHardLimit(t *testing.T) {
	p := newPlanFixture(t)
	p.request("small", 10)
	p.request("large", 10)
	p.at += time.Hour
	p.request("large", 20)
	customerQuota := p.quotas.Lookup(7)
	if customerQuota.HardLimitTokens != 40 {
		t.Fatalf("got %v tokens of the hard limit's part, want 60-20", customerQuota.HardLimitTokens)
	}
	lower := Plan{Name: "large", Rate: 20, Burst: 100, HardLimitRate: 30, HardLimitBurst: 60}
	err := p.SetPlans(p.at, []Plan{p.settings.Plans[0], lower})
	if err != nil || customerQuota.HardLimitTokens != 10 {
		t.Errorf("got %v tokens of the hard limit's part, want 30-20 (error %v)", customerQuota.HardLimitTokens, err)
	}
}

// A table with fewer plans is rejected, since a plan keeps its index for good. A rejected table changes nothing.
func TestSetPlansRejectsTables(t *testing.T) {
	p := newPlanFixture(t)
	for name, plans := range map[string][]Plan{
		"too few plans": p.settings.Plans[:1],
		"a name twice":  {{Name: "x"}, {Name: "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			if p.SetPlans(p.at, plans) == nil || len(p.index.plans) != 2 {
				t.Errorf("table was accepted, or plans changed: %v", p.index.plans)
			}
		})
	}
	if got := p.request("gone", 1); !strings.HasPrefix(got, "reject") {
		t.Errorf("request under an unknown plan: got %s, want a rejection", got)
	}
}
