package policy

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// recorder keeps actions as text.
type recorder struct {
	acts   []string
	timers []timerSet
	tells  map[int][][]byte
}

type timerSet struct {
	token uint64
	after time.Duration
}

func (r *recorder) SendAttempt(id, server string, d time.Duration) { r.add("send %s %s", id, server) }
func (r *recorder) RejectRequest(id string, d time.Duration)       { r.add("refuse %s", id) }
func (r *recorder) FailRequest(id string)                          { r.add("fail %s", id) }
func (r *recorder) CancelAttempt(id string, n int)                 { r.add("cancel %s %d", id, n) }
func (r *recorder) SetTimer(token uint64, d time.Duration) {
	r.timers = append(r.timers, timerSet{token, d})
}
func (r *recorder) CheckHealth(server string) { r.add("probe %s", server) }
func (r *recorder) WatchEndpoints(on bool)    { r.add("watch %v", on) }
func (r *recorder) Log(string)                {}
func (r *recorder) SendGossip(p int, m []byte) {
	if r.tells == nil {
		r.tells = map[int][][]byte{}
	}
	r.tells[p] = append(r.tells[p], append([]byte(nil), m...))
}
func (r *recorder) add(f string, a ...any) { r.acts = append(r.acts, fmt.Sprintf(f, a...)) }
func (r *recorder) count(prefix string) int {
	n := 0
	for _, a := range r.acts {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}
func (r *recorder) last() string {
	if len(r.acts) == 0 {
		return ""
	}
	return r.acts[len(r.acts)-1]
}

const t0 = 1000 * time.Second

func newGate(t *testing.T, s Settings, servers ...Server) (*Engine, *recorder) {
	t.Helper()
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	g.Start(t0, r)
	g.EndpointsChanged(t0, EndpointsSaved, servers, r)
	return g, r
}

func newRequest(n int, class, plan string, customer uint64) Request {
	return Request{ID: fmt.Sprintf("r%d", n), Class: class, Plan: plan, Customer: customer,
		Timeout: 2 * time.Second, Units: 1, InstanceCount: 1}
}

func fleet(n int) (list []Server) {
	for i := 0; i < n; i++ {
		list = append(list, Server{ID: fmt.Sprintf("s%d", i), Kind: "k", Zone: "a", Cell: 1})
	}
	return list
}

// What may follow each outcome, by the effect of the class: rule 2.
func TestAfterEachOutcome(t *testing.T) {
	mayRun := map[Result]bool{OK: true, ErrorResponse: true, TimedOut: true, ConnectionReset: true, Cancelled: true}
	for res := OK; res <= NotSent; res++ {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, inGroup := range []bool{true, false} {
				first := Server{ID: "s0", Kind: "k", Zone: "a"}
				other := Server{ID: "s1", Kind: "k", Zone: "b"}
				if inGroup {
					other.Zone = "a"
				}
				g, r := newGate(t, testSettings(), first)
				g.retryTokens = 5
				g.RequestReceived(t0, newRequest(1, class, "rate", 1), r)
				g.EndpointsChanged(t0, EndpointsComplete, []Server{{ID: "s0", State: Draining, Kind: "k", Zone: "a"}, other}, r)
				r.acts = nil
				g.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: res, Server: "s0", RequestAnswered: res == OK}, r)
				again := res != OK && res != NotSent && (!mayRun[res] || class == "safe" || class == "keyed" && inGroup)
				want := "send r1 s1"
				switch {
				case res == OK:
					want = ""
				case !again && (class == "safe" || !mayRun[res]):
					want = "refuse r1"
				case !again:
					want = "fail r1"
				}
				if got := r.last(); got != want {
					t.Errorf("%s after result %d, same group %v: %q, want %q", class, res, inGroup, got, want)
				}
			}
		}
	}
}

func TestKeyedNotSentAfterItsWindow(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(3)...)
	g.retryTokens = 5
	g.RequestReceived(t0, newRequest(1, "keyed", "rate", 1), r)
	g.AttemptCompleted(t0+300*ms, AttemptResult{ID: "r1", Result: ConnectionReset}, r)
	if r.last() != "fail r1" {
		t.Errorf("got %q", r.last())
	}
}

// Its window counts to the repeat's arrival, which a connection that comes up late puts off.
func TestKeyedArrivesInItsWindow(t *testing.T) {
	for connect, want := range map[time.Duration]int{0: 2, 150 * ms: 1} {
		set := testSettings()
		set.ConnectTimeout = connect
		for i := range set.Classes {
			if set.Classes[i].Name == "keyed" {
				set.Classes[i].DedupWindow, set.Classes[i].DedupScope = 300*ms, DedupAllServers
			}
		}
		g, r := newGate(t, set, fleet(2)...)
		g.retryTokens = 5
		g.RequestReceived(t0, newRequest(1, "keyed", "rate", 1), r)
		first := r.last()
		g.AttemptCompleted(t0+200*ms, AttemptResult{ID: "r1", Result: ConnectionReset, Server: first[len(first)-2:]}, r)
		if got := r.count("send"); got != want {
			t.Errorf("connections within %v: sent %d times, want %d: %v", connect, got, want, r.acts)
		}
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		q    Request
	}{
		{"unknown class", newRequest(1, "none", "rate", 1)},
		{"unknown plan", newRequest(1, "safe", "none", 1)},
		{"no grace", Request{ID: "r1", Class: "safe", Plan: "rate"}},
		{"more than the burst", Request{ID: "r1", Class: "safe", Plan: "rate", Units: 41, Timeout: time.Second}},
		{"no servers", newRequest(1, "safe", "rate", 1)},
	}
	for _, tt := range tests {
		list := fleet(2)
		if tt.name == "no servers" {
			list = nil
		}
		g, r := newGate(t, testSettings(), list...)
		g.RequestReceived(t0, tt.q, r)
		if len(r.acts) != 1 || r.acts[0] != "refuse r1" {
			t.Errorf("%s: %q", tt.name, r.acts)
		}
	}
}

// flood offers n requests of one customer at once and returns how many were sent.
func flood(g *Engine, r *recorder, now time.Duration, n int, q Request) int {
	before := r.count("send")
	for i := 0; i < n; i++ {
		q.ID = fmt.Sprintf("%s-%d-%v-%d", q.Class, q.Customer, now, i)
		q.Units = max(q.Units, 1)
		g.inFlight = 0 // the quota alone is looked at
		g.RequestReceived(now, q, r)
	}
	return r.count("send") - before
}

func TestStoreSpendsItsShareBetweenTells(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 2
	g, r := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "rate", 1)
	q.InstanceCount = 2
	// A new store holds 40/2; half of it may be spent before the next tell.
	if n := flood(g, r, t0, 50, q); n != 10 {
		t.Errorf("%d sent before the first tell, want 10", n)
	}
	g.TimerFired(t0, timerGossip, r)
	if n := flood(g, r, t0, 50, q); n != 5 {
		t.Errorf("%d sent before the second tell, want 5", n)
	}
}

// A split store smaller than a request must not starve its customer.
func TestSmallStoreGivesOneRequest(t *testing.T) {
	s := testSettings()
	s.InstanceCount, s.Plans[1].Rate, s.Plans[1].Burst = 3, 0.5, 2
	g, r := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "rate", 1)
	q.InstanceCount = 3
	now := t0 + 4*time.Second
	if n := flood(g, r, now, 5, q); n != 1 {
		t.Errorf("%d sent, want 1", n)
	}
}

