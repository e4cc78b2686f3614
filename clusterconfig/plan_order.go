package clusterconfig

import "slices"

// maxPlans bounds the names of plans that were ever put: the plan order only grows.
const maxPlans = 1_000

// PlanOrder returns the names of all plans that were ever put, removed ones too, in an order that is the same at all
// instances and in which no name ever moves: instances refer to plans by their index in it.
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
