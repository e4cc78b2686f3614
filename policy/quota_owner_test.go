package policy

import (
	"math"
	"testing"
	"time"

	"mulleinmux/policy/quota"
)

// ownedCustomer is a customer whose requests the instances 10 to 109 of newOwnerEngine's fleet receive.
const ownedCustomer = 77

// newOwnerEngine returns an instance of a fleet of 300, whose customers use so many instances that their quotas have
// owners.
func newOwnerEngine(t *testing.T, index int) (*Engine, *recorder) {
	t.Helper()
	s := ownerSettings()
	s.InstanceIndex = index
	return newEngine(t, s, testServers(4)...)
}

func ownerSettings() Settings {
	s := testSettings()
	s.InstanceCount, s.AllowsGossip, s.GossipInboxRate = 300, true, 40
	return s
}

// ownerScope returns the scope of the customers of ownerRequest.
func ownerScope(e *Engine) quota.Scope {
	return quota.Scope{Plan: e.index.plans["rate"], InstanceCount: 100, FirstInstance: 10}
}

// ownerRequest returns a request of a customer whose requests the instances 10 to 109 receive.
func ownerRequest(n int, customer uint64) Request {
	q := newRequest(n, "safe", "rate", customer)
	q.InstanceCount, q.FirstInstance = 100, 10
	return q
}

// ownedCustomerQuota returns an instance's quota of ownedCustomer under the plan with a rate.
func ownedCustomerQuota(e *Engine) *quota.Quota {
	return e.quotas.QuotaInPlan(ownedCustomer, ownerScope(e), e.now)
}

// ownerIndexOf returns the index of the owner to which a member sends its quota requests for ownedCustomer.
func ownerIndexOf(member *Engine) int {
	return member.quotas.Fleet.OwnerFor(member.quotas.Lookup(ownedCustomer))
}

// ownerExchange is a member that has sent a quota request, and the owner that has received it.
type ownerExchange struct {
	member, owner                 *Engine
	memberRecorder, ownerRecorder *recorder
	ownerIndex                    int
}

// sendQuotaRequest has instance 10 send a quota request for ownedCustomer, and the owner receive it.
func sendQuotaRequest(t *testing.T, plan string) ownerExchange {
	t.Helper()
	var x ownerExchange
	x.member, x.memberRecorder = newOwnerEngine(t, 10)
	q := ownerRequest(1, ownedCustomer)
	q.Plan = plan
	x.member.RequestReceived(t0, q, x.memberRecorder)
	x.ownerIndex = ownerIndexOf(x.member)
	x.owner, x.ownerRecorder = newOwnerEngine(t, x.ownerIndex)
	x.owner.GossipReceived(t0, 10, x.memberRecorder.gossip[x.ownerIndex][0], x.ownerRecorder)
	return x
}

// Gossip to a hundred instances would come seconds late: the member sends a quota request, and the owner's response
// decides.
func TestOwnerDecidesRequest(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	member.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
	ownerIndex := ownerIndexOf(member)
	servesCustomer := ownerIndex >= 10 && ownerIndex < 110
	if !servesCustomer || r.count("send")+r.count("reject") != 0 || r.gossip[ownerIndex] == nil {
		t.Fatalf("got owner %d and actions %v, want a quota request to a customer's instance", ownerIndex, r.actions)
	}
	owner, ownerRecorder := newOwnerEngine(t, ownerIndex)
	owner.GossipReceived(t0, 10, r.gossip[ownerIndex][0], ownerRecorder)
	member.GossipReceived(t0+20*ms, ownerIndex, ownerRecorder.gossip[10][0], r)
	if r.count("send") != 1 {
		t.Errorf("request was not sent after a grant: %v", r.actions)
	}
	// A response that is repeated, or comes from another instance or an invalid index, changes nothing.
	r.actions = nil
	for _, from := range []int{ownerIndex, 11, -1, 300} {
		member.GossipReceived(t0+30*ms, from, ownerRecorder.gossip[10][0], r)
	}
	if len(r.actions) != 0 {
		t.Errorf("got actions %v after repeated responses, want none", r.actions)
	}
}

