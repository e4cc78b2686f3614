package policy

// What a customer's quota admits.

import (
	"math"
	"time"
)

const (
	contentionWindow      = time.Second // a customer counts as contended for so long after a rejection
	contentionTries       = 2           // and for as long as it takes to refill so many requests
	peerCountTTLIntervals = 10          // gossip intervals after which a peer's count in flight is forgotten
	memberBurstFraction   = 0.5         // of a hard limit's burst that members have without asking the owner
	memberRateFraction    = 0.4         // and of its rate
	ownerInboxFraction    = 0.3         // of an inbox for one customer's quota requests
)

// splitQuota sets over how many instances a quota is split, and this one's fractions of it.
func (e *Engine) splitQuota(quota *customerQuota, plan *Plan) {
	quota.instanceSplit = quota.instanceCount
	gossipIsLate := e.gossip.interval > assessmentInterval
	if e.settings.AllowsGossip && quota.instanceCount > 1 && gossipIsLate {
		// As many owners as it takes for their inboxes to hold the requests.
		owners := int(math.Ceil(plan.Rate / (ownerInboxFraction * e.settings.GossipInboxRate)))
		quota.usesOwner, quota.instanceSplit = true, min(max(1, owners), quota.instanceCount)
	}
	// Rule 5: the fractions of a hard limit sum to one. Each part counts as empty at its instance's start,
	// since one killed before may have spent it, and has filled since. An owner has most, for its grants.
	evenFraction := 1 / float64(quota.instanceCount)
	quota.ownerCount, quota.burstFraction, quota.rateFraction = 1, evenFraction, evenFraction
	if quota.usesOwner {
		quota.ownerCount = float64(quota.instanceSplit)
		owned := float64(e.ownedParts(quota)) / quota.ownerCount
		quota.burstFraction = memberBurstFraction*evenFraction + (1-memberBurstFraction)*owned
		quota.rateFraction = memberRateFraction*evenFraction + (1-memberRateFraction)*owned
	}
}

// quotaDemand is what a request asks of its customer's quota.
type quotaDemand struct {
	units  float64
	isLate bool // it is known to come too late for its latency objective
}

// quotaDecision says whether a request is inside its customer's quota and, if not, when to retry.
type quotaDecision struct {
	isInside   bool
	retryAfter time.Duration
}

// checkQuota decides whether a demand is inside the customer's quota and, if not, when to retry. A late
// request takes none of a customer that others were rejected for recently: it would cost one that can still
// be answered in time.
func (e *Engine) checkQuota(quota *customerQuota, demand quotaDemand) quotaDecision {
	if quota.usesOwner { // nothing is spent here without the bucket's knowing
		quota.unitsSinceGossip, quota.startedSinceGossip = 0, 0
	}
	if demand.isLate && e.now < quota.contendedUntil {
		return quotaDecision{}
	}
	plan := e.planOf(quota)
	if plan.MaxInFlight > 0 && !e.hasInFlightCapacity(quota, plan) {
		quota.contendedUntil = e.now + contentionWindow
		return quotaDecision{retryAfter: min(e.gossip.interval, ownerTimeout)}
	}
	if plan.Rate > 0 && !e.hasTokens(quota, plan, demand.units) {
		// A bucket that fills slowly is contended for longer.
		window, rate := contentionWindow, plan.Rate/quota.ownerCount
		if quota.usesOwner {
			window = max(window, refillTime(contentionTries*demand.units, rate))
		}
		quota.contendedUntil = e.now + window
		refilled := refillTime(demand.units-quota.tokens, rate)
		return quotaDecision{retryAfter: max(refilled, min(e.gossip.interval, ownerTimeout))}
	}
	return quotaDecision{isInside: true}
}

// hasInFlightCapacity decides whether one more attempt stays within the limit in flight.
func (e *Engine) hasInFlightCapacity(quota *customerQuota, plan *Plan) bool {
	capacity := e.inFlightCapacity(quota)
	needed := 1
	if e.now < quota.contendedUntil && !quota.usesOwner {
		needed = max(min(quota.instanceCount, plan.MaxInFlight/2), 1)
	}
	if capacity < needed {
		return false
	}
	started := quota.startedSinceGossip
	allowance := float64(capacity+started) / quota.splitBetweenGossip()
	return started == 0 || float64(started+1) <= allowance
}

// hasTokens decides whether units are left for one more request. As an exception, one request between
// gossip needs only its units, or the split of a small quota would admit none. Not so for a customer that
// was rejected recently: its instances would all send that one. There the quota must hold it for each, as
// far as it can.
func (e *Engine) hasTokens(quota *customerQuota, plan *Plan, units float64) bool {
	split := quota.splitBetweenGossip()
	needed := units
	if e.now < quota.contendedUntil {
		needed = math.Max(units, math.Min(units*split, plan.Burst/2))
	}
	if quota.tokens < needed {
		return false
	}
	allowance := (quota.tokens + quota.unitsSinceGossip) / split
	return quota.unitsSinceGossip <= 0 || quota.unitsSinceGossip+units <= allowance
}
