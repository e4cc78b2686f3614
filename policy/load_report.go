package policy

import "math"

// utilizationWeight is the weight of a new report in the moving average of a server's utilization.
const utilizationWeight = 0.3

// lacksLoadReport reports whether latency has to take the place of a server's load report. With a subset, whose servers
// are checked rarely, one recent report of any server is enough: while a fleet is under load, the lowest latency is not
// known, and readings by latency would outnumber the reports.
func (e *Engine) lacksLoadReport(s *server) bool {
	if e.usesAllServers() {
		return s.reportedAt == 0
	}
	return e.lastLoadReportAt == 0 || e.now-e.lastLoadReportAt > decayTime
}

// recordLoadReport records a load report; nil has no effect.
func (e *Engine) recordLoadReport(s *server, report *LoadReport) {
	if report == nil {
		return
	}
	if report.QueueLength >= 0 {
		s.queueLength = report.QueueLength
	}
	if report.Utilization < 0 {
		return
	}
	s.reportedAt, e.lastLoadReportAt = e.now, e.now
	if s.utilization < 0 {
		s.utilization = report.Utilization
	}
	utilization := math.Min(report.Utilization, 1)
	s.utilization += utilizationWeight * (utilization - s.utilization)
	e.overload.addOccupancy(utilization)
}
