// Package overload implements ARO, "Acceptance-Rate Occupancy", of "Fast and Robust Signaling Overload Control"
// (section 4.3), with its deterministic throttling (4.4), and a separate bound on work in flight. It does no I/O: the
// caller closes a sample every [SampleInterval].
//
// Comments use the paper's symbols. The package differs from the paper as follows: f starts at 1, fA applies from
// highOccupancy on and once µmax is known, K = k, and the bound on work in flight is added.
package overload

import (
	"math"
	"time"
)

// SampleInterval is the time between samples, the paper's probe interval.
const SampleInterval = 100 * time.Millisecond

// AssessmentInterval is the time between assessments.
const AssessmentInterval = samplesPerAssessment * SampleInterval

const (
	samplesPerAssessment = 5    // k (paper: 10)
	occupancyTarget      = 0.95 // ρtarg
	maxGrowth            = 1.3  // φmax
	minAdmitFraction     = 0.1  // fmin, so that a recovery is always noticed
	highOccupancy        = 0.8  // ρ from which fA applies as well as fO
	lowOccupancy         = 0.5  // ρ up to which requests beyond quotas may be forwarded
	lowSubsetOccupancy   = 0.7  // the same with a subset of the servers
	minOccupancy         = 1e-9 // lower limit of ρ̂ as a divisor
)

// Controller implements ARO: of the requests that quotas admit, it admits the fraction that the servers have capacity
// for. A node with too few samples of its own uses the means over the fleet. A Controller is not safe for concurrent
// use. Invariant: minAdmitFraction <= admitFraction <= 1 once started; 0 <= throttleCredit < 1 between requests.
type Controller struct {
	admitFraction  float64 // f
	throttleCredit float64 // r
	occupancy      float64 // ρ̂ of the last assessment, 0 to 1
	acceptanceRate float64 // α̂ of the last assessment, in requests per sample
	maxThroughput  float64 // µmax, moving average, in requests per sample; 0: not known

	sampleCount      int                           // samples closed so far
	occupancySums    [samplesPerAssessment]float64 // sum of the readings of ρ, by sample
	occupancySamples [samplesPerAssessment]float64 // number of the readings of ρ, by sample
	accepted         [samplesPerAssessment]float64 // requests accepted, by sample

	hasPeerMeans bool
	fleetMeans   Means // per sample, over this node and its peers
}

// Start makes the controller admit all requests until its first assessment.
func (c *Controller) Start() { c.admitFraction = 1 }

// AdmitFraction returns f, the fraction of requests admitted, 0 to 1.
func (c *Controller) AdmitFraction() float64 { return c.admitFraction }

// Occupancy returns ρ̂ of the last assessment, 0 to 1.
func (c *Controller) Occupancy() float64 { return c.occupancy }

// Admit applies the throttle to one request and reports whether it is admitted.
func (c *Controller) Admit() bool {
	c.throttleCredit += c.admitFraction
	if c.throttleCredit < 1 {
		return false
	}
	c.throttleCredit--
	return true
}

// CloseSample ends a sample, given the number of good responses received in it and the number of young attempts in
// flight at its end. Every k-th sample is followed by an assessment. CloseSample reports whether throttling has just
// started.
func (c *Controller) CloseSample(responses, inFlight float64) (startedThrottling bool) {
	before := c.admitFraction
	i := c.sampleIndex()
	c.mergeMeans(ownMeansWeight, Means{c.occupancySums[i], c.occupancySamples[i], c.accepted[i], responses, inFlight})
	c.sampleCount++
	if c.sampleIndex() == 0 {
		c.assess()
	}
	i = c.sampleIndex()
	c.occupancySums[i], c.occupancySamples[i], c.accepted[i] = 0, 0, 0
	return before >= 1 && c.admitFraction < 1
}

// assess sets f to the smaller of fA and fO.
func (c *Controller) assess() {
	c.estimate()
	fO := c.fractionByOccupancy()
	fA := c.fractionByAcceptanceRate()
	c.admitFraction = math.Min(fA, fO)
	c.learnThroughput()
}

// fractionByOccupancy returns fO.
func (c *Controller) fractionByOccupancy() float64 {
	phi := math.Min(occupancyTarget/math.Max(c.occupancy, minOccupancy), maxGrowth)
	return clampFraction(phi * c.admitFraction)
}

// fractionByAcceptanceRate returns fA, with αtarg = ρtarg·µmax, or 1 while fA does not apply.
func (c *Controller) fractionByAcceptanceRate() float64 {
	if c.maxThroughput <= 0 || c.occupancy < highOccupancy || c.acceptanceRate <= 0 {
		return 1
	}
	return clampFraction(occupancyTarget * c.maxThroughput / c.acceptanceRate * c.admitFraction)
}

// clampFraction clamps f to the range from fmin to 1.
func clampFraction(f float64) float64 { return math.Min(math.Max(f, minAdmitFraction), 1) }

// HasSpareCapacity reports whether the servers have capacity for requests beyond quotas.
func (c *Controller) HasSpareCapacity(usesAllServers bool) bool {
	limit := lowOccupancy
	if !usesAllServers {
		limit = lowSubsetOccupancy
	}
	return c.occupancy < limit && c.admitFraction >= 1
}

// IsHighlyOccupied reports whether the occupancy is so high that late requests are rejected and no hedged requests are
// sent.
func (c *Controller) IsHighlyOccupied() bool { return c.occupancy >= highOccupancy }
