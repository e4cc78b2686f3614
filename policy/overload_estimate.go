package policy

import "math"

const (
	minOwnSamples     = 10  // readings of ρ; with fewer of its own a node uses the fleet's means
	minLearnOccupancy = 0.1 // ρ̂ from which µmax is sampled
	throughputWeight  = 0.1 // of a new sample in the moving average of µmax

	// minFleetSamples is the number of readings of ρ, per sample of the fleet's means, below which ρ̂ counts as 0.
	minFleetSamples = minOwnSamples * ownMeansWeight / 25
)

// countAccepted counts an accepted request, of which α is the rate.
func (c *overloadController) countAccepted() { c.accepted[c.sampleIndex()]++ }

// addOccupancy records one reading of ρ.
func (c *overloadController) addOccupancy(occupancy float64) {
	c.addOccupancies(occupancy, 1)
}

// addOccupancies records several readings of ρ by their sum. The count may be a fraction, as a weight.
func (c *overloadController) addOccupancies(sum, count float64) {
	c.occupancySums[c.sampleIndex()] += sum
	c.occupancySamples[c.sampleIndex()] += count
}

// sampleIndex returns the index of the open sample.
func (c *overloadController) sampleIndex() int { return c.sampleCount % samplesPerAssessment }

// estimate sets ρ̂ and α̂ to the means of the last k samples or, if these hold too few readings, of the fleet.
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
	if count > minFleetSamples {
		c.occupancy = math.Min(sum/count, 1)
	}
}

// learnThroughput updates µmax with a sample, α̂/ρ̂.
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
