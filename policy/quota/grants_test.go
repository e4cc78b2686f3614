package quota

import (
	"testing"
	"time"
)

// chargeOf returns the charge of a member's request with a number, for a customer with ownedScope.
func chargeOf(number uint64, units float64) Charge {
	return Charge{Number: number, Customer: 77, Scope: ownedScope, Units: units}
}

// TestGrantedUnitsAreChargedOnce checks that a usage report charges no units that the owner has granted, however many
// grants the owner has made shortly before. A request whose grant cannot be recorded is rejected until the oldest
// record expires.
func TestGrantedUnitsAreChargedOnce(t *testing.T) {
	const (
		member   = 11
		requests = 2 * minGrantRecords
		units    = 0.125 // so that the quota of 10 units suffices for all requests
	)
	owner, quota := newOwnerQuota(10)
	state := OwnerState{LeaseTTL: time.Second}
	var granted []uint64
	for number := uint64(1); number <= requests; number++ {
		response, isOwner := owner.AnswerRequest(member, Request{Charge: chargeOf(number, units)}, state, t0)
		switch {
		case !isOwner:
			t.Fatalf("request %d: instance 10 does not own the quota", number)
		case response.IsGranted:
			granted = append(granted, number)
		case response.Wait != grantRecordTTL:
			t.Errorf("request %d: rejected for %v, want %v", number, response.Wait, grantRecordTTL)
		}
	}
	if len(granted) != minGrantRecords {
		t.Errorf("%d requests granted at once, want %d", len(granted), minGrantRecords)
	}
	tokens := quota.Tokens
	for _, number := range granted {
		owner.ReceiveUsageReport(member, UsageReport{chargeOf(number, units)}, t0)
	}
	if quota.Tokens != tokens {
		t.Errorf("usage reports of granted requests charged %v units, want 0", tokens-quota.Tokens)
	}
	later := Request{Charge: chargeOf(requests+1, units)}
	if response, _ := owner.AnswerRequest(member, later, state, t0+grantRecordTTL); !response.IsGranted {
		t.Error("request was rejected after the records of the earlier grants had expired")
	}
}

// TestRepeatedReportsAreChargedOnce checks that a usage report that arrives twice charges its units once, however many
// reports arrive, and that the records of them stay bounded.
func TestRepeatedReportsAreChargedOnce(t *testing.T) {
	const (
		reports = 4 * minGrantRecords
		units   = 0.125
	)
	owner, quota := newOwnerQuota(10)
	for number := uint64(1); number <= reports; number++ {
		owner.ReceiveUsageReport(11, UsageReport{chargeOf(number, units)}, t0)
	}
	tokens := quota.Tokens
	for number := uint64(1); number <= reports; number++ {
		owner.ReceiveUsageReport(11, UsageReport{chargeOf(number, units)}, t0)
	}
	if quota.Tokens != tokens {
		t.Errorf("repeated usage reports charged %v units, want 0", tokens-quota.Tokens)
	}
	if limit := owner.Fleet.maxGrantRecords(); len(quota.grantRecords) > 2*limit {
		t.Errorf("%d records, want at most %d", len(quota.grantRecords), 2*limit)
	}
}

// TestGrantRecordsSufficeForFullInbox checks that an owner can record all grants of a full inbox.
func TestGrantRecordsSufficeForFullInbox(t *testing.T) {
	for _, c := range []struct {
		inboxRate float64
		want      int
	}{
		{0, minGrantRecords},
		{40, minGrantRecords},
		{1000, 200},
		{1002, 201},
	} {
		fleet := Fleet{MaxGossipInboxRate: c.inboxRate}
		if got := fleet.maxGrantRecords(); got != c.want {
			t.Errorf("%v messages per second: got %d records, want %d", c.inboxRate, got, c.want)
		}
	}
}
