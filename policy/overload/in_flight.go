package overload

import "math"

const (
	queueTimeFraction     = 0.3 // fraction of a latency objective in which all work in flight must be answered
	certainOverloadFactor = 3.0 // multiple of the bound that cannot be a random fluctuation

	// MinInFlightPerServer is the lower limit of the bound on work in flight: attempts for each server, over all nodes.
	MinInFlightPerServer = 2.0
)

// The bound on work in flight is not part of ARO, whose f depends on responses and so reacts late when work queues up.
// By Little's law the attempts in flight divided by the responses per second are the delay of a new request. If the
// delay is too long for the latency objective of the request, the request is rejected. The bound rejects too many
// requests if latency is long without queueing.

// QueueTime returns the time, in seconds, in which all work in flight must be answered for a new request to be
// admitted. It depends on the request's latency objective, in seconds, and its value, from 0 to 1: requests of low
// value are rejected first.
func QueueTime(latencyObjective, value float64) float64 {
	return queueTimeFraction * (1 + value) / 2 * latencyObjective
}

// Load is the load of a node, which is compared with the bound on work in flight.
type Load struct {
	InFlight      float64 // attempts at reachable servers, without overdue ones
	Servers       float64 // reachable servers, each counted as its capacity fraction
	InstanceCount int     // nodes that share the servers
	ResponseRate  float64 // good responses per second of this node

	// The fleet's means, which lag by seconds; used only where HasFleetMeans.
	HasFleetMeans     bool
	FleetInFlight     float64 // young attempts in flight, per node
	FleetResponseRate float64 // good responses per second and node
}

// IsOverBound reports whether more work is in flight than can be answered within a queue time, in seconds. With few
// attempts in flight, the bound may be exceeded at random: unless it is exceeded by certainOverloadFactor, the fleet's
// means must exceed it too.
func (l Load) IsOverBound(queueTime float64) bool {
	floor := MinInFlightPerServer * l.Servers / float64(l.InstanceCount)
	bound := l.ResponseRate * queueTime
	isCertain := l.InFlight >= certainOverloadFactor*math.Max(bound, floor)
	if bound < minOwnReadings && l.HasFleetMeans && !isCertain {
		fleetBound := math.Max(l.FleetResponseRate*queueTime, floor)
		return l.InFlight >= fleetBound && l.FleetInFlight >= fleetBound
	}
	return l.InFlight >= math.Max(bound, floor)
}
