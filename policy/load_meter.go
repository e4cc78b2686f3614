package policy

import (
	"math"
	"time"
)

const (
	slowMeanWeight = 0.05            // weight of a new value in the slow moving averages
	rateWeight     = 0.1             // weight of a sample in the response rate: a time constant of one second
	decayTime      = 5 * time.Second // time constant of the decay of a server's statistics
)

// throughput measures what servers complete for this node.
type throughput struct {
	responses    float64 // good responses in the open sample
	responseRate float64 // good responses per second, moving average
	warmWork     float64 // work that warm servers completed in the open sample, in seconds
	warmRate     float64 // warmWork per second and unit of weight, moving average
}

// record counts a good response and, if the server is warm, its work in seconds.
func (t *throughput) record(work float64, isWarm bool) {
	t.responses++
	if isWarm {
		t.warmWork += work
	}
}

// closeSample updates the rates with the counts of the open sample. The warm weight is the total weight of the warm
// servers; the response weight is the weight of the sample in the response rate. Without warm servers, warmRate stays
// unchanged.
func (t *throughput) closeSample(warmWeight, responseWeight float64) {
	if warmWeight > 0 {
		t.warmRate += slowMeanWeight * (t.warmWork/warmWeight/sampleInterval.Seconds() - t.warmRate)
	}
	t.responseRate += responseWeight * (t.responses/sampleInterval.Seconds() - t.responseRate)
	t.warmWork, t.responses = 0, 0
}

// loadMeter measures this node's attempts in flight and the rate at which they are answered.
type loadMeter struct {
	throughput
	inFlight int     // attempts that count as load of servers
	overdue  float64 // attempts past their latency objective at responsive servers, as of the last sample
}

// recordResponse records a good response, also in its zone if that has limits. Its work, in seconds, counts only for
// warm members of the subset, and is 0 while it is not known: work of draining servers, or an estimate that is too
// high, would inflate the budget of servers in slow start.
func (m *loadMeter) recordResponse(zone *zoneState, knownWork float64, isWarmMember bool) {
	m.record(knownWork, isWarmMember)
	if zone != nil {
		zone.record(knownWork, isWarmMember)
	}
}

// addInFlight counts an attempt as in flight at a server.
func (m *loadMeter) addInFlight(s *server) {
	s.inFlight++
	m.inFlight++
}

// removeInFlight reverses addInFlight.
func (m *loadMeter) removeInFlight(s *server) {
	s.inFlight--
	m.inFlight--
}

// updateRates closes a sample. The warm weight is the total weight of the warm members of the subset; the uptime is in
// samples. After a start the response rate is the mean of all samples, since an average that grows from 0 would
// cause requests of the first second to be rejected.
func (m *loadMeter) updateRates(warmWeight, uptime float64) {
	m.closeSample(warmWeight, math.Max(rateWeight, 1/(1+uptime)))
}
