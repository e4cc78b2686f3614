package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/testserver"
)

// repeatingMix is calmMix with clients that retry a booking after any failure, at any instance.
func repeatingMix() []testserver.RequestTemplate {
	templates := calmMix()
	for i := range templates {
		templates[i].RetriesAnyFailure = true
	}
	return templates
}

// killedHoldingKeys is siteCloses with an instance killed as each site closes: the keys that it has
// sent and not yet announced are lost with it.
func killedHoldingKeys(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	faultsCtx, cancel := context.WithDeadline(ctx, until.Add(-c.environment.options.Duration/6))
	defer cancel()
	c.afterClose = func() {
		m := c.members[c.rng.IntN(len(c.members))]
		c.kill(m)
		pause(faultsCtx, time.Duration(c.rng.IntN(600))*time.Millisecond)
		if err := c.restart(context.WithoutCancel(ctx), m); err != nil {
			c.reportViolation("%v", err)
		}
	}
	siteCloses(faultsCtx, c)
}

// siteCloses alternately closes and reopens each site for keys.
func siteCloses(ctx context.Context, c *clusterRun) {
	for n := 0; ctx.Err() == nil; n++ {
		site := c.environment.sites[n%2]
		for _, isClosed := range []bool{true, false} {
			pause(ctx, time.Duration(300+c.rng.IntN(900))*time.Millisecond)
			if ctx.Err() != nil {
				return
			}
			c.proposeSite(ctx, fmt.Sprintf("%s-%d-%v", clusterconfig.KindSite, n, isClosed), site, isClosed)
			if isClosed && c.afterClose != nil {
				c.afterClose()
			}
		}
	}
}

// proposeSite proposes that a site is closed or open for keys. It does so even if ctx has ended.
func (c *clusterRun) proposeSite(ctx context.Context, id string, site *testserver.Site, isClosed bool) {
	object := clusterconfig.Site{DiscoveryAddress: site.Discovery.Addr().String(), IsClosed: isClosed}
	p := &clusterconfig.Proposal{ID: id,
		Changes: []clusterconfig.Change{clusterconfig.NewPutChange(clusterconfig.KindSite, site.Name, object)}}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operatorTimeout)
	defer cancel()
	if _, err := c.operatorClients[0].Propose(callCtx, p); err != nil {
		c.reportViolation("%s: %v", id, err)
	}
}

// siteLost partitions one site at a time. The instances must detect and agree on the loss, move
// the site's keys, and use the site again once it answers.
func siteLost(ctx context.Context, c *clusterRun) {
	c.partitionSites(ctx, func(int) int { return []int{-1, serversPerSite}[c.rng.IntN(2)] })
}

// siteReturnsEmpty is siteLost with sites that return with cold servers only: one, all or half of them, and sometimes
// the same site twice in a row.
func siteReturnsEmpty(ctx context.Context, c *clusterRun) {
	c.partitionSites(ctx, func(n int) int { return []int{1, serversPerSite, serversPerSite / 2}[n%3] })
}

// serversReplaced kills the warm servers of a site shortly after a cold one has started, while the clients' load
// continues.
func serversReplaced(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	site := c.environment.sites[c.rng.IntN(2)]
	pause(ctx, c.environment.options.Duration/2)
	if _, err := site.StartCold("cold"); err != nil {
		c.reportViolation("%v", err)
	}
	pause(ctx, time.Duration(300+c.rng.IntN(700))*time.Millisecond)
	for n := range c.environment.serverCount() {
		site.Kill(fmt.Sprintf("s%d", n))
	}
	pause(ctx, time.Until(until))
}

// flapping partitions one site and heals it repeatedly, by the seed, until a quarter of the run is left.
func flapping(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.environment.options.Duration / 4)
	site := c.environment.sites[c.rng.IntN(2)]
	for cut := true; time.Now().Before(until) && ctx.Err() == nil; cut = !cut {
		site.SetPartitioned(cut)
		pause(ctx, time.Duration(100+c.rng.IntN(1400))*time.Millisecond)
		c.flapCount++
	}
	site.SetPartitioned(false)
}

// partitionSites repeatedly partitions a random site and has it return with coldServerCount(n) cold servers, where n
// counts the losses from 0. If that is negative, the site returns with its old servers.
func (c *clusterRun) partitionSites(ctx context.Context, coldServerCount func(n int) int) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.environment.options.Duration / 8)
	var last *testserver.Site
	for n := 0; ; n++ {
		pause(ctx, time.Duration(1500+c.rng.IntN(1000))*time.Millisecond)
		if time.Until(until) < 4*time.Second+time.Second<<n || ctx.Err() != nil { // the hold doubles
			return
		}
		site := c.environment.sites[c.rng.IntN(2)]
		if n > 0 && c.rng.IntN(2) == 0 {
			site = last // twice in a row
		}
		last = site
		if !c.partitionSite(ctx, n, site, coldServerCount) {
			return
		}
	}
}

