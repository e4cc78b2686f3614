package policy

import (
	"math"
	"time"
)

const (
	firstTrySteps         = 20 // steps of the first try's timeout in a latency objective
	firstTryDecaySteps    = 10 // times that a step down is smaller: the longest tenth counts
	throttleRetryFraction = 4  // a throttled client should retry after the latency objective divided by this
)

// isTooLate tells whether a request is known to come too late for its latency objective. Each try of a
// class begins with the same timeout, of which a later try of the same client has less left. Where its
// response would be worth little, it gives way to those that can still be answered in time. Clients that
// give each try a timeout of its own look younger than they are: those are not held back.
func (e *Engine) isTooLate(class int, grace time.Duration) bool {
	c, l := &e.settings.Classes[class], &e.latencies.classes[class]
	if l.firstTryTimeout == 0 {
		l.firstTryTimeout = grace
	}
	// A high quantile, not the most: single clients must not make all others look late.
	if step := c.LatencyObjective / firstTrySteps; grace > l.firstTryTimeout {
		l.firstTryTimeout += min(step, grace-l.firstTryTimeout)
	} else {
		l.firstTryTimeout -= min(step/firstTryDecaySteps, l.firstTryTimeout-grace)
	}
	return (l.firstTryTimeout-grace).Seconds()+l.mean > c.LatencyObjective.Seconds()
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (e *Engine) admit(r *request, in bool, wait time.Duration) {
	st, p, ci := r.quota, &e.settings.Plans[r.quota.plan], r.class
	r.inQuota = in
	why := rejectQuota
	var s *server
	// Exception: beyond the quota only where that earns more than it costs and the back end is calm.
	if !in && !e.mayExceedQuota(p) {
	} else if !r.isGranted && st.hardLimitTokens < r.Units && p.HardLimitRate > 0 {
		wait, why = refillTime(r.Units-st.hardLimitTokens, p.HardLimitRate*st.rateFraction), rejectHardLimit
		if st.unmetUnits += r.Units; !st.usesOwner {
			wait = min(wait, 2*e.gossipInterval) // a peer may lend
		}
		e.markForGossip(st)
	} else if !e.overload.admit() {
		wait, why = e.settings.Classes[ci].LatencyObjective/throttleRetryFraction, rejectThrottled
	} else {
		wait, why = samplesPerAssessment*sampleInterval, rejectNoServer
		s = e.selectServer(r)
	}
	if s == nil {
		e.returnUnits(r, r.Units)
		e.reject(r.ID, wait, why)
		e.closeRequest(r)
		return
	}
	if p.HardLimitRate > 0 && !r.isGranted {
		st.hardLimitTokens -= r.Units
	}
	st.startedSinceGossip++
	e.overQuota.Sent += r.Units * boolToFloat(!in)
	e.overload.countAccepted()
	e.retryTokens = math.Min(e.retryTokens+retryTokensPerRequest, maxRetryTokens)
	e.startAttempt(r, s)
}

// mayExceedQuota tells whether a request beyond the quota may go on: only where that earns more than it costs
// and the servers have capacity to spare.
func (e *Engine) mayExceedQuota(p *Plan) bool {
	return p.OverQuotaFraction > p.OverQuotaCost && e.overload.occupancy < e.spareCapacityOccupancy() &&
		e.overload.admitFraction >= 1
}
