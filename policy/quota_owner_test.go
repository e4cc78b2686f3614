package policy

import (
	"math"
	"testing"
	"time"
)

// newOwnerEngine is a gateway of a fleet of 300, whose sets are so wide that holders are asked.
func newOwnerEngine(t *testing.T, me int) (*Engine, *recorder) {
	s := ownerSettings()
	s.InstanceIndex = me
	return newEngine(t, s, testServers(4)...)
}

func ownerSettings() Settings {
	s := testSettings()
	s.InstanceCount, s.AllowsGossip, s.GossipInboxRate = 300, true, 40
	return s
}

// ownerScope is that of the customers of ownerRequest.
func ownerScope(g *Engine) quotaScope {
	return quotaScope{plan: g.planIndex["rate"], instanceCount: 100, firstInstance: 10}
}

// ownerRequest is of a customer that comes in through the gateways 10 to 109.
func ownerRequest(n int, customer uint64) Request {
	q := newRequest(n, "safe", "rate", customer)
	q.InstanceCount, q.FirstInstance = 100, 10
	return q
}

// Tells to a hundred gateways come seconds late: the customer's holder is asked, and its answer decides.
func TestOwnerIsAsked(t *testing.T) {
	const customer = 77
	member, r := newOwnerEngine(t, 10)
	q := ownerRequest(1, customer)
	member.RequestReceived(t0, q, r)
	holder := member.ownerFor(member.quotas.byCustomer[customer])
	if !ownerScope(member).includes(holder, member.settings.InstanceCount) || r.count("send")+r.count("refuse") != 0 || r.gossip[holder] == nil {
		t.Fatalf("holder %d, actions %v", holder, r.actions)
	}
	h, hr := newOwnerEngine(t, holder)
	h.GossipReceived(t0, 10, r.gossip[holder][0], hr)
	member.GossipReceived(t0+20*ms, holder, hr.gossip[10][0], r)
	if r.count("send") != 1 {
		t.Errorf("not sent after a grant: %v", r.actions)
	}
	// An answer that comes again, from another gateway, or to a number unknown changes nothing.
	r.actions = nil
	for _, from := range []int{holder, 11, -1, 300} {
		member.GossipReceived(t0+30*ms, from, hr.gossip[10][0], r)
	}
	if len(r.actions) != 0 {
		t.Errorf("%v", r.actions)
	}
}

// A client that leaves while its holder is asked has its units given back once they are granted; nothing is sent on. Where they
// are refused, or no answer comes, nothing is given back, and nothing is kept of the request.
func TestClientDisconnectsDuringQuotaRequest(t *testing.T) {
	const customer = 77
	granted := func(num uint64) []byte {
		return gossipCodec{}.encodeQuotaResponse(quotaResponse{number: num, isGranted: true, grantFraction: 1}, peerReport{})
	}
	for name, answer := range map[string]func(num uint64) []byte{
		"granted": granted,
		"refused": func(num uint64) []byte {
			return gossipCodec{}.encodeQuotaResponse(quotaResponse{number: num}, peerReport{})
		},
		"silent": nil,
	} {
		t.Run(name, func(t *testing.T) {
			member, r := newOwnerEngine(t, 10)
			member.RequestReceived(t0, ownerRequest(1, customer), r)
			holder, num := member.ownerFor(member.quotas.byCustomer[customer]), member.requests.byID["r1"].number
			member.ClientDisconnected(t0+10*ms, "r1", r)
			r.gossip = nil
			if answer != nil {
				member.GossipReceived(t0+20*ms, holder, answer(num), r)
			}
			member.TimerFired(t0+ownerTimeout, timerToken(timerOwnerTimeout, num), r)
			member.GossipReceived(t0+ownerTimeout, holder, granted(num), r) // doubled, or too late
			if r.count("send") != 0 || len(member.requests.byID)+len(member.requests.byNumber) != 0 {
				t.Errorf("sent on, or %d requests kept: %v", len(member.requests.byID)+len(member.requests.byNumber), r.actions)
			}
			var backs []quotaReturn
			for _, m := range r.gossip[holder] {
				decoded, _, err := member.codec().decodeQuotaMessage(m)
				if b, ok := decoded.(quotaReturn); ok && err == nil {
					backs = append(backs, b)
				}
			}
			if name == "granted" && (len(backs) != 1 || backs[0].number != num || backs[0].units != 1) || name != "granted" && len(backs) != 0 {
				t.Errorf("given back: %+v", backs)
			}
		})
	}
}

