package quota

import (
	"testing"
	"time"
)

// TestExceedsHardLimit checks that a request exceeds the hard limit if this instance's share holds fewer units than the
// request needs.
func TestExceedsHardLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		rate   float64
		tokens float64
		units  float64
		want   bool
	}{
		{"plan without a hard limit", 0, 0, 2, false},
		{"enough", 10, 3, 2, false},
		{"just enough", 10, 2, 2, false},
		{"too few", 10, 1.9, 2, true},
		{"none, request of no units", 10, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			share := hardLimitShare{HardLimitTokens: c.tokens}
			if got := share.ExceedsHardLimit(&Plan{HardLimitRate: c.rate}, c.units); got != c.want {
				t.Errorf("ExceedsHardLimit: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestHardLimitWait checks that a request beyond the hard limit waits for the refill of its share (5 of 10 units a
// second) or, where units are transferred, for at most two gossip intervals.
func TestHardLimitWait(t *testing.T) {
	for _, c := range []struct {
		name      string
		usesOwner bool
		tokens    float64
		want      time.Duration
	}{
		{"refilled before a transfer", false, 1.5, 100 * ms},
		{"transferred before the refill", false, 0, 200 * ms},
		{"owner", true, 0, 400 * ms},
		{"owner, a minute at most", true, -1000, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			quota := Quota{
				quotaSplit: quotaSplit{UsesOwner: c.usesOwner},
				hardLimitShare: hardLimitShare{
					hardLimitFractions: hardLimitFractions{rateFraction: 0.5},
					HardLimitTokens:    c.tokens,
				},
			}
			if got := quota.hardLimitWait(&Plan{HardLimitRate: 10}, 2, 100*ms); got != c.want {
				t.Errorf("wait: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestRejectBeyondHardLimitReportsDeficit checks that rejected units count as demand, so that a peer with a surplus may
// transfer them.
func TestRejectBeyondHardLimitReportsDeficit(t *testing.T) {
	table := newPairTable()
	quota := table.quotaFor(1, Scope{Plan: hardLimitPlan, InstanceCount: 2}, t0)
	table.RejectBeyondHardLimit(quota, 2)
	if quota.unmetUnits != 2 || !quota.needsGossip || len(table.pending) != 1 {
		t.Errorf("got %v unmet units and %d pending quotas, want 2 units and this quota pending",
			quota.unmetUnits, len(table.pending))
	}
	if got := quota.hardLimitDeficit(table.PlanOf(quota)); got != 2 {
		t.Errorf("deficit: got %v units, want 2", got)
	}
}

// TestForwardedUnitsAreCharged checks that the units of a forwarded request are deducted from this instance's share of
// the hard limit, unless an owner granted them.
func TestForwardedUnitsAreCharged(t *testing.T) {
	for _, c := range []struct {
		name      string
		plan      int
		forwarded Forwarded
		tokens    float64 // left of the hard limit's 10
		overQuota float64
	}{
		{"inside the quota", hardLimitPlan, Forwarded{Units: 2, IsWithinQuota: true}, 8, 0},
		{"over the quota", hardLimitPlan, Forwarded{Units: 2}, 8, 2},
		{"granted by the owner", hardLimitPlan, Forwarded{Units: 2, IsWithinQuota: true, IsGranted: true}, 10, 0},
		{"plan without a hard limit", ratePlan, Forwarded{Units: 2, IsWithinQuota: true}, 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newPairTable()
			quota := table.quotaFor(1, Scope{Plan: c.plan, InstanceCount: 2}, t0)
			quota.HardLimitTokens = 10
			table.RecordForwarded(quota, c.forwarded)
			if quota.HardLimitTokens != c.tokens || table.OverQuota.Sent != c.overQuota {
				t.Errorf("got %v hard limit tokens left and %v units over the quota",
					quota.HardLimitTokens, table.OverQuota.Sent)
			}
			if quota.startedSinceGossip != 1 {
				t.Errorf("started requests: got %d, want 1", quota.startedSinceGossip)
			}
		})
	}
}
