package scenario

import (
	"context"
	"syscall"
	"time"

	"mulleinmux/internal/gateway"
)

// Times of the scenario relay-chaos.
const (
	minRelayFault   = 20 * time.Millisecond
	maxRelayFault   = 1500 * time.Millisecond // of an instance that is stopped
	maxLinkFault    = 600 * time.Millisecond
	maxLinkDelay    = 80 * time.Millisecond // of each piece on a slow link
	maxSiteLoss     = 2500 * time.Millisecond
	maxRelayPause   = 500 * time.Millisecond // between two faults
	drainEndTimeout = 10 * time.Second
)

// relayChaos disturbs the links between the sites, the instances at both ends and the sites themselves, by the seed.
func relayChaos(ctx context.Context, c *clusterRun) {
	for until := c.faultsEnd(ctx); time.Now().Before(until) && ctx.Err() == nil; {
		pause(ctx, c.draw(0, maxRelayPause))
		if err := c.disturbRelays(ctx); err != nil {
			c.notef("%v", err)
			return
		}
	}
}

// draw returns a time between two bounds.
func (c *clusterRun) draw(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// disturbRelays has one fault come and go.
func (c *clusterRun) disturbRelays(ctx context.Context) error {
	m := c.members[c.rng.IntN(len(c.members))]
	if c.rng.IntN(4) == 0 {
		if leader := c.leader(ctx); leader != nil {
			m = leader
		}
	}
	switch c.rng.IntN(8) {
	case 0:
		c.disturbLinks(ctx, (*link).setCut)
	case 1:
		c.disturbLinks(ctx, (*link).setSilentBack)
	case 2:
		delay := c.draw(0, maxLinkDelay)
		c.disturbLinks(ctx, func(l *link, isSlow bool) { l.setDelay(delay, isSlow) })
	case 3:
		c.disturbLinks(ctx, func(l *link, _ bool) { l.closeAll() })
	case 4:
		site := c.environment.sites[c.rng.IntN(len(c.environment.sites))]
		site.SetPartitioned(true)
		pause(ctx, c.draw(minRelayFault, maxSiteLoss))
		site.SetPartitioned(false)
		c.flapCount++
	case 5:
		c.kill(m)
		pause(ctx, c.draw(0, minRelayFault))
		return c.restart(context.WithoutCancel(ctx), m)
	case 6:
		return c.drainAndRestart(ctx, m)
	default:
		c.stopFor(m, c.draw(minRelayFault, maxRelayFault))
	}
	return nil
}

// disturbLinks sets a fault on some of the links between the sites, and takes it back after a while.
func (c *clusterRun) disturbLinks(ctx context.Context, set func(l *link, on bool)) {
	var disturbed []*link
	for _, l := range c.relayLinks {
		if c.rng.IntN(2) == 0 {
			disturbed = append(disturbed, l)
			set(l, true)
		}
	}
	pause(ctx, c.draw(minRelayFault, maxLinkFault))
	for _, l := range disturbed {
		set(l, false)
	}
}

// drainAndRestart tells a member to end, and starts it again.
func (c *clusterRun) drainAndRestart(ctx context.Context, m *member) error {
	m.markDown()
	m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.process.done:
		if err := m.process.err; err != nil {
			c.notef("member %d: %v", m.id, err)
		}
	case <-time.After(drainEndTimeout):
		c.notef("member %d does not end", m.id)
		c.kill(m)
	}
	return c.restart(context.WithoutCancel(ctx), m)
}

// stopFor stops a member for a while.
func (c *clusterRun) stopFor(m *member, duration time.Duration) {
	began := time.Now()
	m.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	m.cmd.Process.Signal(syscall.SIGCONT)
	m.downMu.Lock()
	defer m.downMu.Unlock()
	m.stopped = append(m.stopped, interval{from: began, to: time.Now()})
}

// stoppedBetween returns for how long a member was stopped between two times.
func (m *member) stoppedBetween(from, to time.Time) (sum time.Duration) {
	m.downMu.Lock()
	defer m.downMu.Unlock()
	for _, stopped := range m.stopped {
		sum += max(stopped.within(from, to), 0)
	}
	return sum
}

// stoppedBetween is that of the member with a name.
func (c *clusterRun) stoppedBetween(instance string, from, to time.Time) time.Duration {
	for _, m := range c.instances() {
		if m.name() == instance {
			return m.stoppedBetween(from, to)
		}
	}
	return 0
}

// mayOverlap reports whether the attempts of a request may overlap by its class: it is idempotent, and the far instance
// was asked what became of an attempt and did not say.
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
