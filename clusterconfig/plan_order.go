package clusterconfig

import "slices"

// maxPlans limits the plans that were ever put, since the plan order only grows.
const maxPlans = 1_000

// PlanOrder returns the names of all plans that were ever put, including removed ones. A name's index is the same at
// all instances and never changes: messages between instances identify plans by it.
func (s *State) PlanOrder() []string { return slices.Clone(s.planOrder) }

func (c *Change) addsPlan() bool { return c.Op == OpPut && c.Kind == KindPlan }

// planCountAfter returns the length that the plan order would have after a proposal.
func (s *State) planCountAfter(p *Proposal) int {
	names := map[string]bool{}
	for _, name := range s.planOrder {
		names[name] = true
	}
	for _, c := range p.Changes {
		if c.addsPlan() {
			names[c.Name] = true
		}
	}
	return len(names)
}
