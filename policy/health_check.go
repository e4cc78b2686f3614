package policy

import (
	"time"
)

const (
	healthChecksPerForward       = 0.5
	subsetHealthChecksPerForward = 0.17            // with a subset of the servers, which many nodes check
	unresponsiveCheckLead        = 3 * time.Second // an unresponsive server's check comes earlier by so much
)

// runHealthCheck checks the server whose turn it is, if a check is due.
func (e *Engine) runHealthCheck() {
	perForward, lead := healthChecksPerForward, time.Duration(0)
	if !e.usesAllServers() {
		perForward, lead = subsetHealthChecksPerForward, unresponsiveCheckLead
	}
	e.healthChecks.earn(e.overload.fleetMeans[meanAccepted] * perForward)
	if !e.mayCheckHealth() || len(e.servers.list) == 0 || !e.healthChecks.take() {
		return
	}
	if next := nextHealthCheck(e.subset.members, lead); next != nil {
		e.checkHealth(next)
	}
}

// nextHealthCheck returns the server whose last check is longest ago, or nil; an unresponsive one's counts as
// longer ago by the lead. Server selection shuffles the servers, so ties go by chance.
func nextHealthCheck(servers []*server, lead time.Duration) *server {
	var next *server
	var nextAt time.Duration
	for _, s := range servers {
		if !s.acceptsRequests() {
			continue
		}
		at := s.lastHealthCheckAt
		if s.isUnresponsive {
			at -= lead
		}
		if next == nil || at < nextAt {
			next, nextAt = s, at
		}
	}
	return next
}

// checkHealth sends a server a health check.
func (e *Engine) checkHealth(s *server) {
	s.lastHealthCheckAt = e.now
	e.actions.CheckHealth(s.ID)
}

// mayCheckHealth reports whether health checks are allowed and answered with a load report.
func (e *Engine) mayCheckHealth() bool {
	return e.settings.AllowsHealthChecks && e.settings.LoadReports != LoadReportsNone
}
