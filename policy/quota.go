package policy

import (
	"math"
	"time"
)

const (
	contentionWindow      = time.Second // for which a quota counts as contended after a rejection
	contentionTries       = 2           // and at least until so many such requests are refilled
	peerCountTTLIntervals = 10          // gossip intervals after which a peer's count in flight is forgotten
	memberBurstFraction   = 0.5         // of a hard limit's burst, split evenly and not to the owners
	memberRateFraction    = 0.4         // of a hard limit's rate, likewise
	ownerInboxFraction    = 0.3         // of a gossip inbox for one customer's quota requests
)

// splitQuota sets among how many instances a quota is split, and this instance's fractions of it.
func (e *Engine) splitQuota(quota *customerQuota, plan *Plan) {
	quota.instanceSplit = quota.instanceCount
	gossipIsLate := e.gossip.interval > assessmentInterval
	if e.settings.AllowsGossip && quota.instanceCount > 1 && gossipIsLate {
		// As many owners as their gossip inboxes need to receive the quota requests.
		owners := int(math.Ceil(plan.Rate / (ownerInboxFraction * e.settings.GossipInboxRate)))
		quota.usesOwner = true
		quota.instanceSplit = min(max(1, owners), quota.instanceCount)
	}
	// The fractions of a hard limit sum to 1 over all instances. Owners have most of it, for their grants.
	evenFraction := 1 / float64(quota.instanceCount)
	quota.ownerCount, quota.burstFraction, quota.rateFraction = 1, evenFraction, evenFraction
	if quota.usesOwner {
		quota.ownerCount = float64(quota.instanceSplit)
		owned := float64(e.ownedParts(quota)) / quota.ownerCount
		quota.burstFraction = memberBurstFraction*evenFraction + (1-memberBurstFraction)*owned
		quota.rateFraction = memberRateFraction*evenFraction + (1-memberRateFraction)*owned
	}
}

// quotaDemand is what a request needs of its customer's quota.
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
// request is not while the quota is contended: the units are for those that can still be answered in time.
func (e *Engine) checkQuota(quota *customerQuota, demand quotaDemand) quotaDecision {
	if quota.usesOwner { // the bucket is charged at once: no other instance spends from it unseen
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
		window := contentionWindow
		rate := plan.Rate / quota.ownerCount
		if quota.usesOwner {
			window = max(window, refillTime(contentionTries*demand.units, rate))
		}
		quota.contendedUntil = e.now + window
		refilled := refillTime(demand.units-quota.tokens, rate)
		return quotaDecision{retryAfter: max(refilled, min(e.gossip.interval, ownerTimeout))}
	}
	return quotaDecision{isInside: true}
}

// hasInFlightCapacity reports whether one more attempt stays within the limit in flight.
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

// hasTokens reports whether the quota has the units of one more request. The first request after a gossip
// needs only its own units, since a small quota split among the instances would admit none. While the quota
// is contended, all instances would send that one: the bucket must hold it for each, as far as it can.
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
