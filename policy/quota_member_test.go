package policy

import (
	"slices"
	"testing"

	"mulleinmux/policy/quota"
)

// If a client disconnects during the quota request, the units are returned once they are granted, and nothing is
// forwarded. If they are rejected, or no response arrives, nothing is returned. The request is kept in no case.
func TestClientDisconnectsDuringQuotaRequest(t *testing.T) {
	granted := quota.Response{IsGranted: true, GrantFraction: 1}
	for _, c := range []struct {
		name      string
		responses []quota.Response // received before the owner timeout; a grant follows in each case
		returned  []quota.Return   // without the number
	}{
		{"granted", []quota.Response{granted}, []quota.Return{{Customer: ownedCustomer, Units: 1}}},
		{"rejected", []quota.Response{{}}, nil},
		{"no response", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			member, r := newOwnerEngine(t, 10)
			member.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
			ownerIndex, number := ownerIndexOf(member), member.requests.byID["r1"].number
			member.ClientDisconnected(t0+10*ms, "r1", r)
			r.gossip = nil
			for _, response := range c.responses {
				member.GossipReceived(t0+20*ms, ownerIndex, encodeResponse(number, response), r)
			}
			member.TimerFired(t0+quota.OwnerTimeout, timerToken(timerOwnerTimeout, number), r)
			member.GossipReceived(t0+quota.OwnerTimeout, ownerIndex, encodeResponse(number, granted), r)

			kept := len(member.requests.byID) + len(member.requests.byNumber)
			if r.count("send") != 0 || kept != 0 {
				t.Errorf("request was forwarded, or %d entries kept, want neither: %v", kept, r.actions)
			}
			for i := range c.returned {
				c.returned[i].Number = number
			}
			if got := returnsTo(member, r, ownerIndex); !slices.Equal(got, c.returned) {
				t.Errorf("got returns %+v, want %+v", got, c.returned)
			}
		})
	}
}

// encodeResponse encodes an owner's response to a request.
func encodeResponse(number uint64, response quota.Response) []byte {
	response.Number = number
	return quota.Codec{}.EncodeResponse(response, quota.Report{})
}

// returnsTo returns the messages with which a member has returned units to an owner.
func returnsTo(member *Engine, r *recorder, owner int) (returned []quota.Return) {
	for _, message := range r.gossip[owner] {
		decoded, _, err := member.quotas.Codec().DecodeMessage(message)
		if m, ok := decoded.(quota.Return); ok && err == nil {
			returned = append(returned, m)
		}
	}
	return returned
}

// A request returns the units that it did not use. If the owner did not respond, it is not known whether units were
// granted: only the lease under an in-flight limit is returned.
func TestQuotaToReturn(t *testing.T) {
	for _, c := range []struct {
		name           string
		request        request
		unused         float64
		limitsInFlight bool
		units          float64
		hasReturn      bool
	}{
		{"beyond the quota", request{}, 2, false, 0, false},
		{"beyond the quota, limit in flight", request{}, 2, true, 0, false},
		{"in the quota", request{inQuota: true}, 2, false, 2, true},
		{"in the quota, used more", request{inQuota: true}, -3, false, -3, true},
		{"in the quota, all used", request{inQuota: true}, 0, false, 0, false},
		{"in the quota, lease", request{inQuota: true}, 0, true, 0, true},
		{"owner unreachable", request{inQuota: true, decidedWithoutOwner: true}, 2, false, 0, false},
		{"owner unreachable, lease", request{decidedWithoutOwner: true}, 2, true, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			units, hasReturn := c.request.quotaToReturn(c.unused, c.limitsInFlight)
			if units != c.units || hasReturn != c.hasReturn {
				t.Errorf("got %v units, hasReturn %v; want %v, %v", units, hasReturn, c.units, c.hasReturn)
			}
		})
	}
}

// A request that does not wait for its owner, since the owner has not responded recently, is not kept for the response.
func TestNoWaitForUnresponsiveOwner(t *testing.T) {
	const maxOwnerTimeouts = 3 // in a row: see TestOwnerIsUnresponsive of package quota
	e, r := newOwnerEngine(t, 10)
	ownedCustomerQuota(e).GrantFraction = 0 // as if the last responses had granted nothing
	for n := range maxOwnerTimeouts + 1 {
		e.RequestReceived(t0, ownerRequest(n, ownedCustomer), r)
		for num := range e.requests.byNumber {
			e.TimerFired(t0, timerToken(timerOwnerTimeout, num), r)
		}
	}
	if r.count("reject") != maxOwnerTimeouts+1 || len(r.timers) < maxOwnerTimeouts {
		t.Fatalf("requests were not rejected after the owner timeouts: %v", r.actions)
	}
	e.RequestReceived(t0, ownerRequest(maxOwnerTimeouts+1, ownedCustomer), r)
	if len(e.requests.byID)+len(e.requests.byNumber) != 0 {
		t.Errorf("%d requests are kept under their numbers, want none under number or ID", len(e.requests.byNumber))
	}
}

// After the timeout of an owner, the fraction granted recently decides on the request.
func TestOwnerTimeoutUsesGrantFraction(t *testing.T) {
	for _, c := range []struct {
		name           string
		grantFraction  float64
		sent, rejected int
	}{
		{"nothing granted", 0, 0, 1},
		{"all granted", 1, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, r := newOwnerEngine(t, 10)
			ownedCustomerQuota(e).GrantFraction = c.grantFraction
			e.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
			e.TimerFired(t0+quota.OwnerTimeout, timerToken(timerOwnerTimeout, e.requests.lastNumber), r)
			if r.count("send") != c.sent || r.count("reject") != c.rejected {
				t.Errorf("wrong number of requests sent or rejected: %v", r.actions)
			}
		})
	}
}

// A request whose client's timeout is shorter than the owner timeout is answered in time.
func TestRequestAwaitingOwnerIsAnswered(t *testing.T) {
	e, r := newOwnerEngine(t, 10)
	q := ownerRequest(1, ownedCustomer)
	q.Timeout = 30 * ms
	e.RequestReceived(t0, q, r)
	for _, s := range r.timers {
		if s.token == timerToken(timerDeadline, e.requests.lastNumber) && s.after < q.Timeout {
			e.TimerFired(t0+s.after, s.token, r)
		}
	}
	if r.count("reject") != 1 {
		t.Errorf("got actions %v, want one rejection", r.actions)
	}
}

// The owner of a quota with a limit in flight is notified once that an attempt has ended. The message is sent twice, in
// case one is lost.
func TestEndOfAttemptIsReportedOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		completed AttemptResult
	}{
		{"answered", AttemptResult{Result: OK, RequestAnswered: true}},
		{"answered with an error", AttemptResult{Result: ErrorResponse, RequestAnswered: true}},
		{"failed", AttemptResult{Result: NotSent}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := sendQuotaRequest(t, "open")
			member, r := x.member, x.memberRecorder
			number := member.requests.byID["r1"].number
			member.GossipReceived(t0+ms, x.ownerIndex, x.ownerRecorder.gossip[10][0], r)
			r.gossip = nil
			c.completed.ID = "r1"
			member.AttemptCompleted(t0+10*ms, c.completed, r)
			ended := quota.Return{Number: number, Customer: ownedCustomer}
			if got := returnsTo(member, r, x.ownerIndex); !slices.Equal(got, []quota.Return{ended, ended}) {
				t.Errorf("got returns %+v, want %+v twice", got, ended)
			}
		})
	}
}
