package policy

import (
	"math"
	"time"
)

const idleQuotaTTL = 5 * time.Second // a quota without a rate is dropped when idle so long

// customerQuota is a customer's quota as this gateway sees it.
type customerQuota struct {
	key                uint64
	plan               int
	instanceCount      int
	firstInstance      int
	refilledAt         time.Duration
	tokens             float64 // units left of the quota
	hardLimitTokens    float64 // units left of this gateway's part of the ceiling
	unitsSinceGossip   float64 // units sent since the last tell
	pendingUnits       float64 // units to tell, settlements included
	inFlight           int     // attempts out
	startedSinceGossip int     // tries sent since the last tell
	idleGossipRounds   int     // tells that said nothing is out
	needsGossip        bool
	peerInFlight       []peerCount   // per peer: attempts out there
	usesOwner          bool          // its holder is asked; tells would come too late
	instanceSplit      int           // gateways over which the room is split
	ownerCount         float64       // stores that the quota is kept in
	grantFraction      float64       // share of asks that were granted of late
	rejectedUntil      time.Duration // no ask until then: the holder has refused
	recentGrants       []lease       // asks that have taken their units of late
	leases             []lease       // attempts that this holder has granted under an open cap
	burstFraction      float64       // this gateway's part of the ceiling's burst
	rateFraction       float64       // and of its rate
	contendedUntil     time.Duration // refused of late: until then, less is spent on a chance
	unmetUnits         float64       // units refused for want of the ceiling since the last tell
	peerDeficits       []float64     // per peer: units of the ceiling that it lacks
	unitsInTransit     [2]float64    // units of the ceiling that were lent and may be under way: of late, and before
	transitSince       time.Duration // since when the first of these counts
}

// quotaFor returns the customer's store, filled up to now.
func (e *Engine) quotaFor(key uint64, plan, spread, first int) *customerQuota {
	st := e.quotas[key]
	p := &e.settings.Plans[plan]
	if st == nil {
		st = &customerQuota{key: key, plan: plan, instanceCount: spread, firstInstance: first, refilledAt: e.now, grantFraction: 1}
		e.splitQuota(st, p)
		// Filled since this gateway's start: a store dropped when full comes back full.
		st.tokens = math.Min(p.Burst, p.Burst/float64(st.instanceSplit)+p.Rate*(e.now-e.startedAt).Seconds())
		if st.usesOwner {
			st.tokens = p.Burst / st.ownerCount
		}
		st.hardLimitTokens = math.Min(p.HardLimitBurst*st.burstFraction,
			p.HardLimitRate*st.rateFraction*(e.now-e.startedAt).Seconds())
		e.quotas[key] = st
		e.quotaList = append(e.quotaList, st)
	}
	e.refill(st)
	return st
}

// changePlan moves a store, filled up to now, from the figures of one plan to those of another. What was
// spent stays spent, of the quota and of the ceiling; under a first ceiling the store begins empty, as at a
// start.
func (e *Engine) changePlan(st *customerQuota, old Plan, plan int) {
	p := &e.settings.Plans[plan]
	spent, over := old.Burst/st.ownerCount-st.tokens, old.HardLimitBurst*st.burstFraction-st.hardLimitTokens
	st.plan = plan
	e.splitQuota(st, p)
	st.tokens = math.Max(p.Burst/st.ownerCount-spent, -p.Burst)
	if st.hardLimitTokens = p.HardLimitBurst*st.burstFraction - over; old.HardLimitRate <= 0 {
		st.hardLimitTokens = 0
	}
}

func (e *Engine) refill(st *customerQuota) {
	p := &e.settings.Plans[st.plan]
	dt := (e.now - st.refilledAt).Seconds()
	st.refilledAt = e.now
	st.tokens = math.Min(st.tokens+p.Rate/st.ownerCount*dt, p.Burst/st.ownerCount)
	if age := e.now - st.transitSince; age >= 2*e.transferTimeout() {
		st.unitsInTransit, st.transitSince = [2]float64{}, e.now
	} else if age >= e.transferTimeout() {
		st.unitsInTransit, st.transitSince = [2]float64{0, st.unitsInTransit[0]}, st.transitSince+e.transferTimeout()
	}
	st.hardLimitTokens = math.Min(st.hardLimitTokens+p.HardLimitRate*st.rateFraction*dt, e.hardLimitCapacity(st))
}

// takeUnits takes units of a request inside the quota, now or when it settles.
func (e *Engine) takeUnits(st *customerQuota, units float64) {
	if e.settings.Plans[st.plan].Rate > 0 {
		st.tokens -= units
		st.unitsSinceGossip += units
		st.pendingUnits += units
	}
	e.markForGossip(st)
}

// chargeRemoteUnits takes units off a customer's store that another gateway has sent.
func (e *Engine) chargeRemoteUnits(st *customerQuota, units float64) {
	p := &e.settings.Plans[st.plan]
	if p.Rate <= 0 {
		return
	}
	e.overQuota.Discovered += math.Max(math.Min(units, units-st.tokens), 0)
	st.tokens = math.Max(st.tokens-units, -p.Burst)
}

// hardLimitCapacity is what this gateway's part of the ceiling holds at most: units that it has lent may be
// under way.
func (e *Engine) hardLimitCapacity(st *customerQuota) float64 {
	return e.settings.Plans[st.plan].HardLimitBurst*st.burstFraction - st.unitsInTransit[0] - st.unitsInTransit[1]
}

// dropIdleQuotas drops idle stores among the next eighth.
func (e *Engine) dropIdleQuotas() {
	for n := len(e.quotaList)/8 + 1; n > 0 && len(e.quotaList) > 0; n-- {
		if e.sweepAt >= len(e.quotaList) {
			e.sweepAt = 0
		}
		st := e.quotaList[e.sweepAt]
		if !e.isIdle(st) {
			e.sweepAt++
			continue
		}
		delete(e.quotas, st.key)
		e.quotaList[e.sweepAt] = e.quotaList[len(e.quotaList)-1]
		e.quotaList = e.quotaList[:len(e.quotaList)-1]
	}
}

func refillTime(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), 60) * float64(time.Second))
}

func refillTimeIf(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return refillTime(units, rate)
}

// OverQuotaUnits counts units, since the start, that went to servers beyond customers' quotas.
type OverQuotaUnits struct {
	Sent       float64 // by this gateway, which knew it: they earn more than they cost
	Discovered float64 // by which stores were overdrawn once it was told what others had sent; all of a set find the same
}

// OverQuotaUnits tells what went beyond quotas, as far as this gateway knows.
func (e *Engine) OverQuotaUnits() OverQuotaUnits { return e.overQuota }

// isIdle tells whether a store may be dropped: full for a burst's time, with nothing out and nothing to tell.
// Memory stays bounded when customers come once only.
func (e *Engine) isIdle(st *customerQuota) bool {
	p := &e.settings.Plans[st.plan]
	idle := idleQuotaTTL
	if p.Rate > 0 {
		idle = refillTime(2*p.Burst-st.tokens, p.Rate)
	}
	idle = max(idle, refillTimeIf(p.HardLimitBurst, p.HardLimitRate), 2*e.transferTimeout())
	return st.inFlight == 0 && !st.needsGossip && len(st.leases) == 0 && e.now-st.refilledAt >= idle
}

// isCustomerInstance tells whether a gateway is one of a customer's.
func (e *Engine) isCustomerInstance(i, first, spread int) bool {
	return (i-first+e.settings.InstanceCount)%e.settings.InstanceCount < spread
}