// A request whose holder is not waited for, having said nothing of late, is not kept for an answer once it has its own.
func TestNoWaitForUnresponsiveOwner(t *testing.T) {
	const customer = 77
	g, r := newOwnerEngine(t, 10)
	g.quotaFor(customer, ownerScope(g)).grantFraction = 0 // what was heard last: nothing is granted
	for n := range maxOwnerTimeouts + 1 {
		g.RequestReceived(t0, ownerRequest(n, customer), r)
		for num := range g.requests.byNumber {
			g.TimerFired(t0, timerToken(timerOwnerTimeout, num), r)
		}
	}
	if r.count("refuse") != maxOwnerTimeouts+1 || len(r.timers) < maxOwnerTimeouts {
		t.Fatalf("not refused without waiting: %v", r.actions)
	}
	g.RequestReceived(t0, ownerRequest(maxOwnerTimeouts+1, customer), r)
	if len(g.requests.byID)+len(g.requests.byNumber) != 0 {
		t.Errorf("%d requests are kept", len(g.requests.byNumber))
	}
}

// All members together must not be granted more than the store holds.
func TestOwnerGrantsItsTokensOnce(t *testing.T) {
	const customer = 77
	first, r := newOwnerEngine(t, 10)
	first.RequestReceived(t0, ownerRequest(1, customer), r)
	holder := first.ownerFor(first.quotas.byCustomer[customer])
	h, hr := newOwnerEngine(t, holder)
	sent := 0.0
	for me := 10; me < 110; me++ {
		if me == holder {
			continue
		}
		g, r := newOwnerEngine(t, me)
		if g.ownerFor(g.quotaFor(customer, ownerScope(g))) != holder {
			continue // another part of the holder's
		}
		for n := 0; n < 4; n++ {
			r.gossip, hr.gossip = nil, nil
			g.RequestReceived(t0, ownerRequest(n, customer), r)
			if r.gossip != nil { // else refused of late
				h.GossipReceived(t0, me, r.gossip[holder][0], hr)
				g.GossipReceived(t0, holder, hr.gossip[me][0], r)
			}
		}
		sent += float64(r.count("send"))
	}
	if burst := h.settings.Plans[h.planIndex["rate"]].Burst; sent == 0 || sent > burst {
		t.Errorf("%v sent of a burst of %v", sent, burst)
	}
}

// A calm day's asks must not look like a flood: a member refused by a holder whose inbox is a third full comes back as soon as the
// store has filled, not in the seconds after which it would be its turn if all members asked in vain.
func TestRejectedMembersRetrySoon(t *testing.T) {
	wait := func(inbox float64) time.Duration {
		member, r := newOwnerEngine(t, 10)
		member.RequestReceived(t0, ownerRequest(1, 77), r)
		to := member.ownerFor(member.quotas.byCustomer[77])
		h, hr := newOwnerEngine(t, to)
		h.gossip.rate = inbox
		h.quotaFor(77, ownerScope(h)).tokens = 0
		h.GossipReceived(t0, 10, r.gossip[to][0], hr)
		member.GossipReceived(t0, to, hr.gossip[10][0], r)
		if r.count("refuse") != 1 {
			t.Fatalf("%v", r.actions)
		}
		return member.quotas.byCustomer[77].rejectedUntil - t0
	}
	p := ownerSettings().Plans
	one := time.Duration(0)
	for i := range p {
		if p[i].Name == "rate" {
			one = refillTime(1, p[i].Rate/math.Ceil(p[i].Rate/(ownerInboxFraction*40)))
		}
	}
	if w := wait(14); w > max(one, ownerTimeout)+retryAfterUnit {
		t.Errorf("a calm holder shuts a member out for %v, its store fills by one in %v", w, one)
	}
	if w := wait(39); w < 2*time.Second {
		t.Errorf("a flooded holder has a member come back after %v", w)
	}
}

