package scenario

import (
	"context"
	"errors"
	"strconv"
	"time"
)

// setPartitioned partitions a member from all others, or heals its links.
func (c *clusterRun) setPartitioned(m *clusterInstance, cut bool) {
	for key, l := range c.raftLinks {
		if key.from == int(m.id-1) || key.to == int(m.id-1) {
			l.SetCut(cut)
		}
	}
}

// Times of the scenario leader-lost.
const (
	leaderLossCount          = 3
	maxLeaderLossTime        = 5 * time.Second // until a change must be applied again
	leaderChangePollInterval = 2 * time.Millisecond
)

// leaderLost kills the leader in the middle of changes, three times, and restarts it.
func leaderLost(ctx context.Context, c *clusterRun) {
	for range leaderLossCount {
		pause(ctx, c.environment.options.Duration/6)
		if !c.failCurrentLeader(ctx) {
			return
		}
	}
}

// failCurrentLeader finds the leader and kills and restarts it. It reports whether the scenario can continue.
func (c *clusterRun) failCurrentLeader(ctx context.Context) bool {
	leader := c.leader(ctx)
	if leader == nil || ctx.Err() != nil {
		return false
	}
	return c.failLeader(ctx, leader)
}

// failLeader kills the leader, waits for the next applied change and restarts the killed member, whether or not there
// was a change. It reports whether a change was applied and the member is ready again.
func (c *clusterRun) failLeader(ctx context.Context, leader *clusterInstance) bool {
	appliedBefore, _ := c.countApplied()
	c.kill(leader)
	isApplied := c.awaitChangeAfterKill(ctx, appliedBefore, time.Now())
	if isApplied {
		pause(ctx, c.environment.options.Duration/12)
	}
	if err := c.restart(context.WithoutCancel(ctx), leader); err != nil {
		c.reportViolation("%v", err)
		return false
	}
	return isApplied
}

