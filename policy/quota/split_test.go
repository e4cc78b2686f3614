package quota

import (
	"math"
	"testing"
)

// TestHardLimitFractionsSumToOne checks that the fractions of all instances of a customer sum to one, so that the hard
// limit is never exceeded.
func TestHardLimitFractionsSumToOne(t *testing.T) {
	burst, rate := 0.0, 0.0
	for index := 10; index < 110; index++ {
		_, quota := newOwnerQuota(index)
		burst, rate = burst+quota.burstFraction, rate+quota.rateFraction
	}
	if math.Abs(burst-1) > 1e-9 || math.Abs(rate-1) > 1e-9 {
		t.Errorf("sum of the fractions: got %v of the burst and %v of the rate, want 1 and 1", burst, rate)
	}
}

// TestSplitQuota checks that a quota has owners where gossip is later than an assessment (0.5 s): as many as it takes
// for each owner to receive at most 0.3 of its 40 messages a second for the customer.
func TestSplitQuota(t *testing.T) {
	inTime := Fleet{AllowsGossip: true, GossipInterval: 500 * ms, MaxGossipInboxRate: 40}
	late := Fleet{AllowsGossip: true, GossipInterval: 501 * ms, MaxGossipInboxRate: 40}
	noGossip := Fleet{GossipInterval: 501 * ms, MaxGossipInboxRate: 40}
	for _, c := range []struct {
		name          string
		fleet         Fleet
		instanceCount int
		rate          float64
		want          quotaSplit
	}{
		{"gossip in time", inTime, 3, 40, quotaSplit{partCount: 3, bucketCount: 1}},
		{"gossip late, one instance", late, 1, 40, quotaSplit{partCount: 1, bucketCount: 1}},
		{"no gossip", noGossip, 3, 40, quotaSplit{partCount: 3, bucketCount: 1}},
		{"one owner", late, 100, 12, quotaSplit{UsesOwner: true, partCount: 1, bucketCount: 1}},
		{"two owners", late, 100, 13, quotaSplit{UsesOwner: true, partCount: 2, bucketCount: 2}},
		{"four owners", late, 100, 40, quotaSplit{UsesOwner: true, partCount: 4, bucketCount: 4}},
		{"all instances are owners", late, 3, 400, quotaSplit{UsesOwner: true, partCount: 3, bucketCount: 3}},
		{"no rate", late, 100, 0, quotaSplit{UsesOwner: true, partCount: 1, bucketCount: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.fleet.splitQuota(Scope{InstanceCount: c.instanceCount}, &Plan{Rate: c.rate})
			if got != c.want {
				t.Errorf("split: got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestQuotaScopeIncludes checks that a customer's instances are counted from the first one on, wrapping around at the
// end of the fleet.
func TestQuotaScopeIncludes(t *testing.T) {
	scope := Scope{InstanceCount: 3, FirstInstance: 8}
	want := []bool{true, false, false, false, false, false, false, false, true, true}
	for instance, isIncluded := range want {
		if got := scope.includes(instance, len(want)); got != isIncluded {
			t.Errorf("includes instance %d: got %v, want %v", instance, got, isIncluded)
		}
	}
}
