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

// checkRules waits until all members agree, checks all rules and returns the verdict.
func (c *clusterRun) checkRules(ctx context.Context, clientAttempts []testserver.Attempt, began time.Time) *Verdict {
	env := c.environment
	v := env.newVerdict(ruleAgreement, ruleConfigChanges)
	checker := &ruleChecker{verdict: v}
	history := c.checkAgreement(ctx, checker)
	c.checkFollowers(ctx, checker)
	arrivals, byTrace := env.arrivals()
	instanceByAddr := map[string]*clusterInstance{}
	for _, m := range c.instances() {
		instanceByAddr[m.listen] = m
	}
	traces := c.readTraces(checker)
	if env.scenario.stopsInstances {
		env.stoppedBetween = c.stoppedBetween
		checker.stoppedFor = func(attempt testserver.Attempt) time.Duration {
			return instanceByAddr[attempt.Instance].stoppedBetween(attempt.At, attempt.Ended)
		}
		checker.mayOverlap = traces.mayOverlap
	}
	unansweredWhileDown := 0
	checker.checkAnswers(clientAttempts, func(attempt testserver.Attempt) bool {
		wasDown := instanceByAddr[attempt.Instance].wasDown(attempt.At, attempt.Ended)
		if wasDown {
			unansweredWhileDown++
		}
		return wasDown
	})
	checker.checkEffects(arrivals, byTrace)
	checker.checkClientsLeft(clientAttempts, byTrace)
	env.checkSites(checker)
	checker.checkHardLimits(byTrace)
	c.checkCharges(checker, byTrace, clientAttempts, instanceByAddr, history)
	checkVersionOrder(checker, clientAttempts, byTrace)
	c.checkConfigOperations(checker, history)
	env.addScenarioViolations(checker)
	checker.addFigures(clientAttempts, len(arrivals), time.Since(began))
	v.Figures[figureUnansweredWhileDown] = float64(unansweredWhileDown)
	c.addFaultFigures(v)
	c.checkFaults(checker, clientAttempts, arrivals, byTrace, history)
	env.checkTraces(checker, traces)
	env.explain(checker, clientAttempts, byTrace, traces)
	v.setOK()
	return v
}

// checkFaults checks the expected effects of the scenario's faults.
func (c *clusterRun) checkFaults(
	checker *ruleChecker,
	clientAttempts []testserver.Attempt,
	arrivals []testserver.Arrival,
	byTrace map[string][]testserver.Arrival,
	history []clusterconfig.HistoryRecord,
) {
	env := c.environment
	if c.outage != nil {
		size := siteSize{servers: env.serverCount(), cores: env.coreCount()}
		c.outage.addFigures(checker, clientAttempts, arrivals, byTrace, size)
	}
	for _, s := range c.isolations {
		c.checkIsolated(checker, s, arrivals)
	}
	if c.flapCount > 0 && env.scenario.Name == "flapping" {
		c.checkFlapping(checker, history)
	}
}

// addFaultFigures adds the numbers of faults, and how long the instances took to agree on them.
func (c *clusterRun) addFaultFigures(v *Verdict) {
	applied, _ := c.countApplied()
	v.Figures["changes"] = float64(applied)
	v.Figures["kills"] = float64(c.killCount)
	v.Figures["disks_failed"] = float64(c.failedDiskCount)
	for i, g := range c.leaderLossDelays {
		v.Figures[fmt.Sprint(figureLeaderLossMs, i+1)] = math.Round(g.Seconds() * 1000)
	}
	for i, l := range c.losses {
		v.Figures[fmt.Sprint(figureSiteLostMs, i+1)] = math.Round(l.lossDelay.Seconds() * 1000)
		v.Figures[fmt.Sprint(figureSiteBackMs, i+1)] = math.Round(l.returnDelay.Seconds() * 1000)
	}
}

// checkFlapping checks that a site that fails and returns repeatedly is agreed to be lost no more often than the hold
// times allow: a loss is detected after half a second without an answer, and the hold before a return doubles each
// time.
func (c *clusterRun) checkFlapping(checker *ruleChecker, history []clusterconfig.HistoryRecord) {
	lossCount, maxLosses := 0, 0
	for _, r := range history {
		putsLost := slices.ContainsFunc(r.Changes, func(s string) bool { return strings.HasPrefix(s, "put lost") })
		if putsLost && strings.Contains(r.Reason, "silence") {
			lossCount++
		}
	}
	for spent := time.Duration(0); spent < c.environment.options.Duration; maxLosses++ {
		spent += 500*time.Millisecond + time.Second<<min(maxLosses, 5)
	}
	checker.verdict.Figures["flaps"] = float64(c.flapCount)
	checker.verdict.Figures["losses_agreed"] = float64(lossCount)
	checker.verdict.Figures["losses_at_most"] = float64(maxLosses)
	if lossCount > maxLosses {
		checker.violation(ruleScenario, "%d losses of sites were agreed on, but the hold times allow at most %d", lossCount,
			maxLosses)
	}
}

