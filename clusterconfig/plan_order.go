package clusterconfig

import (
	"fmt"
	"slices"
)

// maxPlans is the maximum length of the plan order, which only grows.
const maxPlans = 1_000

// planOrder holds the names of all plans that were ever put, in the order of their first put.
//
// Invariant: names are unique, and the index of a name never changes.
type planOrder []string

// PlanOrder returns the names of all plans that were ever put, including removed ones. The index of a name is the same
// at all instances and never changes, since messages between instances identify plans by it.
func (s *State) PlanOrder() []string { return slices.Clone(s.planOrder) }

// addsPlan reports whether a change may add a name to the plan order.
func (c *Change) addsPlan() bool { return c.Op == OpPut && c.Kind == KindPlan }

// withName returns the order including a name, which is appended if it is new.
func (o planOrder) withName(name string) planOrder {
	if slices.Contains(o, name) {
		return o
	}
	return append(o, name)
}

// checkGrowth returns an error if the changes would make the order longer than maxPlans names.
func (o planOrder) checkGrowth(changes []Change) error {
	touchesPlans := slices.ContainsFunc(changes, func(c Change) bool { return c.Kind == KindPlan })
	if !touchesPlans {
		return nil
	}
	names := map[string]bool{}
	for _, name := range o {
		names[name] = true
	}
	for _, c := range changes {
		if c.addsPlan() {
			names[c.Name] = true
		}
	}
	if len(names) > maxPlans {
		const text = "changes: more than %d plans were ever put: put one that was removed anew, under its name"
		return fmt.Errorf(text, maxPlans)
	}
	return nil
}
