package overload

const (
	ownMeansWeight  = 0.05 // weight of an own sample in the fleet's means: a time constant of two seconds
	peerMeansWeight = 0.3  // weight of a peer's means in the fleet's means
	minMeanSamples  = 20   // own samples, over two seconds, after which the means are sent
)

// Means are the fleet's means per sample and node, indexed by the Mean constants. Messages contain them in this order.
type Means [meanCount]float64

// The indexes of [Means].
const (
	MeanReadingSum = iota // sum of the readings of the occupancy
	MeanReadings          // number of these readings
	MeanAccepted          // requests accepted
	MeanResponses         // good responses
	MeanInFlight          // young attempts in flight
	meanCount
)

// FleetMeans returns the means over this node and its peers.
func (c *Controller) FleetMeans() Means { return c.fleetMeans }

// mergeMeans averages the figures of this or another node into the fleet's means.
func (c *Controller) mergeMeans(weight float64, means Means) {
	for i := range means {
		c.fleetMeans[i] += weight * (means[i] - c.fleetMeans[i])
	}
}

// ReceiveMeans merges a peer's means. The first means received replace this node's, which start at zero: when many
// nodes start together, all would otherwise admit too much at the same moment. Nodes without measurements send zeros,
// which are ignored since they would lower the other nodes' means.
func (c *Controller) ReceiveMeans(means Means) {
	if means == (Means{}) {
		return
	}
	if !c.hasPeerMeans {
		c.hasPeerMeans = true
		c.mergeMeans(1, means)
		return
	}
	c.mergeMeans(peerMeansWeight, means)
}

// HasMeansToShare reports whether the node has received means or measured for long enough to send its own.
func (c *Controller) HasMeansToShare() bool {
	return c.hasPeerMeans || c.sampleCount >= minMeanSamples
}
