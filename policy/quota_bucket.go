package policy

// The arithmetic of a customer's quota: token buckets that refill with time, and what has been taken from them.
// What is admitted, granted or transferred is decided elsewhere.

import (
	"math"
	"time"
)

const (
	idleQuotaTTL  = 5 * time.Second // a quota without a rate is dropped when idle so long
	maxRefillTime = time.Minute     // a longer wait is not reported
)

// quotaScope says which plan bounds a customer, and through which instances its requests come in: so many from
// the first one on, counted round the fleet.
type quotaScope struct {
	plan          int
	instanceCount int
	firstInstance int
}

// includes reports whether an instance is one of the customer's.
func (s quotaScope) includes(instance, fleetSize int) bool {
	return (instance-s.firstInstance+fleetSize)%fleetSize < s.instanceCount
}

// customerQuota is a customer's quota as this instance sees it. Instances that gossip each keep the whole bucket
// and charge it with what the others report; where an owner is asked, it alone keeps the bucket, or a part of it.
type customerQuota struct {
	quotaScope
	hardLimitShare
	key        uint64
	refilledAt time.Duration
	tokens     float64 // units left; below zero after more was spent elsewhere than was known

	unitsSinceGossip   float64 // units sent since the last gossip
	startedSinceGossip int     // requests started since the last gossip
	pendingUnits       float64 // units not yet gossiped, settlements included
	needsGossip        bool    // it is in the pending list
	idleGossipRounds   int     // gossip messages that reported nothing in flight
	inFlight           int     // attempts of this instance
	peerInFlight       []peerCount

	usesOwner      bool          // gossip would come too late: the owner is asked
	instanceSplit  int           // instances over which the capacity is split
	ownerCount     float64       // buckets that the quota is kept in
	grantFraction  float64       // of the latest quota requests
	rejectedUntil  time.Duration // the owner has rejected one and is not asked until then
	recentGrants   []lease       // requests that have taken their units recently
	leases         []lease       // attempts that this owner has granted under a limit in flight
	contendedUntil time.Duration // a request was rejected: until then less is admitted on a guess
}

// refill adds what has come since the last refill.
func (q *customerQuota) refill(plan *Plan, now, transferTimeout time.Duration) {
	elapsed := (now - q.refilledAt).Seconds()
	q.refilledAt = now
	q.tokens = math.Min(q.tokens+plan.Rate/q.ownerCount*elapsed, plan.Burst/q.ownerCount)
	q.expireTransit(now, transferTimeout)
	refilled := q.hardLimitTokens + plan.HardLimitRate*q.rateFraction*elapsed
	q.hardLimitTokens = math.Min(refilled, q.hardLimitCapacity(plan))
}

// fillSinceStart sets what a new quota holds: it has filled since the instance's start, so that one dropped when
// full comes back full.
func (q *customerQuota) fillSinceStart(plan *Plan, uptime time.Duration) {
	q.tokens = math.Min(plan.Burst, plan.Burst/float64(q.instanceSplit)+plan.Rate*uptime.Seconds())
	if q.usesOwner {
		q.tokens = plan.Burst / q.ownerCount
	}
	filled := plan.HardLimitRate * q.rateFraction * uptime.Seconds()
	q.hardLimitTokens = math.Min(plan.HardLimitBurst*q.burstFraction, filled)
}

// take takes units inside the quota; below zero, it gives them back.
func (q *customerQuota) take(plan *Plan, units float64) {
	if plan.Rate <= 0 {
		return
	}
	q.tokens -= units
	q.unitsSinceGossip += units
	q.pendingUnits += units
}

// giveBack returns units to the bucket that were granted and not used.
func (q *customerQuota) giveBack(plan *Plan, units float64) {
	q.tokens = math.Min(q.tokens+units, plan.Burst/q.ownerCount)
}

// charge takes units that another instance has sent, and returns those for which no tokens were left. What
// instances overspend together is paid back, down to one burst.
func (q *customerQuota) charge(plan *Plan, units float64) (overdrawn float64) {
	if plan.Rate <= 0 {
		return 0
	}
	overdrawn = math.Max(math.Min(units, units-q.tokens), 0)
	q.tokens = math.Max(q.tokens-units, -plan.Burst)
	return overdrawn
}

