package quota

import (
	"math"
	"time"
)

// Table holds the quotas of the customers seen recently. Invariants: the list holds the same quotas as the map, in an
// order that does not depend on the map's, so that sweeps are reproducible; pending holds exactly the quotas whose
// needsGossip is set. A Table is not safe for concurrent use.
type Table struct {
	Fleet     Fleet
	MaxSize   int           // quotas at most, those inherited from another process aside; 0: no limit
	StartedAt time.Duration // clock reading at the start of the instance or, after a hot restart, of its first process

	// OverQuota counts the units beyond quotas that this instance forwarded or discovered.
	OverQuota OverQuotaUnits

	plans      []Plan // by index
	byCustomer map[uint64]*Quota
	list       []*Quota
	sweepAt    int      // index in the list at which the next sweep begins
	pending    []*Quota // quotas to be sent with the next broadcast
	handover   handover
}

// sweepDivisor determines how many quotas a sweep examines: the size of the table divided by it, and one more. There is
// one sweep in each sample.
const sweepDivisor = 8

// NewTable returns an empty table for plans, whose indexes are those of [Scope.Plan]. The table retains the slice.
func NewTable(fleet Fleet, plans []Plan) Table {
	return Table{Fleet: fleet, plans: plans, byCustomer: map[uint64]*Quota{}}
}

// add adds the quota of a customer that is not in the table.
func (t *Table) add(quota *Quota) {
	t.byCustomer[quota.Customer] = quota
	t.list = append(t.list, quota)
}

// Lookup returns the customer's quota as of its last use, or nil if it is not in the table.
func (t *Table) Lookup(customer uint64) *Quota { return t.byCustomer[customer] }

// HasRoomFor reports whether the customer's quota is in the table or can be added.
func (t *Table) HasRoomFor(customer uint64) bool {
	return t.MaxSize == 0 || t.Len() < t.MaxSize || t.Lookup(customer) != nil
}

// Len returns the number of quotas.
func (t *Table) Len() int { return len(t.list) }

// PlanOf returns the plan of a quota.
func (t *Table) PlanOf(quota *Quota) *Plan { return &t.plans[quota.Plan] }

// quotaFor returns the customer's quota, refilled up to now. A quota that is not in the table is added with the tokens
// that it would have if it had been in the table since the start.
func (t *Table) quotaFor(customer uint64, scope Scope, now time.Duration) *Quota {
	quota := t.Lookup(customer)
	if quota == nil {
		quota = &Quota{Customer: customer, Scope: scope, GrantFraction: 1}
		t.split(quota, t.PlanOf(quota))
		t.fillNew(quota, now)
		t.add(quota)
	}
	t.Refill(quota, now)
	return quota
}

// QuotaInPlan returns the customer's quota, refilled up to now and changed to the plan of the scope if it had another.
// A quota that is not in the table is added with the tokens that it would have if it had been in the table since the
// start.
func (t *Table) QuotaInPlan(customer uint64, scope Scope, now time.Duration) *Quota {
	quota := t.quotaFor(customer, scope, now)
	if quota.Plan != scope.Plan {
		t.changePlan(quota, t.plans[quota.Plan], scope.Plan)
	}
	return quota
}

// split splits a quota among its instances according to a plan.
func (t *Table) split(quota *Quota, plan *Plan) {
	quota.quotaSplit = t.Fleet.splitQuota(quota.Scope, plan)
	quota.hardLimitFractions = t.Fleet.splitHardLimit(quota.Customer, quota.Scope, quota.quotaSplit)
}

// Refill refills a quota up to now.
func (t *Table) Refill(quota *Quota, now time.Duration) {
	quota.refill(t.PlanOf(quota), now, t.Fleet.transferTimeout())
}

// SetPlans replaces the plans; each plan keeps its index. Units that a quota has spent up to now stay spent.
func (t *Table) SetPlans(plans []Plan, now time.Duration) {
	for _, quota := range t.list {
		t.Refill(quota, now)
	}
	old := t.plans
	t.plans = plans
	for _, quota := range t.list {
		if old[quota.Plan] != plans[quota.Plan] {
			t.changePlan(quota, old[quota.Plan], quota.Plan)
		}
	}
}

