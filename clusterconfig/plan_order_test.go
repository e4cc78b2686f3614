package clusterconfig

import (
	"fmt"
	"testing"
)

// The plan order is the same for all that applied the same entries, survives a snapshot, and keeps removed names.
func TestPlanOrder(t *testing.T) {
	t.Parallel()
	s := New(nil)
	do := func(id string, c Change) Outcome {
		t.Helper()
		return apply(t, s, Proposal{ID: id, Changes: []Change{c}})
	}
	do("1", put("plan", "z", planText))
	do("2", put("plan", "a", planText))
	frozen := s.Freeze()
	do("3", remove("plan", "z"))
	do("4", put("plan", "m", planText))
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s = New(nil)
	if err := s.Restore(text); err != nil {
		t.Fatal(err)
	}
	do("5", put("plan", "z", planText))
	if got := fmt.Sprint(s.PlanOrder()); got != "[z a m]" {
		t.Errorf("plan order %s", got)
	}
	if _, ok := frozen.Get("plan", "z"); !ok || frozen.Version() != 2 || fmt.Sprint(frozen.PlanOrder()) != "[z a]" {
		t.Errorf("the frozen state has changed: %v", frozen.PlanOrder())
	}
	for i := range maxPlans {
		if o := do(fmt.Sprint("p", i), put("plan", fmt.Sprint("p", i), planText)); o.IsApplied != (i < maxPlans-3) {
			t.Fatalf("plan %d: %+v", i+4, o)
		}
	}
	if o := do("again", put("plan", "a", planText)); !o.IsApplied {
		t.Errorf("a plan that is in the order: %+v", o)
	}
}
