package policy

import (
	"math"
)

const utilizationWeight = 0.3 // of a new report in a server's utilization

// lacksLoadReport tells whether latency has to stand for a server's load report. With a part of the
// servers, each of which is probed seldom, any report of late will do: latencies of a fleet under load have
// no lowest yet, and would outweigh the reports.
func (e *Engine) lacksLoadReport(s *server) bool {
	if e.usesAllServers() {
		return s.reportedAt == 0
	}
	return e.lastLoadReportAt == 0 || e.now-e.lastLoadReportAt > decayTime
}

// recordLoadReport takes in a load report.
func (e *Engine) recordLoadReport(s *server, l *LoadReport) {
	if l == nil {
		return
	}
	if l.QueueLength >= 0 {
		s.queueLength = l.QueueLength
	}
	if l.Utilization >= 0 {
		s.reportedAt, e.lastLoadReportAt = e.now, e.now
		if s.utilization < 0 {
			s.utilization = l.Utilization
		}
		s.utilization += utilizationWeight * (math.Min(l.Utilization, 1) - s.utilization)
		e.overload.addOccupancy(math.Min(l.Utilization, 1))
	}
}
