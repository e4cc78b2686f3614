package policy

import (
	"math"
)

// Cost factors of a server.
const (
	failureCostFactor      = 8   // of a failure rate of 1
	triedCostFactor        = 4   // one that this request has tried
	noConnectionCostFactor = 1.5 // one to which no connection is idle
	coldCostFactor         = 0.5 // a subset's cold one that may be sent something
	crossZoneCostFactor    = 1.1 // one of another zone where crossing has a price
)

// selectServer returns the server that the request goes to, or nil: one of this gateway's part of the servers
// or, if none of these will do, one of all.
func (e *Engine) selectServer(r *request) *server {
	s := e.bestOf(r, e.subset)
	if !e.usesAllServers() && (s == nil || s.isEjected(e.now)) {
		if other := e.bestOf(r, e.servers); other != nil {
			return other
		}
	}
	return s
}

// bestOf returns the one of some servers with the least expected delay that the request may go to, or nil.
func (e *Engine) bestOf(r *request, from []*server) *server {
	var best *server
	var short *zoneState // of a server left out because it is cold
	bestCost := math.Inf(1)
	// Gateways that all took the best of all servers would crowd it. Each looks at a random part.
	looks := max(len(e.servers)/e.settings.InstanceCount+1, 2)
	for i := range from {
		if best != nil && looks == 0 && !best.isEjected(e.now) {
			break
		}
		j := i + e.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		s := from[i]
		if r.Zone != "" && s.Zone != r.Zone || !s.acceptsRequests() || !e.mayAttempt(r, s) {
			continue
		}
		if z := e.zones[s.Zone]; z != nil && z.isOverloaded && r.Zone == "" && len(r.attempts) == 0 {
			continue // it was let in for the sake of another zone
		}
		if !e.hasWarmupBudget(s, r.class) {
			short = e.zones[s.Zone]
			continue
		}
		cost := e.cost(s)
		switch {
		case s.isUnresponsive && len(r.attempts) > 0:
			continue // a further attempt there would only cost the client time
		case s.isEjected(e.now):
			cost += 1e6 // only if no other is left; no look, or those in service would be taken blindly
		case e.now < s.suspectedUntil, e.rng.Float64()*e.maxServerWeight > e.serverSize(s):
			cost += 1e3 // candidates are drawn by their size
		case e.usesAllServers() || e.capacityFraction(s) >= 1: // what cold ones may be sent is to be sent
			looks = max(looks-1, 0)
		}
		for _, a := range r.attempts {
			if a.server == s && a.result != OK {
				cost *= triedCostFactor
			}
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if short != nil && (best == nil || e.zones[best.Zone] != short) {
		short.unmetWork += e.expectedWork(r.class)
	}
	return best
}

func (e *Engine) cost(s *server) float64 {
	lat := s.latencyRatio
	if s.inFlight > 0 {
		// Silence with work out counts as latency: it covers pauses, silent death and cut links alike.
		lat = math.Max(lat, (e.now-s.lastProgressAt).Seconds()/math.Max(e.latencies.mean(), 1e-3))
	}
	queue := 1 + float64(s.inFlight) + math.Max(s.queueLength, 0)
	cost := math.Max(lat, 0.1) * queue * (1 + failureCostFactor*s.failureRate)
	if e.usesAllServers() {
		cost /= e.capacityFraction(s)
	} else if e.capacityFraction(s) < 1 {
		cost *= coldCostFactor // coldRoom alone bounds what a part's cold servers get
	} else if !s.hasIdleConnection(e.now) {
		cost *= noConnectionCostFactor
	}
	if s.Zone != e.settings.Zone && e.settings.CrossZonePrice > 0 {
		cost *= crossZoneCostFactor
	}
	return cost
}

// serverSize is the server's size: as listed or, where all are listed alike, by the speed of its kind.
func (e *Engine) serverSize(s *server) float64 {
	size := s.weight() * s.subsetCorrection
	if speed, isKnown := e.latencies.kindSpeed(s.Kind); isKnown && !e.weightsDiffer {
		return size * speed
	}
	return size
}
