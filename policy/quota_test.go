package policy

import (
	"testing"
	"time"
)

func TestQuotaSpendsItsFractionBetweenBroadcasts(t *testing.T) {
	e, r := newInstance(t, 0, 2)
	q := newSharedRequest("rate", 1, 2)
	// A new quota holds 40/2; half of it may be spent before the next broadcast.
	if n := offerRequests(e, r, t0, 50, q); n != 10 {
		t.Errorf("%d requests sent before the first broadcast, want 10", n)
	}
	e.TimerFired(t0, timerToken(timerGossip, 0), r)
	if n := offerRequests(e, r, t0, 50, q); n != 5 {
		t.Errorf("%d requests sent before the second broadcast, want 5", n)
	}
}

// A customer must get requests through even if an instance's part of its quota is smaller than one request.
func TestSmallQuotaAdmitsOneRequest(t *testing.T) {
	s := testSettings()
	s.InstanceCount, s.Plans[1].Rate, s.Plans[1].Burst = 3, 0.5, 2
	e, r := newEngine(t, s, testServers(4)...)
	q := newSharedRequest("rate", 1, 3)
	now := t0 + 4*time.Second
	if n := offerRequests(e, r, now, 5, q); n != 1 {
		t.Errorf("%d requests sent, want 1", n)
	}
}

// Once one unit is free, a customer that was rejected must not get a request through at each instance.
func TestContendedCustomerWaitsForItsFraction(t *testing.T) {
	e, r := newInstance(t, 0, 3)
	q := newSharedRequest("rate", 1, 3)
	offerRequests(e, r, t0, 30, q)
	e.quotas.Lookup(1).Tokens = 1.5
	e.TimerFired(t0, timerToken(timerGossip, 0), r)
	if n := offerRequests(e, r, t0+ms, 5, q); n != 0 {
		t.Errorf("%d requests sent with units for one instance of three, want 0", n)
	}
	if n := offerRequests(e, r, t0+60*ms, 5, q); n != 1 {
		t.Errorf("%d requests sent with units for all instances, want 1", n)
	}
}

// The in-flight limit counts the attempts that peers report.
func TestInFlightLimitCountsPeers(t *testing.T) {
	a, ra := newInstance(t, 0, 2)
	q := newSharedRequest("open", 1, 2)
	sentA := offerRequests(a, ra, t0, 9, q)
	a.TimerFired(t0, timerToken(timerGossip, 0), ra)
	b, rb := newInstance(t, 1, 2)
	b.GossipReceived(t0, 0, ra.gossip[1][0], rb)
	for i := 0; i < 9; i++ {
		offerRequests(b, rb, t0, 9, q)
		b.TimerFired(t0, timerToken(timerGossip, 0), rb)
	}
	if got := sentA + rb.count("send"); sentA == 0 || got < 5 || got > 6 {
		t.Errorf("%d attempts in flight, %d of them at the peer; want 5 or 6", got, sentA)
	}
}

// The quota is corrected to the true units that the response reports.
func TestSettledUnits(t *testing.T) {
	s := testSettings()
	s.SettlesUnits = true
	e, r := newEngine(t, s, testServers(2)...)
	e.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	e.AttemptCompleted(t0, AttemptResult{ID: "r1", Result: OK, RequestAnswered: true, Units: 4}, r)
	if got := e.quotas.Lookup(1).Tokens; got != 36 {
		t.Errorf("quota has %v tokens, want 36", got)
	}
}

// Quotas of customers that send no more requests must not fill the memory.
func TestIdleQuotasAreDropped(t *testing.T) {
	e, r := newEngine(t, testSettings(), testServers(4)...)
	for i := 0; i < 20000; i++ {
		now := t0 + time.Duration(i)*ms
		e.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		completeAttempts(e, r, now, ms, OK)
		if i%100 == 0 {
			e.TimerFired(now, timerToken(timerSample, 0), r)
		}
	}
	if e.quotas.Len() > 5000 {
		t.Errorf("%d quotas are kept, want at most 5000", e.quotas.Len())
	}
}