// Units told must be taken from the peer's store once: whether tells are lost, repeated or late.
func TestTellsSurviveLossAndOrder(t *testing.T) {
	orders := map[string][]int{"in order": {0, 1, 2}, "middle lost": {0, 2}, "twice": {0, 0, 1, 1, 2, 2}, "late": {1, 0, 2}}
	for name, order := range orders {
		s := testSettings()
		s.InstanceCount = 2
		a, ra := newGate(t, s, fleet(4)...)
		s.InstanceIndex = 1
		b, rb := newGate(t, s, fleet(4)...)
		q := newRequest(0, "safe", "rate", 1)
		q.InstanceCount = 2
		for i := 0; i < 3; i++ {
			now := t0 + time.Duration(i)*ms
			flood(a, ra, now, 3, q)
			a.TimerFired(now, timerGossip, ra)
		}
		for _, i := range order {
			b.GossipReceived(t0, 0, ra.tells[1][i], rb)
		}
		if got := 20 - b.quotas[1].tokens; got != 9 {
			t.Errorf("%s: %v units taken, want 9", name, got)
		}
	}
}

// A long tell must not lose the entries that its first message has no room for.
func TestEveryEntryIsTold(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 2
	a, ra := newGate(t, s, fleet(40)...)
	s.InstanceIndex = 1
	b, rb := newGate(t, s, fleet(4)...)
	for c := uint64(0); c < 100; c++ {
		q := newRequest(0, "safe", "rate", c<<25)
		q.InstanceCount = 2
		flood(a, ra, t0, 1, q)
		a.inFlight = 0
	}
	a.TimerFired(t0, timerGossip, ra)
	for _, m := range ra.tells[1] {
		if len(m) > maxMessageSize {
			t.Errorf("message of %d bytes", len(m))
		}
		b.GossipReceived(t0, 0, m, rb)
	}
	if len(b.quotas) != 100 {
		t.Errorf("%d of 100 customers heard of", len(b.quotas))
	}
}

// What gateways overspend together must be paid back, not forgotten at nought.
func TestHeardUnitsGoBelowNought(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 2
	a, ra := newGate(t, s, fleet(4)...)
	s.InstanceIndex = 1
	b, rb := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "rate", 1)
	q.InstanceCount = 2
	for i := 0; i < 6; i++ {
		flood(a, ra, t0, 9, q)
		a.TimerFired(t0, timerGossip, ra)
		q.Customer = 1
		q.ID = ""
		q.Units = 1
		flood(b, rb, t0+time.Duration(i)*ms, 9, q)
		b.TimerFired(t0+time.Duration(i)*ms, timerGossip, rb)
	}
	for _, m := range ra.tells[1] {
		b.GossipReceived(t0+6*ms, 0, m, rb)
	}
	if b.quotas[1].tokens >= 0 {
		t.Errorf("level %v after both spent most of it", b.quotas[1].tokens)
	}
}

// A customer refused of late must not get one request from each gateway as soon as one is free.
func TestCrowdedCustomerWaitsForItsShare(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 3
	g, r := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "rate", 1)
	q.InstanceCount = 3
	flood(g, r, t0, 30, q)
	g.quotas[1].tokens = 1.5
	g.TimerFired(t0, timerGossip, r)
	if n := flood(g, r, t0+ms, 5, q); n != 0 {
		t.Errorf("%d sent with units for one gateway of three", n)
	}
	if n := flood(g, r, t0+60*ms, 5, q); n != 1 {
		t.Errorf("%d sent with units for all, want 1", n)
	}
}

// The bound on piled-up work must not refuse the first second after a start.
func TestRateIsKnownSoonAfterStart(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	for i := 0; i < 200; i++ {
		now := t0 + time.Duration(i)*ms
		g.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		answer(g, r, now, ms, OK)
		if i%100 == 99 {
			g.TimerFired(now, timerSample, r)
		}
	}
	if g.responseRate < 500 {
		t.Errorf("rate %v after 200 ms at 1000 a second", g.responseRate)
	}
}

// A refused connection ejects at once, for longer each time, and an answer ends it.
func TestEjectionGrows(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(2)...)
	s := g.serverByID["s0"]
	q := &request{}
	var last time.Duration
	for i := 1; i <= 6; i++ {
		g.now = s.ejectedUntil
		if i == 1 {
			g.now = t0
		}
		g.actions = r
		g.updateHealth(q, s, AttemptResult{Result: ConnectFailed})
		span := s.ejectedUntil - g.now
		if span <= last && span != maxEjectionTime {
			t.Errorf("ejection %d lasts %v after %v", i, span, last)
		}
		last = span
	}
	g.updateHealth(q, s, AttemptResult{Result: OK, Latency: ms})
	if s.consecutiveEjections != 0 {
		t.Errorf("%d strikes after an answer", s.consecutiveEjections)
	}
}

func TestBadTellsChangeNothing(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 2
	a, ra := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "rate", 1)
	q.InstanceCount = 2
	flood(a, ra, t0, 3, q)
	a.TimerFired(t0, timerGossip, ra)
	good := ra.tells[1][0]
	s.InstanceIndex = 1
	for n := 0; n < len(good); n++ {
		b, rb := newGate(t, s, fleet(4)...)
		b.GossipReceived(t0, 0, good[:n], rb)
		b.GossipReceived(t0, 7, good, rb)
		b.GossipReceived(t0, 1, good, rb)
		b.GossipReceived(t0, 0, append([]byte{0xff, 0xff}, good[:n]...), rb)
		if len(b.quotas) != 0 || len(rb.acts) != 0 {
			t.Fatalf("%d bytes of %d were believed", n, len(good))
		}
	}
}

func FuzzPeer(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 1, 1, 5, 0, 2, 0})
	f.Add([]byte{1, 1, 255, 255, 255, 255, 15, 5, 0, 2, 0})
	s := testSettings()
	s.InstanceCount = 3
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		r := &recorder{}
		g.Start(t0, r)
		g.GossipReceived(t0, 1, b, r)
		if len(g.quotas) > len(b) {
			t.Errorf("%d stores from %d bytes", len(g.quotas), len(b))
		}
	})
}

// The cap on attempts open at once counts what peers told.
func TestOpenCapCountsPeers(t *testing.T) {
	s := testSettings()
	s.InstanceCount = 2
	a, ra := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "open", 1)
	q.InstanceCount = 2
	sentA := flood(a, ra, t0, 9, q)
	a.TimerFired(t0, timerGossip, ra)
	s.InstanceIndex = 1
	b, rb := newGate(t, s, fleet(4)...)
	b.GossipReceived(t0, 0, ra.tells[1][0], rb)
	for i := 0; i < 9; i++ {
		flood(b, rb, t0, 9, q)
		b.TimerFired(t0, timerGossip, rb)
	}
	if got := sentA + rb.count("send"); sentA == 0 || got < 5 || got > 6 {
		t.Errorf("%d out, %d of them on the peer; want 5 or 6", got, sentA)
	}
}

// Rule 5: a gateway that just started may be the successor of one that spent its part.
func TestCeilingStartsEmpty(t *testing.T) {
	s := testSettings()
	g, r := newGate(t, s, fleet(4)...)
	q := newRequest(0, "safe", "hard", 1)
	if n := flood(g, r, t0, 30, q); n != 0 {
		t.Errorf("%d sent at the start", n)
	}
	if n := flood(g, r, t0+200*ms, 30, q); n != 5 {
		t.Errorf("%d sent after 200 ms at 25 a second, want 5", n)
	}
}

// A second copy counts as out: it must not take a capped customer's last places.
func TestNoSecondCopyNearTheCap(t *testing.T) {
	for plan, want := range map[string]int{"rate": 1, "open": 0} {
		s := testSettings()
		s.AllowsHedging = true
		s.Plans[2].MaxInFlight = 2
		g, r := newGate(t, s, fleet(4)...)
		g.retryTokens = 5
		g.RequestReceived(t0, newRequest(1, "safe", plan, 1), r)
		r.acts = nil
		g.TimerFired(t0+ms, g.lastRequestNumber<<timerBits|timerHedge, r)
		if n := r.count("send"); n != want {
			t.Errorf("%s: %d second copies, want %d", plan, n, want)
		}
	}
}