// A customer stays crowded for as long as its store takes to fill in two tries, which may be more than a second.
func TestSlowQuotasStayContended(t *testing.T) {
	h, _ := newOwnerEngine(t, 10)
	h.settings.Plans[h.planIndex["rate"]].Rate = 0.5
	st := h.quotaFor(77, ownerScope(h))
	if st.tokens = 0; !st.usesOwner {
		t.Fatal("no holder is asked for this customer")
	}
	h.checkQuota(st, quotaDemand{units: 1})
	if d := st.contendedUntil - h.now; d != 4*time.Second {
		t.Errorf("crowded for %v, it fills by two in 4 s", d)
	}
}

// A holder gives no units of a customer whose tries it has to refuse to one that comes too late for its aim; the
// member that sent it may go on asking for others.
func TestOwnersRejectLateRequests(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	ask := func(n int, late bool, at time.Duration) bool {
		q := ownerRequest(n, 77)
		member.latencies.classes[member.classIndex["safe"]].firstTryTimeout = q.Timeout
		if late {
			q.Timeout -= member.settings.Classes[member.classIndex["safe"]].LatencyObjective * 3 / 2
		}
		r.gossip = nil
		member.RequestReceived(at, q, r)
		to := member.ownerFor(member.quotas.byCustomer[77])
		if r.gossip[to] == nil {
			t.Fatalf("try %d was not asked for: %v", n, r.actions)
		}
		h, hr := newOwnerEngine(t, to)
		st := h.quotaFor(77, ownerScope(h))
		st.tokens, st.contendedUntil = 5, at+time.Second
		if n == 0 {
			st.contendedUntil = 0
		}
		h.GossipReceived(at, 10, r.gossip[to][0], hr)
		sent := r.count("send")
		member.GossipReceived(at, to, hr.gossip[10][0], r)
		if r.count("send") == sent {
			return false
		}
		member.AttemptCompleted(at+ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true}, r)
		return true
	}
	if !ask(0, true, t0) {
		t.Error("a late try was refused with room for all")
	}
	for n := 1; n < 7; n += 2 {
		at := t0 + time.Duration(n)*time.Second
		if ask(n, true, at) {
			t.Error("a late try took the units of a crowded customer")
		}
		if !ask(n+1, false, at) {
			t.Error("a fresh try was refused in its place")
		}
	}
}

// A holder that is down must cost a wait, not the customer.
func TestOwnerTimeoutUsesGrantFraction(t *testing.T) {
	for _, pass := range []float64{0, 1} {
		g, r := newOwnerEngine(t, 10)
		g.quotaFor(77, ownerScope(g)).grantFraction = pass
		g.RequestReceived(t0, ownerRequest(1, 77), r)
		g.TimerFired(t0+ownerTimeout, timerToken(timerOwnerTimeout, g.requests.lastNumber), r)
		if got := r.count("send"); got != int(pass) || r.count("refuse") != 1-got {
			t.Errorf("share %v: %v", pass, r.actions)
		}
	}
}

// An ask for a customer whose set lacks the sender or the receiver changes nothing, nor does a malformed one.
func TestInvalidQuotaRequestsChangeNothing(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	member.RequestReceived(t0, ownerRequest(1, 77), r)
	good := r.gossip[member.ownerFor(member.quotas.byCustomer[77])][0]
	for _, c := range []struct{ me, from int }{{5, 10}, {20, 5}, {20, 250}} {
		g, r := newOwnerEngine(t, c.me)
		g.GossipReceived(t0, c.from, good, r)
		if len(g.quotas.byCustomer) != 0 || len(r.gossip) != 0 {
			t.Errorf("%+v: %d stores, %d answers", c, len(g.quotas.byCustomer), len(r.gossip))
		}
	}
	g, gr := newOwnerEngine(t, 20)
	for n := 0; n < len(good); n++ {
		g.GossipReceived(t0, 10, good[:n], gr)
	}
	g.GossipReceived(t0, 10, append(append([]byte{}, good...), 0), gr)
	if len(g.quotas.byCustomer) != 0 {
		t.Error("a malformed ask made a store")
	}
}

// Rule 5: the parts of a ceiling over all gateways of a set must not sum to more than the whole.
func TestHardLimitFractionsSumToOne(t *testing.T) {
	burst, rate := 0.0, 0.0
	for me := 10; me < 110; me++ {
		g, _ := newOwnerEngine(t, me)
		st := g.quotaFor(77, ownerScope(g))
		burst, rate = burst+st.burstFraction, rate+st.rateFraction
	}
	if math.Abs(burst-1) > 1e-9 || math.Abs(rate-1) > 1e-9 {
		t.Errorf("parts sum to %v of the burst and %v of the rate", burst, rate)
	}
}

