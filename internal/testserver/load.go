package testserver

import (
	"fmt"
	"math"
	"time"
)

const (
	// probeWork is the core time that a load report takes.
	probeWork = 200 * time.Microsecond
	// minReportInterval is the time below which the utilization is not computed anew.
	minReportInterval = 100 * time.Millisecond
	// collapseTolerance is how many requests above its budget a cold server endures.
	collapseTolerance = 3
)

// receivedWork is work that reached a server.
type receivedWork struct {
	at   time.Time
	cost time.Duration
}

// capacity returns the share of its capacity that a server has at a time.
func (s *AppServer) capacity(now time.Time) float64 {
	config := &s.site.config
	if !s.isCold || config.WarmupWindow <= 0 {
		return 1
	}
	gained := (1 - config.ColdCapacity) * now.Sub(s.startedAt).Seconds() / config.WarmupWindow.Seconds()
	return math.Min(config.ColdCapacity+gained, 1)
}

// receive records work that reached the server, refused work too, and reports whether it
// makes the server collapse. The caller holds s.mu.
func (s *AppServer) receive(now time.Time, cost time.Duration) bool {
	config := &s.site.config
	capacity := s.capacity(now)
	if capacity >= 1 || config.CollapseMultiple <= 0 {
		return false
	}
	s.received = append(s.received, receivedWork{now, cost})
	for len(s.received) > 0 && now.Sub(s.received[0].at) > config.CollapseWindow {
		s.received = s.received[1:]
	}
	var sum time.Duration
	for _, work := range s.received {
		sum += work.cost
	}
	budget := config.CollapseMultiple * capacity * float64(config.Cores) * config.CollapseWindow.Seconds()
	if sum.Seconds() <= budget+collapseTolerance*cost.Seconds() || s.isCollapsed {
		return false
	}
	s.isCollapsed = true
	return true
}

// loadReport returns the text of a load report.
func (s *AppServer) loadReport(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyTime += probeWork
	if elapsed := now.Sub(s.lastReportAt); elapsed > minReportInterval {
		cores := float64(s.site.config.Cores)
		utilization := s.busyTime.Seconds()/elapsed.Seconds()/cores/2 + float64(s.runningCount)/cores/2
		s.utilization, s.busyTime, s.lastReportAt = math.Min(utilization, 1), 0, now
	}
	return fmt.Sprintf("TEXT queue=%d, util=%.2f", s.waitingCount, s.utilization)
}