// partitionSite partitions a site and heals it, as loss n, and records how long the instances took to agree on the loss
// and on the return. It reports whether the scenario can continue.
func (c *clusterRun) partitionSite(
	ctx context.Context, n int, site *testserver.Site, coldServerCount func(n int) int) bool {
	lostAt := time.Now()
	site.SetPartitioned(true)
	lossDelay, isLost := c.awaitAgreedLost(ctx, site.Name, true, lostAt)
	pause(ctx, time.Duration(300+c.rng.IntN(1200))*time.Millisecond)
	if servers := coldServerCount(n); servers >= 0 {
		ids := []string{}
		for k := range servers {
			ids = append(ids, fmt.Sprintf("r%d-%d", n, k))
		}
		if err := site.ReplaceServers(ids...); err != nil {
			c.reportViolation("%v", err)
		}
	}
	returnedAt := time.Now()
	site.SetPartitioned(false)
	returnDelay, isBack := c.awaitAgreedLost(ctx, site.Name, false, returnedAt)
	if ctx.Err() != nil {
		return false
	}
	if !isLost || !isBack {
		c.reportViolation("loss %d of %s: agreement in time on the loss: %v, on the return: %v", n+1, site.Name,
			isLost, isBack)
		return false
	}
	c.mu.Lock()
	c.losses = append(c.losses, siteLoss{lossDelay: lossDelay, returnDelay: returnDelay})
	c.mu.Unlock()
	return true
}

// linkDrops repeatedly cuts random links between the sites and heals them, until a sixth of the run is left.
func linkDrops(ctx context.Context, c *clusterRun) {
	until, _ := ctx.Deadline()
	until = until.Add(-c.environment.options.Duration / 6)
	for time.Now().Before(until) && ctx.Err() == nil {
		for _, l := range c.relayLinks {
			if c.rng.IntN(2) == 0 {
				l.SetCut(true)
			}
		}
		pause(ctx, time.Duration(20+c.rng.IntN(200))*time.Millisecond)
		for _, l := range c.relayLinks {
			l.SetCut(false)
		}
		c.flapCount++
		pause(ctx, time.Duration(100+c.rng.IntN(500))*time.Millisecond)
	}
}

// bothCut partitions the sites from each other for a third of the run, from its middle on: relay links and Raft links
// are cut. Each site must continue to serve bookings whose keys it owns.
func bothCut(ctx context.Context, c *clusterRun) {
	pause(ctx, c.environment.options.Duration/2)
	c.setSitesPartitioned(true)
	pause(ctx, cutSettleTime)
	from := time.Now()
	pause(ctx, c.environment.options.Duration/3-cutSettleTime)
	c.isolations = append(c.isolations, interval{from: from, to: time.Now()})
	c.setSitesPartitioned(false)
}

// keyHoldAfterStart is how long instances that have just started accept no bookings: sites may still remember their
// clients' keys from before.
const keyHoldAfterStart = idempotencyTTL

// cutSettleTime is how long after a partition no member can still be confirmed by a majority.
const cutSettleTime = 1500 * time.Millisecond

// setSitesPartitioned cuts all relay and Raft links between the sites, or heals them.
func (c *clusterRun) setSitesPartitioned(cut bool) {
	for key, l := range c.raftLinks {
		if key.from%2 != key.to%2 {
			l.SetCut(cut)
		}
	}
	for _, l := range c.relayLinks {
		l.SetCut(cut)
	}
}

// maxLossDetection is how long the instances may take to agree on a loss or on a return. It includes the hold of the
// third loss.
const maxLossDetection = 6 * time.Second

// awaitAgreedLost waits until the instances agree that a site is lost (want) or not, and returns the time since it
// happened. It returns false if that takes too long.
func (c *clusterRun) awaitAgreedLost(
	ctx context.Context, site string, want bool, since time.Time) (time.Duration, bool) {
	for time.Since(since) < maxLossDetection && ctx.Err() == nil {
		if isLost, err := c.isAgreedLost(ctx, site); err == nil && isLost == want {
			return time.Since(since), true
		}
		pause(ctx, 10*time.Millisecond)
	}
	return 0, false
}

// isAgreedLost reports whether the instances agree that a site is lost and has recovered none of its keys.
func (c *clusterRun) isAgreedLost(ctx context.Context, site string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	agreed, err := c.operatorClients[0].Objects(ctx, false)
	if err != nil {
		return false, err
	}
	text, isLost := agreed.Objects[clusterconfig.KindLostSite][site]
	var object clusterconfig.LostSite
	if isLost && json.Unmarshal(text, &object) == nil && object.RecoveredEighths > 0 {
		isLost = false
	}
	return isLost, nil
}
