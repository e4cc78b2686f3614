package quota

import (
	"testing"
	"time"
)

// TestOwnerIsUnresponsive checks that an owner is not waited for after three consecutive timeouts of its own, or six of
// all owners.
func TestOwnerIsUnresponsive(t *testing.T) {
	const response = -1 // owner 0 responds
	for _, c := range []struct {
		name   string
		events []int // the owner that timed out, or response
		want   bool  // of owner 0
	}{
		{"two timeouts", []int{0, 0}, false},
		{"three timeouts", []int{0, 0, 0}, true},
		{"three timeouts of another", []int{1, 1, 1}, false},
		{"response between", []int{0, 0, response, 0}, false},
		{"response after", []int{0, 0, 0, response}, false},
		{"five timeouts of others", []int{1, 2, 3, 1, 2}, false},
		{"six timeouts of others", []int{1, 2, 3, 1, 2, 3}, true},
		{"response between those of others", []int{1, 2, 3, response, 1, 2, 3}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			timeouts := NewOwnerTimeouts(4)
			for _, owner := range c.events {
				if owner == response {
					timeouts.RecordResponse(0)
				} else {
					timeouts.RecordTimeout(owner)
				}
			}
			if got := timeouts.IsUnresponsive(0); got != c.want {
				t.Errorf("IsUnresponsive: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestDecideWithoutOwner checks that, without the owner's response, a draw below the fraction granted recently is
// within the quota.
func TestDecideWithoutOwner(t *testing.T) {
	quota := Quota{GrantFraction: 0.25}
	for _, c := range []struct {
		name string
		draw float64
		want Decision
	}{
		{"lowest draw", 0, Decision{IsWithinQuota: true, RetryAfter: 100 * ms}},
		{"below the fraction", 0.24, Decision{IsWithinQuota: true, RetryAfter: 100 * ms}},
		{"at the fraction", 0.25, Decision{RetryAfter: 100 * ms}},
		{"above the fraction", 0.9, Decision{RetryAfter: 100 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := quota.DecideWithoutOwner(c.draw); got != c.want {
				t.Errorf("decision: got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestRecordResponse checks that an owner's response sets the grant fraction and, if it is a rejection, the time until
// which the owner is sent no requests.
func TestRecordResponse(t *testing.T) {
	for _, c := range []struct {
		name          string
		response      Response
		rejectedUntil time.Duration
	}{
		{"granted", Response{IsGranted: true, GrantFraction: 0.5}, 0},
		{"rejected", Response{Wait: 300 * ms, GrantFraction: 0.5}, t0 + 300*ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			quota := Quota{GrantFraction: 1}
			quota.RecordResponse(c.response, t0)
			if quota.GrantFraction != 0.5 || quota.RejectedUntil != c.rejectedUntil {
				t.Errorf("got grant fraction %v and rejected until %v, want fraction 0.5 and the wait of the response",
					quota.GrantFraction, quota.RejectedUntil)
			}
		})
	}
}

// TestIsRejectedByOwner checks that after a rejection the owner is sent no request until its wait has passed, unless
// the plan allows requests beyond the quota.
func TestIsRejectedByOwner(t *testing.T) {
	for _, c := range []struct {
		name      string
		usesOwner bool
		plan      Plan
		at        time.Duration
		want      bool
	}{
		{"before the wait has passed", true, Plan{}, t0 + 299*ms, true},
		{"after the wait", true, Plan{}, t0 + 300*ms, false},
		{"forwarded over the quota", true, Plan{OverQuotaFraction: 0.5}, t0, false},
		{"no owner", false, Plan{}, t0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			quota := Quota{quotaSplit: quotaSplit{UsesOwner: c.usesOwner}, RejectedUntil: t0 + 300*ms}
			if got := quota.IsRejectedByOwner(&c.plan, c.at); got != c.want {
				t.Errorf("IsRejectedByOwner: got %v, want %v", got, c.want)
			}
		})
	}
}
