package policy

import "math"

// utilizationWeight is the weight of a new report in a server's utilization.
const utilizationWeight = 0.3

// lacksLoadReport reports whether latency has to stand for a server's load report. With a subset of the
// servers, each of which is checked seldom, any recent report will do: latencies of a fleet under load have no
// lowest yet, and would outweigh the reports.
func (e *Engine) lacksLoadReport(s *server) bool {
	if e.usesAllServers() {
		return s.reportedAt == 0
	}
	return e.lastLoadReportAt == 0 || e.now-e.lastLoadReportAt > decayTime
}

// recordLoadReport takes in a load report, if one came.
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
