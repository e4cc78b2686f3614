package policy

const (
	ownMeansWeight  = 0.05 // of an own sample in the fleet's means: about two seconds
	peerMeansWeight = 0.3  // of a peer's means in them
	minMeanSamples  = 20   // after which own means are worth sending: two seconds
)

// The figures of the fleet's means, per sample. Their order is that of the messages.
const (
	meanOccupancySum     = iota // sum of the readings of the occupancy
	meanOccupancySamples        // their number
	meanAccepted
	meanResponses
	meanInFlight
	fleetMeanCount
)

// mergeMeans takes figures of this or another node into the fleet's means.
func (c *overloadController) mergeMeans(weight float64, means [fleetMeanCount]float64) {
	for i := range means {
		c.fleetMeans[i] += weight * (means[i] - c.fleetMeans[i])
	}
}

// receiveMeans takes in a peer's means. The first that a node receives it takes as they are: after a herd of
// starts, means that all begin at zero would admit all at the same moment, and those of nodes that know nothing
// yet, which are sent as zeros, would lower what the others know.
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

// hasMeansToShare reports whether the node's means are worth sending: it has received some, or measured for long
// enough.
func (c *overloadController) hasMeansToShare() bool {
	return c.hasPeerMeans || c.sampleCount >= minMeanSamples
}
