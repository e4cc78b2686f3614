package policy

import (
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
)

// throttleRetryDivisor is the divisor of the latency objective that gives the retry delay of a request rejected for
// overload.
const throttleRetryDivisor = 4

// minFleetMeansRate is the rate of received gossip messages, per second, above which the in-flight bound may use the
// means over the fleet.
const minFleetMeansRate = 1

// overloadRetryAfter returns the retry delay of a request that is rejected because the servers are overloaded or
// because it is late.
func (c *Class) overloadRetryAfter() time.Duration { return c.LatencyObjective / throttleRetryDivisor }

// isTooLate reports whether a request can no longer be answered within its latency objective, because its client has
// already waited in earlier tries. All first tries of a class are assumed to have the same timeout, and the timeout of
// a later try to be shorter by the time that its client has waited. Late tries of clients that give each try the full
// timeout are not detected.
func (c *classLatency) isTooLate(timeout, objective time.Duration) bool {
	waited := c.firstTryTimeout - timeout
	return waited.Seconds()+c.mean > objective.Seconds()
}

// isTooShort reports whether a timeout is shorter than the mean latency of the class, if enough latencies have been
// measured.
func (c *classLatency) isTooShort(timeout time.Duration) bool {
	return c.samples >= minBatchSamples && timeout.Seconds() < c.mean
}

// discardStaleMean discards the mean latency of the class if it would reject a timeout and is older than latencyMaxAge.
// Otherwise a few slow responses could raise the mean above the timeouts of all requests: each would be rejected, and
// no response could lower the mean again.
func (c *classLatency) discardStaleMean(now, timeout time.Duration) {
	if c.isTooShort(timeout) && now-c.recordedAt >= latencyMaxAge {
		c.mean, c.deviation, c.samples = 0, 0, 0
	}
}

// inFlightBound decides whether so much work is in flight that a new request would not be answered in time. It collects
// the [overload.Load] that package overload compares with its bound; zones with limits have bounds of their own.
type inFlightBound struct {
	settings  *Settings
	servers   *serverTable
	zones     zoneTable
	latencies *latencyTable
	load      *loadMeter
	overload  *overload.Controller
	gossip    *quota.Gossip
}

// isOverloaded reports whether too much work is in flight for a new request of a class, in a zone (empty: any), with
// the priority factor of its customer's plan. It covers overload, stalls, failed servers and retry storms.
func (b *inFlightBound) isOverloaded(now time.Duration, class int, zone string, priorityFactor float64) bool {
	value := b.latencies.relativeValue(b.settings.Classes, class)
	if len(b.zones) > 0 {
		value *= relativePriority(b.settings.Plans, priorityFactor)
	}
	queueTime := overload.QueueTime(b.settings.Classes[class].LatencyObjective.Seconds(), value)
	if len(b.zones) > 0 {
		return b.zones.updateOverload(zone, queueTime, b.servers)
	}
	return b.currentLoad(now).IsOverBound(queueTime)
}

// currentLoad returns the load that is compared with the bound.
func (b *inFlightBound) currentLoad(now time.Duration) overload.Load {
	inFlight, servers := b.load.reachableInFlight(now, b.servers.list, b.settings)
	means := b.overload.FleetMeans()
	return overload.Load{
		InFlight:          inFlight,
		Servers:           servers,
		InstanceCount:     b.settings.InstanceCount,
		ResponseRate:      b.load.responseRate,
		HasFleetMeans:     b.gossip.InboxRate > minFleetMeansRate,
		FleetInFlight:     means[overload.MeanInFlight],
		FleetResponseRate: means[overload.MeanResponses] / sampleInterval.Seconds(),
	}
}

// relativePriority returns a plan's priority factor as a fraction of the highest of all plans.
func relativePriority(plans []Plan, priorityFactor float64) float64 {
	highest := priorityFactor
	for p := range plans {
		highest = max(highest, plans[p].PriorityFactor)
	}
	if highest <= 0 {
		return 1
	}
	return priorityFactor / highest
}

// settingsIndex maps the names of the classes and plans to their indexes in the settings.
type settingsIndex struct {
	classes, plans map[string]int
}

// resolve returns the indexes of a request's class and plan. A request with an unknown class or plan, or without a
// timeout, cannot be served.
func (x settingsIndex) resolve(received Request) (class, plan int, isServable bool) {
	class, hasClass := x.classes[received.Class]
	plan, hasPlan := x.plans[received.Plan]
	return class, plan, hasClass && hasPlan && received.Timeout > 0
}