func TestDrainsAtOnce(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(2)...)
	g.EndpointsChanged(t0, EndpointsDelta, []Server{{ID: "s0", State: Draining}}, r)
	q := newRequest(0, "safe", "rate", 1)
	flood(g, r, t0, 20, q)
	if r.count("send") == 0 {
		t.Fatal("nothing sent")
	}
	for _, a := range r.acts {
		if strings.HasSuffix(a, " s0") {
			t.Fatalf("%q", a)
		}
	}
	g.EndpointsChanged(t0, EndpointsComplete, nil, r)
	r.acts = nil
	if n := flood(g, r, t0, 5, q); n != 0 {
		t.Errorf("%d sent to servers gone from the list", n)
	}
}

// answer gives an OK to each request that is out.
func answer(g *Engine, r *recorder, now, took time.Duration, res Result) {
	for _, a := range r.acts {
		var id, server string
		if n, _ := fmt.Sscanf(a, "send %s %s", &id, &server); n == 2 {
			g.AttemptCompleted(now, AttemptResult{ID: id, Result: res, Server: server, RequestAnswered: res == OK, Latency: took}, r)
		}
	}
	r.acts = nil
}

// Rule 4: all gateways together must keep a cold server within the budget, also when there are hundreds that
// each would send it one request, when nothing is known of its size, and when all servers are cold.
func TestColdServerIsSpared(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		s := testSettings()
		s.InstanceCount = n
		work, sent := 0.0, 0
		for me := 0; me < n; me++ {
			s.InstanceIndex = me
			g, err := New(s, uint64(me))
			if err != nil {
				t.Fatal(err)
			}
			r := &recorder{}
			g.Start(t0, r)
			g.EndpointsChanged(t0, EndpointsComplete, []Server{{ID: "cold", Kind: "k", Zone: "a", StartedAt: t0 - ms}}, r)
			for at := time.Duration(0); at < s.ColdOverloadWindow; at += 50 * ms {
				sent += flood(g, r, t0+at, 2, newRequest(int(at/ms), "safe", "rate", 1))
			}
			work = float64(sent) * g.expectedWork(0)
		}
		// One core's work, the least that a server can do when warm, is what the budget is taken of.
		share := s.SlowStartMinFraction + (1-s.SlowStartMinFraction)*s.ColdOverloadWindow.Seconds()/s.SlowStartWindow.Seconds()
		budget := s.ColdOverloadMultiple * share * s.ColdOverloadWindow.Seconds()
		if sent == 0 && n > 100 || work > math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()) {
			t.Errorf("%d gateways sent %d requests of work %.2f to a cold server, budget %.2f", n, sent, work, budget)
		}
	}
}

// A connection that does not come up may mean a restart that the list tells later. One that
// broke does not: connections break one by one as well, and all servers would count as cold.
func TestRefusedConnectionCountsAsStart(t *testing.T) {
	for res, cold := range map[Result]bool{ConnectFailed: true, ConnectionReset: false, ErrorResponse: false} {
		g, r := newGate(t, testSettings(), fleet(1)...)
		g.RequestReceived(t0, newRequest(1, "unsafe", "rate", 1), r)
		g.AttemptCompleted(t0+ms, AttemptResult{ID: "r1", Result: res, Server: "s0"}, r)
		if got := g.capacityFraction(g.servers[0]) < 1; got != cold {
			t.Errorf("after result %d: cold %v, want %v", res, got, cold)
		}
		r.acts = nil
		if n := flood(g, r, t0+2*ms, 30, newRequest(0, "safe", "rate", 2)); cold && n > 1 {
			t.Errorf("%d sent after the refused connection, want 1 at most", n)
		}
	}
}

// A server that fails fast must not draw traffic; the last one must not be ejected.
func TestFastErrorsAreShunned(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	bad := 0
	for i := 0; i < 400; i++ {
		now := t0 + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		g.RequestReceived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			bad++
			g.AttemptCompleted(now+ms, AttemptResult{ID: q.ID, Result: ErrorResponse, Server: "s0", Latency: ms}, r)
		} else {
			g.AttemptCompleted(now+10*ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Server: a[2], Latency: 50 * ms}, r)
		}
	}
	if bad > 20 {
		t.Errorf("%d of 400 requests went to the failing server", bad)
	}
	g.EndpointsChanged(t0+9*time.Second, EndpointsComplete, fleet(1), r)
	g.RequestReceived(t0+9*time.Second, newRequest(1000, "safe", "rate", 5000), r)
	if r.last() != "send r1000 s0" {
		t.Errorf("the last server is not used: %q", r.last())
	}
}

// Work that piles up unanswered must be bounded before latencies tell of it.
func TestPiledUpWorkIsRefused(t *testing.T) {
	s := testSettings()
	s.Plans[1].Burst = 1e6
	g, r := newGate(t, s, fleet(4)...)
	sent := 0
	for i := 0; i < 200; i++ {
		g.RequestReceived(t0+time.Duration(i)*ms, newRequest(i, "safe", "rate", 1), r)
	}
	if sent = r.count("send"); sent == 0 || sent > 8 {
		t.Errorf("%d sent to 4 silent servers, want 1 to 8", sent)
	}
	if r.count("refuse") != 200-sent {
		t.Errorf("%d refused", r.count("refuse"))
	}
}

// Silence with work out counts as latency.
func TestSilentServerIsAvoided(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(2)...)
	toSilent := 0
	for i := 0; i < 200; i++ {
		now := t0 + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		g.RequestReceived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			toSilent++
		} else {
			g.AttemptCompleted(now+10*ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Server: a[2], Latency: 50 * ms}, r)
		}
	}
	if toSilent > 10 {
		t.Errorf("%d of 200 requests went to the silent server", toSilent)
	}
}

// Of two servers alike, the silent, the failing, the slow, the cold and the full one costs more.
func TestCostOfSymptoms(t *testing.T) {
	for name, spoil := range map[string]func(*server){
		"silent":    func(s *server) { s.lastProgressAt = t0 - time.Second },
		"failing":   func(s *server) { s.failureRate = 0.3 },
		"slow":      func(s *server) { s.latencyRatio = 2 },
		"cold":      func(s *server) { s.StartedAt = t0 - ms },
		"queueing":  func(s *server) { s.queueLength = 3 },
		"more out":  func(s *server) { s.inFlight = 2 },
		"was reset": func(s *server) { s.connectFailedAt = t0 },
	} {
		g, _ := newGate(t, testSettings(), fleet(2)...)
		a, b := g.servers[0], g.servers[1]
		for _, s := range g.servers {
			s.inFlight, s.lastProgressAt = 1, t0
		}
		g.latencies.classes[0].mean = 0.1
		spoil(b)
		if g.cost(b) < 1.3*g.cost(a) {
			t.Errorf("%s: cost %v against %v", name, g.cost(b), g.cost(a))
		}
	}
}

// One attempt at a time where the site has it so.
func TestNoSecondCopyWhereForbidden(t *testing.T) {
	for _, parallel := range []bool{false, true} {
		s := testSettings()
		s.AllowsHedging = parallel
		g, r := newGate(t, s, fleet(2)...)
		g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
		if got := g.mayAttempt(g.requests["r1"], g.servers[0]); got != parallel {
			t.Errorf("parallel %v: second copy %v", parallel, got)
		}
	}
}

// Deadlines: a request without an answer ends in time by its own timer.
func TestOwnTimerAnswersInTime(t *testing.T) {
	for class, want := range map[string]string{"safe": "refuse r1", "keyed": "fail r1", "unsafe": "fail r1"} {
		g, r := newGate(t, testSettings(), fleet(2)...)
		g.RequestReceived(t0, newRequest(1, class, "rate", 1), r)
		var due timerSet
		for _, ts := range r.timers {
			if ts.token&7 == timerDeadline {
				due = ts
			}
		}
		if due.after <= 0 || due.after >= 2*time.Second {
			t.Fatalf("timer after %v", due.after)
		}
		r.acts = nil
		g.TimerFired(t0+due.after, due.token, r)
		if r.count(want) != 1 || r.count("cancel r1 0") != 1 {
			t.Errorf("%s: %q", class, r.acts)
		}
		g.TimerFired(t0+due.after, due.token, r)
		g.AttemptCompleted(t0+due.after, AttemptResult{ID: "r1", Result: Cancelled}, r)
		if len(r.acts) != 2 || len(g.requests) != 0 {
			t.Errorf("%s: %q, %d requests kept", class, r.acts, len(g.requests))
		}
	}
}

