package quota

// This file has the owner's side of a quota with owners. A quota has owners where its customer has many instances in a
// large fleet, since gossip would arrive too late. A hash of the customer selects the instances that own its quota; the
// others (members, see member.go) send them quota requests. Each request costs a round trip, and an owner that restarts
// begins with a full quota.

import "time"

const (
	ownerOverloadFraction = 0.6 // fraction of the gossip inbox limit above which retries are delayed
	grantFractionWeight   = 0.1 // weight of a new request in the moving average of the grants
)

// OwnerState is the state besides the quota on which an owner's grants depend.
type OwnerState struct {
	InboxRate float64       // gossip messages received per second
	LeaseTTL  time.Duration // time after which a granted attempt counts as ended
}

// AnswerRequest decides on a member's request for units and returns the response. A request whose units have already
// been taken, since it arrives twice or after its usage report, is granted without a charge. If this instance does not
// own the quota, isOwner is false and there is no response.
func (t *Table) AnswerRequest(
	from int, m Request, owner OwnerState, now time.Duration,
) (response Response, isOwner bool) {
	quota := t.ownedQuota(from, m.Charge, now)
	if quota == nil {
		return Response{}, false
	}
	if record := quota.findRecord(from, m.Number, now); record != nil {
		t.leaseAttempt(quota, record, owner.LeaseTTL, now)
		return Response{Number: m.Number, IsGranted: true, GrantFraction: quota.GrantFraction}, true
	}
	decision := t.decideGrant(quota, Demand{m.Units, m.IsLate}, owner.InboxRate, now)
	if decision.IsWithinQuota {
		t.grant(quota, from, m.Charge, owner.LeaseTTL, now)
	}
	if !m.IsLate {
		quota.updateGrantFraction(decision.IsWithinQuota)
	}
	return Response{m.Number, decision.IsWithinQuota, decision.RetryAfter, quota.GrantFraction}, true
}

// updateGrantFraction includes a decision on a quota request in the moving average of the grants.
func (q *Quota) updateGrantFraction(isGranted bool) {
	granted := 0.0
	if isGranted {
		granted = 1
	}
	q.GrantFraction += grantFractionWeight * (granted - q.GrantFraction)
}

// decideGrant decides whether an owner grants a member's demand: it must be within the quota and within the owner's
// share of the hard limit, and the owner must be able to record the grant, since a late usage report would charge its
// units again otherwise. If it is rejected, RetryAfter is the wait before the member's next request.
func (t *Table) decideGrant(
	quota *Quota, demand Demand, inboxRate float64, now time.Duration,
) Decision {
	decision := t.Check(quota, demand, now)
	if decision.IsWithinQuota {
		decision = t.checkGrant(quota, demand.Units, now)
	}
	if !decision.IsWithinQuota && inboxRate > ownerOverloadFraction*t.Fleet.MaxGossipInboxRate {
		decision.RetryAfter = max(decision.RetryAfter, t.Fleet.ownerOverloadWait(quota))
	}
	return decision
}

// checkGrant decides whether an owner can grant units that are within the quota. A rejection for the hard limit has no
// wait, which tells it from the others: see [Response.ExceedsHardLimit].
func (t *Table) checkGrant(quota *Quota, units float64, now time.Duration) Decision {
	if quota.ExceedsHardLimit(t.PlanOf(quota), units) {
		return Decision{}
	}
	if !quota.hasRecordSpace(t.Fleet.maxGrantRecords(), now) {
		return Decision{RetryAfter: max(quota.recordExpiryWait(now), t.Fleet.quotaUpdateWait())}
	}
	return Decision{IsWithinQuota: true}
}

// ownerOverloadWait returns the shortest wait of a member whose request is rejected while the owner's inbox is
// overloaded. It is so long that the requests of all members together stay within ownerInboxFraction of the inbox
// limit. At normal load, the requests of all customers of a large fleet take a third of an inbox, which does not count
// as an overload.
func (f *Fleet) ownerOverloadWait(quota *Quota) time.Duration {
	members := float64(quota.InstanceCount / quota.partCount)
	return refillTime(members, ownerInboxFraction*f.MaxGossipInboxRate)
}

// ownedQuota returns the quota of a member's message, or nil if this instance does not own it: the member or this
// instance does not receive the customer's requests, the two have different plans for the customer, or the table has no
// room for it.
func (t *Table) ownedQuota(from int, m Charge, now time.Duration) *Quota {
	fleetSize := t.Fleet.InstanceCount
	if !m.Scope.includes(from, fleetSize) || !m.Scope.includes(t.Fleet.InstanceIndex, fleetSize) {
		return nil
	}
	if !t.HasRoomFor(m.Customer) {
		return nil
	}
	quota := t.quotaFor(m.Customer, m.Scope, now)
	if quota.Plan != m.Scope.Plan || !quota.UsesOwner {
		return nil
	}
	return quota
}

// grant takes the units of a member's request, and records a lease if the plan limits the attempts in flight.
func (t *Table) grant(quota *Quota, from int, m Charge, leaseTTL, now time.Duration) {
	quota.chargeHardLimit(t.PlanOf(quota), m.Units)
	t.TakeUnits(quota, m.Units)
	t.leaseAttempt(quota, quota.recordGrant(from, m.Number, now), leaseTTL, now)
}

// leaseAttempt records a lease for a member's request, if the plan limits the attempts in flight and the request has
// had none.
func (t *Table) leaseAttempt(quota *Quota, record *grantRecord, leaseTTL, now time.Duration) {
	if t.PlanOf(quota).MaxInFlight > 0 {
		quota.addLease(record, now+leaseTTL)
	}
}

// ReceiveUsageReport charges units that a member has used without a response. If the owner has granted the member's
// request, the units have already been taken. Reports may use as many records again as grants; a report beyond that is
// not charged, since a repeat of it would be charged as well.
func (t *Table) ReceiveUsageReport(from int, m UsageReport, now time.Duration) {
	quota := t.ownedQuota(from, m.Charge, now)
	if quota == nil || quota.findRecord(from, m.Number, now) != nil {
		return
	}
	if !quota.hasRecordSpace(2*t.Fleet.maxGrantRecords(), now) {
		return
	}
	quota.recordGrant(from, m.Number, now)
	t.chargeRemoteUnits(quota, m.Units)
}

// ReceiveReturn takes back units that a member has not used, and removes its lease under the limit in flight.
func (t *Table) ReceiveReturn(from int, m Return, now time.Duration) {
	quota := t.Lookup(m.Customer)
	if quota == nil || !quota.UsesOwner {
		return
	}
	t.Refill(quota, now)
	quota.returnUnits(t.PlanOf(quota), m.Units)
	quota.endLease(from, m.Number)
}
