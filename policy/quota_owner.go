package policy

// An exception for customers to whose nodes gossip comes late (its interval is longer than an assessment):
// one node, by the customer's hash, owns the quota, and the others ask it. It covers customers of many
// nodes in large fleets; it costs two hops of waiting, and an owner that restarts begins with a full quota.

import (
	"math"
	"time"
)

const (
	ownerTimeout          = 100 * time.Millisecond // an answer counts as lost then: two hops' time
	maxOwnerTimeouts      = 3                      // timeouts in a row after which an owner is not waited for
	maxTimeoutsInARow     = 6                      // timeouts in a row over all owners after which none is
	ownerOverloadFraction = 0.6                    // of an inbox from which rejected members have to pause
	grantFractionWeight   = 0.1                    // of a new request in the granted fraction's average
)

func (e *Engine) requestQuota(r *request) {
	e.actions.SendGossip(r.owner, e.encodeQuotaRequest(r, kindQuotaRequest))
	if e.peers[r.owner].unansweredRequests >= maxOwnerTimeouts ||
		e.unansweredByAnyOwner >= maxTimeoutsInARow {
		e.ownerTimedOut(r)
		return
	}
	r.awaitsOwner = true
	e.actions.SetTimer(timerToken(timerOwnerTimeout, r.number), ownerTimeout)
}

// ownerTimedOut goes by the share of asks that its holder granted of late, as far as heard. It covers lost
// messages, holders that are down, stalled or flooded; it harms while that share changes unheard.
func (e *Engine) ownerTimedOut(r *request) {
	r.ownerUnreachable = true
	e.peers[r.owner].unansweredRequests++
	e.unansweredByAnyOwner++
	in := e.rng.Float64() < r.quota.grantFraction
	e.admit(r, in, ownerTimeout)
	if in && len(r.attempts) > 0 {
		e.actions.SendGossip(r.owner, e.encodeQuotaRequest(r, kindQuotaSpent))
	}
}

// receiveQuotaMessage takes an ask of a member, the answer of a holder, or what a member gives back.
func (e *Engine) receiveQuotaMessage(from int, message []byte) {
	m, ok := e.decodeQuotaMessage(message)
	if !ok {
		return
	}
	e.overload.receiveMeans(m.fleetMeans)
	for _, n := range m.findings {
		e.receiveFinding(from, n)
	}
	switch m.kind {
	case kindQuotaRequest, kindQuotaSpent:
		if !e.isCustomerInstance(from, m.firstInstance, m.instanceCount) ||
			!e.isCustomerInstance(e.settings.InstanceIndex, m.firstInstance, m.instanceCount) {
			return
		}
		st := e.quotaFor(m.key, m.plan, m.instanceCount, m.firstInstance)
		if st.plan != m.plan || !st.usesOwner {
			return
		}
		if m.kind == kindQuotaSpent { // sent without the answer: of an ask that came, it has taken its units
			if !st.hasGrant(from, m.number) {
				st.recordGrant(from, m.number, e.now)
				e.chargeRemoteUnits(st, m.units)
			}
			return
		}
		in, wait := e.checkQuota(st, m.units, m.isLate)
		if in = in && (e.settings.Plans[m.plan].HardLimitRate <= 0 || st.hardLimitTokens >= m.units); in {
			wait, st.hardLimitTokens = 0, st.hardLimitTokens-m.units
			e.takeUnits(st, m.units)
			if e.settings.Plans[m.plan].MaxInFlight > 0 {
				st.leases = append(st.leases, lease{from, m.number, e.now + e.maxLatencyObjective()})
			}
		} else if e.gossipRate > ownerOverloadFraction*e.settings.GossipInboxRate {
			// More members ask in vain than the inbox takes: each pauses until it is their turn again. In
			// large fleets a third of an inbox is what all customers' asks come to on a calm day.
			turns := float64(st.instanceCount / st.instanceSplit)
			wait = max(wait, refillTime(turns, ownerInboxFraction*e.settings.GossipInboxRate))
		}
		weight := 1 - boolToFloat(m.isLate)
		st.grantFraction += grantFractionWeight * (boolToFloat(in) - st.grantFraction) * weight
		if in {
			st.recordGrant(from, m.number, e.now)
		}
		e.actions.SendGossip(from, e.encodeQuotaResponse(m.number, in, wait, st.grantFraction))
	case kindQuotaResponse:
		e.peers[from].unansweredRequests, e.unansweredByAnyOwner = 0, 0
		r := e.requests.byNumber[m.number]
		if r == nil || r.owner != from || len(r.attempts) > 0 || e.clientLeft(r, m.isGranted) {
			return
		}
		r.quota.grantFraction = m.grantFraction
		if !m.isGranted {
			r.quota.rejectedUntil = e.now + m.wait
		}
		r.isGranted = m.isGranted
		e.admit(r, m.isGranted, m.wait)
	case kindQuotaReturn:
		if st := e.quotas[m.key]; st != nil && st.usesOwner {
			e.refill(st)
			st.tokens = math.Min(st.tokens+m.units, e.settings.Plans[st.plan].Burst/st.ownerCount)
			st.dropLeases(func(l lease) bool { return l.from == from && l.number == m.number })
		}
	}
}

// returnUnits returns units that were not sent, and a place under an open cap.
func (e *Engine) returnUnits(r *request, units float64) {
	open := e.settings.Plans[r.quota.plan].MaxInFlight > 0
	// Whether an unanswered request was granted is not known: only the place is surely free.
	units *= 1 - boolToFloat(r.ownerUnreachable)
	if !r.inQuota && !r.ownerUnreachable || units == 0 && !open {
		return
	}
	if !r.quota.usesOwner || r.owner == e.settings.InstanceIndex {
		e.refill(r.quota)
		e.takeUnits(r.quota, -units)
		return
	}
	msg := encodeQuotaReturn(r.quota.key, r.number, units)
	e.actions.SendGossip(r.owner, msg)
	if open && units == 0 {
		e.actions.SendGossip(r.owner, msg) // a lost one would block a place for long
	}
}

// clientLeft takes in that its holder has answered a request, or will not, and tells whether its client has
// left meanwhile: then the units that it was granted are given back.
func (e *Engine) clientLeft(r *request, granted bool) bool {
	if r.awaitsOwner = false; !r.isAnswered {
		return false
	}
	r.inQuota = granted
	e.returnUnits(r, r.Units)
	delete(e.requests.byNumber, r.number)
	return true
}
