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
	e.responses++
	if zone != nil {
		zone.responses++
	}
	e.recordLatency(class, s, latency)
	if e.capacityFraction(s) < 1 || !s.acceptsRequests() || !s.inSubset {
		return
	}
	work := e.latencies.learnedWork(class)
	e.warmWork += work
	if zone != nil {
		zone.warmWork += work
	}
}

// updateRates takes what was counted in a sample into the rates, and lets fade what was learned of servers.
func (e *Engine) updateRates() {
	var weight float64
	keep := math.Exp(-sampleInterval.Seconds() / decayTime.Seconds())
	for _, s := range e.servers {
		if s.acceptsRequests() && s.inSubset && e.capacityFraction(s) >= 1 {
			weight += s.weight() * s.subsetCorrection
		}
		s.decay(keep)
	}
	if weight > 0 {
		e.warmRate += slowMeanWeight * (e.warmWork/weight/sampleInterval.Seconds() - e.warmRate)
	}
	// After a start the average is over what there is, or the first second would be rejected.
	share := math.Max(rateWeight, 1/(1+float64(e.now-e.startedAt)/float64(sampleInterval)))
	e.responseRate += share * (e.responses/sampleInterval.Seconds() - e.responseRate)
	e.gossip.closeSample()
	e.warmWork, e.responses = 0, 0
}
