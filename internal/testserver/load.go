package testserver

import (
	"fmt"
	"math"
	"time"
)

const (
	// loadReportWork is the core time that a load report takes.
	loadReportWork = 200 * time.Microsecond
	// minReportInterval is the least time between two computations of the utilization.
	minReportInterval = 100 * time.Millisecond
	// collapseTolerance is how many requests beyond its budget a cold server tolerates before it collapses.
	collapseTolerance = 3
)

// receivedWork is work that reached a server.
type receivedWork struct {
	at   time.Time
	cost time.Duration
}

// capacity returns the fraction of its full capacity that a server has at a time.
func (server *AppServer) capacity(now time.Time) float64 {
	config := &server.site.config
	if !server.isCold || config.WarmupWindow <= 0 {
		return 1
	}
	gained := (1 - config.ColdCapacity) * now.Sub(server.startedAt).Seconds() / config.WarmupWindow.Seconds()
	return math.Min(config.ColdCapacity+gained, 1)
}

// receive records work that reached the server, including rejected work, and reports whether
// the server collapses under it. The caller holds server.mu.
func (server *AppServer) receive(now time.Time, cost time.Duration) bool {
	config := &server.site.config
	capacity := server.capacity(now)
	if capacity >= 1 || config.CollapseMultiple <= 0 {
		return false
	}
	server.received = append(server.received, receivedWork{now, cost})
	for len(server.received) > 0 && now.Sub(server.received[0].at) > config.CollapseWindow {
		server.received = server.received[1:]
	}
	var sum time.Duration
	for _, work := range server.received {
		sum += work.cost
	}
	budget := config.CollapseMultiple * capacity * float64(config.Cores) * config.CollapseWindow.Seconds()
	if sum.Seconds() <= budget+collapseTolerance*cost.Seconds() || server.isCollapsed {
		return false
	}
	server.isCollapsed = true
	return true
}

// updateUtilization recomputes the utilization as the mean of two fractions of the cores: the core time used since the
// last report, and the cores in use now. The caller holds server.mu.
func (server *AppServer) updateUtilization(now time.Time, elapsed time.Duration) {
	cores := float64(server.site.config.Cores)
	utilization := server.busyTime.Seconds()/elapsed.Seconds()/cores/2 + float64(server.runningCount)/cores/2
	server.utilization = math.Min(utilization, 1)
	server.busyTime = 0
	server.lastReportAt = now
}

// loadReport returns the text of a load report.
func (server *AppServer) loadReport(now time.Time) string {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.busyTime += loadReportWork
	if elapsed := now.Sub(server.lastReportAt); elapsed > minReportInterval {
		server.updateUtilization(now, elapsed)
	}
	return fmt.Sprintf("TEXT queue=%d, util=%.2f", server.waitingCount, server.utilization)
}
