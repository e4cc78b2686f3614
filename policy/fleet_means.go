package policy

const (
	ownMeansWeight  = 0.05 // of an own sample in the fleet's means: about two seconds
	peerMeansWeight = 0.3  // of a peer's means in them
)

// mergeMeans takes figures of this or another gateway into the mean that goes with asks and answers.
func (c *overloadController) mergeMeans(share float64, x [fleetMeanCount]float64) {
	for i := range x {
		c.fleetMeans[i] += share * (x[i] - c.fleetMeans[i])
	}
}

// receiveMeans takes in a peer's figures. The first that a gateway hears it takes as they are: after a herd
// of starts, means that all begin at nought would let all in at the same moment, and those of gateways that
// know nothing yet, which are told as noughts, would lower what the others know.
func (c *overloadController) receiveMeans(x [fleetMeanCount]float64) {
	if x == [fleetMeanCount]float64{} {
		return
	}
	share := peerMeansWeight
	if !c.hasPeerMeans {
		c.hasPeerMeans, share = true, 1
	}
	c.mergeMeans(share, x)
}

// hasMeans tells whether the gateway's means are worth telling: it has heard some, or measured for long
// enough.
func (c *overloadController) hasMeans() bool {
	return c.hasPeerMeans || c.sampleCount >= minMeanSamples
}

// minMeanSamples is the probes after which a gateway's own means are worth telling: two seconds.
const minMeanSamples = 20

// What goes into the pool.
const (
	meanOccupancySum     = iota // sum of the samples of the occupancy
	meanOccupancySamples        // their number
	meanAccepted
	meanResponses
	meanInFlight
	fleetMeanCount
)
