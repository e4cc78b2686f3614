package quota

import (
	"testing"
	"time"
)

// TestMayExceedQuota checks that a request beyond its quota is forwarded only if that earns more than it costs and the
// servers have spare capacity. TestHasSpareCapacity of package overload covers the latter condition.
func TestMayExceedQuota(t *testing.T) {
	profitable := Plan{OverQuotaFraction: 0.5, OverQuotaCost: 0.2}
	for _, c := range []struct {
		name             string
		plan             Plan
		hasSpareCapacity bool
		want             bool
	}{
		{"earns more than it costs", profitable, true, true},
		{"earns nothing", Plan{}, true, false},
		{"earns what it costs", Plan{OverQuotaFraction: 0.2, OverQuotaCost: 0.2}, true, false},
		{"no spare capacity", profitable, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.plan.MayExceedQuota(c.hasSpareCapacity); got != c.want {
				t.Errorf("MayExceedQuota: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestCheckQuota checks the decisions on a request of one unit, with a quota of 40 units that is refilled at 40 units a
// second and split between two instances.
func TestCheckQuota(t *testing.T) {
	const wait = 50 * ms // the gossip interval, after which the other instance's units are known
	for _, c := range []struct {
		name             string
		tokens           float64
		unitsSinceGossip float64
		isContended      bool
		isLate           bool
		want             Decision
		contendedFor     time.Duration
	}{
		{"full", 40, 0, false, false, Decision{IsWithinQuota: true}, 0},
		{"late, not contended", 40, 0, false, true, Decision{IsWithinQuota: true}, 0},
		{"late, contended", 40, 0, true, true, Decision{}, 100 * ms},
		{"last unit", 1, 0, false, false, Decision{IsWithinQuota: true}, 0},
		{"last unit, contended", 1, 0, true, false, Decision{RetryAfter: wait}, time.Second},
		{"a unit for each, contended", 2, 0, true, false, Decision{IsWithinQuota: true}, 100 * ms},
		{"half spent since the gossip", 10, 9, false, false, Decision{RetryAfter: wait}, time.Second},
		{"less than half spent since the gossip", 11, 8, false, false, Decision{IsWithinQuota: true}, 0},
		{"empty", 0, 0, false, false, Decision{RetryAfter: wait}, time.Second},
		{"overdrawn", -3, 0, false, false, Decision{RetryAfter: 100 * ms}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newPairTable()
			table.Fleet.GossipInterval = wait
			quota := table.quotaFor(1, Scope{Plan: ratePlan, InstanceCount: 2}, t0)
			quota.Tokens, quota.unitsSinceGossip = c.tokens, c.unitsSinceGossip
			if c.isContended {
				quota.ContendedUntil = t0 + 100*ms
			}
			got := table.Check(quota, Demand{Units: 1, IsLate: c.isLate}, t0)
			if got != c.want || max(quota.ContendedUntil-t0, 0) != c.contendedFor {
				t.Errorf("got %+v, contended for %v; want %+v, contended for %v",
					got, quota.ContendedUntil-t0, c.want, c.contendedFor)
			}
		})
	}
}

// TestHasInFlightCapacity checks whether one more attempt is admitted under a limit of six attempts in flight, split
// between two instances.
func TestHasInFlightCapacity(t *testing.T) {
	plan := Plan{MaxInFlight: 6}
	for _, c := range []struct {
		name        string
		usesOwner   bool
		capacity    int // attempts left
		started     int // since the last gossip
		isContended bool
		want        bool
	}{
		{"none left", false, 0, 0, false, false},
		{"one left", false, 1, 0, false, true},
		{"one left, contended", false, 1, 0, true, false},
		{"one left for each, contended", false, 2, 0, true, true},
		{"less than half started since the gossip", false, 4, 2, false, true},
		{"half started since the gossip", false, 3, 3, false, false},
		{"owner, one left, contended", true, 1, 0, true, true},
		{"owner, none left", true, 0, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			quota := Quota{
				Scope:              Scope{InstanceCount: 2},
				quotaSplit:         quotaSplit{UsesOwner: c.usesOwner, partCount: 2, bucketCount: 1},
				startedSinceGossip: c.started,
			}
			if got := quota.hasInFlightCapacity(&plan, c.capacity, c.isContended); got != c.want {
				t.Errorf("hasInFlightCapacity: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestPeerCountInFlightExpires checks that a peer's count in flight is subtracted until it is ten gossip intervals old.
func TestPeerCountInFlightExpires(t *testing.T) {
	plan := Plan{MaxInFlight: 6}
	const ttl = 500 * ms
	for _, c := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{"just received", 0, 1},
		{"before the TTL", ttl - 1, 1},
		{"at the TTL", ttl, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			quota := Quota{
				InFlight:     2,
				peerInFlight: []peerCount{{inFlight: 9, receivedAt: t0}, {inFlight: 3, receivedAt: t0}},
			}
			if got := quota.inFlightCapacity(&plan, 0, t0+c.age, ttl); got != c.want {
				t.Errorf("in-flight capacity: got %d attempts, want %d", got, c.want)
			}
		})
	}
	t.Run("TTL", func(t *testing.T) {
		table := newPairTable()
		table.Fleet.GossipInterval = 50 * ms
		quota := table.quotaFor(1, Scope{Plan: inFlightPlan, InstanceCount: 2}, t0)
		quota.recordPeerCount(1, peerCount{inFlight: 3, receivedAt: t0}, 2)
		before, after := table.inFlightCapacity(quota, t0+ttl-1), table.inFlightCapacity(quota, t0+ttl)
		if before != 3 || after != 6 {
			t.Errorf("in-flight capacity before and at the TTL: got %d and %d attempts, want 3 and 6", before, after)
		}
	})
}
