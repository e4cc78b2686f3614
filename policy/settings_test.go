package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
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
	for field, spoil := range tests {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// A class that leaves the table takes no new request and keeps those under way; its place goes to a new one
// only when they have ended, and one that stays keeps what was learned.
func TestSetClasses(t *testing.T) {
	class := func(name string, aim time.Duration) Class {
		return Class{Name: name, LatencyObjective: aim, Deadline: 2 * time.Second, PriorityWeight: 1}
	}
	s := Settings{InstanceCount: 1, MaxAttempts: 3, Classes: []Class{class("a", time.Second), class("b", time.Second)},
		Plans: []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}}}
	g, r := newEngine(t, s, testServers(4)...)
	g.RequestReceived(t0, newRequest(1, "a", "wide", 7), r)
	if got := r.last(); !strings.HasPrefix(got, "send") {
		t.Fatal(got)
	}
	g.latencies.classes[g.classIndex["b"]].mean = 0.25
	if err := g.SetClasses([]Class{class("b", 2*time.Second), class("c", time.Second)}); err != nil {
		t.Fatal(err)
	}
	for n, want := range map[string]string{"a": "refuse", "b": "send", "c": "send"} {
		g.RequestReceived(t0, newRequest(2+int(n[0]), n, "wide", 7), r)
		if got := r.last(); !strings.HasPrefix(got, want) {
			t.Errorf("class %s: %s, want %s", n, got, want)
		}
	}
	if b := g.classIndex["b"]; g.latencies.classes[b].mean != 0.25 || g.settings.Classes[b].LatencyObjective != 2*time.Second {
		t.Errorf("class b: %+v, %+v", g.latencies.classes[b], g.settings.Classes[b])
	}
	if len(g.settings.Classes) != 3 { // a's place is taken by the request under way
		t.Errorf("%d places", len(g.settings.Classes))
	}
	id := newRequest(1, "a", "wide", 7).ID
	g.AttemptCompleted(t0+50*time.Millisecond, AttemptResult{ID: id, Result: OK, RequestAnswered: true, Latency: 50 * time.Millisecond}, r)
	for i := range 20 {
		if err := g.SetClasses([]Class{class("b", time.Second), class("c", time.Second), class(fmt.Sprint("d", i), time.Second)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(g.settings.Classes) != 3 || len(g.latencies.classes) != 3 {
		t.Errorf("%d places after twenty changes", len(g.settings.Classes))
	}
	// A class that comes back while a request of its first time is under way has two places; the plans may
	// change meanwhile.
	g.RequestReceived(t0, newRequest(9, "b", "wide", 7), r)
	for _, cs := range [][]Class{{class("c", time.Second)}, {class("b", time.Second), class("c", time.Second), class("e", time.Second)}} {
		if err := g.SetClasses(cs); err != nil {
			t.Fatal(err)
		}
		if err := g.SetPlans(t0, s.Plans); err != nil {
			t.Error(err)
		}
	}
	if err := g.SetClasses([]Class{class("x", time.Second), class("x", time.Second)}); err == nil || len(g.classIndex) != 3 {
		t.Errorf("a name twice: %v, %v", err, g.classIndex)
	}
}

// A plan's new figures, and a customer's move to another plan, leave what was spent spent.
func TestSetPlans(t *testing.T) {
	s := Settings{InstanceCount: 2, MaxAttempts: 3, AllowsGossip: true, Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "small", Rate: 10, Burst: 40}, {Name: "large", Rate: 20, Burst: 100, HardLimitRate: 40, HardLimitBurst: 120}}}
	now := t0
	g, r := newEngine(t, s, testServers(40)...)
	now += time.Hour // full
	ask := func(n int, plan string, units float64) string {
		q := newRequest(n, "a", plan, 7)
		q.Units, q.InstanceCount = units, 2
		g.RequestReceived(now, q, r)
		return r.last()
	}
	if got := ask(1, "small", 10); !strings.HasPrefix(got, "send") {
		t.Fatal(got)
	}
	st := g.quotas.byCustomer[7]
	if err := g.SetPlans(now, []Plan{{Name: "small", Rate: 10, Burst: 15}, s.Plans[1], {Name: "new", Rate: 1, Burst: 1}}); err != nil || st.tokens != 5 {
		t.Fatalf("level %v after 10 units of what is now 15, error %v", st.tokens, err)
	}
	if got := ask(2, "small", 10); !strings.HasPrefix(got, "refuse") {
		t.Errorf("15 units are the burst and 20 were sent: %s", got)
	}
	if ask(3, "large", 10); st.plan != 1 || st.tokens != 90 || st.hardLimitTokens != 0 { // its first ceiling begins empty
		t.Errorf("on the larger plan: %+v", st)
	}
	// A peer that has not yet heard of the move tells units under the old plan: they count.
	if g.receiveEntries(1, []gossipEntry{{customer: 7, scope: quotaScope{instanceCount: 2}, units: 30}}); st.tokens != 60 || st.plan != 1 {
		t.Errorf("level %v, plan %d after 30 units at a peer", st.tokens, st.plan)
	}
	now += time.Hour
	if ask(4, "large", 20); st.hardLimitTokens != 40 {
		t.Fatalf("part of the ceiling %v, want 60-20", st.hardLimitTokens)
	}
	if err := g.SetPlans(now, []Plan{g.settings.Plans[0], {Name: "large", Rate: 20, Burst: 100, HardLimitRate: 30, HardLimitBurst: 60}, g.settings.Plans[2]}); err != nil || st.hardLimitTokens != 10 {
		t.Errorf("part of the ceiling %v, want 30-20, error %v", st.hardLimitTokens, err)
	}
	// A place is kept for good, and what can't be is refused whole.
	if g.SetPlans(now, g.settings.Plans[:2]) == nil || g.SetPlans(now, []Plan{{Name: "x"}, {Name: "x"}, {Name: "y"}}) == nil || len(g.planIndex) != 3 {
		t.Errorf("plans %v", g.planIndex)
	}
	if got := ask(5, "gone", 1); !strings.HasPrefix(got, "refuse") {
		t.Errorf("an unknown plan: %s", got)
	}
}