// The owner must not grant more to all members together than the quota holds.
func TestOwnerGrantsItsTokensOnce(t *testing.T) {
	first, r := newOwnerEngine(t, 10)
	first.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
	ownerIndex := ownerIndexOf(first)
	owner, ownerRecorder := newOwnerEngine(t, ownerIndex)
	sent := 0.0
	for instance := 10; instance < 110; instance++ {
		if instance == ownerIndex {
			continue
		}
		e, r := newOwnerEngine(t, instance)
		if e.quotas.Fleet.OwnerFor(ownedCustomerQuota(e)) != ownerIndex {
			continue // its requests go to the owner of another part
		}
		for n := 0; n < 4; n++ {
			r.gossip, ownerRecorder.gossip = nil, nil
			e.RequestReceived(t0, ownerRequest(n, ownedCustomer), r)
			if r.gossip != nil { // otherwise rejected at once, after a recent rejection by the owner
				owner.GossipReceived(t0, instance, r.gossip[ownerIndex][0], ownerRecorder)
				e.GossipReceived(t0, ownerIndex, ownerRecorder.gossip[instance][0], r)
			}
		}
		sent += float64(r.count("send"))
	}
	if burst := owner.settings.Plans[owner.index.plans["rate"]].Burst; sent == 0 || sent > burst {
		t.Errorf("%v requests sent, want at least 1 and at most the burst of %v", sent, burst)
	}
}

// Normal load must not be taken for an overload of the owner. If the owner's inbox is a third full, a rejected member
// retries as soon as the quota has filled. It does not wait the seconds that rejected members wait at an overload.
func TestRejectedMembersRetrySoon(t *testing.T) {
	rejectedFor := func(t *testing.T, inboxRate float64) time.Duration {
		t.Helper()
		member, r := newOwnerEngine(t, 10)
		member.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
		ownerIndex := ownerIndexOf(member)
		owner, ownerRecorder := newOwnerEngine(t, ownerIndex)
		owner.gossip.InboxRate = inboxRate
		ownedCustomerQuota(owner).Tokens = 0
		owner.GossipReceived(t0, 10, r.gossip[ownerIndex][0], ownerRecorder)
		member.GossipReceived(t0, ownerIndex, ownerRecorder.gossip[10][0], r)
		if r.count("reject") != 1 {
			t.Fatalf("got actions %v, want one rejection", r.actions)
		}
		return member.quotas.Lookup(ownedCustomer).RejectedUntil - t0
	}
	t.Run("normal load", func(t *testing.T) {
		// A part of the quota fills by a unit in 100 ms; a wait is encoded in steps of 10 ms.
		if wait := rejectedFor(t, 14); wait > 110*ms {
			t.Errorf("member is rejected for %v, want at most 110ms", wait)
		}
	})
	t.Run("overloaded", func(t *testing.T) {
		if wait := rejectedFor(t, 39); wait < 2*time.Second {
			t.Errorf("member is rejected for %v, want at least 2s", wait)
		}
	})
}

// The owner of a contended quota grants nothing to a request that is too late for its latency objective. The member
// may still send quota requests for other requests.
func TestOwnersRejectLateRequests(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	if !isGrantedByOwner(t, member, r, grantCase{number: 0, isLate: true, at: t0}) {
		t.Error("late request was rejected though the quota is not contended")
	}
	for n := 1; n < 7; n += 2 {
		at := t0 + time.Duration(n)*time.Second
		if isGrantedByOwner(t, member, r, grantCase{number: n, isLate: true, isContended: true, at: at}) {
			t.Error("late request was granted units of a contended quota")
		}
		if !isGrantedByOwner(t, member, r, grantCase{number: n + 1, isContended: true, at: at}) {
			t.Error("request that is not late was rejected")
		}
	}
}

