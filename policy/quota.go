package policy

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

// splitQuota sets over how many gateways a store is split, and this one's parts.
func (e *Engine) splitQuota(st *customerQuota, p *Plan) {
	st.instanceSplit = st.instanceCount
	gossipIsLate := e.gossipInterval > samplesPerAssessment*sampleInterval
	if e.settings.AllowsGossip && st.instanceCount > 1 && gossipIsLate {
		// As many holders as it takes for their inboxes to hold the asks.
		holders := int(math.Ceil(p.Rate / (ownerInboxFraction * e.settings.GossipInboxRate)))
		st.usesOwner, st.instanceSplit = true, min(max(1, holders), st.instanceCount)
	}
	// Rule 5: the parts of a ceiling sum to the whole. Each counts as empty at its gateway's start, since
	// one killed before may have spent it, and has filled since. A holder has most of it, for its grants.
	st.ownerCount, st.burstFraction = 1, 1/float64(st.instanceCount)
	st.rateFraction = st.burstFraction
	if st.usesOwner {
		st.ownerCount = float64(st.instanceSplit)
		held := float64(e.ownedParts(st)) / st.ownerCount
		st.burstFraction = memberBurstFraction*st.burstFraction + (1-memberBurstFraction)*held
		st.rateFraction = memberRateFraction*st.rateFraction + (1-memberRateFraction)*held
	}
}

// checkQuota tells whether units are inside the customer's quota and, if not, when to come back. A late
// request takes none of a customer that others were rejected for recently: it would cost one that can still
// be answered in time.
func (e *Engine) checkQuota(st *customerQuota, units float64, late bool) (bool, time.Duration) {
	p := &e.settings.Plans[st.plan]
	n := float64(st.instanceSplit)
	if st.usesOwner {
		n = 1
		st.unitsSinceGossip, st.startedSinceGossip = 0, 0 // nothing is spent here without the store's knowing
	}
	if late && e.now < st.contendedUntil {
		return false, 0
	}
	if p.MaxInFlight > 0 {
		room := e.inFlightCapacity(st)
		least := 1
		if e.now < st.contendedUntil && !st.usesOwner {
			least = max(min(st.instanceCount, p.MaxInFlight/2), 1)
		}
		started := st.startedSinceGossip
		if room < least || started > 0 && float64(started+1) > float64(room+started)/n {
			st.contendedUntil = e.now + contentionWindow
			return false, min(e.gossipInterval, ownerTimeout)
		}
	}
	if p.Rate > 0 {
		room := (st.tokens + st.unitsSinceGossip) / n
		// Exception: one request between tells needs only its units, or the split of a small
		// store would hold none. Not so for a customer that was refused of late: its gateways
		// would all send that one. There the store must have it for each, as far as it can.
		least := units
		if e.now < st.contendedUntil {
			least = math.Max(units, math.Min(units*n, p.Burst/2))
		}
		if st.tokens < least || st.unitsSinceGossip > 0 && st.unitsSinceGossip+units > room {
			// A store that fills slowly is waited for for longer.
			slow := refillTimeIf(contentionTries*units, p.Rate*boolToFloat(st.usesOwner)/st.ownerCount)
			st.contendedUntil = e.now + max(contentionWindow, slow)
			wait := refillTime(units-st.tokens, p.Rate/st.ownerCount)
			return false, max(wait, min(e.gossipInterval, ownerTimeout))
		}
	}
	return true, 0
}

// inFlightCapacity is how many more attempts the customer may have out, as far as is known.
func (e *Engine) inFlightCapacity(st *customerQuota) int {
	room := e.settings.Plans[st.plan].MaxInFlight - st.inFlight
	for i, l := range st.peerInFlight {
		// An unheard peer counts as nought.
		if i != e.settings.InstanceIndex && e.now-l.receivedAt < peerCountTTLIntervals*e.gossipInterval {
			room -= l.inFlight
		}
	}
	st.dropLeases(func(l lease) bool { return e.now >= l.expiresAt })
	return room - len(st.leases)
}
