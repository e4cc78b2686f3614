package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Factors of the cost of a server.
const (
	failureCostFactor       = 8   // the cost is multiplied by 1 plus this at a failure rate of 1
	failedAttemptCostFactor = 4   // for each failed attempt of the request at the server
	noConnectionCostFactor  = 1.5 // without an idle connection to the server
	coldCostFactor          = 0.5 // in slow start, if the node has a subset: preferred up to its warm-up budget
	crossZoneCostFactor     = 1.1 // in another zone, if attempts to other zones have a price
	minLatencyRatio         = 0.1 // lower limit of the latency ratio
)

// Costs that are added so that all other servers are preferred.
const (
	ejectedCost       = 1e6 // while the server is ejected
	deprioritizedCost = 1e3 // while the server is suspected, or is skipped at random, the more often the smaller it is
)

// serverSelector selects the server of an attempt: the least costly of a few random candidates. If all nodes chose the
// best of all servers, they would overload it.
type serverSelector struct {
	settings  *Settings
	rng       *rand.Rand
	servers   *serverTable
	subset    *serverSubset
	zones     zoneTable
	latencies *latencyTable
	slowStart *slowStart
}

// selectServer returns the server for a request's next attempt, or nil if no server can serve it. It selects a member
// of this node's subset or, if no member or only an ejected one can serve the request, any server.
func (p *serverSelector) selectServer(now time.Duration, r *request) *server {
	s := p.leastCostServer(now, r, p.subset.members)
	if p.subset.usesAllServers() || s != nil && !s.isEjected(now) {
		return s
	}
	if other := p.leastCostServer(now, r, p.servers.list); other != nil {
		return other
	}
	return s
}

// leastCostServer returns the least costly of a few random servers that may serve the request, or nil. It shuffles the
// slice of servers.
func (p *serverSelector) leastCostServer(now time.Duration, r *request, servers []*server) *server {
	var best *server
	var coldZone *zoneState // zone of a server that was skipped for lack of warm-up budget
	bestCost := math.Inf(1)
	candidates := p.candidateCount() // still to be compared
	for i := range servers {
		if best != nil && candidates == 0 && !best.isEjected(now) {
			break
		}
		s := p.drawNext(servers, i)
		if !p.mayServe(now, r, s) {
			continue
		}
		if zone := p.zones.of(s); !p.slowStart.admits(now, s, r.class, zone) {
			coldZone = zone
			continue
		}
		if s.isUnresponsive && len(r.attempts) > 0 {
			continue // the retry would most likely time out
		}
		cost, isCandidate := p.rank(now, r, s)
		if isCandidate {
			candidates = max(candidates-1, 0)
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if coldZone != nil && (best == nil || p.zones.of(best) != coldZone) {
		p.slowStart.recordUnmet(r.class, coldZone)
	}
	return best
}

// candidateCount returns how many servers are compared: one more than the number of servers per node, but at least two.
func (p *serverSelector) candidateCount() int {
	return max(len(p.servers.list)/p.settings.InstanceCount+1, 2)
}

// drawNext swaps a random server of those from index i on to index i, and returns it.
func (p *serverSelector) drawNext(servers []*server, i int) *server {
	j := i + p.rng.IntN(len(servers)-i)
	servers[i], servers[j] = servers[j], servers[i]
	return servers[i]
}

// mayServe reports whether the next attempt of the request may be sent to the server.
func (p *serverSelector) mayServe(now time.Duration, r *request, s *server) bool {
	if r.Zone != "" && s.Zone != r.Zone || !s.acceptsRequests() || !mayAttempt(now, r, s, p.settings) {
		return false
	}
	zone := p.zones.of(s)
	// A request that may go to any zone was admitted because another zone is not overloaded.
	isZoneOverloaded := zone != nil && zone.isOverloaded && r.Zone == "" && len(r.attempts) == 0
	return !isZoneOverloaded
}

// rank returns the cost of a server for a request, and whether the server counts as one of the candidates compared.
// Ejected, suspected and randomly skipped servers do not count, nor do members of a subset during slow start.
func (p *serverSelector) rank(now time.Duration, r *request, s *server) (cost float64, isCandidate bool) {
	cost = p.cost(now, s)
	switch {
	case s.isEjected(now):
		cost += ejectedCost
	case now < s.suspectedUntil, p.rng.Float64()*p.subset.maxWeight > p.serverSize(s):
		cost += deprioritizedCost
	default:
		isCandidate = p.subset.usesAllServers() || s.capacityFraction(now, p.settings) >= 1
	}
	for _, a := range r.attempts {
		if a.server == s && a.result != OK {
			cost *= failedAttemptCostFactor
		}
	}
	return cost, isCandidate
}

// cost returns the expected delay at a server as a multiple of the mean latency.
func (p *serverSelector) cost(now time.Duration, s *server) float64 {
	latency := s.latencyRatio
	if s.inFlight > 0 {
		// Time without a response counts as latency: the server may be paused, down or unreachable.
		stalled := (now - s.lastProgressAt).Seconds()
		latency = math.Max(latency, stalled/math.Max(p.latencies.mean(), minMeanLatency))
	}
	queue := 1 + float64(s.inFlight) + math.Max(s.queueLength, 0)
	cost := math.Max(latency, minLatencyRatio) * queue * (1 + failureCostFactor*s.failureRate)
	capacity := s.capacityFraction(now, p.settings)
	switch {
	case p.subset.usesAllServers():
		cost /= capacity
	case capacity < 1:
		cost *= coldCostFactor
	case !s.hasIdleConnection(now):
		cost *= noConnectionCostFactor
	}
	if s.Zone != p.settings.Zone && p.settings.CrossZonePrice > 0 {
		cost *= crossZoneCostFactor
	}
	return cost
}

// serverSize returns the server's weight, corrected for the number of nodes that have it in their subset. If all
// servers have the same weight, it is multiplied by the speed of the server's machine kind.
func (p *serverSelector) serverSize(s *server) float64 {
	size := s.weight() * s.subsetCorrection
	if speed, isKnown := p.latencies.kindSpeed(s.Kind); isKnown && !p.servers.weightsDiffer {
		return size * speed
	}
	return size
}
