package policy

import "math"

// loadMeter measures what this node has in flight and how fast it is answered.
type loadMeter struct {
	inFlight     int     // attempts that occupy servers
	overdue      float64 // of these, as of the last sample: past their latency objective, at responsive servers
	responses    float64 // good responses in the open sample
	responseRate float64 // good responses per second, moving average
	warmWork     float64 // work that warm servers completed in the open sample, in seconds
	warmRate     float64 // such work per second and unit of weight, moving average
}

// updateRates closes a sample. The weight is that of all warm servers together; the uptime counts in samples.
func (m *loadMeter) updateRates(warmWeight, uptime float64) {
	if warmWeight > 0 {
		m.warmRate += slowMeanWeight * (m.warmWork/warmWeight/sampleInterval.Seconds() - m.warmRate)
	}
	// After a start it is the mean of all samples: a rate that grows from 0 would reject the first second's requests.
	weight := math.Max(rateWeight, 1/(1+uptime))
	m.responseRate += weight * (m.responses/sampleInterval.Seconds() - m.responseRate)
	m.warmWork, m.responses = 0, 0
}
