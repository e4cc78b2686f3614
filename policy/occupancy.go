package policy

import (
	"math"
	"time"

	"mulleinmux/policy/overload"
)

// utilizationWeight is the weight of a new report in the moving average of a server's utilization.
const utilizationWeight = 0.3

// occupancyReadings adds readings of the occupancy to the overload controller. The readings come from load reports, or
// from latencies where reports are missing, and from attempts that a server rejected or did not answer in time.
type occupancyReadings struct {
	settings   *Settings
	subset     *serverSubset
	latencies  *latencyTable
	controller *overload.Controller

	lastReportAt time.Duration // clock reading of the last load report of any server; 0: none yet
}

// recordLoadReport records a server's load report; nil has no effect.
func (o *occupancyReadings) recordLoadReport(now time.Duration, s *server, report *LoadReport) {
	if report == nil {
		return
	}
	if report.QueueLength >= 0 {
		s.queueLength = report.QueueLength
	}
	if report.Utilization < 0 {
		return
	}
	s.reportedAt, o.lastReportAt = now, now
	if s.utilization < 0 {
		s.utilization = report.Utilization
	}
	utilization := math.Min(report.Utilization, 1)
	s.utilization += utilizationWeight * (utilization - s.utilization)
	o.controller.AddReading(utilization)
}

// recordLatency records the latency of a good response of a class. Where load reports are missing, the latency is a
// reading of the occupancy, 1 - lowest/latency with the weight latency/lowest: the mean of these readings over a sample
// is 1 - lowest/mean.
func (o *occupancyReadings) recordLatency(now time.Duration, s *server, class int, latency time.Duration) {
	seconds := latency.Seconds()
	sample := o.latencies.record(now, class, s.Kind, seconds)
	s.latencyRatio += latencyWeight * (sample.ratio - s.latencyRatio)
	if o.settings.LoadReports != LoadReportsNone && !o.lacksLoadReport(now, s) {
		return
	}
	if sample.lowest > 0 {
		o.controller.AddReadings(seconds/sample.lowest-1, seconds/sample.lowest)
	} else {
		o.controller.AddReading(0) // otherwise rejections by servers would be the only readings
	}
}

// recordSaturated records that a server had no capacity for an attempt.
func (o *occupancyReadings) recordSaturated() { o.controller.AddReading(1) }

// lacksLoadReport reports whether latencies replace the load reports of a server. With a subset, whose servers are
// checked rarely, one recent report of any server is enough: readings by latency would outnumber the reports.
func (o *occupancyReadings) lacksLoadReport(now time.Duration, s *server) bool {
	if o.subset.usesAllServers() {
		return s.reportedAt == 0
	}
	return o.lastReportAt == 0 || now-o.lastReportAt > decayTime
}