func TestStrayEventsAreIgnored(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(2)...)
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	r.acts = nil
	g.AttemptCompleted(t0, AttemptResult{ID: "r1", Attempt: 1, Result: ErrorResponse}, r)
	g.AttemptCompleted(t0, AttemptResult{ID: "r1", Attempt: -1, Result: ErrorResponse}, r)
	if g.requests["r1"] == nil || g.requests["r1"].inFlight != 1 {
		t.Error("an attempt never made ended the request")
	}
	g.AttemptCompleted(t0, AttemptResult{ID: "r1", Result: OK, RequestAnswered: true, Server: "s0"}, r)
	r.acts = nil
	g.AttemptCompleted(t0, AttemptResult{ID: "r1", Result: OK, RequestAnswered: true}, r)
	g.AttemptCompleted(t0, AttemptResult{ID: "none", Attempt: 9}, r)
	g.AttemptCompleted(t0, AttemptResult{ID: "r1", Attempt: -1}, r)
	g.ClientDisconnected(t0, "r1", r)
	g.ResponseStarted(t0, "r1", 0, r)
	g.TimerFired(t0, 1<<40|timerDeadline, r)
	g.TimerFired(t0, 7, r)
	g.HealthCheckCompleted(t0, "none", OK, &LoadReport{Utilization: 1}, r)
	g.EndpointsChanged(t0, EndpointsUnavailable, nil, r)
	if len(r.acts) != 0 {
		t.Errorf("%q", r.acts)
	}
}

// A stream that has begun belongs to the client: no deadline, no cancel.
func TestStreamIsLeftAlone(t *testing.T) {
	s := testSettings()
	s.Classes[0].IsStreaming = true
	g, r := newGate(t, s, fleet(2)...)
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	g.ResponseStarted(t0+ms, "r1", 0, r)
	r.acts = nil
	g.TimerFired(t0+2*time.Second, 1<<timerBits|timerDeadline, r)
	if len(r.acts) != 0 {
		t.Errorf("%q", r.acts)
	}
}

func TestSubscribesWhereAsked(t *testing.T) {
	s := testSettings()
	s.PollsEndpoints = true
	g, r := newGate(t, s)
	if r.count("watch true") != 1 {
		t.Fatalf("%q", r.acts)
	}
	g.EndpointsChanged(t0, EndpointsUnavailable, nil, r)
	last := r.timers[len(r.timers)-1]
	g.TimerFired(t0+last.after, last.token, r)
	if r.count("watch true") != 2 {
		t.Errorf("no new subscription after an error: %q", r.acts)
	}
}

// True units that come with the answer settle the store.
func TestSettledUnits(t *testing.T) {
	s := testSettings()
	s.SettlesUnits = true
	g, r := newGate(t, s, fleet(2)...)
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	g.AttemptCompleted(t0, AttemptResult{ID: "r1", Result: OK, RequestAnswered: true, Units: 4}, r)
	if got := g.quotas[1].tokens; got != 36 {
		t.Errorf("level %v, want 36", got)
	}
}

// Customers seen once must not fill the memory.
func TestFloodOfCustomersIsForgotten(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	for i := 0; i < 20000; i++ {
		now := t0 + time.Duration(i)*ms
		g.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		answer(g, r, now, ms, OK)
		if i%100 == 0 {
			g.TimerFired(now, timerSample, r)
		}
	}
	if len(g.quotas) > 5000 || len(g.quotas) != len(g.quotaList) {
		t.Errorf("%d stores, %d in order", len(g.quotas), len(g.quotaList))
	}
}