// checkIsolated checks that both sites served bookings while they were partitioned from each other.
func (c *clusterRun) checkIsolated(checker *ruleChecker, s interval, arrivals []testserver.Arrival) {
	booked := map[string]int{}
	for _, a := range arrivals {
		if a.HadEffect && a.Effect == testserver.IdempotentWithKey && a.At.After(s.from) && a.At.Before(s.to) {
			booked[a.Site]++
		}
	}
	for _, site := range c.environment.sites {
		if checker.verdict.Figures[figureBookedIsolated+site.Name] = float64(booked[site.Name]); booked[site.Name] == 0 {
			checker.violation(ruleScenario, "%s served no bookings while the sites were partitioned from each other", site.Name)
		}
	}
}

// checkAgreement heals the links between members, waits until all members have the same version and hash, and returns
// the history.
func (c *clusterRun) checkAgreement(ctx context.Context, checker *ruleChecker) []clusterconfig.HistoryRecord {
	for _, l := range c.raftLinks {
		l.SetCut(false)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		state, isAgreed := c.agreedState(ctx, checker)
		if isAgreed {
			break
		}
		if pause(ctx, 20*time.Millisecond); ctx.Err() != nil {
			checker.violation(ruleAgreement,
				"the members disagree %v after the last change: the last version and hash seen are %s",
				settleTimeout, state)
			return nil
		}
	}
	history, err := c.operatorClients[0].History(ctx)
	if err != nil {
		checker.violation(ruleAgreement, "history: %v", err)
	}
	return history
}

// agreedState returns the version and hash that the first member serves, and whether all members serve the same. It
// stops at a member without status or that has not installed its version. Members that ended by an injected disk
// failure are restarted.
func (c *clusterRun) agreedState(ctx context.Context, checker *ruleChecker) (state string, isAgreed bool) {
	sameCount := 0
	for _, m := range c.members {
		c.restartEnded(m, checker)
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

// restartEnded restarts a member whose process has ended because its disk failed.
func (c *clusterRun) restartEnded(m *clusterInstance, checker *ruleChecker) {
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
		checker.violation(ruleAgreement, "%v", err)
	}
}

// checkFollowers waits until every member reports that every follower runs the newest version, and the followers' own
// answers confirm it.
func (c *clusterRun) checkFollowers(ctx context.Context, checker *ruleChecker) {
	for _, l := range c.streamLinks {
		l.SetCut(false)
	}
	if len(c.followers) == 0 {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		behind := ""
		for _, client := range c.operatorClients { // each tries a different member first
			behind += c.followersBehind(ctx, client)
		}
		if behind == "" {
			checker.verdict.Figures[figureFollowersSettled] = math.Round(time.Since(began).Seconds()*10) / 10
			return
		}
		if pause(ctx, 50*time.Millisecond); ctx.Err() != nil {
			checker.violation(ruleAgreement, "the followers do not run the newest version %v after the last fault: %s",
				settleTimeout, behind)
			return
		}
	}
}

// followersBehind describes the followers that don't run the newest version, according to a member or to their own
// answers. It returns an empty text if all do.
func (c *clusterRun) followersBehind(ctx context.Context, client *cluster.Client) (text string) {
	list, err := client.Followers(ctx)
	if err != nil {
		text += err.Error() + "; "
	}
	for _, f := range c.followers {
		i := slices.IndexFunc(list.Followers,
			func(s configstream.ObservedStatus) bool { return s.Name == f.followerName })
		if i < 0 || list.Followers[i].State != "running" || list.Followers[i].Running.Number != list.NewestVersion {
			text += fmt.Sprintf("member %d has version %d, and %s: %+v; ", list.MemberID, list.NewestVersion,
				f.followerName, list.Followers)
		} else if v, err := servedVersion(ctx, f); err != nil || v != list.NewestVersion {
			text += fmt.Sprintf("member %d reports that %s runs version %d, but it runs %d: %v; ", list.MemberID,
				f.followerName, list.NewestVersion, v, err)
		}
	}
	return text
}

// servedVersion returns the version that an instance serves.
func servedVersion(ctx context.Context, m *clusterInstance) (uint64, error) {
	h, err := m.configHeaders(ctx)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(h.Get("X-Mulleinmux-Version"), 10, 64)
}

// configHeaders sends an instance a request with the explain header and returns the header fields of its answer, which
// contain the configuration's version and age.
func (m *clusterInstance) configHeaders(ctx context.Context) (http.Header, error) {
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
