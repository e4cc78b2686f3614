package policy

import (
	"math"

	"mulleinmux/subset"
)

// defaultSubsetSizing sizes a node's subset. Of 12 servers half may fail, and a few requests per second keep their
// connections open. Each server is in 16 subsets or more, so that a node with several times the mean load does not
// overload single servers.
var defaultSubsetSizing = subset.Sizing{TargetServers: 12, MinHolders: 16, MaxOmitted: 8}

// subsetSeed has to be the same at all nodes of a fleet: each derives the same subsets of all nodes.
const subsetSeed = 1

// serverSubset is the servers that a node uses while they can serve its requests (deterministic subsetting).
// Invariant: inSubset holds for the members and for no other server.
type serverSubset struct {
	sizing      subset.Sizing
	members     []*server // all servers if not isPartial
	isPartial   bool      // the rule leaves servers out
	meanHolders float64   // mean number of nodes with the same server in their subset
	maxWeight   float64   // highest corrected weight of the members that accept requests
	width       subset.WidthController
}

// formSubset forms this node's subset of the servers that accept requests.
func (e *Engine) formSubset() {
	e.subset.form(e.servers.list, e.settings.InstanceCount, e.settings.InstanceIndex)
}

// form selects the members of an instance from all servers.
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

// formPartial selects the members where the rule leaves servers out.
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

// needsNewSubset reports whether the subset has to be formed again, because it is too small for the load or larger than
// needed.
func (e *Engine) needsNewSubset() bool {
	var availableWeight, totalWeight float64
	for _, s := range e.subset.members {
		weight := s.weight() * s.subsetCorrection
		totalWeight += weight
		if !s.isEjected(e.now) {
			availableWeight += weight * e.capacityFraction(s)
		}
	}
	if totalWeight <= 0 || e.usesAllServers() {
		return false
	}
	available := availableWeight / totalWeight
	return e.subset.width.Update(e.now, available, len(e.subset.members), float64(e.load.inFlight))
}

// usesAllServers reports whether the rule gives this node all servers. A subset that has grown to all of them still
// is a subset, and shrinks again.
func (e *Engine) usesAllServers() bool { return !e.subset.isPartial }

// SubsetServerIDs returns the IDs of the servers in this node's subset, to which the host keeps connections; nil: all
// servers.
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

// SubsetCounts returns the number of servers in this node's subset, and of those suspected to be down. Without a subset
// both are 0.
func (e *Engine) SubsetCounts() (servers, suspected int) {
	if e.usesAllServers() {
		return 0, 0
	}
	return len(e.subset.members), e.suspectedCount()
}
