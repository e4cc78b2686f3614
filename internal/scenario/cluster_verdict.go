package scenario

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/testserver"
)

// checkRules waits until all members agree and judges the run.
func (c *clusterRun) checkRules(ctx context.Context, clientAttempts []testserver.Attempt, began time.Time) *Verdict {
	w := c.environment
	v := w.newVerdict(ruleAgreement, ruleConfigChanges)
	j := &ruleChecker{v: v}
	history := c.checkAgreement(ctx, j)
	c.checkFollowers(ctx, j)
	arrivals, byTrace := w.arrivals()
	byAddr := map[string]*member{}
	for _, m := range c.instances() {
		byAddr[m.listen] = m
	}
	traces := c.readTraces(j)
	if w.scenario.stopsInstances {
		w.stoppedBetween = c.stoppedBetween
		j.stoppedFor = func(t testserver.Attempt) time.Duration {
			return byAddr[t.Instance].stoppedBetween(t.At, t.Ended)
		}
		j.mayOverlap = traces.mayOverlap
	}
	excused := 0
	j.checkAnswers(clientAttempts, func(t testserver.Attempt) bool {
		wasDown := byAddr[t.Instance].wasDown(t.At, t.Ended)
		if wasDown {
			excused++
		}
		return wasDown
	})
	j.checkEffects(arrivals, byTrace)
	w.checkSites(j)
	j.checkHardLimits(byTrace)
	c.checkCharges(j, byTrace, clientAttempts, byAddr, history)
	checkVersionOrder(j, clientAttempts, byTrace)
	c.checkConfigChanges(j, history)
	w.reportNotes(j)
	j.addFigures(clientAttempts, len(arrivals), time.Since(began))
	v.Figures[figureUnansweredWhileDown] = float64(excused)
	c.addFaultFigures(v)
	c.checkFaults(j, clientAttempts, arrivals, byTrace, history)
	w.checkTraces(j, traces)
	w.explain(j, clientAttempts, byTrace, traces)
	v.judge()
	return v
}

// checkFaults checks what a scenario's own faults have to lead to.
func (c *clusterRun) checkFaults(
	j *ruleChecker,
	clientAttempts []testserver.Attempt,
	arrivals []testserver.Arrival,
	byTrace map[string][]testserver.Arrival,
	history []clusterconfig.HistoryRecord,
) {
	w := c.environment
	if c.surge != nil {
		size := siteSize{servers: w.serverCount(), cores: w.coreCount()}
		c.surge.figures(j, clientAttempts, arrivals, byTrace, size)
	}
	for _, s := range c.isolations {
		c.checkIsolated(j, s, arrivals)
	}
	if c.flapCount > 0 && w.scenario.Name == "flapping" {
		c.checkFlapping(j, history)
	}
}

// addFaultFigures tells of the faults of the run and how long the instances took to agree on them.
func (c *clusterRun) addFaultFigures(v *Verdict) {
	applied, _ := c.countApplied()
	v.Figures["changes"] = float64(applied)
	v.Figures["kills"] = float64(c.killCount)
	v.Figures["disks_failed"] = float64(c.failedDiskCount)
	for i, g := range c.leaderLossDelays {
		v.Figures[fmt.Sprint(figureLeaderLossMs, i+1)] = math.Round(g.Seconds() * 1000)
	}
	for i, l := range c.losses {
		v.Figures[fmt.Sprint(figureSiteLostMs, i+1)] = math.Round(l.untilLost.Seconds() * 1000)
		v.Figures[fmt.Sprint(figureSiteBackMs, i+1)] = math.Round(l.untilBack.Seconds() * 1000)
	}
}

// checkFlapping checks that a site that fails and returns all the time is agreed to be lost no more often than the
// holds allow: a loss takes half a second without an answer, a return a hold that doubles.
func (c *clusterRun) checkFlapping(j *ruleChecker, history []clusterconfig.HistoryRecord) {
	lossCount, maxLosses := 0, 0
	for _, r := range history {
		putsLost := slices.ContainsFunc(r.Changes, func(s string) bool { return strings.HasPrefix(s, "put lost") })
		if putsLost && strings.Contains(r.Reason, "silence") {
			lossCount++
		}
	}
	for spent := time.Duration(0); spent < c.environment.options.For; maxLosses++ {
		spent += 500*time.Millisecond + time.Second<<min(maxLosses, 5)
	}
	j.v.Figures["flaps"] = float64(c.flapCount)
	j.v.Figures["losses_agreed"] = float64(lossCount)
	j.v.Figures["losses_at_most"] = float64(maxLosses)
	if lossCount > maxLosses {
		j.violation(ruleScenario, "the halls were agreed to be lost %d times; their holds allow %d", lossCount, maxLosses)
	}
}

