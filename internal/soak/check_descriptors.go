package soak

import (
	"slices"
	"time"
)

// Bounds of the connections that a process without clients holds.
const (
	maxDiscoveryConnections = 1 // a process has one watch of the endpoint list

	// edgeReuseDelay is how long a connection to a server is idle before the edge proxy sends the next request on it. The
	// gateway reuses a connection at once.
	edgeReuseDelay = 50 * time.Millisecond

	// spareConnectionsPerServer counts connections to a server that carry no attempt: one of a health check, and one
	// whose request had ended before the connection was established.
	spareConnectionsPerServer = 2
)

// checkDescriptors checks that a process whose clients have left holds no connection of a client and has no attempt in
// flight, keeps no more connections to servers than its attempts needed, and has no other descriptor that it did not
// have when it was ready.
func (v *Verdict) checkDescriptors(p *process, attempts []*attempt, serverCount int) {
	if p.atIdle == nil {
		return
	}
	if count := countInFlight(attempts, p.idleAt); count > 0 {
		v.violation(ruleDescriptors, "process %d has %d attempts in flight %v after its clients have left", p.number, count,
			quietTime)
	}
	maxServers := peakConnections(attempts, reuseDelay(v.Target)) + serverCount*spareConnectionsPerServer
	if p.atIdle.clients > 0 || p.atIdle.servers > maxServers || p.atIdle.discovery > maxDiscoveryConnections ||
		p.atIdle.others > p.atReady.others {
		v.violation(ruleDescriptors, "process %d holds descriptors %v after its clients have left: %v; when it was "+
			"ready: %v; its attempts needed at most %d to servers", p.number, quietTime, p.atIdle, p.atReady, maxServers)
	}
}

// countInFlight returns the number of attempts in flight at a time.
func countInFlight(attempts []*attempt, at time.Time) (count int) {
	for _, a := range attempts {
		if a.began.Before(at) && (a.ended.IsZero() || a.ended.After(at)) {
			count++
		}
	}
	return count
}

// reuseDelay returns how long a connection to a server is idle before the target sends the next request on it.
func reuseDelay(target Target) time.Duration {
	if target == TargetEdgeProxy {
		return edgeReuseDelay
	}
	return 0
}

// peakConnections returns how many connections the attempts needed, summed over the servers. A new connection is
// established only if no open one to the same server may be reused, so a server's number is that of the most attempts
// that occupied a connection at the same time. An attempt occupies its connection until the reuse delay after its end.
func peakConnections(attempts []*attempt, reuseDelay time.Duration) (total int) {
	byServer := map[int][]*attempt{}
	for _, a := range attempts {
		byServer[a.server] = append(byServer[a.server], a)
	}
	for _, ofServer := range byServer {
		total += peakOverlap(ofServer, reuseDelay)
	}
	return total
}

// occupancyChange is the time at which an attempt begins (+1) or ceases (-1) to occupy its connection.
type occupancyChange struct {
	at     time.Time
	change int
}

// peakOverlap returns the largest number of attempts that occupied connections at the same time.
func peakOverlap(attempts []*attempt, reuseDelay time.Duration) (peak int) {
	var changes []occupancyChange
	for _, a := range attempts {
		changes = append(changes, occupancyChange{a.began.Add(-inFlightTolerance), +1})
		if !a.ended.IsZero() {
			changes = append(changes, occupancyChange{a.ended.Add(reuseDelay + inFlightTolerance), -1})
		}
	}
	slices.SortFunc(changes, func(a, b occupancyChange) int { return a.at.Compare(b.at) })
	occupied := 0
	for _, c := range changes {
		occupied += c.change
		peak = max(peak, occupied)
	}
	return peak
}
