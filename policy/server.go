package policy

import (
	"hash/fnv"
	"time"
)

// server is what is known of one server.
type server struct {
	Server
	inFlight             int           // attempts out
	latencyRatio         float64       // latency as a multiple of its class's mean, averaged
	lastProgressAt       time.Duration // last answer or first attempt out
	failureRate          float64       // share of failures, averaged
	ejectedUntil         time.Duration // ejected until then
	consecutiveEjections int           // ejections in a row
	queueLength          float64       // reported queue
	utilization          float64       // reported busy share, averaged; below 0: not reported
	warmupBudget         float64       // work that may be sent while cold; below 0: not begun
	budgetUpdatedAt      time.Duration
	isListed             bool
	reportedAt           time.Duration
	connectFailedAt      time.Duration       // last connection that did not come up, and may tell of a restart
	connectFailures      []time.Duration     // all of these, oldest first
	lastHeardAt          time.Duration       // last sign of life: an answer of any kind
	healthCheckSince     time.Duration       // a connection failed then, and a probe was sent at once to see why; 0: none is out
	lastHealthCheckAt    time.Duration       // last probe
	isUnresponsive       bool                // silent to all that was sent of late: out until it is heard
	gossipID             uint16              // names it in notes to peers
	suspicionReports     [2]suspicionReports // who said of late that it is silent, and that it answers again
	suspectedUntil       time.Duration       // until then, peers hold it to be silent
	expectedConnections  int                 // connections that should stand, as far as the module can tell
	lastUsedAt           time.Duration       // when one was last of use
	inSubset             bool                // in this gateway's part of the servers
	subsetCorrection     float64             // how much oftener it is asked than by its weight, since fewer gateways than others have it in their part
}

// isEjected tells whether the server is kept for when no other is left.
func (s *server) isEjected(now time.Duration) bool { return s.isUnresponsive || now < s.ejectedUntil }

// acceptsRequests tells whether the server is in the list and not draining.
func (s *server) acceptsRequests() bool { return s.isListed && s.State == Up }

func (e *Engine) serverWeight(s *server) float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// ServerCounts counts the servers in the list, and those of them that get no request while others are left:
// silent, or ejected for their failures.
func (e *Engine) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range e.servers {
		if s.isListed {
			listed++
			avoided += int(boolToFloat(s.isEjected(now)))
		}
	}
	return listed, avoided
}

// gossipIDOf names a server in notes. Two that share a tag are probed for each other's sake, and no more.
func gossipIDOf(id string) uint16 {
	f := fnv.New32a()
	f.Write([]byte(id))
	h := f.Sum32()
	return uint16(h ^ h>>16)
}
