package policy

import (
	"math"
	"time"
)

const (
	slowMeanWeight = 0.05            // of a new sample in the slow moving averages
	rateWeight     = 0.1             // of a sample in the rate of responses: about a second
	decayTime      = 5 * time.Second // time constant for forgetting what was learned of a server
)

// recordSuccess counts a good response and learns its latency. Only servers that count in the mean, and only
// work that is known, count for the rate of warm servers: responses of draining servers, or a guess that
// proves too high, would inflate what cold ones may be sent.
func (e *Engine) recordSuccess(class int, s *server, latency time.Duration) {
	zone := e.zones[s.Zone]
	e.load.responses++
	if zone != nil {
		zone.responses++
	}
	e.recordLatency(class, s, latency)
	if e.capacityFraction(s) < 1 || !s.acceptsRequests() || !s.inSubset {
		return
	}
	work := e.latencies.learnedWork(class)
	e.load.warmWork += work
	if zone != nil {
		zone.warmWork += work
	}
}

// updateRates takes what was counted in a sample into the rates, and lets fade what was learned of servers.
func (e *Engine) updateRates() {
	var warmWeight float64
	keep := math.Exp(-sampleInterval.Seconds() / decayTime.Seconds())
	for _, s := range e.servers.list {
		if s.acceptsRequests() && s.inSubset && e.capacityFraction(s) >= 1 {
			warmWeight += s.weight() * s.subsetCorrection
		}
		s.decay(keep)
	}
	e.load.updateRates(warmWeight, float64(e.now-e.startedAt)/float64(sampleInterval))
	e.gossip.closeSample()
}