func TestInvalidSettings(t *testing.T) {
	tests := map[string]func(*Settings){
		"Instances":    func(s *Settings) { s.InstanceCount = 0 },
		"Me":           func(s *Settings) { s.InstanceIndex = 3 },
		"Classes":      func(s *Settings) { s.Classes = nil },
		"Plans":        func(s *Settings) { s.Plans[0].Rate = -1 },
		"FallMultiple": func(s *Settings) { s.ColdOverloadMultiple = -1 },
		"MaxAttempts":  func(s *Settings) { s.MaxAttempts = -1 },
		"twice":        func(s *Settings) { s.Classes[1].Name = s.Classes[0].Name },
	}
	for field, spoil := range tests {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// ARO: full refusals drive f down, calm brings it back, and the throttle is even.
func TestOverloadControl(t *testing.T) {
	a := overloadController{admitFraction: 1}
	for i := 0; i < 50; i++ {
		a.accepted[a.sampleIndex()] = 10
		a.addOccupancy(1)
		a.closeSample(0, 0)
	}
	if a.admitFraction > 0.9 {
		t.Errorf("f %v after 5 s at occupancy 1", a.admitFraction)
	}
	low := a.admitFraction
	for i := 0; i < 50; i++ {
		a.addOccupancy(0.3)
		a.closeSample(0, 0)
	}
	if a.admitFraction != 1 || low < minAdmitFraction {
		t.Errorf("f %v after 5 s of calm, least %v", a.admitFraction, low)
	}
}

func TestSizeOfTheModule(t *testing.T) {
	const maxLines, maxColumns = 1200, 110
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list of the policy's files")
	}
	files := regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(list[1], -1)
	if len(files) == 0 {
		t.Fatal("deploy/balancer.toml lists no file of the policy")
	}
	lines := 0
	for _, file := range files {
		lines += countLines(t, string(file[1]), maxColumns)
	}
	if lines > maxLines {
		t.Errorf("%d lines, at most %d", lines, maxLines)
	}
}

// countLines returns how many lines of a file are not blank, and reports those that are too wide.
func countLines(t *testing.T, path string, maxColumns int) int {
	t.Helper()
	f, err := os.Open(filepath.Join("..", path))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	s := bufio.NewScanner(f)
	for s.Scan() {
		if strings.TrimSpace(s.Text()) != "" {
			lines++
		}
		if n := len(strings.ReplaceAll(s.Text(), "\t", "    ")); n > maxColumns {
			t.Errorf("%s: %d columns: %s", path, n, s.Text())
		}
	}
	if err := s.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}

// wideGate is a gateway of a fleet of 300, whose sets are so wide that holders are asked.
func wideGate(t *testing.T, me int) (*Engine, *recorder) {
	s := wideSettings()
	s.InstanceIndex = me
	return newGate(t, s, fleet(4)...)
}

func wideSettings() Settings {
	s := testSettings()
	s.InstanceCount, s.AllowsGossip, s.GossipInboxRate = 300, true, 40
	return s
}

// wideRequest is of a customer that comes in through the gateways 10 to 109.
func wideRequest(n int, customer uint64) Request {
	q := newRequest(n, "safe", "rate", customer)
	q.InstanceCount, q.FirstInstance = 100, 10
	return q
}

// Tells to a hundred gateways come seconds late: the customer's holder is asked, and its answer decides.
func TestHolderIsAsked(t *testing.T) {
	const customer = 77
	member, r := wideGate(t, 10)
	q := wideRequest(1, customer)
	member.RequestReceived(t0, q, r)
	holder := member.ownerFor(member.quotas[customer])
	if !member.isCustomerInstance(holder, q.FirstInstance, q.InstanceCount) || r.count("send")+r.count("refuse") != 0 || r.tells[holder] == nil {
		t.Fatalf("holder %d, actions %v", holder, r.acts)
	}
	h, hr := wideGate(t, holder)
	h.GossipReceived(t0, 10, r.tells[holder][0], hr)
	member.GossipReceived(t0+20*ms, holder, hr.tells[10][0], r)
	if r.count("send") != 1 {
		t.Errorf("not sent after a grant: %v", r.acts)
	}
	// An answer that comes again, from another gateway, or to a number unknown changes nothing.
	r.acts = nil
	for _, from := range []int{holder, 11, -1, 300} {
		member.GossipReceived(t0+30*ms, from, hr.tells[10][0], r)
	}
	if len(r.acts) != 0 {
		t.Errorf("%v", r.acts)
	}
}

// A client that leaves while its holder is asked has its units given back once they are granted; nothing is sent on. Where they
// are refused, or no answer comes, nothing is given back, and nothing is kept of the request.
func TestClientLeavesWhileItsHolderIsAsked(t *testing.T) {
	const customer = 77
	for name, answer := range map[string]func(num uint64) []byte{
		"granted": func(num uint64) []byte { return (&Engine{}).encodeQuotaResponse(num, true, 0, 1) },
		"refused": func(num uint64) []byte { return (&Engine{}).encodeQuotaResponse(num, false, 0, 0) },
		"silent":  nil,
	} {
		t.Run(name, func(t *testing.T) {
			member, r := wideGate(t, 10)
			member.RequestReceived(t0, wideRequest(1, customer), r)
			holder, num := member.ownerFor(member.quotas[customer]), member.requests["r1"].number
			member.ClientDisconnected(t0+10*ms, "r1", r)
			r.tells = nil
			if answer != nil {
				member.GossipReceived(t0+20*ms, holder, answer(num), r)
			}
			member.TimerFired(t0+ownerTimeout, num<<timerBits|timerOwnerTimeout, r)
			member.GossipReceived(t0+ownerTimeout, holder, (&Engine{}).encodeQuotaResponse(num, true, 0, 1), r) // doubled, or too late
			if r.count("send") != 0 || len(member.requests)+len(member.requestByNumber) != 0 {
				t.Errorf("sent on, or %d requests kept: %v", len(member.requests)+len(member.requestByNumber), r.acts)
			}
			var backs []quotaMessage
			for _, m := range r.tells[holder] {
				if b, ok := member.decodeQuotaMessage(m); ok && b.kind == kindQuotaReturn {
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
func TestNoWaitForASilentHolder(t *testing.T) {
	const customer = 77
	g, r := wideGate(t, 10)
	g.quotaFor(customer, g.planIndex["rate"], 100, 10).grantFraction = 0 // what was heard last: nothing is granted
	for n := range maxOwnerTimeouts + 1 {
		g.RequestReceived(t0, wideRequest(n, customer), r)
		for num := range g.requestByNumber {
			g.TimerFired(t0, num<<timerBits|timerOwnerTimeout, r)
		}
	}
	if r.count("refuse") != maxOwnerTimeouts+1 || len(r.timers) < maxOwnerTimeouts {
		t.Fatalf("not refused without waiting: %v", r.acts)
	}
	g.RequestReceived(t0, wideRequest(maxOwnerTimeouts+1, customer), r)
	if len(g.requests)+len(g.requestByNumber) != 0 {
		t.Errorf("%d requests are kept", len(g.requestByNumber))
	}
}

// All members together must not be granted more than the store holds.
func TestHolderGrantsItsStoreOnce(t *testing.T) {
	const customer = 77
	first, r := wideGate(t, 10)
	first.RequestReceived(t0, wideRequest(1, customer), r)
	holder := first.ownerFor(first.quotas[customer])
	h, hr := wideGate(t, holder)
	sent := 0.0
	for me := 10; me < 110; me++ {
		if me == holder {
			continue
		}
		g, r := wideGate(t, me)
		if g.ownerFor(g.quotaFor(customer, g.planIndex["rate"], 100, 10)) != holder {
			continue // another part of the holder's
		}
		for n := 0; n < 4; n++ {
			r.tells, hr.tells = nil, nil
			g.RequestReceived(t0, wideRequest(n, customer), r)
			if r.tells != nil { // else refused of late
				h.GossipReceived(t0, me, r.tells[holder][0], hr)
				g.GossipReceived(t0, holder, hr.tells[me][0], r)
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
func TestRefusedMembersComeBackSoon(t *testing.T) {
	wait := func(inbox float64) time.Duration {
		member, r := wideGate(t, 10)
		member.RequestReceived(t0, wideRequest(1, 77), r)
		to := member.ownerFor(member.quotas[77])
		h, hr := wideGate(t, to)
		h.gossipRate = inbox
		h.quotaFor(77, h.planIndex["rate"], 100, 10).tokens = 0
		h.GossipReceived(t0, 10, r.tells[to][0], hr)
		member.GossipReceived(t0, to, hr.tells[10][0], r)
		if r.count("refuse") != 1 {
			t.Fatalf("%v", r.acts)
		}
		return member.quotas[77].rejectedUntil - t0
	}
	p := wideSettings().Plans
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
func TestSlowStoresStayCrowded(t *testing.T) {
	h, _ := wideGate(t, 10)
	h.settings.Plans[h.planIndex["rate"]].Rate = 0.5
	st := h.quotaFor(77, h.planIndex["rate"], 100, 10)
	if st.tokens = 0; !st.usesOwner {
		t.Fatal("no holder is asked for this customer")
	}
	h.checkQuota(st, 1, false)
	if d := st.contendedUntil - h.now; d != 4*time.Second {
		t.Errorf("crowded for %v, it fills by two in 4 s", d)
	}
}

// A holder gives no units of a customer whose tries it has to refuse to one that comes too late for its aim; the
// member that sent it may go on asking for others.
func TestHoldersRefuseLateTries(t *testing.T) {
	member, r := wideGate(t, 10)
	ask := func(n int, late bool, at time.Duration) bool {
		q := wideRequest(n, 77)
		member.latencies.classes[member.classIndex["safe"]].firstTryTimeout = q.Timeout
		if late {
			q.Timeout -= member.settings.Classes[member.classIndex["safe"]].LatencyObjective * 3 / 2
		}
		r.tells = nil
		member.RequestReceived(at, q, r)
		to := member.ownerFor(member.quotas[77])
		if r.tells[to] == nil {
			t.Fatalf("try %d was not asked for: %v", n, r.acts)
		}
		h, hr := wideGate(t, to)
		st := h.quotaFor(77, h.planIndex["rate"], 100, 10)
		st.tokens, st.contendedUntil = 5, at+time.Second
		if n == 0 {
			st.contendedUntil = 0
		}
		h.GossipReceived(at, 10, r.tells[to][0], hr)
		sent := r.count("send")
		member.GossipReceived(at, to, hr.tells[10][0], r)
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
func TestUnansweredAskGoesByTheShareGranted(t *testing.T) {
	for _, pass := range []float64{0, 1} {
		g, r := wideGate(t, 10)
		g.quotaFor(77, g.planIndex["rate"], 100, 10).grantFraction = pass
		g.RequestReceived(t0, wideRequest(1, 77), r)
		g.TimerFired(t0+ownerTimeout, g.lastRequestNumber<<timerBits|timerOwnerTimeout, r)
		if got := r.count("send"); got != int(pass) || r.count("refuse") != 1-got {
			t.Errorf("share %v: %v", pass, r.acts)
		}
	}
}

// An ask for a customer whose set lacks the sender or the receiver changes nothing, nor does a malformed one.
func TestBadAsksChangeNothing(t *testing.T) {
	member, r := wideGate(t, 10)
	member.RequestReceived(t0, wideRequest(1, 77), r)
	good := r.tells[member.ownerFor(member.quotas[77])][0]
	for _, c := range []struct{ me, from int }{{5, 10}, {20, 5}, {20, 250}} {
		g, r := wideGate(t, c.me)
		g.GossipReceived(t0, c.from, good, r)
		if len(g.quotas) != 0 || len(r.tells) != 0 {
			t.Errorf("%+v: %d stores, %d answers", c, len(g.quotas), len(r.tells))
		}
	}
	g, gr := wideGate(t, 20)
	for n := 0; n < len(good); n++ {
		g.GossipReceived(t0, 10, good[:n], gr)
	}
	g.GossipReceived(t0, 10, append(append([]byte{}, good...), 0), gr)
	if len(g.quotas) != 0 {
		t.Error("a malformed ask made a store")
	}
}

// Rule 5: the parts of a ceiling over all gateways of a set must not sum to more than the whole.
func TestPartsOfACeilingSumToTheWhole(t *testing.T) {
	burst, rate := 0.0, 0.0
	for me := 10; me < 110; me++ {
		g, _ := wideGate(t, me)
		st := g.quotaFor(77, g.planIndex["rate"], 100, 10)
		burst, rate = burst+st.burstFraction, rate+st.rateFraction
	}
	if math.Abs(burst-1) > 1e-9 || math.Abs(rate-1) > 1e-9 {
		t.Errorf("parts sum to %v of the burst and %v of the rate", burst, rate)
	}
}

// Sums of occupancy below nought, as latencies under the lowest mean give, must reach peers as they are.
func TestPoolIsPackedSigned(t *testing.T) {
	g, _ := wideGate(t, 10)
	g.overload.hasPeerMeans, g.overload.fleetMeans = true, [fleetMeanCount]float64{-0.5, 0.25, 2, 0, 1}
	m, ok := g.decodeQuotaMessage(g.encodeQuotaResponse(1, true, 0, 1))
	if !ok || m.fleetMeans != g.overload.fleetMeans {
		t.Errorf("%v came as %v", g.overload.fleetMeans, m.fleetMeans)
	}
}

// Attempts stuck at one silent server must not read as a jam of all.
func TestOldAttemptsDoNotCountInThePool(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	g.RequestReceived(t0, newRequest(1, "safe", "rate", 1), r)
	aim := g.settings.Classes[g.classIndex["safe"]].LatencyObjective
	if n, _, _ := g.attemptAges(youngAttemptFraction); n != 1 {
		t.Errorf("%v young at once", n)
	}
	g.now = t0 + aim
	if n, _, _ := g.attemptAges(youngAttemptFraction); n != 0 {
		t.Errorf("%v young after the aim", n)
	}
}

// Attempts that a server leaves unanswered for good, while it answers others, are no work that waits: those past
// their aim must not keep new requests out. A server held for lost has its own taken off already.
func TestOverdueAttemptsAreNoJam(t *testing.T) {
	g, r := newGate(t, probing(), fleet(2)...)
	for i := 0; !g.isOverloaded(g.classIndex["safe"], "", 1); i++ {
		g.RequestReceived(t0, newRequest(i, "safe", "rate", uint64(i)), r)
	}
	now := t0 + g.settings.Classes[g.classIndex["safe"]].LatencyObjective + ms
	g.TimerFired(now, timerSample, r)
	if g.isOverloaded(g.classIndex["safe"], "", 1) {
		t.Errorf("%d attempts past their aim read as a jam", g.inFlight)
	}
	for _, s := range g.servers {
		s.isUnresponsive = true
	}
	if g.TimerFired(now+sampleInterval, timerSample, r); g.overdue != 0 {
		t.Errorf("%v attempts at lost servers are taken off twice", g.overdue)
	}
}

// A try whose client leaves before answers usually come is refused at once.
func TestShortPatienceIsRefused(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(4)...)
	c := &g.latencies.classes[g.classIndex["safe"]]
	c.samples, c.mean, c.deviation = minBatchSamples, 0.2, 0.01
	q := newRequest(1, "safe", "rate", 1)
	q.Timeout = 100 * ms
	g.RequestReceived(t0, q, r)
	if r.count("refuse") != 1 {
		t.Errorf("%v", r.acts)
	}
}

// A place under an open cap must be free again soon, also where the answer to the ask was lost, and a refusal
// must not keep the customer out for longer than an ask takes.
func TestPlacesUnderACapComeBack(t *testing.T) {
	member, r := wideGate(t, 10)
	q := wideRequest(1, 77)
	q.Plan = "open"
	member.RequestReceived(t0, q, r)
	holder := member.ownerFor(member.quotas[77])
	h, hr := wideGate(t, holder)
	h.GossipReceived(t0, 10, r.tells[holder][0], hr)
	if n := len(h.quotas[77].leases); n != 1 {
		t.Fatalf("%d leases", n)
	}
	r.tells = nil
	member.TimerFired(t0+ownerTimeout, member.lastRequestNumber<<timerBits|timerOwnerTimeout, r)
	answer(member, r, t0+ownerTimeout+50*ms, 50*ms, OK)
	for _, m := range r.tells[holder] {
		h.GossipReceived(t0+200*ms, 10, m, hr)
	}
	if n := len(h.quotas[77].leases); n != 0 {
		t.Errorf("%d leases after the answer", n)
	}
	h.quotas[77].inFlight = h.settings.Plans[h.planIndex["open"]].MaxInFlight
	if in, wait := h.checkQuota(h.quotas[77], 1, false); in || wait > ownerTimeout {
		t.Errorf("in %v, wait %v", in, wait)
	}
}

// Rule 5: a holder that has just started must not grant what one before it may have spent.
func TestNewHolderGrantsNoCeiling(t *testing.T) {
	member, r := wideGate(t, 10)
	q := wideRequest(1, 77)
	q.Plan = "hard"
	member.RequestReceived(t0, q, r)
	holder := member.ownerFor(member.quotas[77])
	h, hr := wideGate(t, holder)
	h.GossipReceived(t0, 10, r.tells[holder][0], hr)
	member.GossipReceived(t0+ms, holder, hr.tells[10][0], r)
	if r.count("send") != 0 {
		t.Errorf("%v", r.acts)
	}
}

// Rule 1: a request that waits for its holder longer than its client must be answered in time.
func TestWaitingRequestIsAnswered(t *testing.T) {
	g, r := wideGate(t, 10)
	q := wideRequest(1, 77)
	q.Timeout = 30 * ms
	g.RequestReceived(t0, q, r)
	for _, s := range r.timers {
		if s.token == g.lastRequestNumber<<timerBits|timerDeadline && s.after < q.Timeout {
			g.TimerFired(t0+s.after, s.token, r)
		}
	}
	if r.count("refuse") != 1 {
		t.Errorf("%v", r.acts)
	}
}

// A try whose client has waited for longer than its class's aim gives way where the customer
// asks for more than its quota, and only there: a store's units go to those that can still be
// answered in time.
func TestLateTriesGiveWay(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(9)...)
	aim := g.settings.Classes[g.classIndex["safe"]].LatencyObjective
	old := newRequest(0, "safe", "rate", 1)
	old.Timeout -= aim + aim/10
	send := func(n int, q Request, at time.Duration) bool {
		q.ID = fmt.Sprint("t", n)
		r.acts = nil
		g.RequestReceived(at, q, r)
		sent := r.count("send") == 1
		if sent {
			g.AttemptCompleted(at+ms, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true}, r)
		}
		return sent
	}
	fresh := newRequest(0, "safe", "rate", 1)
	n, at := 0, t0
	if send(n, fresh, at); !send(n+1, old, at+ms) {
		t.Error("a late try was refused with room for all")
	}
	for n = 2; send(n, fresh, at+2*ms); n++ { // until the store is empty
	}
	p := g.settings.Plans[g.planIndex["rate"]]
	for refill := time.Duration(2.5 / p.Rate * float64(time.Second)); n < 100; n += 4 {
		send(n, fresh, at+2*ms) // refused
		at = g.now + refill
		g.quotas[1].contendedUntil = at + time.Second
		if send(n+1, old, at) {
			t.Fatal("a late try took the units of a crowded store")
		}
		if !send(n+2, fresh, at+ms) {
			t.Fatal("a fresh try was refused in its place")
		}
		send(n+3, fresh, at+2*ms)
	}
}

// What is held for a fresh try's wait follows what most tell, not the most that one tells.
func TestOneLongWaitMakesNobodyLate(t *testing.T) {
	g, _ := newGate(t, testSettings())
	for range 1000 {
		g.isTooLate(0, time.Second)
	}
	g.isTooLate(0, time.Hour)
	if g.isTooLate(0, time.Second) {
		t.Error("all others count as late after one long wait")
	}
}

func probing() Settings {
	s := testSettings()
	s.AllowsHealthChecks, s.LoadReports = true, LoadReportsInHealthChecks
	return s
}

// A server that is silent to a probe and to all else since gets no request until it answers
// one; an answer that came meanwhile tells that it lives.
func TestSilentServerIsOutUntilItAnswers(t *testing.T) {
	g, r := newGate(t, probing(), fleet(2)...)
	s, now := g.serverByID["s0"], t0
	sentTo := func(id string) (n int) {
		for i := range 30 {
			now += 50 * ms
			r.acts = nil
			g.RequestReceived(now, newRequest(int(now/ms), "safe", "rate", uint64(i)), r)
			n += r.count(fmt.Sprintf("send r%d %s", now/ms, id))
			answer(g, r, now, ms, OK)
		}
		return n
	}
	s.lastHealthCheckAt = now
	g.HealthCheckCompleted(now+ms, "s0", TimedOut, nil, r)
	if n := sentTo("s0"); n != 0 {
		t.Errorf("%d requests sent to a server that is silent to probes", n)
	}
	g.HealthCheckCompleted(now, "s0", OK, nil, r)
	if n := sentTo("s0"); n == 0 {
		t.Error("no request sent to a server that answers again")
	}
	g.RequestReceived(now+ms, newRequest(1, "safe", "rate", 9), r)
	s.lastHealthCheckAt, s.lastHeardAt = now, now+ms
	g.HealthCheckCompleted(now+2*ms, "s0", TimedOut, nil, r)
	if s.isUnresponsive {
		t.Error("a server that has answered since the probe counts as silent")
	}
	// Nor does one that was restarted.
	s.isUnresponsive = true
	g.EndpointsChanged(now, EndpointsDelta, []Server{{ID: "s0", Kind: "k", Zone: "a", StartedAt: now}}, r)
	if s.isUnresponsive {
		t.Error("a restarted server counts as silent")
	}
}

// Probes reach all servers in turn, though the choice of a server shuffles them.
func TestProbesReachAllInTurn(t *testing.T) {
	g, r := newGate(t, probing(), fleet(10)...)
	probes := map[string]int{}
	for i := range 200 {
		now := t0 + time.Duration(i)*5*ms
		g.RequestReceived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		answer(g, r, now, ms, OK)
		if i%10 == 9 {
			g.overload.fleetMeans[meanAccepted] = 2
			g.TimerFired(now, timerSample, r)
			for id := range g.serverByID {
				probes[id] += r.count("probe " + id)
			}
			r.acts = nil
		}
	}
	for id := range g.serverByID {
		if probes[id] != 2 {
			t.Errorf("%d probes of %s, want 2 of each in 20", probes[id], id)
		}
	}
}

// Servers that are out must not use up the looks: the choice among the others would be blind.
func TestOutServersTakeNoLook(t *testing.T) {
	g, r := newGate(t, testSettings(), fleet(12)...)
	g.settings.InstanceCount = 6
	for i := range 9 {
		g.serverByID[fmt.Sprintf("s%d", i)].ejectedUntil = t0 + time.Hour
	}
	for _, id := range []string{"s9", "s10"} {
		g.serverByID[id].inFlight, g.serverByID[id].lastProgressAt = 9, t0
	}
	blind := 0
	for i := range 100 {
		g.actions, g.now = r, t0
		if s := g.selectServer(&request{number: uint64(i)}); s.ID != "s11" {
			blind++
		}
	}
	if blind > 5 {
		t.Errorf("%d of 100 went past the idle server of three", blind)
	}
}

// Attempts at silent servers wait for nothing that the others do.
func TestSilentServersAreNoJam(t *testing.T) {
	g, _ := newGate(t, probing(), fleet(2)...)
	g.serverByID["s0"].inFlight, g.inFlight = 9, 9
	if !g.isOverloaded(0, "", 1) {
		t.Fatal("9 attempts out at two servers are no jam")
	}
	g.serverByID["s0"].isUnresponsive = true
	if g.isOverloaded(0, "", 1) {
		t.Error("attempts at a silent server read as a jam of all")
	}
}

// What a jam may leave out at least follows the servers that are alive, each as warm as it
// is, not the list, which tells of a lost hall seconds late.
func TestLeastWorkOutFollowsServersAlive(t *testing.T) {
	const n = 12
	g, _ := newGate(t, probing(), fleet(n)...)
	most := func() (out int) {
		for g.inFlight = 0; !g.isOverloaded(0, "", 1); g.inFlight++ {
		}
		return g.inFlight
	}
	if got := most(); got != minInFlightPerServer*n {
		t.Errorf("%d out with all servers up, want %v", got, minInFlightPerServer*n)
	}
	for i := range n / 2 {
		g.serverByID[fmt.Sprintf("s%d", i)].isUnresponsive = true
	}
	if got := most(); got != minInFlightPerServer*n/2 {
		t.Errorf("%d out with half of the servers silent, want %v", got, minInFlightPerServer*n/2)
	}
	g.now = t0
	for _, s := range g.servers {
		s.isUnresponsive = false
		if s.ID < "s5" {
			s.connectFailedAt = t0
		}
	}
	if got := most(); got >= minInFlightPerServer*n {
		t.Errorf("%d out with some servers cold, as many as with all warm", got)
	}
}

// A connection that failed is no restart where an answer on an older one, or to a probe sent
// at once, shows the process up. What failed before that is still in doubt.
func TestFailedConnectionIsChecked(t *testing.T) {
	fail := func(g *Engine, r *recorder, n int, at time.Duration) {
		r.acts = nil
		g.RequestReceived(at, newRequest(n, "unsafe", "rate", uint64(n)), r)
		g.AttemptCompleted(at, AttemptResult{ID: fmt.Sprint("r", n), Result: ConnectFailed, Server: "s0"}, r)
	}
	g, r := newGate(t, probing(), fleet(1)...)
	s := g.servers[0]
	fail(g, r, 1, t0)
	if r.count("probe s0") != 1 || g.capacityFraction(s) == 1 {
		t.Errorf("%d probes sent, warmth %v after a failed connection", r.count("probe s0"), g.capacityFraction(s))
	}
	if g.HealthCheckCompleted(t0+5*ms, "s0", OK, nil, r); g.capacityFraction(s) != 1 {
		t.Error("cold though a probe sent at once was answered")
	}
	if fail(g, r, 2, t0+time.Second); r.count("probe s0") != 1 {
		t.Errorf("%d probes sent", r.count("probe s0"))
	}
	if g.HealthCheckCompleted(t0+time.Second, "s0", ConnectFailed, nil, r); g.capacityFraction(s) == 1 {
		t.Error("warm though the probe failed as well")
	}
	if g.HealthCheckCompleted(t0+2*time.Second, "s0", OK, nil, r); g.capacityFraction(s) == 1 {
		t.Error("warm after a later probe's answer: the process may have started since")
	}

	g, r = newGate(t, testSettings(), fleet(1)...)
	s = g.servers[0]
	for i := range 2 * maxConnectFailures {
		s.recordConnectFailure(t0 + time.Duration(i+1)*ms)
	}
	g.now, g.actions = t0+time.Second, r
	g.recordLatency(0, s, ms) // its class is known
	q := &request{}
	g.updateHealth(q, s, AttemptResult{Result: OK, Latency: ms, ConnectedAt: t0 + 3*ms/2})
	if s.connectFailedAt != t0+ms {
		t.Errorf("in doubt since %v, want the failure before the connection was made", s.connectFailedAt-t0)
	}
	if g.updateHealth(q, s, AttemptResult{Result: OK, Latency: ms, ConnectedAt: t0 + ms/2}); s.connectFailedAt != 0 {
		t.Error("cold after an answer on a connection older than all failures")
	}
}

// Where few attempts are out, the mean that tells chance from a jam comes seconds late: a
// burst that can't be chance must not wait for it.
func TestBurstIsNotLetInWhole(t *testing.T) {
	const n = 4
	g, r := newGate(t, testSettings(), fleet(n)...)
	g.gossipRate = 10
	for i := range 200 {
		q := newRequest(i, "safe", "rate", uint64(i))
		q.InstanceCount = 1
		g.RequestReceived(t0, q, r)
	}
	if got := r.count("send"); got <= minInFlightPerServer*n || got > certainOverloadFactor*minInFlightPerServer*n {
		t.Errorf("%d of a burst sent, want more than %v and at most %v", got, minInFlightPerServer*n, certainOverloadFactor*minInFlightPerServer*n)
	}
}

// A class that leaves the table takes no new request and keeps those under way; its place goes to a new one
// only when they have ended, and one that stays keeps what was learned.
func TestClassesChange(t *testing.T) {
	class := func(name string, aim time.Duration) Class {
		return Class{Name: name, LatencyObjective: aim, Deadline: 2 * time.Second, PriorityWeight: 1}
	}
	s := Settings{InstanceCount: 1, MaxAttempts: 3, Classes: []Class{class("a", time.Second), class("b", time.Second)},
		Plans: []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}}}
	g, r := newGate(t, s, fleet(4)...)
	g.RequestReceived(t0, newRequest(1, "a", "wide", 7), r)
	if got := r.last(); !strings.HasPrefix(got, "send") {
		t.Fatal(got)
	}
	g.latencies.classes[g.classIndex["b"]].mean = 0.25
	if err := g.SetClasses([]Class{class("b", 2*time.Second), class("c", time.Second)}); err != nil {
		t.Fatal(err)
	}
	for n, want := range map[string]string{"a": "refuse", "b": "send", "c": "send"} {
		g.RequestReceived(t0, newRequest(2+int(n[0]), n, "wide", 7), r)
		if got := r.last(); !strings.HasPrefix(got, want) {
			t.Errorf("class %s: %s, want %s", n, got, want)
		}
	}
	if b := g.classIndex["b"]; g.latencies.classes[b].mean != 0.25 || g.settings.Classes[b].LatencyObjective != 2*time.Second {
		t.Errorf("class b: %+v, %+v", g.latencies.classes[b], g.settings.Classes[b])
	}
	if len(g.settings.Classes) != 3 { // a's place is taken by the request under way
		t.Errorf("%d places", len(g.settings.Classes))
	}
	id := newRequest(1, "a", "wide", 7).ID
	g.AttemptCompleted(t0+50*time.Millisecond, AttemptResult{ID: id, Result: OK, RequestAnswered: true, Latency: 50 * time.Millisecond}, r)
	for i := range 20 {
		if err := g.SetClasses([]Class{class("b", time.Second), class("c", time.Second), class(fmt.Sprint("d", i), time.Second)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(g.settings.Classes) != 3 || len(g.latencies.classes) != 3 {
		t.Errorf("%d places after twenty changes", len(g.settings.Classes))
	}
	// A class that comes back while a request of its first time is under way has two places; the plans may
	// change meanwhile.
	g.RequestReceived(t0, newRequest(9, "b", "wide", 7), r)
	for _, cs := range [][]Class{{class("c", time.Second)}, {class("b", time.Second), class("c", time.Second), class("e", time.Second)}} {
		if err := g.SetClasses(cs); err != nil {
			t.Fatal(err)
		}
		if err := g.SetPlans(t0, s.Plans); err != nil {
			t.Error(err)
		}
	}
	if err := g.SetClasses([]Class{class("x", time.Second), class("x", time.Second)}); err == nil || len(g.classIndex) != 3 {
		t.Errorf("a name twice: %v, %v", err, g.classIndex)
	}
}

// A request that is kept to a zone goes to its servers alone, and to none where it has none.
func TestZoneOnly(t *testing.T) {
	s := Settings{InstanceCount: 1, MaxAttempts: 3, Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1}}}
	g, r := newGate(t, s, Server{ID: "x", Kind: "k", Zone: "a"}, Server{ID: "y", Kind: "k", Zone: "b"})
	for i := range 20 {
		q := newRequest(i, "a", "wide", 7)
		q.Zone = []string{"a", "b", "c"}[i%3]
		want := []string{"send " + q.ID + " x", "send " + q.ID + " y", "refuse " + q.ID}[i%3]
		if g.RequestReceived(t0, q, r); r.last() != want {
			t.Errorf("%s, want %s", r.last(), want)
		}
		g.AttemptCompleted(t0, AttemptResult{ID: q.ID, Result: OK, RequestAnswered: true, Latency: ms}, r)
	}
}

// A plan's new figures, and a customer's move to another plan, leave what was spent spent.
func TestPlansChange(t *testing.T) {
	s := Settings{InstanceCount: 2, MaxAttempts: 3, AllowsGossip: true, Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "small", Rate: 10, Burst: 40}, {Name: "large", Rate: 20, Burst: 100, HardLimitRate: 40, HardLimitBurst: 120}}}
	now := t0
	g, r := newGate(t, s, fleet(40)...)
	now += time.Hour // full
	ask := func(n int, plan string, units float64) string {
		q := newRequest(n, "a", plan, 7)
		q.Units, q.InstanceCount = units, 2
		g.RequestReceived(now, q, r)
		return r.last()
	}
	if got := ask(1, "small", 10); !strings.HasPrefix(got, "send") {
		t.Fatal(got)
	}
	st := g.quotas[7]
	if err := g.SetPlans(now, []Plan{{Name: "small", Rate: 10, Burst: 15}, s.Plans[1], {Name: "new", Rate: 1, Burst: 1}}); err != nil || st.tokens != 5 {
		t.Fatalf("level %v after 10 units of what is now 15, error %v", st.tokens, err)
	}
	if got := ask(2, "small", 10); !strings.HasPrefix(got, "refuse") {
		t.Errorf("15 units are the burst and 20 were sent: %s", got)
	}
	if ask(3, "large", 10); st.plan != 1 || st.tokens != 90 || st.hardLimitTokens != 0 { // its first ceiling begins empty
		t.Errorf("on the larger plan: %+v", st)
	}
	// A peer that has not yet heard of the move tells units under the old plan: they count.
	if g.receiveEntries(1, []gossipEntry{{key: 7, plan: 0, instanceCount: 2, units: 30}}); st.tokens != 60 || st.plan != 1 {
		t.Errorf("level %v, plan %d after 30 units at a peer", st.tokens, st.plan)
	}
	now += time.Hour
	if ask(4, "large", 20); st.hardLimitTokens != 40 {
		t.Fatalf("part of the ceiling %v, want 60-20", st.hardLimitTokens)
	}
	if err := g.SetPlans(now, []Plan{g.settings.Plans[0], {Name: "large", Rate: 20, Burst: 100, HardLimitRate: 30, HardLimitBurst: 60}, g.settings.Plans[2]}); err != nil || st.hardLimitTokens != 10 {
		t.Errorf("part of the ceiling %v, want 30-20, error %v", st.hardLimitTokens, err)
	}
	// A place is kept for good, and what can't be is refused whole.
	if g.SetPlans(now, g.settings.Plans[:2]) == nil || g.SetPlans(now, []Plan{{Name: "x"}, {Name: "x"}, {Name: "y"}}) == nil || len(g.planIndex) != 3 {
		t.Errorf("plans %v", g.planIndex)
	}
	if got := ask(5, "gone", 1); !strings.HasPrefix(got, "refuse") {
		t.Errorf("an unknown plan: %s", got)
	}
}
