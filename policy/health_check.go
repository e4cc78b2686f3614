package policy

import (
	"time"
)

const (
	healthChecksPerForward       = 0.5
	subsetHealthChecksPerForward = 0.17            // with a subset of the servers, which many nodes check
	unresponsiveCheckLead        = 3 * time.Second // an unresponsive server's check comes earlier by so much
)

// healthChecksPerRequest is the probes for each request sent on.
func (e *Engine) healthChecksPerRequest() float64 {
	if e.usesAllServers() {
		return healthChecksPerForward
	}
	return subsetHealthChecksPerForward
}

// healthCheckOrder orders servers by when they are to be checked: unresponsive ones of a subset come earlier.
func (e *Engine) healthCheckOrder(s *server) time.Duration {
	if s.isUnresponsive && !e.usesAllServers() {
		return s.lastHealthCheckAt - unresponsiveCheckLead
	}
	return s.lastHealthCheckAt
}

// mayCheckHealth tells whether health checks are allowed and answered with a load report.
func (e *Engine) mayCheckHealth() bool {
	return e.settings.AllowsHealthChecks && e.settings.LoadReports != LoadReportsNone
}