// grantCase is a request of ownedCustomer, and whether its owner's quota is contended.
type grantCase struct {
	number      int
	isLate      bool
	isContended bool
	at          time.Duration
}

// isGrantedByOwner has a member send a quota request to a new owner that has five units, and reports whether the member
// then forwards the request.
func isGrantedByOwner(t *testing.T, member *Engine, r *recorder, c grantCase) bool {
	t.Helper()
	q := ownerRequest(c.number, ownedCustomer)
	class := member.index.classes["safe"]
	member.latencies.classes[class].firstTryTimeout = q.Timeout
	if c.isLate {
		q.Timeout -= member.settings.Classes[class].LatencyObjective * 3 / 2
	}
	r.gossip = nil
	member.RequestReceived(c.at, q, r)
	ownerIndex := ownerIndexOf(member)
	if r.gossip[ownerIndex] == nil {
		t.Fatalf("no quota request was sent for request %d: %v", c.number, r.actions)
	}
	owner, ownerRecorder := newOwnerEngine(t, ownerIndex)
	owned := ownedCustomerQuota(owner)
	owned.Tokens = 5
	if c.isContended {
		owned.ContendedUntil = c.at + time.Second
	}
	owner.GossipReceived(c.at, 10, r.gossip[ownerIndex][0], ownerRecorder)
	sent := r.count("send")
	member.GossipReceived(c.at, ownerIndex, ownerRecorder.gossip[10][0], r)
	if r.count("send") == sent {
		return false
	}
	member.AttemptCompleted(c.at+ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true}, r)
	return true
}

// A quota request changes nothing if its sender or its receiver is not one of the customer's instances, or if it is
// malformed.
func TestInvalidQuotaRequestsChangeNothing(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	member.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
	valid := r.gossip[ownerIndexOf(member)][0]
	for _, c := range []struct {
		name     string
		receiver int
		sender   int
	}{
		{"receiver does not serve the customer", 5, 10},
		{"sender below the customer's instances", 20, 5},
		{"sender above the customer's instances", 20, 250},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, r := newOwnerEngine(t, c.receiver)
			e.GossipReceived(t0, c.sender, valid, r)
			if e.quotas.Len() != 0 || len(r.gossip) != 0 {
				t.Errorf("got %d quotas and %d responses, want none", e.quotas.Len(), len(r.gossip))
			}
		})
	}
	t.Run("malformed", func(t *testing.T) {
		e, r := newOwnerEngine(t, 20)
		for n := range len(valid) {
			e.GossipReceived(t0, 10, valid[:n], r)
		}
		e.GossipReceived(t0, 10, append(append([]byte{}, valid...), 0), r)
		if e.quotas.Len() != 0 {
			t.Error("malformed quota request created a quota")
		}
	})
}

// A lease under an in-flight limit is returned when the attempt ends, even if the owner's response was lost. A request
// rejected at the limit may be retried after at most the time that a quota request takes.
func TestInFlightLeasesAreReleased(t *testing.T) {
	x := sendQuotaRequest(t, "open")
	member, owner, r := x.member, x.owner, x.memberRecorder
	leases := func(now time.Duration) int { return len(quotaStates(owner, now)[ownedCustomer].LeaseFrom) }
	if n := leases(t0); n != 1 {
		t.Fatalf("owner has %d leases after the quota request, want 1", n)
	}
	r.gossip = nil
	member.TimerFired(t0+quota.OwnerTimeout, timerToken(timerOwnerTimeout, member.requests.lastNumber), r)
	completeAttempts(member, r, t0+quota.OwnerTimeout+50*ms, 50*ms, OK)
	for _, m := range r.gossip[x.ownerIndex] {
		owner.GossipReceived(t0+200*ms, 10, m, x.ownerRecorder)
	}
	if n := leases(t0 + 200*ms); n != 0 {
		t.Errorf("owner has %d leases after the end of the attempt, want 0", n)
	}
	owned := owner.quotas.Lookup(ownedCustomer)
	owned.InFlight = owner.settings.Plans[owner.index.plans["open"]].MaxInFlight
	decision := owner.quotas.Check(owned, quota.Demand{Units: 1}, t0+200*ms)
	if decision.IsWithinQuota || decision.RetryAfter > quota.OwnerTimeout {
		t.Errorf("got decision %+v, want a rejection with at most OwnerTimeout to wait", decision)
	}
}

