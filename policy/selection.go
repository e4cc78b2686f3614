package policy

import "math"

// Factors on the cost of a server.
const (
	failureCostFactor      = 8   // added for a failure rate of 1
	triedCostFactor        = 4   // for each failed attempt of the request at it
	noConnectionCostFactor = 1.5 // without an idle connection to it
	coldCostFactor         = 0.5 // while it warms up, with a subset: its warm-up budget limits it
	crossZoneCostFactor    = 1.1 // in another zone, where sending there has a price
	minLatencyRatio        = 0.1 // lower limit of the latency ratio
)

// Costs that are added, so that all other servers precede.
const (
	ejectedCost  = 1e6 // while it is ejected
	notDrawnCost = 1e3 // while it is suspected, or when it was not drawn by its size
)

// selectServer returns the server for a request's next attempt, or nil: one of this node's subset or, if none
// of it can serve the request or only ejected ones, one of all.
func (e *Engine) selectServer(r *request) *server {
	s := e.leastCostServer(r, e.subset.members)
	if e.usesAllServers() || s != nil && !s.isEjected(e.now) {
		return s
	}
	if other := e.leastCostServer(r, e.servers.list); other != nil {
		return other
	}
	return s
}

// leastCostServer returns the least costly of a few random servers that may serve the request, or nil. If all
// nodes chose the best of all servers, they would overload it. It shuffles the servers.
func (e *Engine) leastCostServer(r *request, servers []*server) *server {
	var best *server
	var coldZone *zoneState // of a server left out for lack of warm-up budget
	bestCost := math.Inf(1)
	candidates := max(len(e.servers.list)/e.settings.InstanceCount+1, 2) // to compare yet
	for i := range servers {
		if best != nil && candidates == 0 && !best.isEjected(e.now) {
			break
		}
		j := i + e.rng.IntN(len(servers)-i)
		servers[i], servers[j] = servers[j], servers[i]
		s := servers[i]
		if !e.mayServe(r, s) {
			continue
		}
		if !e.hasWarmupBudget(s, r.class) {
			coldZone = e.zones[s.Zone]
			continue
		}
		if s.isUnresponsive && len(r.attempts) > 0 {
			continue // the retry would most likely time out
		}
		cost, isCandidate := e.rank(r, s)
		if isCandidate {
			candidates = max(candidates-1, 0)
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if coldZone != nil && (best == nil || e.zones[best.Zone] != coldZone) {
		coldZone.unmetWork += e.expectedWork(r.class)
	}
	return best
}

// mayServe reports whether the request may go to the server at all.
func (e *Engine) mayServe(r *request, s *server) bool {
	if r.Zone != "" && s.Zone != r.Zone || !s.acceptsRequests() || !e.mayAttempt(r, s) {
		return false
	}
	zone := e.zones[s.Zone]
	// A request that may go to any zone was admitted because another zone is not overloaded.
	isForOtherZone := zone != nil && zone.isOverloaded && r.Zone == "" && len(r.attempts) == 0
	return !isForOtherZone
}

// rank returns the cost of a server for a request, and whether it counts as one of the candidates compared:
// ejected, suspected and not drawn ones do not, nor those of a subset that warm up.
func (e *Engine) rank(r *request, s *server) (cost float64, isCandidate bool) {
	cost = e.cost(s)
	switch {
	case s.isEjected(e.now):
		cost += ejectedCost
	case e.now < s.suspectedUntil, e.rng.Float64()*e.subset.maxWeight > e.serverSize(s):
		cost += notDrawnCost
	default:
		isCandidate = e.usesAllServers() || e.capacityFraction(s) >= 1
	}
	for _, a := range r.attempts {
		if a.server == s && a.result != OK {
			cost *= triedCostFactor
		}
	}
	return cost, isCandidate
}

// cost returns the expected delay at a server, as a multiple of the mean latency.
func (e *Engine) cost(s *server) float64 {
	latency := s.latencyRatio
	if s.inFlight > 0 {
		// Time without a response counts as latency: the server may be paused, down or cut off.
		stalled := (e.now - s.lastProgressAt).Seconds()
		latency = math.Max(latency, stalled/math.Max(e.latencies.mean(), minMeanLatency))
	}
	queue := 1 + float64(s.inFlight) + math.Max(s.queueLength, 0)
	cost := math.Max(latency, minLatencyRatio) * queue * (1 + failureCostFactor*s.failureRate)
	capacity := e.capacityFraction(s)
	switch {
	case e.usesAllServers():
		cost /= capacity
	case capacity < 1:
		cost *= coldCostFactor
	case !s.hasIdleConnection(e.now):
		cost *= noConnectionCostFactor
	}
	if s.Zone != e.settings.Zone && e.settings.CrossZonePrice > 0 {
		cost *= crossZoneCostFactor
	}
	return cost
}

// serverSize returns the server's weight or, where all have the same, the speed of its machine kind.
func (e *Engine) serverSize(s *server) float64 {
	size := s.weight() * s.subsetCorrection
	if speed, isKnown := e.latencies.kindSpeed(s.Kind); isKnown && !e.servers.weightsDiffer {
		return size * speed
	}
	return size
}
