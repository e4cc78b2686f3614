package policy

import "math"

// Cost factors of a server.
const (
	failureCostFactor      = 8   // of a failure rate of 1
	triedCostFactor        = 4   // one that this request has tried
	noConnectionCostFactor = 1.5 // one to which no connection is idle
	coldCostFactor         = 0.5 // a subset's cold one that may be sent something
	crossZoneCostFactor    = 1.1 // one of another zone where crossing has a price
)

// Costs that are added to those of servers that others go before.
const (
	ejectedCost  = 1e6 // one that is ejected: only if no other is left
	notDrawnCost = 1e3 // one that is suspected, or was not drawn by its size
)

// minLatencyRatio bounds what a low latency counts for.
const minLatencyRatio = 0.1

// selectServer returns the server that the request goes to, or nil: one of this node's subset or, if none of
// these will do, one of all.
func (e *Engine) selectServer(r *request) *server {
	s := e.bestOf(r, e.subset.members)
	if e.usesAllServers() || s != nil && !s.isEjected(e.now) {
		return s
	}
	if other := e.bestOf(r, e.servers.list); other != nil {
		return other
	}
	return s
}

// bestOf returns the one of some servers with the least expected delay that the request may go to, or nil.
// Nodes that all took the best of all servers would crowd it: each looks at a random few.
func (e *Engine) bestOf(r *request, from []*server) *server {
	var best *server
	var fullZone *zoneState // of a server left out because it is cold
	bestCost := math.Inf(1)
	looks := max(len(e.servers.list)/e.settings.InstanceCount+1, 2)
	for i := range from {
		if best != nil && looks == 0 && !best.isEjected(e.now) {
			break
		}
		j := i + e.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		s := from[i]
		if !e.mayServe(r, s) {
			continue
		}
		if !e.hasWarmupBudget(s, r.class) {
			fullZone = e.zones[s.Zone]
			continue
		}
		if s.isUnresponsive && len(r.attempts) > 0 {
			continue // a retry there would only cost the client time
		}
		cost, isLook := e.rank(r, s)
		if isLook {
			looks = max(looks-1, 0)
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if fullZone != nil && (best == nil || e.zones[best.Zone] != fullZone) {
		fullZone.unmetWork += e.expectedWork(r.class)
	}
	return best
}

// mayServe reports whether the request may go to the server at all.
func (e *Engine) mayServe(r *request, s *server) bool {
	if r.Zone != "" && s.Zone != r.Zone || !s.acceptsRequests() || !e.mayAttempt(r, s) {
		return false
	}
	zone := e.zones[s.Zone]
	isAdmittedElsewhere := zone != nil && zone.isOverloaded && r.Zone == "" && len(r.attempts) == 0
	return !isAdmittedElsewhere // for the sake of another zone
}

// rank returns the cost of a server for a request, and whether it counts as a look: ejected ones do not, or
// those in service would be taken blindly. Nor do a subset's cold ones: what they may be sent is to be sent.
func (e *Engine) rank(r *request, s *server) (cost float64, isLook bool) {
	cost = e.cost(s)
	switch {
	case s.isEjected(e.now):
		cost += ejectedCost
	case e.now < s.suspectedUntil, e.rng.Float64()*e.subset.maxWeight > e.serverSize(s):
		cost += notDrawnCost
	default:
		isLook = e.usesAllServers() || e.capacityFraction(s) >= 1
	}
	for _, a := range r.attempts {
		if a.server == s && a.result != OK {
			cost *= triedCostFactor
		}
	}
	return cost, isLook
}

// cost is the expected delay at a server, as a multiple of the mean latency.
func (e *Engine) cost(s *server) float64 {
	latency := s.latencyRatio
	if s.inFlight > 0 {
		// Silence with work in flight counts as latency: it covers pauses, silent death and cut links alike.
		silence := (e.now - s.lastProgressAt).Seconds()
		latency = math.Max(latency, silence/math.Max(e.latencies.mean(), 1e-3))
	}
	queue := 1 + float64(s.inFlight) + math.Max(s.queueLength, 0)
	cost := math.Max(latency, minLatencyRatio) * queue * (1 + failureCostFactor*s.failureRate)
	capacity := e.capacityFraction(s)
	switch {
	case e.usesAllServers():
		cost /= capacity
	case capacity < 1:
		cost *= coldCostFactor // the warm-up budget alone bounds what a subset's cold servers get
	case !s.hasIdleConnection(e.now):
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
	if speed, isKnown := e.latencies.kindSpeed(s.Kind); isKnown && !e.servers.weightsDiffer {
		return size * speed
	}
	return size
}
