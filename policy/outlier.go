package policy

import (
	"math"
	"time"
)

const (
	failureWeight     = 0.2                    // of a new outcome in a server's failure rate
	ejectionThreshold = 0.35                   // failure rate that ejects: about three failures in a row
	minEjectionTime   = 500 * time.Millisecond // first ejection; doubles up to maxEjectionTime
	maxEjectionTime   = 8 * time.Second
	freshEvidenceAge  = 500 * time.Millisecond // own evidence as young as that outweighs the peers'
	findingTTL        = 2 * time.Second        // peers' findings count for so long
)

// updateHealth keeps a server's health.
func (e *Engine) updateHealth(r *request, s *server, o AttemptResult) {
	if e.settings.LoadReports == LoadReportsInResponses { // elsewhere an answer has none to give
		e.recordLoadReport(s, o.LoadReport)
	}
	bad := 1.0
	switch o.Result {
	case OK, RejectedByServer, ErrorResponse:
		e.serverResponded(s)
		if o.ConnectedAt > 0 {
			s.confirmUpSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		e.attemptUnanswered(s, e.now-o.Latency)
	}
	switch o.Result {
	case OK:
		bad = 0
		s.lastProgressAt, s.consecutiveEjections = e.now, 0
		e.responses++
		if c := e.zones[s.Zone]; c != nil {
			c.responses++
		}
		e.recordLatency(r.class, s, o.Latency)
		// Rule 4: only of servers that count in the mean, and only work that is known: answers of
		// draining servers or a guess that proves too high would inflate what cold ones may be sent.
		if e.capacityFraction(s) >= 1 && s.acceptsRequests() && s.inSubset {
			e.warmWork += e.latencies.learnedWork(r.class)
			if c := e.zones[s.Zone]; c != nil {
				c.warmWork += e.latencies.learnedWork(r.class)
			}
		}
	case NotSent, Cancelled:
		return
	case RejectedByServer:
		s.lastProgressAt = e.now
		if z := e.zones[s.Zone]; z != nil && z.IsRemote {
			return // the other site's gateway refuses one request; it has room for others
		}
		e.overload.addOccupancy(1)
		s.ejectedUntil = max(s.ejectedUntil, e.now+sampleInterval)
		return
	case TimedOut:
		e.overload.addOccupancy(1)
		ratio := o.Latency.Seconds() / math.Max(e.latencies.classes[r.class].mean, 1e-3)
		s.latencyRatio += latencyWeight * (ratio - s.latencyRatio)
		bad = 0.5
	case ErrorResponse:
		s.lastProgressAt = e.now
	}
	if o.Result == ConnectFailed {
		// The process may have restarted and be cold, long before the list says so. Also covers one
		// that comes back after a cut. A reset alone is no sign: where connections break one by one,
		// all servers would count as cold, and one that dies refuses new connections as well.
		// Single connections fail at servers that live too: an answer on one made before takes it back, or
		// that to a probe sent at once, before any process could have started.
		s.recordConnectFailure(e.now)
		if e.mayCheckHealth() && s.healthCheckSince == 0 && s.acceptsRequests() {
			s.healthCheckSince, s.lastHealthCheckAt = e.now, e.now
			e.actions.CheckHealth(s.ID)
		}
	}
	s.failureRate += failureWeight * (bad - s.failureRate)
	if (s.failureRate > ejectionThreshold || o.Result == ConnectFailed) && e.now >= s.ejectedUntil {
		s.ejectedUntil = e.now + min(minEjectionTime<<min(s.consecutiveEjections, 10), maxEjectionTime)
		s.consecutiveEjections++
		s.failureRate = ejectionThreshold / 2
		e.log("ejected server %s after result %d, strike %d", s.ID, o.Result, s.consecutiveEjections)
	}
}

// attemptUnanswered takes in that something sent to the server at a time came to nothing. If all else sent
// since did as well, the machine has died, vanished or is cut off, long before the endpoint list says so.
// It gets no request until it responds again: health checks find that out, where an ejection's end would
// risk requests each time. It covers lost zones, single machines and cut links; it harms where servers
// answer nothing for as long as a health check waits and then go on: for a round of checks the others carry
// their load.
func (e *Engine) attemptUnanswered(s *server, sent time.Duration) {
	if !e.mayCheckHealth() || s.lastHeardAt >= sent {
		return
	}
	if e.zoneFailed(s, sent); s.isUnresponsive {
		return
	}
	s.isUnresponsive = true
	e.addFinding(s, false)
	e.log("server %s is silent: out until it answers a probe", s.ID)
}

// serverResponded takes in an answer of any kind.
func (e *Engine) serverResponded(s *server) {
	if s.isUnresponsive {
		s.isUnresponsive, s.ejectedUntil, s.consecutiveEjections = false, 0, 0
		e.addFinding(s, true)
		e.log("server %s answers again", s.ID)
	}
	s.lastHeardAt, s.suspectedUntil = e.now, 0
	e.zoneResponded(s)
}

// receiveFinding takes in what a peer says of a server of this node's subset: that it did not respond to the
// peer, or does so again. One peer counts for nothing, and two never eject a server: it gets no request while
// others of the subset will do, and a health check at once, whose end is this node's own evidence. Where half
// of the subset is suspected, nothing more is believed: a faulty node, or a cut between peers and servers,
// cannot empty it.
func (e *Engine) receiveFinding(from int, n serverFinding) {
	for _, s := range e.subset {
		if s.gossipID != n.serverID || e.usesAllServers() {
			continue
		}
		e.zoneReported(s, from, n.isUp)
		if !s.suspicionReports[boolToInt(n.isUp)].confirms(from, e.now) || s.isUnresponsive != n.isUp {
			continue
		}
		if !n.isUp && (e.now-s.lastHeardAt < freshEvidenceAge || 2*e.suspectedCount() >= len(e.subset)) {
			continue
		}
		if !n.isUp {
			s.suspectedUntil = e.now + findingTTL
		}
		if e.now-s.lastHealthCheckAt >= freshEvidenceAge && e.settings.AllowsHealthChecks {
			s.lastHealthCheckAt = e.now
			e.actions.CheckHealth(s.ID)
		}
	}
}
