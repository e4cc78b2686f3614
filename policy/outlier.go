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

// updateHealth learns of a server from the end of an attempt.
func (e *Engine) updateHealth(r *request, s *server, o AttemptResult) {
	if e.settings.LoadReports == LoadReportsInResponses { // elsewhere a response has none to give
		e.recordLoadReport(s, o.LoadReport)
	}
	switch o.Result {
	case NotSent, Cancelled:
		return
	case OK, RejectedByServer, ErrorResponse:
		e.serverResponded(s)
		s.confirmUpSince(o.ConnectedAt)
		s.lastProgressAt = e.now
	case TimedOut, ConnectFailed:
		e.attemptUnanswered(s, e.now-o.Latency)
	}
	switch o.Result {
	case OK:
		s.consecutiveEjections = 0
		e.recordSuccess(r.class, s, o.Latency)
	case RejectedByServer:
		e.serverRejected(s)
		return
	case TimedOut:
		e.overload.addOccupancy(1)
		ratio := o.Latency.Seconds() / math.Max(e.latencies.classes[r.class].mean, 1e-3)
		s.latencyRatio += latencyWeight * (ratio - s.latencyRatio)
	case ConnectFailed:
		e.connectFailed(s)
	}
	if s.recordOutcome(e.now, o.Result) {
		e.log(ServerEjected{Server: s.ID, Result: o.Result, ConsecutiveEjections: s.consecutiveEjections})
	}
}

// serverRejected goes by a server's rejection: it is full. The gateway of another site that rejects one
// request has capacity for others.
func (e *Engine) serverRejected(s *server) {
	if z := e.zones[s.Zone]; z != nil && z.IsRemote {
		return
	}
	e.overload.addOccupancy(1)
	s.ejectedUntil = max(s.ejectedUntil, e.now+sampleInterval)
}

// connectFailed goes by a connection that did not come up. The process may have restarted and be cold, long
// before the endpoint list says so. This also covers a server that comes back after a cut. A reset alone is
// no sign: where connections break one by one, all servers would count as cold, and one that dies refuses
// new connections as well. Single connections fail at servers that live too: a response on one made before
// takes it back, or that to a check sent at once, before any process could have started.
func (e *Engine) connectFailed(s *server) {
	s.recordConnectFailure(e.now)
	if e.mayCheckHealth() && s.healthCheckSince == 0 && s.acceptsRequests() {
		s.healthCheckSince = e.now
		e.checkHealth(s)
	}
}

// recordOutcome takes an outcome into the failure rate, and reports whether it ejects the server.
func (s *server) recordOutcome(now time.Duration, result Result) (ejected bool) {
	failure := 1.0
	switch result {
	case OK:
		failure = 0
	case TimedOut:
		failure = 0.5
	}
	s.failureRate += failureWeight * (failure - s.failureRate)
	if now < s.ejectedUntil || s.failureRate <= ejectionThreshold && result != ConnectFailed {
		return false
	}
	s.ejectedUntil = now + min(minEjectionTime<<min(s.consecutiveEjections, 10), maxEjectionTime)
	s.consecutiveEjections++
	s.failureRate = ejectionThreshold / 2
	return true
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
	e.zoneFailed(s, sent)
	if s.isUnresponsive {
		return
	}
	s.isUnresponsive = true
	e.addFinding(serverFinding{serverID: s.gossipID, isUp: false, foundAt: e.now})
	e.log(ServerUnresponsive{Server: s.ID})
}

// serverResponded takes in a response of any kind.
func (e *Engine) serverResponded(s *server) {
	if s.isUnresponsive {
		s.isUnresponsive, s.ejectedUntil, s.consecutiveEjections = false, 0, 0
		e.addFinding(serverFinding{serverID: s.gossipID, isUp: true, foundAt: e.now})
		e.log(ServerResponsive{Server: s.ID})
	}
	s.lastHeardAt, s.suspectedUntil = e.now, 0
	e.zoneResponded(s)
}

// receiveFinding takes in what a peer says of a server of this node's subset: that it did not respond to the
// peer, or does so again. One peer counts for nothing, and two never eject a server: it gets no request while
// others of the subset will do, and a health check at once, whose end is this node's own evidence. Where half
// of the subset is suspected, nothing more is believed: a faulty node, or a cut between peers and servers,
// cannot empty it.
func (e *Engine) receiveFinding(from int, finding serverFinding) {
	if e.usesAllServers() {
		return
	}
	for _, s := range e.subset.members {
		if s.gossipID == finding.serverID {
			e.receiveServerFinding(s, from, finding)
		}
	}
}

// receiveServerFinding takes in a finding of one server.
func (e *Engine) receiveServerFinding(s *server, from int, finding serverFinding) {
	e.zoneReported(s, from, finding)
	reports := &s.suspicionReports[boolToInt(finding.isUp)]
	if !reports.confirms(from, e.now) || s.isUnresponsive != finding.isUp {
		return
	}
	if !finding.isUp {
		if e.now-s.lastHeardAt < freshEvidenceAge || 2*e.suspectedCount() >= len(e.subset.members) {
			return
		}
		s.suspectedUntil = e.now + findingTTL
	}
	if e.now-s.lastHealthCheckAt >= freshEvidenceAge && e.settings.AllowsHealthChecks {
		e.checkHealth(s)
	}
}
