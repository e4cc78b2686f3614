package clusterconfig

import (
	"fmt"
	"testing"
)

// The plan order depends only on the applied entries, is restored from a snapshot, keeps removed names, and is bounded.
func TestPlanOrder(t *testing.T) {
	t.Parallel()
	s := New(nil)
	propose := func(id string, c Change) Outcome {
		t.Helper()
		return apply(t, s, Proposal{ID: id, Changes: []Change{c}})
	}
	propose("1", put("plan", "z", planText))
	propose("2", put("plan", "a", planText))
	frozen := s.Freeze()
	propose("3", remove("plan", "z"))
	propose("4", put("plan", "m", planText))
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s = New(nil)
	if err := s.Restore(text); err != nil {
		t.Fatal(err)
	}
	propose("5", put("plan", "z", planText))
	if got := fmt.Sprint(s.PlanOrder()); got != "[z a m]" {
		t.Errorf("got plan order %s, want [z a m]", got)
	}
	if _, ok := frozen.Get("plan", "z"); !ok || frozen.Version() != 2 || fmt.Sprint(frozen.PlanOrder()) != "[z a]" {
		t.Errorf("the frozen state has changed: got plan order %v, want [z a]", frozen.PlanOrder())
	}
	for i := range maxPlans {
		if o := propose(fmt.Sprint("p", i), put("plan", fmt.Sprint("p", i), planText)); o.IsApplied != (i < maxPlans-3) {
			t.Fatalf("plan %d of the order: got outcome %+v", i+4, o)
		}
	}
	if o := propose("again", put("plan", "a", planText)); !o.IsApplied {
		t.Errorf("put of a plan that is already in the order: got outcome %+v, want it applied", o)
	}
}
