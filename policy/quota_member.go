package policy

// The member's side of a quota with an owner: quota requests, the decision if the owner does not respond, and the
// return of unused units. The rules are in policy/quota/member.go.

import "mulleinmux/policy/quota"

// requestQuota sends a quota request to the owner, and has the request wait for the response. If the owner is
// unresponsive, the request is admitted or rejected at once.
func (e *Engine) requestQuota(r *request) {
	message := quota.Request{Charge: chargeOf(r), IsLate: r.isLate}
	report := newPeerReport(e.now, &e.overload, &e.failures)
	e.actions.SendGossip(r.owner, e.quotas.Codec().EncodeRequest(message, report))
	if e.ownerTimeouts.IsUnresponsive(r.owner) {
		e.admitWithoutOwner(r)
		return
	}
	r.awaitsOwner = true
	e.actions.SetTimer(timerToken(timerOwnerTimeout, r.number), quota.OwnerTimeout)
}

// chargeOf returns what a request takes from its customer's quota.
func chargeOf(r *request) quota.Charge {
	return quota.Charge{Number: r.number, Customer: r.quota.Customer, Scope: r.quota.Scope, Units: r.Units}
}

// admitWithoutOwner admits or rejects a request without a response from the quota owner, and sends the owner the number
// of units spent.
func (e *Engine) admitWithoutOwner(r *request) {
	r.decidedWithoutOwner = true
	e.ownerTimeouts.RecordTimeout(r.owner)
	decision := r.quota.DecideWithoutOwner(e.rng.Float64())
	e.admit(r, decision)
	if decision.IsWithinQuota && len(r.attempts) > 0 {
		message := quota.UsageReport{Charge: chargeOf(r)}
		report := newPeerReport(e.now, &e.overload, &e.failures)
		e.actions.SendGossip(r.owner, e.quotas.Codec().EncodeUsageReport(message, report))
	}
}

// receiveQuotaResponse admits or rejects the request that waits for the owner's response. If the request was answered
// during the wait (because its client disconnected, for example), the granted units are returned.
func (e *Engine) receiveQuotaResponse(from int, m quota.Response) {
	e.ownerTimeouts.RecordResponse(from)
	r := e.requests.byNumber[m.Number]
	if r == nil || r.owner != from || len(r.attempts) > 0 {
		return
	}
	r.inQuota = m.IsGranted
	if e.requests.endOwnerWait(r) {
		e.returnUnits(r, r.Units)
		return
	}
	r.quota.RecordResponse(m, e.now)
	r.isGranted = m.IsGranted
	e.admit(r, quota.Decision{
		IsWithinQuota:    m.IsGranted,
		RetryAfter:       m.Wait,
		ExceedsHardLimit: m.ExceedsHardLimit(r.isLate),
	})
}

// endOwnerWait ends a request's wait for the quota owner, and reports whether the request was answered during the wait.
// In that case it is removed from byNumber.
func (t *requestTable) endOwnerWait(r *request) (wasAnswered bool) {
	r.awaitsOwner = false
	if r.isAnswered {
		delete(t.byNumber, r.number)
	}
	return r.isAnswered
}

// returnUnits returns unused units of a request to its quota, on this instance or at the owner, and returns the
// request's lease under an in-flight limit.
func (e *Engine) returnUnits(r *request, units float64) {
	limitsInFlight := e.quotas.PlanOf(r.quota).MaxInFlight > 0
	units, hasReturn := r.quotaToReturn(units, limitsInFlight)
	if !hasReturn {
		return
	}
	if !r.quota.UsesOwner || r.owner == e.settings.InstanceIndex {
		e.quotas.Refill(r.quota, e.now)
		e.quotas.TakeUnits(r.quota, -units)
		return
	}
	message := quota.EncodeReturn(quota.Return{Number: r.number, Customer: r.quota.Customer, Units: units})
	e.actions.SendGossip(r.owner, message)
	if limitsInFlight && units == 0 {
		e.actions.SendGossip(r.owner, message) // sent twice: if it is lost, the lease is held until it expires
	}
}

// quotaToReturn returns how many unused units of a request are to be returned to its quota, and whether there is
// anything to return. If the owner did not respond, it is not known whether the units were granted: only the lease
// under an in-flight limit is returned.
func (r *request) quotaToReturn(unused float64, limitsInFlight bool) (units float64, hasReturn bool) {
	switch {
	case r.decidedWithoutOwner:
		return 0, limitsInFlight
	case r.inQuota:
		return unused, unused != 0 || limitsInFlight
	}
	return 0, false
}
