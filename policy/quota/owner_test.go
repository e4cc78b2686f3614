package quota

import (
	"testing"
	"time"
)

// TestDecideGrant checks that an owner grants a demand that is within the quota and within its share of the hard limit.
// A rejected member must wait for the refill (4 owners of a rate of 40: a unit in 100 ms) or, while the owner's inbox
// is overloaded, for as long as the owner's 25 members together need to stay within 0.3 of 40 messages a second.
func TestDecideGrant(t *testing.T) {
	const normalInbox, overloadedInbox = 14, 39 // messages per second
	for _, c := range []struct {
		name            string
		tokens          float64
		hardLimitRate   float64
		hardLimitTokens float64
		inboxRate       float64
		want            Decision
	}{
		{"inside", 5, 0, 0, normalInbox, Decision{IsWithinQuota: true}},
		{"inside, inbox overloaded", 5, 0, 0, overloadedInbox, Decision{IsWithinQuota: true}},
		{"inside both limits", 5, 25, 1, normalInbox, Decision{IsWithinQuota: true}},
		{"beyond the quota", 0, 0, 0, normalInbox, Decision{RetryAfter: 100 * ms}},
		{"beyond the quota by more", -2, 0, 0, normalInbox, Decision{RetryAfter: 300 * ms}},
		{"beyond the quota, inbox overloaded", 0, 0, 0, overloadedInbox,
			Decision{RetryAfter: 2083333333 * time.Nanosecond}},
		{"beyond the hard limit", 5, 25, 0.5, normalInbox, Decision{}},
		{"beyond the hard limit, inbox overloaded", 5, 25, 0.5, overloadedInbox,
			Decision{RetryAfter: 2083333333 * time.Nanosecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner, quota := newOwnerQuota(10)
			owner.PlanOf(quota).HardLimitRate = c.hardLimitRate
			quota.Tokens, quota.HardLimitTokens = c.tokens, c.hardLimitTokens
			if got := owner.decideGrant(quota, Demand{Units: 1}, c.inboxRate, t0); got != c.want {
				t.Errorf("decision: got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestSlowQuotasStayContended checks that a quota stays contended for as long as it takes to refill the units of two
// requests, which may be more than a second.
func TestSlowQuotasStayContended(t *testing.T) {
	owner := newTable(10, 300, 40)
	owner.plans[ratePlan].Rate = 0.5
	quota := owner.quotaFor(77, ownedScope, t0)
	quota.Tokens = 0
	if !quota.UsesOwner {
		t.Fatal("the quota of this customer has no owner")
	}
	owner.Check(quota, Demand{Units: 1}, t0)
	if d := quota.ContendedUntil - t0; d != 4*time.Second {
		t.Errorf("contended for %v, want 4s, in which two units are refilled", d)
	}
}

// TestRepeatedRequestIsChargedOnce checks that a quota request that arrives twice, or after the usage report of the
// same request, charges its units once, and that the owner grants it all the same.
func TestRepeatedRequestIsChargedOnce(t *testing.T) {
	charge := Charge{Number: 1, Customer: 77, Scope: ownedScope, Units: 2}
	for _, c := range []struct {
		name  string
		first func(owner *Table)
	}{
		{"request twice", func(owner *Table) { owner.AnswerRequest(11, Request{Charge: charge}, OwnerState{}, t0) }},
		{"usage report first", func(owner *Table) { owner.ReceiveUsageReport(11, UsageReport{charge}, t0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner, quota := newOwnerQuota(10)
			c.first(owner)
			tokens := quota.Tokens
			response, _ := owner.AnswerRequest(11, Request{Charge: charge}, OwnerState{}, t0+ms)
			if !response.IsGranted || quota.Tokens > tokens+0.1 || quota.Tokens < tokens {
				t.Errorf("got response %+v and %v tokens, want a grant and %v tokens", response, quota.Tokens, tokens)
			}
		})
	}
}

// TestRepeatedRequestHasOneLease checks that a request of a plan with a limit in flight has one lease, however often it
// arrives and whether its usage report arrives first, and none once the member has returned it.
func TestRepeatedRequestHasOneLease(t *testing.T) {
	scope := Scope{Plan: inFlightPlan, InstanceCount: 100, FirstInstance: 10}
	charge := Charge{Number: 1, Customer: 77, Scope: scope, Units: 2}
	request := func(owner *Table) {
		owner.AnswerRequest(11, Request{Charge: charge}, OwnerState{LeaseTTL: time.Second}, t0)
	}
	report := func(owner *Table) { owner.ReceiveUsageReport(11, UsageReport{charge}, t0) }
	returned := func(owner *Table) { owner.ReceiveReturn(11, Return{Number: 1, Customer: 77}, t0) }
	for _, c := range []struct {
		name     string
		messages []func(owner *Table)
		want     int
	}{
		{"request once", []func(*Table){request}, 1},
		{"request twice", []func(*Table){request, request}, 1},
		{"usage report first", []func(*Table){report, request}, 1},
		{"usage report first, request twice", []func(*Table){report, request, request}, 1},
		{"usage report last", []func(*Table){request, report}, 1},
		{"request again after the return", []func(*Table){request, returned, request}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner := newTable(10, 300, 40)
			quota := owner.quotaFor(77, scope, t0)
			for _, receive := range c.messages {
				receive(owner)
			}
			if got := len(quota.leases); got != c.want {
				t.Errorf("leases: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestNumberIsChargedAgainAfterRestart checks that a request is charged once the records of an earlier request with the
// same number have expired. A restarted member may use its earlier numbers again.
func TestNumberIsChargedAgainAfterRestart(t *testing.T) {
	charge := Charge{Number: 1, Customer: 77, Scope: ownedScope, Units: 2}
	for _, c := range []struct {
		name string
		send func(owner *Table, now time.Duration)
	}{
		{"request", func(owner *Table, now time.Duration) {
			owner.AnswerRequest(11, Request{Charge: charge}, OwnerState{}, now)
		}},
		{"usage report", func(owner *Table, now time.Duration) {
			owner.ReceiveUsageReport(11, UsageReport{charge}, now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner, quota := newOwnerQuota(10)
			c.send(owner, t0)
			restarted := t0 + grantRecordTTL
			owner.Refill(quota, restarted)
			tokens := quota.Tokens
			c.send(owner, restarted)
			if got := tokens - quota.Tokens; got != charge.Units {
				t.Errorf("charged %v units, want %v", got, charge.Units)
			}
		})
	}
}

// TestGrantLeavesAbsentHardLimitAlone checks that a grant takes no units off the hard limit of a plan that has none.
func TestGrantLeavesAbsentHardLimitAlone(t *testing.T) {
	owner, quota := newOwnerQuota(10)
	request := Request{Charge: Charge{Number: 1, Customer: quota.Customer, Scope: ownedScope, Units: 2}}
	if response, _ := owner.AnswerRequest(11, request, OwnerState{}, t0); !response.IsGranted {
		t.Fatalf("response: got %+v, want a grant", response)
	}
	if got := owner.Export(t0)[0].HardLimitTokens; got != 0 {
		t.Errorf("exported hard limit tokens: got %v, want 0", got)
	}
}