// The hard limit is never exceeded: an owner that has just started does not grant units that its previous process may
// have spent.
func TestNewOwnerGrantsNoHardLimitTokens(t *testing.T) {
	x := sendQuotaRequest(t, "hard")
	x.member.GossipReceived(t0+ms, x.ownerIndex, x.ownerRecorder.gossip[10][0], x.memberRecorder)
	if x.memberRecorder.count("send") != 0 {
		t.Errorf("got actions %v, want no request sent", x.memberRecorder.actions)
	}
}

// Units that a member spends without a response are charged once, whether the quota request or the response was lost.
func TestUnitsSentWithoutResponseAreCharged(t *testing.T) {
	for _, c := range []struct {
		name               string
		isRequestDelivered bool
	}{
		{"request lost", false},
		{"response lost", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			member, r := newOwnerEngine(t, 10)
			member.RequestReceived(t0, ownerRequest(1, ownedCustomer), r)
			ownerIndex := ownerIndexOf(member)
			owner, ownerRecorder := newOwnerEngine(t, ownerIndex)
			if c.isRequestDelivered {
				owner.GossipReceived(t0+ms, 10, r.gossip[ownerIndex][0], ownerRecorder)
			}
			for _, timer := range r.timers {
				if kind, _ := parseTimerToken(timer.token); kind == timerOwnerTimeout {
					member.TimerFired(t0+quota.OwnerTimeout, timer.token, r)
				}
			}
			if len(r.gossip[ownerIndex]) != 2 || r.count("send") != 1 {
				t.Fatalf("got %d messages and actions %v, want 2 and one sent", len(r.gossip[ownerIndex]), r.actions)
			}
			for range 3 {
				owner.GossipReceived(t0+ms, 10, r.gossip[ownerIndex][1], ownerRecorder)
			}
			// An owner holds 10 units: a burst of 40 in 4 parts.
			owned := owner.quotas.Lookup(ownedCustomer)
			if spent := 10 - owned.Tokens; math.Abs(spent-1) > 0.2 {
				t.Errorf("owner charged %.2f units, want 1", spent)
			}
		})
	}
}

// A request that its owner rejects for the hard limit alone counts as rejected for the hard limit. Such a response has
// no wait, as has one to a late request while the quota is contended, which counts as rejected for the quota.
func TestOwnersHardLimitRejectionsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name     string
		response quota.Response
		isLate   bool
		want     rejectReason
	}{
		{"hard limit", quota.Response{}, false, rejectHardLimit},
		{"quota", quota.Response{Wait: 10 * ms}, false, rejectQuota},
		{"late request of a contended quota", quota.Response{}, true, rejectQuota},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := sendQuotaRequest(t, "hard")
			x.member.requests.byID["r1"].isLate = c.isLate
			c.response.Number = x.member.requests.lastNumber
			message := x.owner.quotas.Codec().EncodeResponse(c.response, quota.Report{})
			x.member.GossipReceived(t0+ms, x.ownerIndex, message, x.memberRecorder)
			var want [rejectReasonCount]uint64
			want[c.want] = 1
			if x.member.rejections != want {
				t.Errorf("rejections by reason: got %v, want %v", x.member.rejections, want)
			}
		})
	}
	t.Run("owner without hard limit tokens", func(t *testing.T) {
		x := sendQuotaRequest(t, "hard")
		x.member.GossipReceived(t0+ms, x.ownerIndex, x.ownerRecorder.gossip[10][0], x.memberRecorder)
		if got := x.member.rejections[rejectHardLimit]; got != 1 {
			t.Errorf("got %d rejections for the hard limit, want 1: %v", got, x.member.rejections)
		}
	})
}
