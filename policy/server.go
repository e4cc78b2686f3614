package policy

import (
	"hash/fnv"
	"math"
	"time"
)

// minCapacityFraction is the lower limit of the capacity fraction, which is used as a divisor.
const minCapacityFraction = 0.01

// server is the engine's state of one server. Invariant: inFlight counts the attempts that the server is processing;
// the statistics are those of the server process that started at StartedAt, and are reset when the endpoint list shows
// a restart.
type server struct {
	Server
	isListed bool   // in the endpoint list and not removed
	gossipID uint16 // identifies it in findings sent to peers; not unique
	inFlight int    // attempts in flight

	// Load and latency, from which its cost is computed.
	latencyRatio   float64       // moving average of the latency as a multiple of its class's mean
	lastProgressAt time.Duration // clock reading of the last response, or of the first attempt when none was in flight
	queueLength    float64       // reported; below 0: not reported
	utilization    float64       // reported, moving average; below 0: not reported
	reportedAt     time.Duration // clock reading of the last report of the utilization; 0: none

	// Ejection of an outlier.
	failureRate          float64 // moving average, 0 to 1
	ejectedUntil         time.Duration
	consecutiveEjections int

	// Liveness.
	lastResponseAt    time.Duration     // clock reading of the last response of any kind
	isUnresponsive    bool              // no response since a failed attempt or check; avoided until it responds
	suspectedUntil    time.Duration     // until then considered down, by peers or by the detector of failed zones
	downReports       suspicionReports  // recent reports of peers that it is down
	upReports         suspicionReports  // recent reports of peers that it is up
	checksInFlight    []sentHealthCheck // oldest first
	lastHealthCheckAt time.Duration

	// Connections, as the engine estimates them.
	connectFailedAt     time.Duration   // last failure that may be due to a restart; 0: none
	connectFailures     []time.Duration // such failures, oldest first
	expectedConnections int             // connections that are assumed to be open
	lastUsedAt          time.Duration   // when a connection was last used

	warmup warmupBudget

	inSubset         bool    // in this node's subset
	subsetCorrection float64 // factor on its weight: above 1 if fewer nodes than average have it in their subset
}

// newServer returns a server without statistics.
func newServer(id string) *server {
	return &server{
		latencyRatio:     1,
		queueLength:      -1,
		utilization:      -1,
		warmup:           warmupBudget{work: -1},
		subsetCorrection: 1,
		gossipID:         gossipIDOf(id),
	}
}

// resetEjection clears the ejection of the server and the count of its ejections.
func (s *server) resetEjection() {
	s.ejectedUntil = 0
	s.consecutiveEjections = 0
}

// update sets the server's entry of the endpoint list. If the entry shows a restart, update resets the statistics of
// the earlier process.
func (s *server) update(listed Server) {
	if s.StartedAt != listed.StartedAt {
		s.resetEjection()
		s.failureRate = 0
		s.latencyRatio = 1
		s.queueLength = -1
		s.warmup.reset()
		s.isUnresponsive = false
		s.expectedConnections = 0
	}
	s.Server = listed
	s.isListed = listed.State != Removed
}

// isEjected reports whether the server is ejected or unresponsive. It gets a request only if all servers that can
// serve the request are ejected or unresponsive.
func (s *server) isEjected(now time.Duration) bool { return s.isUnresponsive || now < s.ejectedUntil }

// isSuspected reports whether this node or its peers consider the server down.
func (s *server) isSuspected(now time.Duration) bool {
	return s.isUnresponsive || now < s.suspectedUntil
}

// acceptsRequests reports whether the server is in the list and not draining.
func (s *server) acceptsRequests() bool { return s.isListed && s.State == Up }

// isWarmMember reports whether the server is a member of the subset that accepts requests at its full capacity.
func (s *server) isWarmMember(now time.Duration, settings *Settings) bool {
	return s.acceptsRequests() && s.inSubset && s.capacityFraction(now, settings) >= 1
}

// weight returns the server's relative size as listed, or 1 if that is not known.
func (s *server) weight() float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// decay moves the latency ratio and the failure rate of a server with nothing in flight towards their initial values.
// The fraction keep of the difference remains.
func (s *server) decay(keep float64) {
	if s.inFlight == 0 {
		s.latencyRatio = 1 + (s.latencyRatio-1)*keep
		s.failureRate *= keep
	}
}

// gossipIDOf returns the hash that identifies a server in findings. If two servers have the same hash, a confirmed
// finding about one causes a health check of both, and neither is suspected. See [failureDetector.recordPeerFinding].
func gossipIDOf(id string) uint16 {
	f := fnv.New32a()
	f.Write([]byte(id))
	h := f.Sum32()
	return uint16(h ^ h>>16)
}

// capacityFraction returns the server's current capacity as a fraction of its full capacity. It grows linearly from
// SlowStartMinFraction at the start of the server to 1 after SlowStartWindow. A failed connection counts as a start,
// since it may be due to a restart that the endpoint list does not show yet.
func (s *server) capacityFraction(now time.Duration, settings *Settings) float64 {
	startedAt := max(s.StartedAt, s.connectFailedAt)
	age := now - startedAt
	if startedAt == 0 || age >= settings.SlowStartWindow || settings.SlowStartWindow == 0 {
		return 1
	}
	least := settings.SlowStartMinFraction
	fraction := least + (1-least)*math.Max(age.Seconds(), 0)/settings.SlowStartWindow.Seconds()
	return math.Max(fraction, minCapacityFraction)
}
