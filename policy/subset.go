package policy

import (
	"math"
	"time"

	"mulleinmux/subset"
)

// defaultSubsetSizing is the sizing of the nodes' subsets. A subset of 12 servers still suffices if half of them fail,
// and is so small that a few requests per second keep a connection to each server open. A server is in 16 subsets or
// more on average, so that a node with several times the mean load does not overload the servers of its subset.
var defaultSubsetSizing = subset.Sizing{TargetServers: 12, MinHolders: 16, MaxOmitted: 8}

// subsetSeed must be the same at all nodes of a fleet, so that each node derives the same subsets for all of them.
const subsetSeed = 1

// serverSubset is the set of servers that a node uses while they can serve its requests (deterministic subsetting).
// Invariant: inSubset is true for the members and for no other server.
type serverSubset struct {
	instance      int // this node's index
	instanceCount int
	sizing        subset.Sizing

	members     []*server // all servers if not isPartial
	isPartial   bool      // the sizing leaves servers out
	meanHolders float64   // mean over the members of the number of nodes with the server in their subset
	maxWeight   float64   // highest corrected weight of the members that accept requests
	width       subset.WidthController
}

// newServerSubset returns the subset of an instance before any server is known.
func newServerSubset(instance, instanceCount int) serverSubset {
	return serverSubset{instance: instance, instanceCount: instanceCount, sizing: defaultSubsetSizing}
}

// form selects this node's members from all servers.
func (p *serverSubset) form(servers []*server) {
	accepting := 0
	p.members, p.meanHolders, p.maxWeight = servers, float64(p.instanceCount), 0
	for _, s := range servers {
		s.inSubset, s.subsetCorrection = true, 1
		if s.acceptsRequests() {
			accepting++
			p.maxWeight = math.Max(p.maxWeight, s.weight())
		}
	}
	fleet := subset.Tier{Nodes: p.instanceCount, Seed: subsetSeed, Sizing: p.sizing}
	p.isPartial = fleet.SubsetSize(accepting) < accepting
	if p.isPartial {
		p.formPartial(servers, fleet)
	}
}

// formPartial selects the members if the sizing leaves servers out.
func (p *serverSubset) formPartial(servers []*server, fleet subset.Tier) {
	var accepting []*server
	var list []subset.Server
	for _, s := range servers {
		s.inSubset = false
		if s.acceptsRequests() {
			accepting = append(accepting, s)
			list = append(list, subset.Server{ID: s.ID, Zone: s.Zone, Weight: s.weight()})
		}
	}
	members := fleet.Select(list, p.instance, p.width.Factor())
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

// needsResize reports whether the subset must be formed again because it is too small for the attempts in flight, or
// larger than needed.
func (p *serverSubset) needsResize(now time.Duration, settings *Settings, inFlight int) bool {
	var availableWeight, totalWeight float64
	for _, s := range p.members {
		weight := s.weight() * s.subsetCorrection
		totalWeight += weight
		if !s.isEjected(now) {
			availableWeight += weight * s.capacityFraction(now, settings)
		}
	}
	if totalWeight <= 0 || p.usesAllServers() {
		return false
	}
	return p.width.Update(now, availableWeight/totalWeight, len(p.members), float64(inFlight))
}

// usesAllServers reports whether the sizing gives this node all servers. A subset that has widened to all servers does
// not count: it shrinks again.
func (p *serverSubset) usesAllServers() bool { return !p.isPartial }

// suspectedCount returns the number of members that are suspected to be down.
func (p *serverSubset) suspectedCount(now time.Duration) (n int) {
	for _, s := range p.members {
		n += boolToInt(s.isSuspected(now))
	}
	return n
}

// SubsetServerIDs returns the IDs of the servers in this node's subset, to which the host keeps connections. Without a
// subset it returns nil, which means all servers.
func (e *Engine) SubsetServerIDs() map[string]bool {
	if e.subset.usesAllServers() {
		return nil
	}
	ids := make(map[string]bool, len(e.subset.members))
	for _, s := range e.subset.members {
		ids[s.ID] = true
	}
	return ids
}

// SubsetCounts returns the number of servers in this node's subset, and how many of them are suspected to be down.
// Without a subset both are 0.
func (e *Engine) SubsetCounts() (servers, suspected int) {
	if e.subset.usesAllServers() {
		return 0, 0
	}
	return len(e.subset.members), e.subset.suspectedCount(e.now)
}
