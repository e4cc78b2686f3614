package overload

import "math"

const (
	minOwnReadings    = 10  // readings of ρ; a node with fewer of its own uses the fleet's means
	minLearnOccupancy = 0.1 // ρ̂ from which µmax is updated
	throughputWeight  = 0.1 // weight of a new sample in the moving average of µmax

	// minFleetReadings is the number of readings of ρ, per sample of the fleet's means, below which ρ̂ counts as 0.
	minFleetReadings = minOwnReadings * ownMeansWeight / 25
)

// CountAccepted counts an accepted request; α is the rate of accepted requests.
func (c *Controller) CountAccepted() { c.accepted[c.sampleIndex()]++ }

// AddReading records one reading of ρ, 0 to 1.
func (c *Controller) AddReading(occupancy float64) {
	c.AddReadings(occupancy, 1)
}

// AddReadings records several readings of ρ by their sum. The count may be a fraction, as a weight.
func (c *Controller) AddReadings(sum, count float64) {
	c.occupancySums[c.sampleIndex()] += sum
	c.occupancySamples[c.sampleIndex()] += count
}

// sampleIndex returns the index of the open sample.
func (c *Controller) sampleIndex() int { return c.sampleCount % samplesPerAssessment }

// estimate sets ρ̂ and α̂ to the means of the last k samples or, if these hold too few readings, of the fleet.
func (c *Controller) estimate() {
	var sum, count, accepted float64
	for i := range c.occupancySums {
		sum += c.occupancySums[i]
		count += c.occupancySamples[i]
		accepted += c.accepted[i]
	}
	c.acceptanceRate = accepted / samplesPerAssessment
	if count < minOwnReadings {
		sum, count = c.fleetMeans[MeanReadingSum], c.fleetMeans[MeanReadings]
		c.acceptanceRate = c.fleetMeans[MeanAccepted]
	}
	c.occupancy = 0
	if count > minFleetReadings {
		c.occupancy = math.Min(sum/count, 1)
	}
}

// learnThroughput updates µmax with a sample, α̂/ρ̂.
func (c *Controller) learnThroughput() {
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
