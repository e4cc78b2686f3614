package policy

import "math"

// loadMeter measures what this node has in flight and how fast it is answered.
type loadMeter struct {
	inFlight     int     // attempts at work at servers
	overdue      float64 // of these, as of the last sample: past their objective, at responsive servers
	responses    float64 // good ones in this sample
	responseRate float64 // a second, moving average
	warmWork     float64 // work answered by warm servers in this sample, in seconds
	warmRate     float64 // by one of unit weight a second, moving average
}

// updateRates ends a sample, in which warm servers of some weight together were available; uptime counts in
// samples.
func (m *loadMeter) updateRates(warmWeight, uptime float64) {
	if warmWeight > 0 {
		m.warmRate += slowMeanWeight * (m.warmWork/warmWeight/sampleInterval.Seconds() - m.warmRate)
	}
	// After a start the average is over what there is, or the first second would be rejected.
	weight := math.Max(rateWeight, 1/(1+uptime))
	m.responseRate += weight * (m.responses/sampleInterval.Seconds() - m.responseRate)
	m.warmWork, m.responses = 0, 0
}
