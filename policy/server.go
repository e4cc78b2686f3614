package policy

import (
	"hash/fnv"
	"math"
	"time"
)

// minCapacityFraction is what a server that has just started has at least.
const minCapacityFraction = 0.01

// server is what is known of one server.
// Invariant: inFlight counts the attempts that it is at work on; what was learned of it is of the process that
// began at StartedAt, and is forgotten once the endpoint list tells of a restart.
type server struct {
	Server
	isListed bool
	gossipID uint16 // names it in findings to peers
	inFlight int    // attempts in flight

	// Load and latency, for its cost.
	latencyRatio   float64       // moving average of the latency as a multiple of its class's mean
	lastProgressAt time.Duration // last response or first attempt in flight
	queueLength    float64       // reported; below 0: not reported
	utilization    float64       // reported, moving average; below 0: not reported
	reportedAt     time.Duration // last report of the utilization

	// Ejection of an outlier.
	failureRate          float64 // moving average
	ejectedUntil         time.Duration
	consecutiveEjections int

	// Signs of life.
	lastHeardAt       time.Duration       // last response of any kind
	isUnresponsive    bool                // nothing sent of late was answered: it gets no request until it responds
	suspectedUntil    time.Duration       // until then peers, or its whole zone, say that it is down
	suspicionReports  [2]suspicionReports // which peers said of late that it is down, and that it is up
	healthCheckSince  time.Duration       // a connection failed then, and a check was sent to see why; 0: none
	lastHealthCheckAt time.Duration

	// Connections, as far as can be told from here.
	connectFailedAt     time.Duration   // last one that did not come up, and may tell of a restart; 0: none
	connectFailures     []time.Duration // all of these, oldest first
	expectedConnections int             // that should be open
	lastUsedAt          time.Duration   // when one was last of use

	warmup warmupBudget

	inSubset         bool    // in this node's subset
	subsetCorrection float64 // how much oftener it is chosen than by weight, as fewer nodes have it in theirs
}

// newServer returns a server of which nothing is known.
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

// update takes over an entry of the endpoint list. A restarted server is another one: nothing learned of it
// holds.
func (s *server) update(listed Server) {
	if s.StartedAt != listed.StartedAt {
		s.failureRate, s.consecutiveEjections, s.ejectedUntil = 0, 0, 0
		s.latencyRatio, s.queueLength = 1, -1
		s.warmup.reset()
		s.isUnresponsive = false
		s.expectedConnections = 0
	}
	s.Server, s.isListed = listed, listed.State != Removed
}

// isEjected reports whether the server is kept for when no other is left.
func (s *server) isEjected(now time.Duration) bool { return s.isUnresponsive || now < s.ejectedUntil }

// isSuspected reports whether the server is held to be down, by this node or by its peers.
func (s *server) isSuspected(now time.Duration) bool {
	return s.isUnresponsive || now < s.suspectedUntil
}

// acceptsRequests reports whether the server is in the list and not draining.
func (s *server) acceptsRequests() bool { return s.isListed && s.State == Up }

// weight is the server's relative size as listed.
func (s *server) weight() float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// decay forgets what was learned of a server that has nothing in flight.
func (s *server) decay(keep float64) {
	if s.inFlight == 0 {
		s.latencyRatio = 1 + (s.latencyRatio-1)*keep
		s.failureRate *= keep
	}
}

// gossipIDOf names a server in findings. Two that share an ID are checked for each other's sake, and no more.
func gossipIDOf(id string) uint16 {
	f := fnv.New32a()
	f.Write([]byte(id))
	h := f.Sum32()
	return uint16(h ^ h>>16)
}

// capacityFraction grows from SlowStartMinFraction at the server's start to 1 over SlowStartWindow. A failed
// connection may tell of a start that the endpoint list has not told of yet.
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
