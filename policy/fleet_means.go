package policy

const (
	ownMeansWeight  = 0.05 // of an own sample in the fleet's means: a time constant of two seconds
	peerMeansWeight = 0.3  // of a peer's means in them
	minMeanSamples  = 20   // own samples, two seconds, after which the means are sent
)

// The fleet's means, per sample and node. Messages hold them in this order.
const (
	meanOccupancySum     = iota // sum of the readings of the occupancy
	meanOccupancySamples        // their number
	meanAccepted                // requests accepted
	meanResponses               // good responses
	meanInFlight                // young attempts in flight
	fleetMeanCount
)

// mergeMeans averages the figures of this or another node into the fleet's means.
func (c *overloadController) mergeMeans(weight float64, means [fleetMeanCount]float64) {
	for i := range means {
		c.fleetMeans[i] += weight * (means[i] - c.fleetMeans[i])
	}
}

// receiveMeans merges a peer's means. The first ones replace this node's, which begin at zero: when many nodes start
// together, all would otherwise admit too much at the same moment. Nodes that know nothing yet send zeros, which are
// ignored since they would lower the others' means.
func (c *overloadController) receiveMeans(means [fleetMeanCount]float64) {
	if means == [fleetMeanCount]float64{} {
		return
	}
	if !c.hasPeerMeans {
		c.hasPeerMeans = true
		c.mergeMeans(1, means)
		return
	}
	c.mergeMeans(peerMeansWeight, means)
}

// hasMeansToShare reports whether the node has received means or measured for long enough to send its own.
func (c *overloadController) hasMeansToShare() bool {
	return c.hasPeerMeans || c.sampleCount >= minMeanSamples
}
