package quota

// This file decides whether a request is within its customer's quota, when to retry it if it is not, and whether it may
// be forwarded beyond the quota.

import (
	"math"
	"time"
)

const (
	contentionWindow      = time.Second // shortest time for which a quota counts as contended after a rejection
	contentionRequests    = 2           // requests whose units an owner's quota must refill before its contention ends
	peerCountTTLIntervals = 10          // gossip intervals after which a peer's count in flight expires
)

// Demand is what a request needs from its customer's quota.
type Demand struct {
	Units  float64
	IsLate bool // the request is known to miss its latency objective
}

// Decision is whether a request is within its customer's quota and, if not, when to retry it.
type Decision struct {
	IsWithinQuota    bool
	RetryAfter       time.Duration
	ExceedsHardLimit bool // the owner has rejected the request for the hard limit alone
}

// Check decides whether a demand is within the customer's quota: its units within the rate, and one more attempt within
// the limit in flight. A late request is rejected while the quota is contended, since the units are reserved for
// requests that can still meet their latency objective. A rejection for lack of units or of capacity in flight makes
// the quota contended for a while.
func (t *Table) Check(quota *Quota, demand Demand, now time.Duration) Decision {
	if quota.UsesOwner { // the bucket is charged at once: no other instance spends from it unseen
		quota.unitsSinceGossip, quota.startedSinceGossip = 0, 0
	}
	isContended := now < quota.ContendedUntil
	if demand.IsLate && isContended {
		return Decision{}
	}
	plan := t.PlanOf(quota)
	if plan.MaxInFlight > 0 && !quota.hasInFlightCapacity(plan, t.inFlightCapacity(quota, now), isContended) {
		quota.ContendedUntil = now + contentionWindow
		return Decision{RetryAfter: t.Fleet.quotaUpdateWait()}
	}
	if plan.Rate > 0 && !quota.hasTokens(plan, demand.Units, isContended) {
		quota.ContendedUntil = now + quota.contentionTime(plan, demand.Units)
		return Decision{RetryAfter: max(quota.refillWait(plan, demand.Units), t.Fleet.quotaUpdateWait())}
	}
	return Decision{IsWithinQuota: true}
}

// hasInFlightCapacity reports whether one more attempt stays within the limit in flight, of which capacity attempts are
// left. Between two gossip messages the instances split this capacity evenly. While the quota is contended, every
// instance would start an attempt: the capacity must suffice for all of them, up to half of the limit.
func (q *Quota) hasInFlightCapacity(plan *Plan, capacity int, isContended bool) bool {
	needed := 1
	if isContended && !q.UsesOwner {
		needed = max(min(q.InstanceCount, plan.MaxInFlight/2), 1)
	}
	if capacity < needed {
		return false
	}
	started := q.startedSinceGossip
	allowance := float64(capacity+started) / q.admittingInstances()
	return started == 0 || float64(started+1) <= allowance
}

// hasTokens reports whether the bucket holds the units of one more request. Between two gossip messages the instances
// split the tokens evenly, but the first request after a gossip message needs only its own units, since a small quota
// split among the instances would admit none. While the quota is contended, every instance would send that first
// request: the bucket must hold the units for all of them, up to half of its burst.
func (q *Quota) hasTokens(plan *Plan, units float64, isContended bool) bool {
	instances := q.admittingInstances()
	needed := units
	if isContended {
		needed = math.Max(units, math.Min(units*instances, plan.Burst/2))
	}
	if q.Tokens < needed {
		return false
	}
	allowance := (q.Tokens + q.unitsSinceGossip) / instances
	return q.unitsSinceGossip <= 0 || q.unitsSinceGossip+units <= allowance
}

// contentionTime returns how long a quota that lacks the units of a request counts as contended.
func (q *Quota) contentionTime(plan *Plan, units float64) time.Duration {
	if !q.UsesOwner {
		return contentionWindow
	}
	return max(contentionWindow, refillTime(contentionRequests*units, plan.Rate/q.bucketCount))
}

// refillWait returns how long the bucket takes to hold the units of a request. Tokens that were handed over count: the
// retry reaches the successor.
func (q *Quota) refillWait(plan *Plan, units float64) time.Duration {
	return refillTime(units-q.Tokens-q.handedOver.quota, plan.Rate/q.bucketCount)
}

// quotaUpdateWait returns the shortest retry delay of a request beyond its quota: the time until this instance receives
// what other instances have taken or returned.
func (f *Fleet) quotaUpdateWait() time.Duration { return min(f.GossipInterval, OwnerTimeout) }

// MayExceedQuota reports whether a request beyond its customer's quota may be forwarded: only if that earns more than
// it costs and the servers have spare capacity.
func (p *Plan) MayExceedQuota(hasSpareCapacity bool) bool {
	return p.OverQuotaFraction > p.OverQuotaCost && hasSpareCapacity
}

// MayHedge reports whether a hedged request may be sent: the limit in flight must still have room for the customer's
// next request on each instance.
func (t *Table) MayHedge(quota *Quota, now time.Duration) bool {
	limit := t.PlanOf(quota).MaxInFlight
	return limit == 0 || t.inFlightCapacity(quota, now) > quota.InstanceCount
}
