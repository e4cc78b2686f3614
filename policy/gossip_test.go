package policy

import (
	"testing"
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
)

// A peer charges gossiped units once, whether messages are lost, repeated or late.
func TestGossipSurvivesLossAndReordering(t *testing.T) {
	for _, c := range []struct {
		name     string
		received []int // of three messages, by index
	}{
		{"in order", []int{0, 1, 2}},
		{"middle lost", []int{0, 2}},
		{"each twice", []int{0, 0, 1, 1, 2, 2}},
		{"first one late", []int{1, 0, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, ra := newInstance(t, 0, 2)
			b, rb := newInstance(t, 1, 2)
			q := newSharedRequest("rate", 1, 2)
			for i := range 3 {
				now := t0 + time.Duration(i)*ms
				offerRequests(a, ra, now, 3, q)
				a.TimerFired(now, timerToken(timerGossip, 0), ra)
			}
			for _, i := range c.received {
				b.GossipReceived(t0, 0, ra.gossip[1][i], rb)
			}
			if got := 20 - b.quotas.Lookup(1).Tokens; got != 9 {
				t.Errorf("peer charged %v units, want 9", got)
			}
		})
	}
}

// A broadcast must include the entries that do not fit into its first message.
func TestEveryEntryIsBroadcast(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 2
	a, ra := newEngine(t, s, testServers(40)...)
	b, rb := newInstance(t, 1, 2)
	for c := uint64(0); c < 100; c++ {
		q := newSharedRequest("rate", c<<25, 2)
		offerRequests(a, ra, t0, 1, q)
		a.load.inFlight = 0
	}
	a.TimerFired(t0, timerToken(timerGossip, 0), ra)
	const maxMessageSize = 256 // bytes, the limit of Actions.SendGossip
	for _, m := range ra.gossip[1] {
		if len(m) > maxMessageSize {
			t.Errorf("gossip message has %d bytes, more than the limit", len(m))
		}
		b.GossipReceived(t0, 0, m, rb)
	}
	if b.quotas.Len() != 100 {
		t.Errorf("peer has quotas of %d customers, want 100", b.quotas.Len())
	}
}

// Units that instances together spend beyond the quota make its tokens negative, so that they are paid back.
func TestRemoteUnitsOverdrawTokens(t *testing.T) {
	a, ra := newInstance(t, 0, 2)
	b, rb := newInstance(t, 1, 2)
	q := newSharedRequest("rate", 1, 2)
	for i := 0; i < 6; i++ {
		offerRequests(a, ra, t0, 9, q)
		a.TimerFired(t0, timerToken(timerGossip, 0), ra)
		offerRequests(b, rb, t0+time.Duration(i)*ms, 9, q)
		b.TimerFired(t0+time.Duration(i)*ms, timerToken(timerGossip, 0), rb)
	}
	for _, m := range ra.gossip[1] {
		b.GossipReceived(t0+6*ms, 0, m, rb)
	}
	if b.quotas.Lookup(1).Tokens >= 0 {
		t.Errorf("%v tokens after both instances spent most of the quota, want less than 0", b.quotas.Lookup(1).Tokens)
	}
}

func TestMalformedGossipChangesNothing(t *testing.T) {
	a, ra := newInstance(t, 0, 2)
	q := newSharedRequest("rate", 1, 2)
	offerRequests(a, ra, t0, 3, q)
	a.TimerFired(t0, timerToken(timerGossip, 0), ra)
	good := ra.gossip[1][0]
	for n := 0; n < len(good); n++ {
		b, rb := newInstance(t, 1, 2)
		b.GossipReceived(t0, 0, good[:n], rb)
		b.GossipReceived(t0, 7, good, rb)
		b.GossipReceived(t0, 1, good, rb)
		b.GossipReceived(t0, 0, append([]byte{0xff, 0xff}, good[:n]...), rb)
		if b.quotas.Len() != 0 || len(rb.actions) != 0 {
			t.Fatalf("malformed gossip of %d bytes (of %d) was accepted", n, len(good))
		}
	}
}

func FuzzGossipReceived(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 1, 1, 5, 0, 2, 0})
	f.Add([]byte{1, 1, 255, 255, 255, 255, 15, 5, 0, 2, 0})
	s := testSettings()
	s.InstanceCount = 3
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		r := &recorder{}
		e.Start(t0, r)
		e.GossipReceived(t0, 1, b, r)
		if e.quotas.Len() > len(b) {
			t.Errorf("message of %d bytes created %d quotas", e.quotas.Len(), len(b))
		}
	})
}

// sentReport returns the report of one instance's quota response, as another instance decodes it.
func sentReport(t *testing.T, from, to *Engine) quota.Report {
	t.Helper()
	response := quota.Response{Number: 7, IsGranted: true, GrantFraction: 1}
	encoded := from.quotas.Codec().EncodeResponse(response, newPeerReport(from.now, &from.overload, &from.failures))
	_, report, err := to.quotas.Codec().DecodeMessage(encoded)
	if err != nil {
		t.Fatalf("decoding a response with a report: %v", err)
	}
	return report
}

// Negative sums of occupancy, which latencies below the lowest mean cause, must reach peers unchanged.
func TestFleetMeansAreEncodedSigned(t *testing.T) {
	e, _ := newOwnerEngine(t, 10)
	e.overload.ReceiveMeans(overload.Means{-0.5, 0.25, 2, 0, 1})
	if got := sentReport(t, e, e).FleetMeans; got != e.overload.FleetMeans() {
		t.Errorf("fleet means sent: %v, received: %v", e.overload.FleetMeans(), got)
	}
}

// The findings of an instance are sent with its quota messages until they expire.
func TestFindingsAreSentWithQuotaMessages(t *testing.T) {
	e, _ := newSubsetEngine(t)
	e.now = t0 + 10*time.Second
	for i, s := range e.subset.members[:6] {
		e.failures.addFinding(quota.Finding{ServerID: s.gossipID, IsUp: i%2 == 0, FoundAt: e.now})
	}
	read := func() []quota.Finding { return sentReport(t, e, e).Findings }
	got := read()
	if len(got) != quota.MaxFindings || got[3].ServerID != e.subset.members[5].gossipID || got[3].IsUp {
		t.Fatalf("got findings %+v, want the latest MaxFindings ones", got)
	}
	e.now += findingTTL
	if got := read(); len(got) != 0 {
		t.Errorf("expired findings are sent: %+v", got)
	}
}