// changePlan changes the plan of a quota that has been refilled up to now, from old to the plan with the given index.
// Units spent stay spent. If the old plan had no hard limit, that of the new plan begins empty, as after a start.
func (t *Table) changePlan(quota *Quota, old Plan, plan int) {
	spent := quota.spent(&old)
	quota.Plan = plan
	t.split(quota, t.PlanOf(quota))
	quota.setSpent(t.PlanOf(quota), spent)
	if old.HardLimitRate <= 0 {
		quota.HardLimitTokens = 0
	}
}

// TakeUnits takes units from the quota and marks it for gossip. Negative units are returned to it.
func (t *Table) TakeUnits(quota *Quota, units float64) {
	quota.take(t.PlanOf(quota), units)
	t.MarkForGossip(quota)
}

// Forwarded describes the units of a request that is forwarded.
type Forwarded struct {
	Units         float64
	IsWithinQuota bool // the units are within the quota, and taken from it
	IsGranted     bool // the owner has granted the units, from its share of the hard limit
}

// RecordForwarded records a request that is forwarded. Its units are deducted from this instance's share of the hard
// limit, unless the owner has deducted them from its own.
func (t *Table) RecordForwarded(quota *Quota, forwarded Forwarded) {
	if !forwarded.IsGranted {
		quota.chargeHardLimit(t.PlanOf(quota), forwarded.Units)
	}
	quota.startedSinceGossip++
	if !forwarded.IsWithinQuota {
		t.OverQuota.Sent += forwarded.Units
	}
}

// chargeRemoteUnits charges a quota with units that another instance has used, and counts those that exceed it.
func (t *Table) chargeRemoteUnits(quota *Quota, units float64) {
	t.OverQuota.Discovered += quota.charge(t.PlanOf(quota), units)
}

// inFlightCapacity returns how many more attempts the customer may have in flight, given the counts that peers last
// reported.
func (t *Table) inFlightCapacity(quota *Quota, now time.Duration) int {
	peerCountTTL := peerCountTTLIntervals * t.Fleet.GossipInterval
	return quota.inFlightCapacity(t.PlanOf(quota), t.Fleet.InstanceIndex, now, peerCountTTL)
}

// MarkForGossip includes a quota in the next broadcast, unless quota requests to its owner replace gossip.
func (t *Table) MarkForGossip(quota *Quota) {
	hasPeers := t.Fleet.AllowsGossip && t.Fleet.InstanceCount > 1
	if quota.UsesOwner || !hasPeers || quota.needsGossip {
		return
	}
	quota.needsGossip = true
	t.pending = append(t.pending, quota)
}

// DropIdle sweeps the next section of the table and drops its idle quotas, so that memory stays bounded when many
// customers are seen only once.
func (t *Table) DropIdle(now time.Duration) {
	transferTimeout := t.Fleet.transferTimeout()
	for n := t.Len()/sweepDivisor + 1; n > 0 && t.Len() > 0; n-- {
		if t.sweepAt >= len(t.list) {
			t.sweepAt = 0
		}
		quota := t.list[t.sweepAt]
		if !quota.isIdle(t.PlanOf(quota), now, transferTimeout) {
			t.sweepAt++
			continue
		}
		delete(t.byCustomer, quota.Customer)
		last := len(t.list) - 1
		t.list[t.sweepAt] = t.list[last]
		t.list = t.list[:last]
	}
}

// OverQuotaUnits counts the units that were forwarded beyond customers' quotas since the start.
type OverQuotaUnits struct {
	Sent       float64 // deliberately by this instance, since they earn more than they cost
	Discovered float64 // found overdrawn through gossip; all instances of a customer count the same units
}

// roundedUnits returns units as they are encoded in messages.
func roundedUnits(units float64) int64 { return int64(math.Round(units)) }
