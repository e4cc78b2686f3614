package policy

import "time"

// Handlers of the events of servers: endpoint updates, health checks, and what the result of an attempt shows about its
// server.

// EndpointsChanged handles an update of the endpoint list.
func (e *Engine) EndpointsChanged(now time.Duration, kind EndpointUpdateKind, entries []Server, actions Actions) {
	e.beginEvent(now, actions)
	if kind == EndpointsUnavailable {
		if e.settings.PollsEndpoints {
			e.actions.SetTimer(timerToken(timerEndpointPoll, 0), endpointPollDelay(e.rng))
		}
		return
	}
	for _, entry := range entries {
		e.latencies.addKind(entry.Kind)
	}
	e.servers.update(kind, entries)
	e.subset.form(e.servers.list)
}

// HealthCheckCompleted handles the result of a health check of a server. The report is nil if the response had none.
func (e *Engine) HealthCheckCompleted(
	now time.Duration, server string, result Result, report *LoadReport, actions Actions,
) {
	e.beginEvent(now, actions)
	s := e.servers.byID[server]
	if s == nil {
		return
	}
	check := s.endHealthCheck(now)
	switch result {
	case OK, RejectedByServer, ErrorResponse:
		if result == OK {
			e.occupancy.recordLoadReport(now, s, report)
		}
		e.log(e.failures.recordResponse(now, s))
		s.recordHealthCheckAnswer(now)
		if check.isForFailedConnect {
			s.clearConnectFailuresSince(check.sentAt)
		}
	case ConnectFailed:
		s.recordConnectFailure(now)
		e.log(e.failures.recordNoResponse(now, s, s.lastHealthCheckAt))
	case TimedOut:
		e.log(e.failures.recordNoResponse(now, s, s.lastHealthCheckAt))
	}
}

// learnFromAttempt updates the state of a server with the result of an attempt.
func (e *Engine) learnFromAttempt(r *request, s *server, outcome AttemptResult) {
	if e.settings.LoadReports == LoadReportsInResponses {
		e.occupancy.recordLoadReport(e.now, s, outcome.LoadReport)
	}
	if outcome.Result == NotSent || outcome.Result == Cancelled {
		return
	}
	zone := e.zones.of(s)
	e.log(e.failures.recordAttempt(e.now, s, outcome))
	switch outcome.Result {
	case OK:
		s.consecutiveEjections = 0
		e.occupancy.recordLatency(e.now, s, r.class, outcome.Latency)
		e.load.recordResponse(zone, e.latencies.learnedWork(r.class), s.isWarmMember(e.now, &e.settings))
	case RejectedByServer:
		// The gateway of another site may reject one request and have capacity for others.
		if zone == nil || !zone.IsRemote {
			e.occupancy.recordSaturated()
			s.recordRejection(e.now)
		}
		return
	case TimedOut:
		e.occupancy.recordSaturated()
		s.recordTimeout(outcome.Latency, e.latencies.forRequest(r).mean)
	case ConnectFailed:
		if e.failures.recordConnectFailure(e.now, s) {
			e.healthChecks.sendForFailedConnect(e.now, s, e.actions)
		}
	}
	if s.recordOutcome(e.now, outcome.Result) {
		e.log(ServerEjected{
			Server: s.ID, Result: outcome.Result, ConsecutiveEjections: s.consecutiveEjections,
		})
	}
}
