package policy

import (
	"math"
	"time"
)

// quotaTable holds the quotas of the customers seen recently. The list holds the same quotas as the map, in an
// order that does not depend on the map's, so that sweeps are reproducible.
type quotaTable struct {
	byCustomer map[uint64]*customerQuota
	list       []*customerQuota
	sweepAt    int // index in the list at which the next sweep begins
}

// sweepFraction is the divisor of the table's size that gives the quotas examined by one sweep.
const sweepFraction = 8

func newQuotaTable() quotaTable { return quotaTable{byCustomer: map[uint64]*customerQuota{}} }

// add adds the quota of a customer that has none yet.
func (t *quotaTable) add(quota *customerQuota) {
	t.byCustomer[quota.key] = quota
	t.list = append(t.list, quota)
}

// sweep drops idle quotas in the next part of the table, so that memory stays bounded with customers that are seen only
// once.
func (t *quotaTable) sweep(isIdle func(*customerQuota) bool) {
	for n := len(t.list)/sweepFraction + 1; n > 0 && len(t.list) > 0; n-- {
		if t.sweepAt >= len(t.list) {
			t.sweepAt = 0
		}
		quota := t.list[t.sweepAt]
		if !isIdle(quota) {
			t.sweepAt++
			continue
		}
		delete(t.byCustomer, quota.key)
		last := len(t.list) - 1
		t.list[t.sweepAt] = t.list[last]
		t.list = t.list[:last]
	}
}

// planOf returns the plan of a customer.
func (e *Engine) planOf(quota *customerQuota) *Plan { return &e.settings.Plans[quota.plan] }

// quotaFor returns the customer's quota, refilled up to now.
func (e *Engine) quotaFor(customer uint64, scope quotaScope) *customerQuota {
	quota := e.quotas.byCustomer[customer]
	if quota == nil {
		quota = &customerQuota{key: customer, quotaScope: scope, refilledAt: e.now, grantFraction: 1}
		plan := e.planOf(quota)
		e.splitQuota(quota, plan)
		quota.fillSinceStart(plan, e.now-e.startedAt)
		e.quotas.add(quota)
	}
	e.refill(quota)
	return quota
}

// refill refills a quota up to now.
func (e *Engine) refill(quota *customerQuota) {
	quota.refill(e.planOf(quota), e.now, e.transferTimeout())
}

// changePlan changes the plan of a quota that has been refilled up to now, from old to the one with an index. Units
// spent stay spent; the first hard limit of a quota begins empty, as after a start.
func (e *Engine) changePlan(quota *customerQuota, old Plan, plan int) {
	spent := quota.spent(&old)
	quota.plan = plan
	e.splitQuota(quota, e.planOf(quota))
	quota.setSpent(e.planOf(quota), spent)
	if old.HardLimitRate <= 0 {
		quota.hardLimitTokens = 0
	}
}

// takeUnits takes units of the quota and has them gossiped. Negative units are returned.
func (e *Engine) takeUnits(quota *customerQuota, units float64) {
	quota.take(e.planOf(quota), units)
	e.markForGossip(quota)
}

// chargeRemoteUnits charges a customer's quota with units that another instance has used.
func (e *Engine) chargeRemoteUnits(quota *customerQuota, units float64) {
	e.overQuota.Discovered += quota.charge(e.planOf(quota), units)
}

// inFlightCapacity returns how many more attempts the customer may have in flight, as far as known.
func (e *Engine) inFlightCapacity(quota *customerQuota) int {
	peerCountTTL := peerCountTTLIntervals * e.gossip.interval
	return quota.inFlightCapacity(e.planOf(quota), e.settings.InstanceIndex, e.now, peerCountTTL)
}

// dropIdleQuotas drops idle quotas in the next part of the table.
func (e *Engine) dropIdleQuotas() {
	e.quotas.sweep(func(quota *customerQuota) bool {
		return quota.isIdle(e.planOf(quota), e.now, e.transferTimeout())
	})
}

// transferTimeout returns how long a gossip message and its repeat in the next one may be in transit.
func (e *Engine) transferTimeout() time.Duration {
	return max(minTransferTimeout, transferTimeoutIntervals*e.gossip.interval)
}

// OverQuotaUnits counts the units that were forwarded beyond customers' quotas since the start.
type OverQuotaUnits struct {
	Sent       float64 // by this instance on purpose, since they earn more than they cost
	Discovered float64 // found overdrawn by gossip; all instances of a customer count the same units
}

// OverQuotaUnits returns the units forwarded beyond quotas, as far as this instance knows.
func (e *Engine) OverQuotaUnits() OverQuotaUnits { return e.overQuota }

// roundedUnits returns units as they are encoded in messages.
func roundedUnits(units float64) int64 { return int64(math.Round(units)) }
