package policy

import (
	"math"
	"time"
)

// Overload control, after the paper "ARO"; its figures where the paper gives them.
const (
	sampleInterval        = 100 * time.Millisecond // between samples of the occupancy: the paper's figure
	samplesPerAssessment  = 5                      // the paper's k: half a second follows short bursts
	occupancyTarget       = 0.95                   // the paper's figure
	maxGrowth             = 1.3                    // the paper's phi max: growth of f in one assessment
	minAdmitFraction      = 0.1                    // the paper's f min, so that recovery is always seen
	throughputWeight      = 0.1                    // of a new sample in the average of mu max
	highOccupancy         = 0.8                    // from here on fA, by the throughput, acts as well
	lowOccupancy          = 0.5                    // up to here spare capacity may go to extras
	lowSubsetOccupancy    = 0.7                    // the same with a subset of the servers
	minLearnOccupancy     = 0.1                    // from here on mu max is sampled
	minOwnSamples         = 10                     // with fewer of its own a node goes by the fleet's means
	queueTimeFraction     = 0.3                    // of a latency objective that those in flight may take
	minInFlightPerServer  = 2.0                    // that the bound always leaves, over all nodes
	certainOverloadFactor = 3.0                    // times the bound that cannot be in flight by chance
)

// overloadController is the state of the overload control.
type overloadController struct {
	admitFraction, throttleCredit   float64
	occupancySums, occupancySamples [samplesPerAssessment]float64
	sent                            [samplesPerAssessment]float64
	sampleCount                     int
	occupancy, forwardRate          float64
	maxThroughput                   float64
	hasPeerMeans                    bool
	fleetMeans                      [fleetMeanCount]float64 // per sample, over this node and its peers
}

// admit takes one request's part of the admit fraction and tells whether the request may go on.
func (a *overloadController) admit() bool {
	a.throttleCredit += a.admitFraction
	if a.throttleCredit < 1 {
		return false
	}
	a.throttleCredit--
	return true
}

// closeSample closes a probe, and every k probes sets f.
func (a *overloadController) closeSample(oks, held float64) {
	i := a.sampleIndex()
	own := [fleetMeanCount]float64{a.occupancySums[i], a.occupancySamples[i], a.sent[i], oks, held}
	a.mergeMeans(ownMeansWeight, own)
	if a.sampleCount++; a.sampleIndex() == 0 {
		var occ, n, sent float64
		for i := range a.occupancySums {
			occ, n, sent = occ+a.occupancySums[i], n+a.occupancySamples[i], sent+a.sent[i]
		}
		a.forwardRate = sent / samplesPerAssessment
		if n < minOwnSamples { // too few of its own: by the mean over the gateways it hears from
			occ, n = a.fleetMeans[meanOccupancySum], a.fleetMeans[meanOccupancySamples]
			a.forwardRate = a.fleetMeans[meanForwarded]
		}
		if a.occupancy = 0; n > minOwnSamples*ownMeansWeight/25 {
			a.occupancy = math.Min(occ/n, 1)
		}
		growth := math.Min(occupancyTarget/math.Max(a.occupancy, 1e-9), maxGrowth)
		fO := clampFraction(growth * a.admitFraction)
		fA := 1.0
		if a.maxThroughput > 0 && a.occupancy >= highOccupancy && a.forwardRate > 0 {
			fA = clampFraction(occupancyTarget * a.maxThroughput / a.forwardRate * a.admitFraction)
		}
		a.admitFraction = math.Min(fA, fO)
		if a.occupancy >= minLearnOccupancy {
			if mu := a.forwardRate / a.occupancy; a.maxThroughput == 0 {
				a.maxThroughput = mu
			} else {
				a.maxThroughput += throughputWeight * (mu - a.maxThroughput)
			}
		}
	}
	a.occupancySums[a.sampleIndex()], a.occupancySamples[a.sampleIndex()], a.sent[a.sampleIndex()] = 0, 0, 0
}

func (a *overloadController) sampleIndex() int { return a.sampleCount % samplesPerAssessment }

// addOccupancy enters one reading of the occupancy into the present probe.
func (a *overloadController) addOccupancy(rho float64) {
	a.occupancySums[a.sampleIndex()] += rho
	a.occupancySamples[a.sampleIndex()]++
}

func clampFraction(f float64) float64 { return math.Min(math.Max(f, minAdmitFraction), 1) }

// isOverloaded is an exception to ARO, whose f follows what has been answered and so comes late when work
// piles up. By Little's law the attempts out over the answers per second are the delay that a new
// request meets; where that leaves no hope of its aim, it is refused. It covers overload, stalls,
// lost servers and retry storms alike; it harms where latency is long by nature, not by waiting.
// Where requests are kept to zones, each zone has a bound of its own: work that piles up at one must not keep
// others idle.
func (e *Engine) isOverloaded(class int, zone string, price float64) bool {
	c, value := &e.settings.Classes[class], e.relativeValue(class)
	if len(e.zones) > 0 {
		value *= e.relativePriority(price)
		return e.areZonesOverloaded(zone, queueTimeFraction*(1+value)/2*c.LatencyObjective.Seconds())
	}
	answered := queueTimeFraction * (1 + value) / 2 * c.LatencyObjective.Seconds() // for all that is out
	bound := e.responseRate * answered
	out, servers := e.reachableInFlight()
	floor := minInFlightPerServer * servers / float64(e.settings.InstanceCount)
	if bound < minOwnSamples && e.gossipRate > 1 && out < certainOverloadFactor*math.Max(bound, floor) {
		// Few attempts are out by chance or not: the mean over the gateways it hears from must say so too.
		// That comes seconds late: what can't be chance doesn't wait for it, or a burst would come in whole.
		bound = e.overload.fleetMeans[meanResponses] / sampleInterval.Seconds() * answered
		return out >= math.Max(bound, floor) && e.overload.fleetMeans[meanInFlight] >= math.Max(bound, floor)
	}
	return out >= math.Max(bound, floor)
}

// areZonesOverloaded holds each zone to its own bound: what is out there must be answered within a time.
func (e *Engine) areZonesOverloaded(zone string, answered float64) bool {
	jammed := true
	for name, z := range e.zones {
		bound := math.Max(z.responseRate*answered, minInFlightPerServer*z.servers*z.InFlightFraction)
		z.isOverloaded = z.servers == 0 || e.zoneInFlight(name) >= bound
		jammed = jammed && (z.isOverloaded || zone != "" && zone != name)
	}
	return jammed
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

// relativePriority is a plan's price as a share of the dearest.
func (e *Engine) relativePriority(price float64) float64 {
	dearest := price
	for p := range e.settings.Plans {
		dearest = math.Max(dearest, e.settings.Plans[p].PriorityFactor)
	}
	if dearest <= 0 {
		return 1
	}
	return price / dearest
}

// spareCapacityOccupancy is the occupancy up to which spare capacity may go to extras.
func (e *Engine) spareCapacityOccupancy() float64 {
	if e.usesAllServers() {
		return lowOccupancy
	}
	return lowSubsetOccupancy
}
