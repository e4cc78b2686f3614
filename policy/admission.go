package policy

import (
	"time"
)

// throttleRetryFraction: a throttled client should retry after the latency objective divided by this.
const throttleRetryFraction = 4

// isTooLate reports whether a request is known to come too late for its latency objective. Each try of a
// class begins with the same timeout, of which a later try of the same client has less left. Where its
// response would be worth little, it gives way to those that can still be answered in time. Clients that
// give each try a timeout of its own look younger than they are: those are not held back.
func (e *Engine) isTooLate(r *request) bool {
	objective := e.settings.Classes[r.class].LatencyObjective
	l := &e.latencies.classes[r.class]
	return (l.firstTryTimeout-r.Timeout).Seconds()+l.mean > objective.Seconds()
}

// rejectEarly returns whether a request has to be rejected before its quota is looked at.
func (e *Engine) rejectEarly(r *request) rejection {
	l, plan := &e.latencies.classes[r.class], &e.settings.Plans[r.quota.plan]
	retryAfter := e.settings.Classes[r.class].LatencyObjective / throttleRetryFraction
	switch {
	case e.isOverloaded(r.class, r.Zone, plan.PriorityFactor):
		return rejection{rejectOverloaded, retryAfter}
	case r.isLate && e.overload.occupancy >= highOccupancy:
		return rejection{rejectLate, retryAfter}
	case l.samples >= minBatchSamples && r.Timeout.Seconds() < l.mean:
		return rejection{rejectShortTimeout, retryAfter}
	case r.quota.usesOwner && !r.IsCharged && e.now < r.quota.rejectedUntil && plan.OverQuotaFraction == 0:
		return rejection{rejectQuota, r.quota.rejectedUntil - e.now}
	}
	return rejection{reason: rejectNone}
}

// checkRequestQuota asks whoever knows whether a request is inside its customer's quota.
func (e *Engine) checkRequestQuota(r *request) {
	if r.IsCharged {
		r.Units, r.isGranted = 0, true
		e.admit(r, quotaDecision{isInside: true})
		return
	}
	r.owner = e.ownerFor(r.quota)
	if r.quota.usesOwner && r.owner != e.settings.InstanceIndex {
		e.requestQuota(r)
		return
	}
	decision := e.checkQuota(r.quota, quotaDemand{r.Units, r.isLate})
	if decision.isInside {
		e.takeUnits(r.quota, r.Units)
	}
	e.admit(r, decision)
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (e *Engine) admit(r *request, decision quotaDecision) {
	r.inQuota = decision.isInside
	s, why := e.chooseServer(r, decision.retryAfter)
	if s == nil {
		e.returnUnits(r, r.Units)
		e.reject(r.ID, why)
		e.closeRequest(r)
		return
	}
	if e.planOf(r.quota).HardLimitRate > 0 && !r.isGranted {
		r.quota.hardLimitTokens -= r.Units
	}
	r.quota.startedSinceGossip++
	if !r.inQuota {
		e.overQuota.Sent += r.Units
	}
	e.overload.countAccepted()
	e.retries.earn()
	e.startAttempt(r, s)
}

// chooseServer returns the server for a request's first attempt or, where there is none, how to reject it:
// quota, then hard limit, then overload control, then the servers.
func (e *Engine) chooseServer(r *request, quotaWait time.Duration) (*server, rejection) {
	plan := e.planOf(r.quota)
	if !r.inQuota && !e.mayExceedQuota(plan) {
		return nil, rejection{rejectQuota, quotaWait}
	}
	if !r.isGranted && plan.HardLimitRate > 0 && r.quota.hardLimitTokens < r.Units {
		return nil, rejection{rejectHardLimit, e.missHardLimit(r.quota, r.Units)}
	}
	if !e.overload.admit() {
		objective := e.settings.Classes[r.class].LatencyObjective
		return nil, rejection{rejectThrottled, objective / throttleRetryFraction}
	}
	return e.selectServer(r), rejection{rejectNoServer, assessmentInterval}
}

// missHardLimit notes units that this node's part of a hard limit lacks, and returns when it may have them.
func (e *Engine) missHardLimit(quota *customerQuota, units float64) time.Duration {
	rate := e.planOf(quota).HardLimitRate * quota.rateFraction
	wait := refillTime(units-quota.hardLimitTokens, rate)
	quota.unmetUnits += units
	e.markForGossip(quota)
	if quota.usesOwner {
		return wait
	}
	return min(wait, 2*e.gossip.interval) // a peer may transfer some
}

// mayExceedQuota reports whether a request beyond the quota may go on: only where that earns more than it
// costs and the servers have capacity to spare.
func (e *Engine) mayExceedQuota(p *Plan) bool {
	return p.OverQuotaFraction > p.OverQuotaCost && e.overload.occupancy < e.spareCapacityOccupancy() &&
		e.overload.admitFraction >= 1
}