// checkIsolated wants bookings served at both sites while the sites were cut from each other.
func (c *clusterRun) checkIsolated(j *ruleChecker, s interval, arrivals []testserver.Arrival) {
	booked := map[string]int{}
	for _, a := range arrivals {
		if a.Effected && a.Effect == testserver.IdempotentWithKey && a.At.After(s.from) && a.At.Before(s.to) {
			booked[a.Site]++
		}
	}
	for _, h := range c.environment.sites {
		if j.v.Figures[figureBookedIsolated+h.Name] = float64(booked[h.Name]); booked[h.Name] == 0 {
			j.violation(ruleScenario, "%s took no bookings while the sites were cut from each other", h.Name)
		}
	}
}

// checkAgreement waits until all members have the same version and chain, and returns the history.
func (c *clusterRun) checkAgreement(ctx context.Context, j *ruleChecker) []clusterconfig.HistoryRecord {
	for _, l := range c.raftLinks {
		l.setCut(false)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		state, isAgreed := c.agreedState(ctx, j)
		if isAgreed {
			break
		}
		if pause(ctx, 20*time.Millisecond); ctx.Err() != nil {
			j.violation(ruleAgreement, "the members are not of one mind %v after the last change: the last seen is %s",
				settleTimeout, state)
			return nil
		}
	}
	history, err := c.clients[0].History(ctx)
	if err != nil {
		j.violation(ruleAgreement, "history: %v", err)
	}
	return history
}

// agreedState returns the version and hash that the first member serves on, and whether all serve on it. It looks at no
// more members after one that has not installed its version. Those whose disk failed on purpose are restarted.
func (c *clusterRun) agreedState(ctx context.Context, j *ruleChecker) (state string, isAgreed bool) {
	sameCount := 0
	for _, m := range c.members {
		c.restartEnded(m, j)
		s, err := c.status(ctx, m)
		if err != nil || s.InstalledVersion != s.Version {
			break
		}
		seen := fmt.Sprintf("%d %s", s.Version, s.Hash)
		if sameCount == 0 || seen == state {
			state = seen
			sameCount++
		}
	}
	return state, sameCount == len(c.members)
}

// restartEnded starts a member again whose disk failed of late.
func (c *clusterRun) restartEnded(m *member, j *ruleChecker) {
	select {
	case <-m.process.done:
	default:
		return
	}
	if !c.hasChaos {
		return
	}
	c.failedDiskCount++
	m.markDown()
	if err := c.start(m); err != nil {
		j.violation(ruleAgreement, "%v", err)
	}
}

// checkFollowers waits until every member says of every follower that it runs the newest version, and holds that
// against what the follower itself answers.
func (c *clusterRun) checkFollowers(ctx context.Context, j *ruleChecker) {
	for _, l := range c.streamLinks {
		l.setCut(false)
	}
	if len(c.followers) == 0 {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		behind := ""
		for _, client := range c.clients { // each goes to another member first
			behind += c.followersBehind(ctx, client)
		}
		if behind == "" {
			j.v.Figures[figureFollowersSettled] = math.Round(time.Since(began).Seconds()*10) / 10
			return
		}
		if pause(ctx, 50*time.Millisecond); ctx.Err() != nil {
			j.violation(ruleAgreement, "the followers do not run what the members agree on %v after the last fault: %s",
				settleTimeout, behind)
			return
		}
	}
}

// followersBehind says which followers do not run the newest version, by a member or by their own answers; empty: none.
func (c *clusterRun) followersBehind(ctx context.Context, client *cluster.Client) (text string) {
	list, err := client.Followers(ctx)
	if err != nil {
		text += err.Error() + "; "
	}
	for _, f := range c.followers {
		i := slices.IndexFunc(list.Followers,
			func(s configstream.StreamStatus) bool { return s.Name == f.followerName })
		if i < 0 || list.Followers[i].State != "running" || list.Followers[i].Running.Number != list.NewestVersion {
			text += fmt.Sprintf("member %d has version %d, and %s: %+v; ", list.MemberID, list.NewestVersion,
				f.followerName, list.Followers)
		} else if v, err := versionAt(ctx, f); err != nil || v != list.NewestVersion {
			text += fmt.Sprintf("member %d says that %s runs %d, and it runs %d: %v; ", list.MemberID,
				f.followerName, list.NewestVersion, v, err)
		}
	}
	return text
}

// versionAt returns the version that an instance serves on.
func versionAt(ctx context.Context, m *member) (uint64, error) {
	h, err := m.configHeaders(ctx)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(h.Get("X-Mulleinmux-Version"), 10, 64)
}

// configHeaders requests an installer of an instance and returns the header fields of its answer, which tell of the
// configuration.
func (m *member) configHeaders(ctx context.Context) (http.Header, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.listen+"/v1/installers/i1", nil)
	if err != nil {
		return nil, err
	}
	r.Close = true
	r.Header.Set("X-Licensee", "kati-0")
	r.Header.Set("X-Mulleinmux-Explain", "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	return resp.Header, nil
}
