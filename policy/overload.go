package policy

import (
	"math"
	"time"
)

// Overload control: ARO, "Acceptance-Rate Occupancy", of "Fast and robust signaling overload control",
// section 4.3, with the deterministic throttling of section 4.4. The paper's names stand in the comments.
const (
	sampleInterval        = 100 * time.Millisecond // the paper's probe interval
	samplesPerAssessment  = 5                      // k: half a second follows short bursts
	occupancyTarget       = 0.95                   // rho targ
	maxGrowth             = 1.3                    // phi max, growth of f in one assessment
	minAdmitFraction      = 0.1                    // f min, so that recovery is always seen
	highOccupancy         = 0.8                    // from here on fA acts as well as fO
	lowOccupancy          = 0.5                    // up to here spare capacity may go to extras
	lowSubsetOccupancy    = 0.7                    // the same with a subset of the servers
	queueTimeFraction     = 0.3                    // of a latency objective that those in flight may take
	minInFlightPerServer  = 2.0                    // that the bound always leaves, over all nodes
	certainOverloadFactor = 3.0                    // times the bound that cannot be in flight by chance
)

// assessmentInterval is how long an assessment of the load holds.
const assessmentInterval = samplesPerAssessment * sampleInterval

// overloadController is ARO: of what quotas admit, it lets the fraction f pass that the servers can take.
// Invariant: minAdmitFraction <= admitFraction <= 1 from the start on, and 0 <= throttleCredit < 1 between
// requests. A node that sees too little of its own goes by the means over the fleet.
type overloadController struct {
	admitFraction  float64 // f, the fraction allowed
	throttleCredit float64 // r, of the deterministic throttling
	occupancy      float64 // rho, as of the last assessment
	acceptanceRate float64 // alpha, requests accepted in a sample, as of the last assessment
	maxThroughput  float64 // mu max, moving average; 0: not learned

	sampleCount      int                           // samples closed so far
	occupancySums    [samplesPerAssessment]float64 // of each sample: sum of the readings of the occupancy
	occupancySamples [samplesPerAssessment]float64 // their number
	accepted         [samplesPerAssessment]float64 // requests accepted

	hasPeerMeans bool
	fleetMeans   [fleetMeanCount]float64 // per sample, over this node and its peers
}

// admit takes one request's part of f and reports whether the request may pass.
func (c *overloadController) admit() bool {
	c.throttleCredit += c.admitFraction
	if c.throttleCredit < 1 {
		return false
	}
	c.throttleCredit--
	return true
}

// closeSample ends a sample, and with every k-th one assesses the load.
func (c *overloadController) closeSample(responses, inFlight float64) {
	i := c.sampleIndex()
	own := [...]float64{c.occupancySums[i], c.occupancySamples[i], c.accepted[i], responses, inFlight}
	c.mergeMeans(ownMeansWeight, own)
	c.sampleCount++
	if c.sampleIndex() == 0 {
		c.assess()
	}
	i = c.sampleIndex()
	c.occupancySums[i], c.occupancySamples[i], c.accepted[i] = 0, 0, 0
}

// assess sets f to the least of fA and fO.
func (c *overloadController) assess() {
	c.estimate()
	fO := c.fractionByOccupancy()
	fA := c.fractionByAcceptanceRate()
	c.admitFraction = math.Min(fA, fO)
	c.learnThroughput()
}

// fractionByOccupancy is fO.
func (c *overloadController) fractionByOccupancy() float64 {
	phi := math.Min(occupancyTarget/math.Max(c.occupancy, 1e-9), maxGrowth)
	return clampFraction(phi * c.admitFraction)
}

// fractionByAcceptanceRate is fA, for an alpha targ of rho targ times mu max. It acts only under pressure.
func (c *overloadController) fractionByAcceptanceRate() float64 {
	if c.maxThroughput <= 0 || c.occupancy < highOccupancy || c.acceptanceRate <= 0 {
		return 1
	}
	return clampFraction(occupancyTarget * c.maxThroughput / c.acceptanceRate * c.admitFraction)
}

// clampFraction holds f between f min and 1.
func clampFraction(f float64) float64 { return math.Min(math.Max(f, minAdmitFraction), 1) }

// isOverloaded reports whether too much work is in flight for a new request: an exception to ARO, whose f
// follows what has been answered and so comes late when work piles up. By Little's law the attempts in
// flight over the responses per second are the delay that a new request meets; where that leaves no hope of
// its latency objective, it is rejected. It covers overload, stalls, lost servers and retry storms alike;
// it harms where latency is long by nature, not by waiting. Where requests are kept to zones, each zone has
// a bound of its own: work that piles up at one must not keep others idle.
func (e *Engine) isOverloaded(class int, zone string, priorityFactor float64) bool {
	value := e.relativeValue(class)
	if len(e.zones) > 0 {
		value *= e.relativePriority(priorityFactor)
	}
	objective := e.settings.Classes[class].LatencyObjective.Seconds()
	queueTime := queueTimeFraction * (1 + value) / 2 * objective // for all that is in flight
	if len(e.zones) > 0 {
		return e.areZonesOverloaded(zone, queueTime)
	}
	inFlight, servers := e.reachableInFlight()
	floor := minInFlightPerServer * servers / float64(e.settings.InstanceCount)
	bound := e.load.responseRate * queueTime
	isCertain := inFlight >= certainOverloadFactor*math.Max(bound, floor)
	if bound < minOwnSamples && e.gossip.rate > 1 && !isCertain {
		// Few attempts are in flight by chance or not: the fleet's means must say so too. They come seconds
		// late: what cannot be chance does not wait for them, or a burst would come in whole.
		responseRate := e.overload.fleetMeans[meanResponses] / sampleInterval.Seconds()
		fleetBound := math.Max(responseRate*queueTime, floor)
		return inFlight >= fleetBound && e.overload.fleetMeans[meanInFlight] >= fleetBound
	}
	return inFlight >= math.Max(bound, floor)
}

// areZonesOverloaded holds each zone to its own bound: what is in flight there must be answered within a
// time. It reports whether all the zones are overloaded that a request may go to: one, or all if none is
// named.
func (e *Engine) areZonesOverloaded(zone string, queueTime float64) bool {
	areOverloaded := true
	for name, z := range e.zones {
		bound := math.Max(z.responseRate*queueTime, minInFlightPerServer*z.servers*z.InFlightFraction)
		z.isOverloaded = z.servers == 0 || e.zoneInFlight(name) >= bound
		if zone == "" || zone == name {
			areOverloaded = areOverloaded && z.isOverloaded
		}
	}
	return areOverloaded
}

// relativeValue is what a class is worth for its work, as a share of the best class's.
func (e *Engine) relativeValue(class int) float64 {
	best := 0.0
	for c := range e.settings.Classes {
		best = math.Max(best, e.settings.Classes[c].PriorityWeight/e.expectedWork(c))
	}
	if best <= 0 {
		return 1
	}
	return e.settings.Classes[class].PriorityWeight / e.expectedWork(class) / best
}

// relativePriority is a plan's priority factor as a share of the highest.
func (e *Engine) relativePriority(priorityFactor float64) float64 {
	highest := priorityFactor
	for p := range e.settings.Plans {
		highest = math.Max(highest, e.settings.Plans[p].PriorityFactor)
	}
	if highest <= 0 {
		return 1
	}
	return priorityFactor / highest
}

// spareCapacityOccupancy is the occupancy up to which spare capacity may go to extras.
func (e *Engine) spareCapacityOccupancy() float64 {
	if e.usesAllServers() {
		return lowOccupancy
	}
	return lowSubsetOccupancy
}
