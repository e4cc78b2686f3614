package policy

import (
	"math"

	"mulleinmux/subset"
)

// defaultSubsetSizing is how large a node's subset is: 12 servers are enough to lose half of them, and few enough for
// some requests a second to find a connection open; each server is in 16 subsets or more, so that nodes with
// several times the mean load do not weigh on single servers.
var defaultSubsetSizing = subset.Sizing{TargetServers: 12, MinHolders: 16, MaxOmitted: 8}

// subsetSeed is the same at all nodes of a fleet, which form their subsets alike.
const subsetSeed = 1

// serverSubset is the servers that a node sends to as long as they will do (deterministic subsetting).
// Invariant: inSubset holds for the members and for no other server.
type serverSubset struct {
	sizing      subset.Sizing
	members     []*server // or all servers, where the rule leaves none out
	isPartial   bool      // the rule leaves servers out
	meanHolders float64   // nodes that have a server of it in their subset, on average
	maxWeight   float64   // of the members that accept requests
	width       subset.WidthController
}

// formSubset forms this node's subset of the servers that accept requests.
func (e *Engine) formSubset() {
	e.subset.form(e.servers.list, e.settings.InstanceCount, e.settings.InstanceIndex)
}

// form takes an instance's members out of all servers.
func (p *serverSubset) form(servers []*server, instanceCount, instance int) {
	accepting := 0
	p.members, p.meanHolders, p.maxWeight = servers, float64(instanceCount), 0
	for _, s := range servers {
		s.inSubset, s.subsetCorrection = true, 1
		if s.acceptsRequests() {
			accepting++
			p.maxWeight = math.Max(p.maxWeight, s.weight())
		}
	}
	fleet := subset.Tier{Nodes: instanceCount, Seed: subsetSeed, Sizing: p.sizing}
	p.isPartial = fleet.SubsetSize(accepting) < accepting
	if p.isPartial {
		p.formPartial(servers, fleet, instance)
	}
}

// formPartial is form where the rule leaves servers out.
func (p *serverSubset) formPartial(servers []*server, fleet subset.Tier, instance int) {
	var accepting []*server
	var list []subset.Server
	for _, s := range servers {
		s.inSubset = false
		if s.acceptsRequests() {
			accepting = append(accepting, s)
			list = append(list, subset.Server{ID: s.ID, Zone: s.Zone, Weight: s.weight()})
		}
	}
	members := fleet.Select(list, instance, p.width.Factor())
	p.meanHolders = 0
	for _, m := range members {
		p.meanHolders += float64(m.HolderCount) / float64(len(members))
	}
	p.members, p.maxWeight = make([]*server, 0, len(members)), 0
	for _, m := range members {
		s := accepting[m.Index]
		s.inSubset, s.subsetCorrection = true, p.meanHolders/float64(m.HolderCount)
		p.members = append(p.members, s)
		p.maxWeight = math.Max(p.maxWeight, s.weight()*s.subsetCorrection)
	}
}

// needsNewSubset reports whether the subset has to be formed anew: it cannot carry the load, or need not be so
// large.
func (e *Engine) needsNewSubset() bool {
	var fit, all float64
	for _, s := range e.subset.members {
		weight := s.weight() * s.subsetCorrection
		all += weight
		if !s.isEjected(e.now) {
			fit += weight * e.capacityFraction(s)
		}
	}
	if all <= 0 || e.usesAllServers() {
		return false
	}
	return e.subset.width.Update(e.now, fit/all, len(e.subset.members), float64(e.load.inFlight))
}

// usesAllServers reports whether the rule gives this node all servers. A subset that has widened to all of them
// is one still, and shrinks.
func (e *Engine) usesAllServers() bool { return !e.subset.isPartial }

// SubsetServerIDs names the servers of this node's subset, to which the host keeps connections; nil stands for
// all.
func (e *Engine) SubsetServerIDs() map[string]bool {
	if e.usesAllServers() {
		return nil
	}
	ids := make(map[string]bool, len(e.subset.members))
	for _, s := range e.subset.members {
		ids[s.ID] = true
	}
	return ids
}

// SubsetCounts counts the servers of this node's subset, and those of them that are held to be down. Where it
// has no subset, both are 0.
func (e *Engine) SubsetCounts() (servers, suspected int) {
	if e.usesAllServers() {
		return 0, 0
	}
	return len(e.subset.members), e.suspectedCount()
}
