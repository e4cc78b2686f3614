package quota

import (
	"testing"
	"time"
)

// handoverAt is the time at which the tests hand quotas over: all buckets are full.
const handoverAt = t0 + 10*time.Second

// newHandOver returns a table of the only instance that hands its quotas over, of which it lists that of customer 1,
// and the table of its successor.
func newHandOver() (old, next *Table) {
	old, next = newTable(0, 1, 60), newTable(0, 1, 60)
	listedQuota(old, 1, handoverAt)
	handOverTo(old, next)
	return old, next
}

// handOverTo hands the quotas of a table over to a successor, which restores them at the same time.
func handOverTo(old, next *Table) {
	old.HandOver(handoverAt)
	next.Inherit(handoverAt)
	for _, saved := range old.Export(handoverAt) {
		next.Restore(saved, &old.plans[saved.Plan], handoverAt, time.Second)
	}
}

// listedQuota returns the quota of a customer with a hard limit, as of a time.
func listedQuota(table *Table, customer uint64, now time.Duration) *Quota {
	return table.quotaFor(customer, Scope{Plan: hardLimitPlan, InstanceCount: 1}, now)
}

// The tokens of both processes together are those before the handover, whether the customer is listed at that time or
// new to both processes. The predecessor keeps whole units.
func TestHandOverSplitsTokens(t *testing.T) {
	old, next := newHandOver()
	plan := testPlans()[hardLimitPlan]
	for name, customer := range map[string]uint64{"listed": 1, "new": 2} {
		kept, given := listedQuota(old, customer, handoverAt), listedQuota(next, customer, handoverAt)
		if kept.Tokens != 5 || kept.Tokens+given.Tokens != plan.Burst {
			t.Errorf("%s: got %v and %v units, want 5 of %v kept", name, kept.Tokens, given.Tokens, plan.Burst)
		}
		if kept.HardLimitTokens != 6 || kept.HardLimitTokens+given.HardLimitTokens != plan.HardLimitBurst {
			t.Errorf("%s: got %v and %v units of the hard limit, want 6 of %v kept",
				name, kept.HardLimitTokens, given.HardLimitTokens, plan.HardLimitBurst)
		}
	}
}

// A second handover follows before the buckets are full again. The process that had received the tokens of the first
// one has no others to keep for a new customer.
func TestSecondHandOverSplitsTheRest(t *testing.T) {
	first, second := newHandOver()
	third := newTable(0, 1, 60)
	handOverTo(second, third)
	var tokens, hardLimitTokens float64
	for _, table := range []*Table{first, second, third} {
		quota := listedQuota(table, 2, handoverAt)
		tokens += quota.Tokens
		hardLimitTokens += quota.HardLimitTokens
	}
	plan := testPlans()[hardLimitPlan]
	if tokens > plan.Burst || hardLimitTokens > plan.HardLimitBurst {
		t.Errorf("three processes hold %v units and %v of the hard limit, want at most %v and %v",
			tokens, hardLimitTokens, plan.Burst, plan.HardLimitBurst)
	}
}

// After a failed handover the process has all of its tokens again, of listed and of new customers, up to the bursts.
func TestTakeBack(t *testing.T) {
	for _, wait := range []time.Duration{0, 10 * time.Second} {
		old, _ := newHandOver()
		listedQuota(old, 2, handoverAt)
		old.TakeBack(handoverAt + wait)
		plan := testPlans()[hardLimitPlan]
		for _, customer := range []uint64{1, 2, 3} {
			quota := listedQuota(old, customer, handoverAt+wait)
			if quota.Tokens != plan.Burst || quota.HardLimitTokens != plan.HardLimitBurst {
				t.Errorf("customer %d, taken back after %v: got %v units and %v of the hard limit, want %v and %v",
					customer, wait, quota.Tokens, quota.HardLimitTokens, plan.Burst, plan.HardLimitBurst)
			}
		}
	}
}

// The debt of a quota is passed to the successor alone, and taken back if the handover fails.
func TestHandOverOfDebt(t *testing.T) {
	old, next := newTable(0, 1, 60), newTable(0, 1, 60)
	quota := listedQuota(old, 1, handoverAt)
	old.TakeUnits(quota, 30)
	handOverTo(old, next)
	if got := listedQuota(next, 1, handoverAt).Tokens; quota.Tokens != 0 || got != -10 {
		t.Errorf("after the handover: predecessor has %v units, successor %v, want 0 and -10", quota.Tokens, got)
	}
	old.TakeBack(handoverAt)
	if quota.Tokens != -10 {
		t.Errorf("taken back: got %v units, want -10", quota.Tokens)
	}
}

// A request that lacks only units that were handed over is retried soon: the successor has them.
func TestRetryAfterHandOverIsShort(t *testing.T) {
	old, _ := newHandOver()
	quota := listedQuota(old, 1, handoverAt)
	decision := old.Check(quota, Demand{Units: 10}, handoverAt)
	if decision.IsWithinQuota || decision.RetryAfter != old.Fleet.quotaUpdateWait() {
		t.Errorf("got %+v, want a rejection with a wait of %v", decision, old.Fleet.quotaUpdateWait())
	}
	if wait := old.RejectBeyondHardLimit(quota, 10); wait != old.Fleet.quotaUpdateWait() {
		t.Errorf("wait of a request beyond the hard limit: got %v, want %v", wait, old.Fleet.quotaUpdateWait())
	}
}
