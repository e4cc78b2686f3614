package policy

import (
	"math"
	"time"
)

// Overload control by ARO, "Acceptance-Rate Occupancy", of "Fast and Robust Signaling Overload Control"
// (section 4.3), with its deterministic throttling (4.4). Comments name the paper's symbols. Not the paper's:
// f starts at 1, fA acts from highOccupancy on and once µmax is known, K = k, and a bound on work in flight.
const (
	sampleInterval        = 100 * time.Millisecond // probe interval
	samplesPerAssessment  = 5                      // k (paper: 10), shorter to follow bursts
	occupancyTarget       = 0.95                   // ρtarg
	maxGrowth             = 1.3                    // φmax
	minAdmitFraction      = 0.1                    // fmin, so that a recovery is always noticed
	highOccupancy         = 0.8                    // ρ from which fA acts as well as fO
	lowOccupancy          = 0.5                    // ρ up to which requests beyond quotas may be forwarded
	lowSubsetOccupancy    = 0.7                    // the same with a subset of the servers
	queueTimeFraction     = 0.3                    // of a latency objective, for what is in flight
	minInFlightPerServer  = 2.0                    // lower limit of the bound, over all nodes
	certainOverloadFactor = 3.0                    // multiple of the bound that is no random fluctuation
	minOccupancy          = 1e-9                   // as a divisor
)

// assessmentInterval is the time between assessments.
const assessmentInterval = samplesPerAssessment * sampleInterval

// overloadController is ARO: of the requests that quotas admit, it admits the fraction that the servers can
// take. A node with too few samples of its own uses the means over the fleet.
// Invariant: minAdmitFraction <= admitFraction <= 1 once started; 0 <= throttleCredit < 1 between requests.
type overloadController struct {
	admitFraction  float64 // f
	throttleCredit float64 // r
	occupancy      float64 // ρ̂ of the last assessment, 0 to 1
	acceptanceRate float64 // α̂ of the last assessment, in requests per sample
	maxThroughput  float64 // µmax, moving average, in requests per sample; 0: not known

	sampleCount      int                           // samples closed so far
	occupancySums    [samplesPerAssessment]float64 // of each sample: sum of the readings of ρ
	occupancySamples [samplesPerAssessment]float64 // their number
	accepted         [samplesPerAssessment]float64 // requests accepted

	hasPeerMeans bool
	fleetMeans   [fleetMeanCount]float64 // per sample, over this node and its peers
}

// admit applies the throttle to one request and reports whether it is admitted.
func (c *overloadController) admit() bool {
	c.throttleCredit += c.admitFraction
	if c.throttleCredit < 1 {
		return false
	}
	c.throttleCredit--
	return true
}

// closeSample ends a sample, in which so many good responses came and at whose end so many attempts are in
// flight. Every k-th one is followed by an assessment.
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

// assess sets f to the smaller of fA and fO.
func (c *overloadController) assess() {
	c.estimate()
	fO := c.fractionByOccupancy()
	fA := c.fractionByAcceptanceRate()
	c.admitFraction = math.Min(fA, fO)
	c.learnThroughput()
}

// fractionByOccupancy returns fO.
func (c *overloadController) fractionByOccupancy() float64 {
	phi := math.Min(occupancyTarget/math.Max(c.occupancy, minOccupancy), maxGrowth)
	return clampFraction(phi * c.admitFraction)
}

// fractionByAcceptanceRate returns fA, with αtarg = ρtarg·µmax, or 1 while it does not act.
func (c *overloadController) fractionByAcceptanceRate() float64 {
	if c.maxThroughput <= 0 || c.occupancy < highOccupancy || c.acceptanceRate <= 0 {
		return 1
	}
	return clampFraction(occupancyTarget * c.maxThroughput / c.acceptanceRate * c.admitFraction)
}

// clampFraction keeps f between fmin and 1.
func clampFraction(f float64) float64 { return math.Min(math.Max(f, minAdmitFraction), 1) }

// isOverloaded reports whether too much work is in flight for a new request: an exception to ARO, whose f
// reacts to responses and so is late when work queues up. By Little's law the attempts in flight over the
// responses per second are the delay of a new request; if that is too long for its latency objective, it is
// rejected. This covers overload, stalls, failed servers and retry storms. It is wrong for latency that is
// long without queueing. Where zones have limits, each has its own bound, so that one cannot idle the others.
func (e *Engine) isOverloaded(class int, zone string, priorityFactor float64) bool {
	value := e.relativeValue(class)
	if len(e.zones) > 0 {
		value *= e.relativePriority(priorityFactor)
	}
	objective := e.settings.Classes[class].LatencyObjective.Seconds()
	queueTime := queueTimeFraction * (1 + value) / 2 * objective // seconds, for all that is in flight
	if len(e.zones) > 0 {
		return e.areZonesOverloaded(zone, queueTime)
	}
	inFlight, servers := e.reachableInFlight()
	floor := minInFlightPerServer * servers / float64(e.settings.InstanceCount)
	bound := e.load.responseRate * queueTime
	isCertain := inFlight >= certainOverloadFactor*math.Max(bound, floor)
	if bound < minOwnSamples && e.gossip.rate > 1 && !isCertain {
		// With few attempts in flight the bound may be passed at random: the fleet's means, which lag by
		// seconds, must pass it too.
		responseRate := e.overload.fleetMeans[meanResponses] / sampleInterval.Seconds()
		fleetBound := math.Max(responseRate*queueTime, floor)
		return inFlight >= fleetBound && e.overload.fleetMeans[meanInFlight] >= fleetBound
	}
	return inFlight >= math.Max(bound, floor)
}

// areZonesOverloaded compares each zone with its own bound: what is in flight must be answered within the
// queue time, in seconds. It reports whether the named zone or, for an empty name, every zone is overloaded.
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

// relativeValue returns a class's priority weight per work, as a fraction of the highest of all classes.
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

// relativePriority returns a plan's priority factor as a fraction of the highest of all plans.
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

// spareCapacityOccupancy returns the occupancy up to which requests beyond quotas may be forwarded.
func (e *Engine) spareCapacityOccupancy() float64 {
	if e.usesAllServers() {
		return lowOccupancy
	}
	return lowSubsetOccupancy
}
