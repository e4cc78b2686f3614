package policy

// Owners of quotas: an exception for customers to whose instances gossip comes late (its interval is longer
// than an assessment). One instance, by the customer's hash, owns the quota, and the others ask it. It
// covers customers of many instances in large fleets; it costs two hops of waiting, and an owner that
// restarts begins with a full quota.

import "time"

const (
	ownerTimeout          = 100 * time.Millisecond // a response counts as lost then: two hops' time
	maxOwnerTimeouts      = 3                      // timeouts in a row after which an owner is not waited for
	maxTimeoutsInARow     = 6                      // timeouts in a row over all owners after which none is
	ownerOverloadFraction = 0.6                    // of an inbox from which rejected members have to pause
	grantFractionWeight   = 0.1                    // of a new request in the granted fraction's average
)

// requestQuota asks the owner of a request's quota for its units.
func (e *Engine) requestQuota(r *request) {
	message := quotaRequest{quotaUnits: quotaUnitsOf(r), isLate: r.isLate}
	e.actions.SendGossip(r.owner, e.codec().encodeQuotaRequest(message, e.peerReport()))
	isUnresponsive := e.ownerTimeouts.byOwner[r.owner] >= maxOwnerTimeouts
	if isUnresponsive || e.ownerTimeouts.inARow >= maxTimeoutsInARow {
		e.ownerTimedOut(r)
		return
	}
	r.awaitsOwner = true
	e.actions.SetTimer(timerToken(timerOwnerTimeout, r.number), ownerTimeout)
}

// ownerTimedOut goes by the fraction of requests that the owner granted recently, as far as it is known. It
// covers lost messages and owners that are down, paused or overloaded; it harms while that fraction changes
// unseen.
func (e *Engine) ownerTimedOut(r *request) {
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
		// More members ask in vain than the inbox takes: each pauses until it is its turn again. In large
		// fleets a third of an inbox is what all customers' requests come to at normal load.
		turns := float64(quota.instanceCount / quota.instanceSplit)
		wait = max(wait, refillTime(turns, ownerInboxFraction*e.settings.GossipInboxRate))
	}
	if !m.isLate {
		quota.grantFraction += grantFractionWeight * (boolToFloat(isGranted) - quota.grantFraction)
	}
	response := quotaResponse{m.number, isGranted, wait, quota.grantFraction}
	e.actions.SendGossip(from, e.codec().encodeQuotaResponse(response, e.peerReport()))
}

// receiveQuotaResponse goes on with the request that has waited for its owner.
func (e *Engine) receiveQuotaResponse(from int, m quotaResponse) {
	e.ownerTimeouts.recordResponse(from)
	r := e.requests.byNumber[m.number]
	if r == nil || r.owner != from || len(r.attempts) > 0 {
		return
	}
	r.inQuota = m.isGranted
	if e.clientLeft(r) {
		return
	}
	r.quota.grantFraction = m.grantFraction
	if !m.isGranted {
		r.quota.rejectedUntil = e.now + m.wait
	}
	r.isGranted = m.isGranted
	e.admit(r, quotaDecision{m.isGranted, m.wait})
}

// returnUnits returns units that were not sent, and a place under the limit in flight. Whether an unanswered
// request was granted is not known: only its place is surely free.
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
		e.actions.SendGossip(r.owner, message) // a lost one would block a place for long
	}
}
