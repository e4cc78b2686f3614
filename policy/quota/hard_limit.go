package quota

// This file has the hard limit: a number of units that a customer's instances together never exceed, even if no message
// between them arrives.

import "time"

// hardLimitShare is this instance's share of a customer's hard limit. The shares of all instances, with the units in
// transit between them, never hold more than the limit.
type hardLimitShare struct {
	hardLimitFractions
	HardLimitTokens float64   // units left
	unmetUnits      float64   // units rejected for lack of tokens since the last gossip message
	peerDeficits    []float64 // units that each peer lacks, by instance; nil if no peer has reported a deficit
	inTransit       unitsInTransit
}

// unitsInTransit are units that were sent to peers and may not have arrived yet.
type unitsInTransit struct {
	since        time.Duration // clock reading at the start of the current period
	units        float64       // sent in the current period
	earlierUnits float64       // sent in the previous period, which lasted one transfer timeout
}

// hardLimitCapacity returns the maximum number of tokens that the share may hold. Units sent to a peer count as held
// while they may be in transit.
func (h *hardLimitShare) hardLimitCapacity(plan *Plan) float64 {
	return plan.HardLimitBurst*h.burstFraction - h.inTransit.units - h.inTransit.earlierUnits
}

// UnitsInTransit returns the units that were sent to peers and may not have arrived yet.
func (h *hardLimitShare) UnitsInTransit() float64 {
	return h.inTransit.units + h.inTransit.earlierUnits
}

// deductTransfer deducts units from the share that are sent to a peer.
func (h *hardLimitShare) deductTransfer(units float64) {
	h.HardLimitTokens -= units
	h.inTransit.units += units
}

// expireTransit removes units from inTransit that must have arrived or been lost.
func (h *hardLimitShare) expireTransit(now, transferTimeout time.Duration) {
	age := now - h.inTransit.since
	switch {
	case age >= 2*transferTimeout:
		h.inTransit = unitsInTransit{since: now}
	case age >= transferTimeout:
		h.inTransit = unitsInTransit{
			since:        h.inTransit.since + transferTimeout,
			earlierUnits: h.inTransit.units,
		}
	}
}

// ExceedsHardLimit reports whether a request's units exceed this instance's share of its customer's hard limit. The
// share that counts is that of the instance that forwards the request or, if an owner grants the units, that of the
// owner.
func (h *hardLimitShare) ExceedsHardLimit(plan *Plan, units float64) bool {
	return plan.HardLimitRate > 0 && h.HardLimitTokens < units
}

// chargeHardLimit deducts units that this instance forwards or grants from its share of the hard limit, if the plan has
// one.
func (h *hardLimitShare) chargeHardLimit(plan *Plan, units float64) {
	if plan.HardLimitRate > 0 {
		h.HardLimitTokens -= units
	}
}

// hardLimitWait returns the delay after which a request beyond the hard limit should be retried: the time until this
// instance's share holds its units or, where units are transferred, until a peer may have sent some. Tokens that were
// handed over count: the retry reaches the successor.
func (q *Quota) hardLimitWait(plan *Plan, units float64, gossipInterval time.Duration) time.Duration {
	wait := refillTime(units-q.HardLimitTokens-q.handedOver.hardLimit, plan.HardLimitRate*q.rateFraction)
	if q.UsesOwner {
		return wait
	}
	return min(wait, 2*gossipInterval)
}

// RejectBeyondHardLimit records that units were rejected for lack of hard limit tokens, so that peers may transfer
// some, and returns the delay after which the request should be retried.
func (t *Table) RejectBeyondHardLimit(quota *Quota, units float64) (retryAfter time.Duration) {
	retryAfter = quota.hardLimitWait(t.PlanOf(quota), units, t.Fleet.GossipInterval)
	if t.handover.isHandedOver {
		retryAfter = max(retryAfter, t.Fleet.quotaUpdateWait())
	}
	quota.unmetUnits += units
	t.MarkForGossip(quota)
	return retryAfter
}
