package policy

import (
	"math"
	"time"
)

const (
	failureWeight     = 0.2                    // weight of a new outcome in a server's failure rate
	timeoutFailure    = 0.5                    // value of a timeout in the failure rate, since its cause may be load
	ejectionThreshold = 0.35                   // failure rate above which a server is ejected: two consecutive failures
	minEjectionTime   = 500 * time.Millisecond // duration of the first ejection; doubles up to maxEjectionTime
	maxEjectionTime   = 8 * time.Second
	maxEjectionShift  = 10   // doublings after which the ejection time no longer grows
	minMeanLatency    = 1e-3 // seconds, as a divisor
)

// failureOf returns the value of a result in a server's failure rate, 0 to 1.
func failureOf(result Result) float64 {
	switch result {
	case OK:
		return 0
	case TimedOut:
		return timeoutFailure
	}
	return 1
}

// recordOutcome updates the failure rate with an attempt's result, and ejects the server if the rate is too high or if
// no connection could be established. It reports whether the server has just been ejected.
func (s *server) recordOutcome(now time.Duration, result Result) (ejected bool) {
	s.failureRate += failureWeight * (failureOf(result) - s.failureRate)
	if now < s.ejectedUntil || s.failureRate <= ejectionThreshold && result != ConnectFailed {
		return false
	}
	s.ejectedUntil = now + ejectionTime(s.consecutiveEjections)
	s.consecutiveEjections++
	s.failureRate = ejectionThreshold / 2
	return true
}

// ejectionTime returns how long a server is ejected after a number of earlier ejections without a good response since.
func ejectionTime(consecutiveEjections int) time.Duration {
	return min(minEjectionTime<<min(consecutiveEjections, maxEjectionShift), maxEjectionTime)
}

// recordRejection ejects a server for the length of one sample, since it rejected an attempt for lack of capacity.
func (s *server) recordRejection(now time.Duration) {
	s.ejectedUntil = max(s.ejectedUntil, now+sampleInterval)
}

// recordTimeout records the time that an attempt waited without a response as a latency of the server.
func (s *server) recordTimeout(waited time.Duration, meanLatency float64) {
	ratio := waited.Seconds() / math.Max(meanLatency, minMeanLatency)
	s.latencyRatio += latencyWeight * (ratio - s.latencyRatio)
}
