package policy

import (
	"math"

	"mulleinmux/subset"
)

// subsetRule is how large a gateway's part of the servers is: 12 are enough to lose half of them, and few
// enough for some requests a second to find a connection open; each server is in 16 parts or more, so that
// gateways with several times the mean load do not weigh on single servers.
var subsetRule = subset.Rule{Servers: 12, Holders: 16, Spare: 8}

// formSubset forms this gateway's part of the servers that take requests.
func (e *Engine) formSubset() {
	fleet := subset.Fleet{Nodes: e.settings.InstanceCount, Seed: 1, Rule: subsetRule}
	takes := 0
	for _, s := range e.servers {
		takes += boolToInt(s.acceptsRequests())
		s.inSubset, s.subsetCorrection = true, 1
	}
	e.subset, e.meanSubsetHolders = e.servers, float64(e.settings.InstanceCount)
	if e.usesSubset = fleet.Size(takes) < takes; !e.usesSubset {
		return
	}
	at, list := make([]*server, 0, takes), make([]subset.Server, 0, takes)
	for _, s := range e.servers {
		if s.inSubset = false; s.acceptsRequests() {
			at, list = append(at, s), append(list, subset.Server{ID: s.ID, Zone: s.Zone, Size: s.weight()})
		}
	}
	members := fleet.Form(list, e.settings.InstanceIndex, e.subsetWidth.Factor())
	e.subset, e.meanSubsetHolders = make([]*server, 0, len(members)), 0
	for _, m := range members {
		e.meanSubsetHolders += float64(m.Held) / float64(len(members))
	}
	e.maxServerWeight = 0
	for _, m := range members {
		s := at[m.Index]
		s.inSubset, s.subsetCorrection = true, e.meanSubsetHolders/float64(m.Held)
		e.subset = append(e.subset, s)
		e.maxServerWeight = math.Max(e.maxServerWeight, s.weight()*s.subsetCorrection)
	}
}

// needsNewSubset tells whether the part has to be formed anew, for it can't carry what there is or need not
// be so large.
func (e *Engine) needsNewSubset() bool {
	var fit, all float64
	for _, s := range e.subset {
		all += s.weight() * s.subsetCorrection
		if !s.isEjected(e.now) {
			fit += s.weight() * s.subsetCorrection * e.capacityFraction(s)
		}
	}
	return all > 0 && !e.usesAllServers() && e.subsetWidth.Now(e.now, fit/all, len(e.subset), float64(e.inFlight))
}

// usesAllServers tells whether the rule gives this gateway all servers. A part that has widened to all of
// them is one still, and shrinks.
func (e *Engine) usesAllServers() bool { return !e.usesSubset }

// SubsetServerIDs names the servers of this gateway's part, to which the host keeps connections; nil stands
// for all.
func (e *Engine) SubsetServerIDs() map[string]bool {
	if e.usesAllServers() {
		return nil
	}
	near := make(map[string]bool, len(e.subset))
	for _, s := range e.subset {
		near[s.ID] = true
	}
	return near
}

// SubsetCounts counts the servers of this gateway's part, and those of them that are held to be silent.
// Where it keeps to no part, both are 0.
func (e *Engine) SubsetCounts() (servers, doubted int) {
	if e.usesAllServers() {
		return 0, 0
	}
	return len(e.subset), e.suspectedCount()
}