// spentUnits are the units taken from a plan's buckets and not refilled since.
type spentUnits struct {
	quota, hardLimit float64
}

// spent returns what is missing from full buckets.
func (q *customerQuota) spent(plan *Plan) spentUnits {
	return spentUnits{
		quota:     plan.Burst/q.ownerCount - q.tokens,
		hardLimit: plan.HardLimitBurst*q.burstFraction - q.hardLimitTokens,
	}
}

// setSpent leaves full buckets without the units spent.
func (q *customerQuota) setSpent(plan *Plan, spent spentUnits) {
	q.tokens = math.Max(plan.Burst/q.ownerCount-spent.quota, -plan.Burst)
	q.hardLimitTokens = plan.HardLimitBurst*q.burstFraction - spent.hardLimit
}

// inFlightCapacity returns how many more attempts the customer may have in flight, as far as is known. What a
// peer reported longer than a TTL ago counts as zero.
func (q *customerQuota) inFlightCapacity(plan *Plan, self int, now, peerCountTTL time.Duration) int {
	capacity := plan.MaxInFlight - q.inFlight
	for instance, count := range q.peerInFlight {
		if instance != self && now-count.receivedAt < peerCountTTL {
			capacity -= count.inFlight
		}
	}
	q.dropLeases(func(l lease) bool { return now >= l.expiresAt })
	return capacity - len(q.leases)
}

// isIdle reports whether the quota may be dropped: it has been left alone for as long as its buckets take to
// fill, with nothing in flight and nothing to gossip.
func (q *customerQuota) isIdle(plan *Plan, now, transferTimeout time.Duration) bool {
	fillTime := idleQuotaTTL
	if plan.Rate > 0 {
		fillTime = refillTime(2*plan.Burst-q.tokens, plan.Rate)
	}
	fillTime = max(fillTime, refillTimeIf(plan.HardLimitBurst, plan.HardLimitRate), 2*transferTimeout)
	return q.inFlight == 0 && !q.needsGossip && len(q.leases) == 0 && now-q.refilledAt >= fillTime
}

// hardLimitShare is this instance's part of a customer's hard limit. The parts of all instances, with the units in
// transit between them, never hold more than the limit.
type hardLimitShare struct {
	hardLimitTokens float64
	burstFraction   float64    // of the limit's burst
	rateFraction    float64    // of its rate
	unmetUnits      float64    // units rejected for want of it since the last gossip
	peerDeficits    []float64  // per peer: units that it lacks
	unitsInTransit  [2]float64 // sent to peers: since transitSince, and before that
	transitSince    time.Duration
}

// hardLimitCapacity returns what the part holds at most. Units sent to a peer count as held while they may be in
// transit.
func (h *hardLimitShare) hardLimitCapacity(plan *Plan) float64 {
	return plan.HardLimitBurst*h.burstFraction - h.unitsInTransit[0] - h.unitsInTransit[1]
}

// sendUnits takes units off the part that are on their way to a peer.
func (h *hardLimitShare) sendUnits(units float64) {
	h.hardLimitTokens -= units
	h.unitsInTransit[0] += units
}

// expireTransit forgets units that must have arrived or been lost by now.
func (h *hardLimitShare) expireTransit(now, transferTimeout time.Duration) {
	age := now - h.transitSince
	switch {
	case age >= 2*transferTimeout:
		h.unitsInTransit, h.transitSince = [2]float64{}, now
	case age >= transferTimeout:
		h.unitsInTransit = [2]float64{0, h.unitsInTransit[0]}
		h.transitSince += transferTimeout
	}
}

// refillTime returns how long units take to come at a rate per second.
func refillTime(units, rate float64) time.Duration {
	seconds := math.Min(math.Max(units/rate, 0), maxRefillTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// refillTimeIf is refillTime, and 0 where there is no rate.
func refillTimeIf(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return refillTime(units, rate)
}

// splitBetweenGossip returns the parts of what is left that one instance may spend before the others learn
// of it.
func (q *customerQuota) splitBetweenGossip() float64 {
	if q.usesOwner {
		return 1
	}
	return float64(q.instanceSplit)
}
