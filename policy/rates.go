package policy

import (
	"math"
	"time"
)

const (
	slowMeanWeight = 0.05            // of a new value in the slow moving averages
	rateWeight     = 0.1             // of a sample in the rate of responses: a time constant of one second
	decayTime      = 5 * time.Second // time constant for forgetting what was learned of a server
)

// recordSuccess records a good response and its latency. The rate of warm servers counts only warm members of the
// subset and only work that is known: draining servers, or an estimate that is too high, would inflate the budget of
// servers that warm up.
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

// updateRates updates the rates with the counts of a sample, and decays what was learned of servers.
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
