package policy

import (
	"math"
)

const (
	minOwnSamples     = 10  // with fewer of its own a node goes by the fleet's means
	minLearnOccupancy = 0.1 // from here on mu max is sampled
	throughputWeight  = 0.1 // w, of a new sample in the average of mu max
)

// countAccepted counts a request that was sent to a server.
func (c *overloadController) countAccepted() { c.accepted[c.sampleIndex()]++ }

// addOccupancy enters one reading of the occupancy.
func (c *overloadController) addOccupancy(occupancy float64) {
	c.addOccupancies(occupancy, 1)
}

// addOccupancies enters several readings of the occupancy by their sum.
func (c *overloadController) addOccupancies(sum, count float64) {
	c.occupancySums[c.sampleIndex()] += sum
	c.occupancySamples[c.sampleIndex()] += count
}

// sampleIndex is the place of the open sample.
func (c *overloadController) sampleIndex() int { return c.sampleCount % samplesPerAssessment }

// estimate sets rho and alpha by the last k samples or, where these are too few, by the fleet's means.
func (c *overloadController) estimate() {
	var sum, count, accepted float64
	for i := range c.occupancySums {
		sum += c.occupancySums[i]
		count += c.occupancySamples[i]
		accepted += c.accepted[i]
	}
	c.acceptanceRate = accepted / samplesPerAssessment
	if count < minOwnSamples {
		sum, count = c.fleetMeans[meanOccupancySum], c.fleetMeans[meanOccupancySamples]
		c.acceptanceRate = c.fleetMeans[meanAccepted]
	}
	c.occupancy = 0
	if count > minOwnSamples*ownMeansWeight/25 {
		c.occupancy = math.Min(sum/count, 1)
	}
}

// learnThroughput samples mu max, which is alpha over rho.
func (c *overloadController) learnThroughput() {
	if c.occupancy < minLearnOccupancy {
		return
	}
	throughput := c.acceptanceRate / c.occupancy
	if c.maxThroughput == 0 {
		c.maxThroughput = throughput
		return
	}
	c.maxThroughput += throughputWeight * (throughput - c.maxThroughput)
}
