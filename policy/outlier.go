package policy

import (
	"math"
	"time"
)

const (
	failureWeight     = 0.2                    // of a new outcome in a server's failure rate
	timeoutFailure    = 0.5                    // what a timeout counts as: the cause may be load
	ejectionThreshold = 0.35                   // failure rate that ejects: about three failures in a row
	minEjectionTime   = 500 * time.Millisecond // first ejection; doubles up to maxEjectionTime
	maxEjectionTime   = 8 * time.Second
	freshEvidenceAge  = 500 * time.Millisecond // up to which own evidence outweighs the peers'
	findingTTL        = 2 * time.Second        // for which peers' findings count
	minMeanLatency    = 1e-3                   // seconds, as a divisor
)

// updateHealth updates what is known of a server with the end of an attempt.
func (e *Engine) updateHealth(r *request, s *server, outcome AttemptResult) {
	if e.settings.LoadReports == LoadReportsInResponses {
		e.recordLoadReport(s, outcome.LoadReport)
	}
	switch outcome.Result {
	case NotSent, Cancelled:
		return
	case OK, RejectedByServer, ErrorResponse:
		e.recordResponseFrom(s)
		s.clearConnectFailuresSince(outcome.ConnectedAt)
		s.lastProgressAt = e.now
	case TimedOut, ConnectFailed:
		e.recordNoResponse(s, e.now-outcome.Latency)
	}
	switch outcome.Result {
	case OK:
		s.consecutiveEjections = 0
		e.recordSuccess(r.class, s, outcome.Latency)
	case RejectedByServer:
		e.recordServerRejection(s)
		return
	case TimedOut:
		e.overload.addOccupancy(1)
		ratio := outcome.Latency.Seconds() / math.Max(e.latencyOf(r).mean, minMeanLatency)
		s.latencyRatio += latencyWeight * (ratio - s.latencyRatio)
	case ConnectFailed:
		e.handleConnectFailure(s)
	}
	if s.recordOutcome(e.now, outcome.Result) {
		e.log(ServerEjected{
			Server: s.ID, Result: outcome.Result, ConsecutiveEjections: s.consecutiveEjections,
		})
	}
}

// recordServerRejection treats a server that rejects as full. The gateway of another site is none: it may
// reject one request and have capacity for others.
func (e *Engine) recordServerRejection(s *server) {
	if z := e.zones[s.Zone]; z != nil && z.IsRemote {
		return
	}
	e.overload.addOccupancy(1)
	s.ejectedUntil = max(s.ejectedUntil, e.now+sampleInterval)
}

// handleConnectFailure treats a failed connection as a sign that the process has restarted and warms up,
// which the endpoint list shows much later. A reset is no such sign: where connections break one by one, all
// servers would count as cold, and a process that ends refuses new connections as well. Connections also fail
// at servers that are up: the health check sent here corrects that, or a response on an older connection.
func (e *Engine) handleConnectFailure(s *server) {
	s.recordConnectFailure(e.now)
	if e.mayCheckHealth() && s.healthCheckSince == 0 && s.acceptsRequests() {
		s.healthCheckSince = e.now
		e.checkHealth(s)
	}
}

// recordOutcome updates the failure rate and ejects the server if it is too high, which it reports.
func (s *server) recordOutcome(now time.Duration, result Result) (ejected bool) {
	failure := 1.0
	switch result {
	case OK:
		failure = 0
	case TimedOut:
		failure = timeoutFailure
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

// recordNoResponse marks a server as unresponsive if something sent at a time was not answered, nor anything
// since: the machine has failed or is cut off, which the endpoint list shows much later. It gets no request
// until it responds to a health check, where each end of an ejection would risk requests. This covers failed
// zones, machines and links. It is wrong for servers that pause for as long as a health check waits: until
// their next check the others carry their load.
func (e *Engine) recordNoResponse(s *server, sentAt time.Duration) {
	if !e.mayCheckHealth() || s.lastHeardAt >= sentAt {
		return
	}
	e.observeZoneFailure(s, sentAt)
	if s.isUnresponsive {
		return
	}
	s.isUnresponsive = true
	e.addFinding(serverFinding{serverID: s.gossipID, isUp: false, foundAt: e.now})
	e.log(ServerUnresponsive{Server: s.ID})
}

// recordResponseFrom records that a server sent a response of any kind, so that it is up.
func (e *Engine) recordResponseFrom(s *server) {
	if s.isUnresponsive {
		s.isUnresponsive = false
		s.resetEjection()
		e.addFinding(serverFinding{serverID: s.gossipID, isUp: true, foundAt: e.now})
		e.log(ServerResponsive{Server: s.ID})
	}
	s.lastHeardAt = e.now
	s.suspectedUntil = 0
	e.observeZoneResponse(s)
}

// receiveFinding handles a peer's finding of a server of this node's subset: that it is unresponsive, or that
// it responds again. One peer has no effect. Two have it checked at once, for evidence of this node, and make
// it suspected: it gets no request while others of the subset can serve. Findings have no effect once half of
// the subset is suspected: a faulty node or link cannot empty it.
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

// receiveServerFinding is receiveFinding for the server found.
func (e *Engine) receiveServerFinding(s *server, from int, finding serverFinding) {
	e.observeZoneFinding(s, from, finding)
	reports := &s.downReports
	if finding.isUp {
		reports = &s.upReports
	}
	isConfirmed := reports.add(from, e.now)
	if !isConfirmed || s.isUnresponsive != finding.isUp {
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
