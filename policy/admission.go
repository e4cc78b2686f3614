package policy

import (
	"time"
)

const (
	firstTrySteps         = 20 // steps of the first try's timeout in a latency objective
	firstTryDecaySteps    = 10 // times that a step down is smaller: the longest tenth counts
	throttleRetryFraction = 4  // a throttled client should retry after the latency objective divided by this
)

// isTooLate reports whether a request is known to come too late for its latency objective. Each try of a
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

// rejectEarly returns why a request has to be rejected before its quota is looked at, and when to retry.
func (e *Engine) rejectEarly(r *request) (time.Duration, rejectReason) {
	l, plan := &e.latencies.classes[r.class], &e.settings.Plans[r.quota.plan]
	wait := e.settings.Classes[r.class].LatencyObjective / throttleRetryFraction
	switch {
	case e.isOverloaded(r.class, r.Zone, plan.PriorityFactor):
		return wait, rejectOverloaded
	case r.isLate && e.overload.occupancy >= highOccupancy:
		return wait, rejectLate
	case l.samples >= minBatchSamples && r.Timeout.Seconds() < l.mean:
		return wait, rejectShortTimeout
	case r.quota.usesOwner && !r.IsCharged && e.now < r.quota.rejectedUntil && plan.OverQuotaFraction == 0:
		return r.quota.rejectedUntil - e.now, rejectQuota
	}
	return 0, rejectNone
}

// checkRequestQuota asks whoever knows whether a request is inside its customer's quota.
func (e *Engine) checkRequestQuota(r *request) {
	if r.IsCharged {
		r.Units, r.isGranted = 0, true
		e.admit(r, true, 0)
		return
	}
	r.owner = e.ownerFor(r.quota)
	if r.quota.usesOwner && r.owner != e.settings.InstanceIndex {
		e.requestQuota(r)
		return
	}
	inQuota, wait := e.checkQuota(r.quota, quotaDemand{r.Units, r.isLate})
	if inQuota {
		e.takeUnits(r.quota, r.Units)
	}
	e.admit(r, inQuota, wait)
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (e *Engine) admit(r *request, inQuota bool, quotaWait time.Duration) {
	r.inQuota = inQuota
	s, wait, why := e.chooseServer(r, quotaWait)
	if s == nil {
		e.returnUnits(r, r.Units)
		e.reject(r.ID, wait, why)
		e.closeRequest(r)
		return
	}
	if e.settings.Plans[r.quota.plan].HardLimitRate > 0 && !r.isGranted {
		r.quota.hardLimitTokens -= r.Units
	}
	r.quota.startedSinceGossip++
	if !inQuota {
		e.overQuota.Sent += r.Units
	}
	e.overload.countAccepted()
	e.retries.earn()
	e.startAttempt(r, s)
}

// chooseServer returns the server for a request's first attempt or, where it has to be rejected, why and when
// to retry: quota, then hard limit, then overload control, then the servers.
func (e *Engine) chooseServer(r *request, quotaWait time.Duration) (*server, time.Duration, rejectReason) {
	plan := &e.settings.Plans[r.quota.plan]
	if !r.inQuota && !e.mayExceedQuota(plan) {
		return nil, quotaWait, rejectQuota
	}
	if !r.isGranted && plan.HardLimitRate > 0 && r.quota.hardLimitTokens < r.Units {
		return nil, e.missHardLimit(r.quota, r.Units), rejectHardLimit
	}
	if !e.overload.admit() {
		return nil, e.settings.Classes[r.class].LatencyObjective / throttleRetryFraction, rejectThrottled
	}
	return e.selectServer(r), samplesPerAssessment * sampleInterval, rejectNoServer
}

// missHardLimit notes units that this node's part of a hard limit lacks, and returns when it may have them.
func (e *Engine) missHardLimit(quota *customerQuota, units float64) time.Duration {
	rate := e.settings.Plans[quota.plan].HardLimitRate * quota.rateFraction
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
