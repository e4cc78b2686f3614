package policy

import "time"

const (
	healthChecksPerForward       = 0.5
	subsetHealthChecksPerForward = 0.17            // lower with a subset: several nodes check each server
	unresponsiveCheckLead        = 3 * time.Second // by which an unresponsive one is due earlier
)

// runHealthCheck checks the server that has not been checked for longest, if the budget allows a check.
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

// nextHealthCheck returns the server whose last check is longest ago, or nil. That of an unresponsive server
// counts as longer ago by the lead. Ties are broken at random, since server selection shuffles the servers.
func nextHealthCheck(servers []*server, lead time.Duration) *server {
	var next *server
	var nextCheckedAt time.Duration
	for _, s := range servers {
		if !s.acceptsRequests() {
			continue
		}
		checkedAt := s.lastHealthCheckAt
		if s.isUnresponsive {
			checkedAt -= lead
		}
		if next == nil || checkedAt < nextCheckedAt {
			next, nextCheckedAt = s, checkedAt
		}
	}
	return next
}

// checkHealth sends a server a health check.
func (e *Engine) checkHealth(s *server) {
	s.lastHealthCheckAt = e.now
	e.actions.CheckHealth(s.ID)
}

// mayCheckHealth reports whether health checks are allowed and return a load report.
func (e *Engine) mayCheckHealth() bool {
	return e.settings.AllowsHealthChecks && e.settings.LoadReports != LoadReportsNone
}
