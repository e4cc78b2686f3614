package scenario

import (
	"context"
	"syscall"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/testserver"
)

// Times of the scenario relay-chaos.
const (
	minFaultDuration     = 20 * time.Millisecond
	maxWaitToLeave       = 50 * time.Millisecond   // of a client, where clients leave
	maxStopDuration      = 1500 * time.Millisecond // for which an instance is stopped
	maxLinkFaultDuration = 600 * time.Millisecond
	maxLinkDelay         = 80 * time.Millisecond // of each read on a slow link
	maxSiteLossDuration  = 2500 * time.Millisecond
	maxFaultInterval     = 500 * time.Millisecond // between two faults
	drainEndTimeout      = 10 * time.Second
)

// relayChaos injects faults into the links between the sites, the instances at both ends and the sites themselves, by
// the seed.
func relayChaos(ctx context.Context, c *clusterRun) {
	for until := c.faultsEnd(ctx); time.Now().Before(until) && ctx.Err() == nil; {
		pause(ctx, c.randomDuration(0, maxFaultInterval))
		if err := c.injectRelayFault(ctx); err != nil {
			c.reportViolation("%v", err)
			return
		}
	}
}

// randomDuration returns a random duration from low up to but not including high.
func (c *clusterRun) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// injectRelayFault injects a random fault and ends it after a while.
func (c *clusterRun) injectRelayFault(ctx context.Context) error {
	m := c.members[c.rng.IntN(len(c.members))]
	if c.rng.IntN(4) == 0 {
		if leader := c.leader(ctx); leader != nil {
			m = leader
		}
	}
	switch c.rng.IntN(8) {
	case 0:
		c.injectLinkFault(ctx, (*testserver.Link).SetCut)
	case 1:
		c.injectLinkFault(ctx, (*testserver.Link).SetDropsReplies)
	case 2:
		delay := c.randomDuration(0, maxLinkDelay)
		c.injectLinkFault(ctx, func(l *testserver.Link, isSlow bool) { l.SetDelay(delay, isSlow) })
	case 3:
		c.injectLinkFault(ctx, func(l *testserver.Link, _ bool) { l.CloseConnections() })
	case 4:
		site := c.environment.sites[c.rng.IntN(len(c.environment.sites))]
		site.SetPartitioned(true)
		pause(ctx, c.randomDuration(minFaultDuration, maxSiteLossDuration))
		site.SetPartitioned(false)
		c.flapCount++
	case 5:
		c.kill(m)
		pause(ctx, c.randomDuration(0, minFaultDuration))
		return c.restart(context.WithoutCancel(ctx), m)
	case 6:
		return c.drainAndRestart(ctx, m)
	default:
		c.stopFor(m, c.randomDuration(minFaultDuration, maxStopDuration))
	}
	return nil
}

// injectLinkFault sets a fault on random links between the sites and removes it after a while.
func (c *clusterRun) injectLinkFault(ctx context.Context, set func(l *testserver.Link, on bool)) {
	var disturbed []*testserver.Link
	for _, l := range c.relayLinks {
		if c.rng.IntN(2) == 0 {
			disturbed = append(disturbed, l)
			set(l, true)
		}
	}
	pause(ctx, c.randomDuration(minFaultDuration, maxLinkFaultDuration))
	for _, l := range disturbed {
		set(l, false)
	}
}

// drainAndRestart shuts a member down gracefully and restarts it.
func (c *clusterRun) drainAndRestart(ctx context.Context, m *clusterInstance) error {
	m.markDown()
	m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.process.done:
		if err := m.process.err; err != nil {
			c.reportViolation("member %d failed while it shut down: %v", m.id, err)
		}
	case <-time.After(drainEndTimeout):
		c.reportViolation("member %d has not exited in time after SIGTERM", m.id)
		c.kill(m)
	}
	return c.restart(context.WithoutCancel(ctx), m)
}

// stopFor stops a member's process for a while (SIGSTOP).
func (c *clusterRun) stopFor(m *clusterInstance, duration time.Duration) {
	began := time.Now()
	m.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	m.cmd.Process.Signal(syscall.SIGCONT)
	m.downMu.Lock()
	defer m.downMu.Unlock()
	m.stopped = append(m.stopped, interval{from: began, to: time.Now()})
}

// stoppedBetween returns how long an instance was stopped between two times.
func (m *clusterInstance) stoppedBetween(from, to time.Time) (sum time.Duration) {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	for _, stopped := range m.stopped {
		sum += max(stopped.overlap(from, to), 0)
	}
	return sum
}

// stoppedBetween returns how long the instance with a name was stopped between two times.
func (c *clusterRun) stoppedBetween(instance string, from, to time.Time) time.Duration {
	for _, m := range c.instances() {
		if m.name() == instance {
			return m.stoppedBetween(from, to)
		}
	}
	return 0
}

// mayOverlap reports whether the attempts of a request may overlap: it is idempotent, and the far instance was queried
// for the status of an attempt and did not answer.
func (t requestTraces) mayOverlap(request string) bool {
	for _, trace := range t[request] {
		for _, step := range trace.Steps {
			if trace.Idempotent && step.Kind == gateway.StepStatusUnknown {
				return true
			}
		}
	}
	return false
}