// A place under an open cap must be free again soon, also where the answer to the ask was lost, and a refusal
// must not keep the customer out for longer than an ask takes.
func TestInFlightLeasesAreReleased(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	q := ownerRequest(1, 77)
	q.Plan = "open"
	member.RequestReceived(t0, q, r)
	holder := member.ownerFor(member.quotas.byCustomer[77])
	h, hr := newOwnerEngine(t, holder)
	h.GossipReceived(t0, 10, r.gossip[holder][0], hr)
	if n := len(h.quotas.byCustomer[77].leases); n != 1 {
		t.Fatalf("%d leases", n)
	}
	r.gossip = nil
	member.TimerFired(t0+ownerTimeout, timerToken(timerOwnerTimeout, member.requests.lastNumber), r)
	completeAttempts(member, r, t0+ownerTimeout+50*ms, 50*ms, OK)
	for _, m := range r.gossip[holder] {
		h.GossipReceived(t0+200*ms, 10, m, hr)
	}
	if n := len(h.quotas.byCustomer[77].leases); n != 0 {
		t.Errorf("%d leases after the answer", n)
	}
	h.quotas.byCustomer[77].inFlight = h.settings.Plans[h.planIndex["open"]].MaxInFlight
	if in, wait := h.checkQuota(h.quotas.byCustomer[77], quotaDemand{units: 1}); in || wait > ownerTimeout {
		t.Errorf("in %v, wait %v", in, wait)
	}
}

// Rule 5: a holder that has just started must not grant what one before it may have spent.
func TestNewOwnerGrantsNoHardLimitTokens(t *testing.T) {
	member, r := newOwnerEngine(t, 10)
	q := ownerRequest(1, 77)
	q.Plan = "hard"
	member.RequestReceived(t0, q, r)
	holder := member.ownerFor(member.quotas.byCustomer[77])
	h, hr := newOwnerEngine(t, holder)
	h.GossipReceived(t0, 10, r.gossip[holder][0], hr)
	member.GossipReceived(t0+ms, holder, hr.gossip[10][0], r)
	if r.count("send") != 0 {
		t.Errorf("%v", r.actions)
	}
}

// Rule 1: a request that waits for its holder longer than its client must be answered in time.
func TestRequestAwaitingOwnerIsAnswered(t *testing.T) {
	g, r := newOwnerEngine(t, 10)
	q := ownerRequest(1, 77)
	q.Timeout = 30 * ms
	g.RequestReceived(t0, q, r)
	for _, s := range r.timers {
		if s.token == timerToken(timerDeadline, g.requests.lastNumber) && s.after < q.Timeout {
			g.TimerFired(t0+s.after, s.token, r)
		}
	}
	if r.count("refuse") != 1 {
		t.Errorf("%v", r.actions)
	}
}

// Units that were sent without their holder's answer are taken from the store once, whether the ask or its answer was lost.
func TestUnitsSentWithoutResponseAreCharged(t *testing.T) {
	for _, lost := range []string{"ask", "answer"} {
		member, r := newOwnerEngine(t, 10)
		member.RequestReceived(t0, ownerRequest(1, 77), r)
		to := member.ownerFor(member.quotas.byCustomer[77])
		holder, hr := newOwnerEngine(t, to)
		if lost == "answer" {
			holder.GossipReceived(t0+ms, 10, r.gossip[to][0], hr)
		}
		for _, timer := range r.timers {
			if timerKind(timer.token&(1<<timerBits-1)) == timerOwnerTimeout {
				member.TimerFired(t0+ownerTimeout, timer.token, r)
			}
		}
		if len(r.gossip[to]) != 2 || r.count("send") != 1 {
			t.Fatalf("%s lost: %d messages, %v", lost, len(r.gossip[to]), r.actions)
		}
		for range 3 {
			holder.GossipReceived(t0+ms, 10, r.gossip[to][1], hr)
		}
		st := holder.quotas.byCustomer[77]
		p := &holder.settings.Plans[st.plan]
		if spent := p.Burst/st.ownerCount - st.tokens; math.Abs(spent-1) > 0.2 {
			t.Errorf("%s lost: %.2f units taken, want 1", lost, spent)
		}
	}
}
