package policy

// Quota owners: an exception for customers whose quota gossip would keep too late, because its interval is
// longer than an assessment. A hash of the customer selects the instance that owns the quota, and the others
// send it quota requests. This covers customers of many instances in large fleets. It adds a round trip to
// each request, and an owner that restarts begins with a full quota.

import "time"

const (
	ownerTimeout          = 100 * time.Millisecond // after which a response counts as lost
	maxOwnerTimeouts      = 3                      // in a row, after which an owner is not waited for
	maxTimeoutsInARow     = 6                      // over all owners, after which none is waited for
	ownerOverloadFraction = 0.6                    // of the gossip inbox, above which retries are delayed
	grantFractionWeight   = 0.1                    // of a new request in the moving average of the grants
)

// requestQuota sends the owner of a request's quota a request for its units, and waits for the
// response unless owners have left several unanswered.
func (e *Engine) requestQuota(r *request) {
	message := quotaRequest{quotaUnits: quotaUnitsOf(r), isLate: r.isLate}
	e.actions.SendGossip(r.owner, e.codec().encodeQuotaRequest(message, e.peerReport()))
	isUnresponsive := e.ownerTimeouts.byOwner[r.owner] >= maxOwnerTimeouts
	if isUnresponsive || e.ownerTimeouts.inARow >= maxTimeoutsInARow {
		e.admitWithoutOwner(r)
		return
	}
	r.awaitsOwner = true
	e.actions.SetTimer(timerToken(timerOwnerTimeout, r.number), ownerTimeout)
}

// admitWithoutOwner admits a request with the probability with which the owner granted recent ones, as far as
// known. This covers lost messages and owners that are down, paused or overloaded. It is wrong by as much as
// that probability has changed since.
func (e *Engine) admitWithoutOwner(r *request) {
	r.ownerUnreachable = true
	e.ownerTimeouts.recordTimeout(r.owner)
	isAdmitted := e.rng.Float64() < r.quota.grantFraction
	e.admit(r, quotaDecision{isAdmitted, ownerTimeout})
	if isAdmitted && len(r.attempts) > 0 {
		message := quotaSpent{quotaUnitsOf(r)}
		e.actions.SendGossip(r.owner, e.codec().encodeQuotaSpent(message, e.peerReport()))
	}
}

// receiveQuotaRequest grants a member's request its units, or rejects it and says when to retry.
func (e *Engine) receiveQuotaRequest(from int, m quotaRequest) {
	quota := e.ownedQuota(from, m.quotaUnits)
	if quota == nil {
		return
	}
	plan := e.planOf(quota)
	decision := e.checkQuota(quota, quotaDemand{m.units, m.isLate})
	isGranted, wait := decision.isInside, decision.retryAfter
	if plan.HardLimitRate > 0 && quota.hardLimitTokens < m.units {
		isGranted = false
	}
	switch {
	case isGranted:
		wait = 0
		e.grant(quota, from, m.quotaUnits)
	case e.gossip.rate > ownerOverloadFraction*e.settings.GossipInboxRate:
		// Rejected requests fill the inbox: the members wait longer, so that together they keep to its
		// fraction. In large fleets all customers' requests at normal load take a third of an inbox.
		members := float64(quota.instanceCount / quota.instanceSplit)
		wait = max(wait, refillTime(members, ownerInboxFraction*e.settings.GossipInboxRate))
	}
	if !m.isLate {
		quota.grantFraction += grantFractionWeight * (boolToFloat(isGranted) - quota.grantFraction)
	}
	response := quotaResponse{m.number, isGranted, wait, quota.grantFraction}
	e.actions.SendGossip(from, e.codec().encodeQuotaResponse(response, e.peerReport()))
}

// receiveQuotaResponse admits the request that has waited for its owner.
func (e *Engine) receiveQuotaResponse(from int, m quotaResponse) {
	e.ownerTimeouts.recordResponse(from)
	r := e.requests.byNumber[m.number]
	if r == nil || r.owner != from || len(r.attempts) > 0 {
		return
	}
	r.inQuota = m.isGranted
	if e.endOwnerWait(r) {
		return
	}
	r.quota.grantFraction = m.grantFraction
	if !m.isGranted {
		r.quota.rejectedUntil = e.now + m.wait
	}
	r.isGranted = m.isGranted
	e.admit(r, quotaDecision{m.isGranted, m.wait})
}

// returnUnits returns units that were not used, and the lease under a limit in flight. Of a request that the
// owner did not answer, only the lease: whether its units were granted is not known.
func (e *Engine) returnUnits(r *request, units float64) {
	if r.ownerUnreachable {
		units = 0
	}
	limitsInFlight := e.planOf(r.quota).MaxInFlight > 0
	holdsNothing := !r.inQuota && !r.ownerUnreachable
	if holdsNothing || units == 0 && !limitsInFlight {
		return
	}
	if !r.quota.usesOwner || r.owner == e.settings.InstanceIndex {
		e.refill(r.quota)
		e.takeUnits(r.quota, -units)
		return
	}
	message := encodeQuotaReturn(quotaReturn{number: r.number, customer: r.quota.key, units: units})
	e.actions.SendGossip(r.owner, message)
	if limitsInFlight && units == 0 {
		e.actions.SendGossip(r.owner, message) // repeated: if lost, the lease would last until it expires
	}
}
