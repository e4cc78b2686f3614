// Package quota limits each customer to the units, attempts in flight and hard limit of its plan, over all instances of
// a fleet together. It makes decisions and encodes messages, and performs no I/O: the caller passes in the time, as
// readings of one clock that never goes backwards, and sends messages through a [Sender].
//
// A [Table] holds the customers' quotas and applies the rules: whether a request is within its quota (check.go), this
// instance's share of a hard limit (hard_limit.go) and the transfer of units between shares (transfer.go). In small
// fleets, instances report the units that they have taken to each other by [Gossip]. Where gossip would arrive too
// late, one or more of the customer's instances own its quota (split.go): members send them quota requests (member.go),
// and the owners grant units (owner.go). [Codec] encodes and decodes the messages.
//
// Callers may rely on these invariants: the shares of a hard limit, with the units in transit between them, never hold
// more than the limit; a message that arrives twice or late charges no units twice; the order of quotas in messages and
// sweeps depends only on the sequence of calls.
package quota

// This file has the arithmetic of a customer's quota: refilling its token buckets, taking units and returning them.

import (
	"math"
	"time"
)

const (
	idleQuotaTTL  = 5 * time.Second // idle time after which a quota without a rate is dropped
	maxRefillTime = time.Minute     // upper bound of a computed refill time
)

// Quota is the state of a customer's quota on this instance. Instances that gossip each keep the complete bucket and
// charge it with the units that their peers report. Where the quota has owners, each owner keeps its part of the
// bucket, and the other instances send it quota requests. Callers must not modify any field other than InFlight.
type Quota struct {
	Customer uint64
	Scope
	quotaSplit

	// Units.
	refilledAt time.Duration // clock reading of the last refill
	Tokens     float64       // units left; negative after other instances took units that were not yet reported here
	hardLimitShare
	handedOver bucketTokens // given away to the successor process

	// Attempts in flight.
	InFlight     int         // attempts of this instance, counted by the caller
	peerInFlight []peerCount // by instance; nil if no peer has reported a count

	ContendedUntil time.Duration // end of contention after a rejection; until then instances admit with more reserve

	// Gossip.
	unitsSinceGossip   float64 // units taken since the last gossip message
	startedSinceGossip int     // requests started since the last gossip message
	pendingUnits       float64 // units not yet gossiped, including corrections of estimated units
	needsGossip        bool    // the quota is in the table's pending list
	idleGossipRounds   int     // consecutive gossip messages that reported nothing in flight

	// Only for a quota with owners.
	ownerGrants                 // on the owner: what it has granted
	GrantFraction float64       // granted fraction of recent quota requests, a moving average
	RejectedUntil time.Duration // on a member: the owner has rejected a request and is sent none until then
}

// refill adds the units accrued since the last refill.
func (q *Quota) refill(plan *Plan, now, transferTimeout time.Duration) {
	elapsed := (now - q.refilledAt).Seconds()
	q.refilledAt = now
	q.Tokens = math.Min(q.Tokens+plan.Rate/q.bucketCount*elapsed, plan.Burst/q.bucketCount)
	q.expireTransit(now, transferTimeout)
	refilled := q.HardLimitTokens + plan.HardLimitRate*q.rateFraction*elapsed
	q.HardLimitTokens = math.Min(refilled, q.hardLimitCapacity(plan))
}

// fillSinceStart sets the tokens of a new quota as if it had been refilled since the instance's start, so that a quota
// that was dropped when full is full again. The share of a hard limit is empty at the start, since an earlier process
// may have used it up.
func (q *Quota) fillSinceStart(plan *Plan, uptime time.Duration) {
	q.Tokens = math.Min(plan.Burst, plan.Burst/float64(q.partCount)+plan.Rate*uptime.Seconds())
	if q.UsesOwner {
		q.Tokens = plan.Burst / q.bucketCount
	}
	filled := plan.HardLimitRate * q.rateFraction * uptime.Seconds()
	q.HardLimitTokens = math.Min(plan.HardLimitBurst*q.burstFraction, filled)
}

// take takes units from the quota. Negative units are returned to it.
func (q *Quota) take(plan *Plan, units float64) {
	if plan.Rate <= 0 {
		return
	}
	q.Tokens -= units
	q.unitsSinceGossip += units
	q.pendingUnits += units
}

// returnUnits returns units to the quota that were granted and not used.
func (q *Quota) returnUnits(plan *Plan, units float64) {
	q.Tokens = math.Min(q.Tokens+units, plan.Burst/q.bucketCount)
}

// charge takes units that another instance has used, and returns how many of them exceeded the tokens left. Tokens may
// become negative, down to minus one burst, so that later requests pay for what the instances overspent together.
func (q *Quota) charge(plan *Plan, units float64) (overdrawn float64) {
	if plan.Rate <= 0 {
		return 0
	}
	overdrawn = math.Max(math.Min(units, units-q.Tokens), 0)
	q.Tokens = math.Max(q.Tokens-units, -plan.Burst)
	return overdrawn
}

// spentUnits are the units taken from a plan's buckets and not refilled since.
type spentUnits struct {
	quota, hardLimit float64
}

// spent returns the units that the buckets lack to be full.
func (q *Quota) spent(plan *Plan) spentUnits {
	return spentUnits{
		quota:     plan.Burst/q.bucketCount - q.Tokens,
		hardLimit: plan.HardLimitBurst*q.burstFraction - q.HardLimitTokens,
	}
}

// setSpent sets the tokens to those of full buckets less the units spent.
func (q *Quota) setSpent(plan *Plan, spent spentUnits) {
	q.Tokens = math.Max(plan.Burst/q.bucketCount-spent.quota, -plan.Burst)
	q.HardLimitTokens = plan.HardLimitBurst*q.burstFraction - spent.hardLimit
}

// inFlightCapacity returns how many more attempts the customer may have in flight, given the counts that peers last
// reported. A peer's count that is older than peerCountTTL counts as zero.
func (q *Quota) inFlightCapacity(plan *Plan, self int, now, peerCountTTL time.Duration) int {
	capacity := plan.MaxInFlight - q.InFlight
	for instance, count := range q.peerInFlight {
		if instance != self && now-count.receivedAt < peerCountTTL {
			capacity -= count.inFlight
		}
	}
	q.dropExpiredLeases(now)
	return capacity - len(q.leases)
}

// isIdle reports whether the quota may be dropped: it has not been used for as long as its buckets take to fill, and it
// has nothing in flight and nothing to gossip.
func (q *Quota) isIdle(plan *Plan, now, transferTimeout time.Duration) bool {
	fillTime := idleQuotaTTL
	if plan.Rate > 0 {
		fillTime = refillTime(2*plan.Burst-q.Tokens, plan.Rate)
	}
	fillTime = max(fillTime, refillTimeOrZero(plan.HardLimitBurst, plan.HardLimitRate), 2*transferTimeout)
	return q.InFlight == 0 && !q.needsGossip && len(q.leases) == 0 && now-q.refilledAt >= fillTime
}

// refillTime returns how long a bucket takes to gain the units at a rate per second, at most maxRefillTime.
func refillTime(units, rate float64) time.Duration {
	seconds := math.Min(math.Max(units/rate, 0), maxRefillTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// refillTimeOrZero returns refillTime, or 0 if there is no rate.
func refillTimeOrZero(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return refillTime(units, rate)
}
