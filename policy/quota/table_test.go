package quota

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// TestDropIdleKeepsListAndMapConsistent checks that customers seen only once (20,000, at 1,000 a second) are dropped
// from both the map and the list.
func TestDropIdleKeepsListAndMapConsistent(t *testing.T) {
	table := newTable(0, 1, 60)
	for i := range 20000 {
		now := t0 + time.Duration(i)*ms
		table.TakeUnits(table.QuotaInPlan(uint64(i), Scope{Plan: ratePlan, InstanceCount: 1}, now), 1)
		if i%100 == 0 {
			table.DropIdle(now)
		}
	}
	if len(table.byCustomer) > 5000 || len(table.byCustomer) != len(table.list) {
		t.Errorf("got %d quotas in the map and %d in the list, want the same number, at most 5000",
			len(table.byCustomer), len(table.list))
	}
	for _, quota := range table.list {
		if table.Lookup(quota.Customer) != quota {
			t.Fatalf("customer %d: the map does not have the quota in the list", quota.Customer)
		}
	}
}

// newSuccessor returns the table of a successor that has restored the state of a predecessor with one quota, which was
// passed as JSON.
func newSuccessor(t *testing.T, table *Table, now time.Duration) *Table {
	t.Helper()
	text, err := json.Marshal(table.Export(now))
	if err != nil {
		t.Fatal(err)
	}
	var states []State
	if err := json.Unmarshal(text, &states); err != nil {
		t.Fatal(err)
	}
	if len(states) != 1 || !states[0].IsValid(len(table.plans), table.Fleet.InstanceCount) {
		t.Fatalf("exported states %+v, want one valid state", states)
	}
	successor := newPairTable()
	successor.Restore(states[0], &table.plans[states[0].Plan], now, time.Second)
	return successor
}

// TestRestoreKeepsQuotaState checks that a successor restores the complete state of its predecessor's quota.
func TestRestoreKeepsQuotaState(t *testing.T) {
	table := newPairTable()
	quota := table.quotaFor(1, Scope{Plan: hardLimitPlan, InstanceCount: 2}, t0)
	quota.Tokens, quota.HardLimitTokens = 7, 3
	quota.unitsSinceGossip, quota.startedSinceGossip = 2, 1
	quota.pendingUnits, quota.idleGossipRounds = 1.5, 2
	quota.GrantFraction = 0.25
	quota.RejectedUntil, quota.ContendedUntil = t0+200*ms, t0+300*ms
	quota.inTransit = unitsInTransit{since: t0, units: 4}
	table.MarkForGossip(quota)
	successor := newSuccessor(t, table, t0)
	got := successor.Lookup(1)
	if got == nil || len(successor.pending) != 1 || successor.pending[0] != got {
		t.Fatalf("restored quota %+v with %d pending quotas, want this quota pending", got, len(successor.pending))
	}
	if !reflect.DeepEqual(got, quota) {
		t.Errorf("quota %+v was restored as %+v", quota, got)
	}
}

// TestRestoredQuotaKeepsCapacity checks that a successor counts all attempts in flight that its predecessor counted:
// one of its own, one lease that it granted and two of a peer, of six in all.
func TestRestoredQuotaKeepsCapacity(t *testing.T) {
	table := newPairTable()
	quota := table.quotaFor(1, Scope{Plan: inFlightPlan, InstanceCount: 2}, t0)
	quota.InFlight = 1
	quota.recordPeerCount(1, peerCount{inFlight: 2, receivedAt: t0}, 2)
	quota.leases = []lease{{from: 1, number: 5, expiresAt: t0 + time.Second}}
	successor := newSuccessor(t, table, t0)
	got, before := successor.inFlightCapacity(successor.Lookup(1), t0), table.inFlightCapacity(quota, t0)
	if got != 2 || before != 2 {
		t.Errorf("in-flight capacity: got %d attempts, predecessor had %d, want 2", got, before)
	}
}