// awaitChangeAfterKill waits until a change is reported to an operator as applied after the leader's kill, and records
// the delay. It reports whether there was one within maxLeaderLossTime. The wait may exceed the scenario's time, the
// deadline of ctx, since the operators go on until the faults have ended. If ctx is canceled, the run has no verdict:
// the wait ends without a violation.
func (c *clusterRun) awaitChangeAfterKill(ctx context.Context, appliedBefore int, killedAt time.Time) bool {
	waitCtx, cancelWait := context.WithDeadline(context.WithoutCancel(ctx), killedAt.Add(maxLeaderLossTime))
	defer cancelWait()
	stopWatching := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancelWait()
		}
	})
	defer stopWatching()
	for {
		applied, lastAppliedAt := c.countApplied()
		if applied > appliedBefore && lastAppliedAt.After(killedAt) {
			break
		}
		pause(waitCtx, leaderChangePollInterval)
		if errors.Is(waitCtx.Err(), context.DeadlineExceeded) {
			c.reportViolation("no change was applied within %v of the leader's kill", time.Since(killedAt))
		}
		if waitCtx.Err() != nil {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderLossDelays = append(c.leaderLossDelays, time.Since(killedAt))
	return true
}

// Times of the scenario minority-cut.
const (
	staleGrace   = 500 * time.Millisecond // after the staleness bound, until a member must act on it
	maxHealTime  = 3 * time.Second        // until a member whose links healed must have caught up
	maxHealedAge = 500                    // milliseconds since the last confirmation of a member that has caught up
)

// minorityCut partitions a member that continues to serve and then one that rejects requests beyond its staleness
// bound.
func minorityCut(ctx context.Context, c *clusterRun) {
	first, last := c.members[0], c.members[len(c.members)-1]
	for _, m := range []*clusterInstance{first, last} {
		pause(ctx, c.environment.options.Duration/10)
		c.setPartitioned(m, true)
		if m == first {
			c.checkServesStale(ctx, m)
		} else {
			c.checkRejectsStale(ctx, m)
		}
		c.setPartitioned(m, false)
		if !c.awaitHealed(ctx, m) {
			return
		}
	}
}

// checkServesStale checks that a partitioned member that may serve stale configuration does so and reports its age.
func (c *clusterRun) checkServesStale(ctx context.Context, m *clusterInstance) {
	pause(ctx, staleTimeout+staleGrace)
	if age := c.configAge(ctx, m); ctx.Err() == nil && age < staleTimeout.Seconds() {
		c.reportViolation("member %d is partitioned for more than %v and reports a configuration age of %v s", m.id,
			staleTimeout, age)
	}
	if !isReady(ctx, m) && ctx.Err() == nil {
		c.reportViolation("member %d is partitioned and not ready, though it may serve stale configuration", m.id)
	}
}

// checkRejectsStale checks that a partitioned member serves until its staleness bound and no longer.
func (c *clusterRun) checkRejectsStale(ctx context.Context, m *clusterInstance) {
	if !isReady(ctx, m) && ctx.Err() == nil {
		c.reportViolation("member %d is not ready before its staleness bound", m.id)
	}
	pause(ctx, staleTimeout+staleGrace)
	if isReady(ctx, m) && ctx.Err() == nil {
		c.reportViolation("member %d is ready beyond its staleness bound", m.id)
	}
}

// awaitHealed waits until a member whose links healed has caught up. It returns false if that takes too long.
func (c *clusterRun) awaitHealed(ctx context.Context, m *clusterInstance) bool {
	healed := time.Now()
	for ctx.Err() == nil {
		if s, err := c.status(ctx, m); err == nil && s.IsServing && s.ConfirmedAgeMs < maxHealedAge {
			break
		}
		if pause(ctx, 5*time.Millisecond); time.Since(healed) > maxHealTime {
			c.reportViolation("member %d does not catch up after its links healed", m.id)
			return false
		}
	}
	return true
}

// configAge returns the configuration's age in seconds, as a member's answers report it, or -1 if none does.
func (c *clusterRun) configAge(ctx context.Context, m *clusterInstance) float64 {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if h, err := m.configHeaders(ctx); err == nil {
			if age, err := strconv.ParseFloat(h.Get("X-Mulleinmux-Config-Age"), 64); err == nil {
				return age
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
	return -1
}

// rollingRestart restarts each member in turn, as for an update.
func rollingRestart(ctx context.Context, c *clusterRun) {
	for _, m := range c.members {
		pause(ctx, c.environment.options.Duration/12)
		if err := c.drainAndRestart(ctx, m); err != nil {
			c.reportViolation("%v", err)
			return
		}
	}
}

// chaosConfig kills and partitions members by the seed, until a sixth of the run is left.
func chaosConfig(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.environment.options.Duration / 6)
	for time.Now().Before(until) && ctx.Err() == nil {
		err := c.restartFailed(ctx)
		if err == nil {
			err = c.injectFault(ctx)
		}
		if err != nil {
			c.reportViolation("%v", err)
			return
		}
		pause(ctx, time.Duration(100+c.rng.IntN(300))*time.Millisecond)
	}
}

// restartFailed restarts the members whose process has ended because their disk failed.
func (c *clusterRun) restartFailed(ctx context.Context) error {
	for _, m := range c.members {
		select {
		case <-m.process.done:
			c.failedDiskCount++
			m.markDown()
			if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

// injectFault kills and restarts a member, or cuts links for a while, by the seed.
func (c *clusterRun) injectFault(ctx context.Context) error {
	m := c.members[c.rng.IntN(len(c.members))]
	other := (int(m.id) + c.rng.IntN(len(c.members)-1)) % len(c.members)
	index := int(m.id - 1)
	switch c.rng.IntN(4) {
	case 0:
		c.kill(m)
		pause(ctx, time.Duration(c.rng.IntN(400))*time.Millisecond)
		return c.restart(context.WithoutCancel(ctx), m)
	case 1: // one-way
		l := c.raftLinks[linkKey{from: index, to: other}]
		l.SetCut(true)
		pause(ctx, time.Duration(300+c.rng.IntN(700))*time.Millisecond)
		l.SetCut(false)
	case 2:
		c.setPartitioned(m, true)
		pause(ctx, time.Duration(300+c.rng.IntN(700))*time.Millisecond)
		c.setPartitioned(m, false)
	default: // a kill while the others are cut from each other
		l := c.raftLinks[linkKey{from: other, to: index}]
		l.SetCut(true)
		pause(ctx, 200*time.Millisecond)
		c.kill(c.members[other])
		l.SetCut(false)
		return c.restart(context.WithoutCancel(ctx), c.members[other])
	}
	return nil
}

// killInstances returns a scenario's faults: they kill and restart random instances of those selected.
func killInstances(selectInstances func(c *clusterRun) []*clusterInstance) func(context.Context, *clusterRun) {
	return func(ctx context.Context, c *clusterRun) {
		for until := c.faultsEnd(ctx); time.Now().Before(until) && ctx.Err() == nil; {
			pause(ctx, time.Duration(200+c.rng.IntN(800))*time.Millisecond)
			all := selectInstances(c)
			m := all[c.rng.IntN(len(all))]
			c.kill(m)
			pause(ctx, time.Duration(c.rng.IntN(1000))*time.Millisecond)
			if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
				c.reportViolation("%v", err)
				return
			}
		}
	}
}

// streamBreaks repeatedly cuts a random third of the links from followers to members and heals the others.
func streamBreaks(ctx context.Context, c *clusterRun) {
	for until := c.faultsEnd(ctx); time.Now().Before(until) && ctx.Err() == nil; {
		for _, l := range c.streamLinks {
			l.SetCut(c.rng.IntN(3) == 0)
		}
		pause(ctx, time.Duration(100+c.rng.IntN(500))*time.Millisecond)
	}
}

// faultsEnd returns when the faults of a scenario end: a quarter of the run before its end.
func (c *clusterRun) faultsEnd(ctx context.Context) time.Time {
	until, _ := ctx.Deadline()
	return until.Add(-c.environment.options.Duration / 4)
}
