package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

const t0 = 1000 * time.Second

// recorder keeps actions as text.
type recorder struct {
	acts   []string
	timers []timerSet
	tells  map[int][][]byte
}

func (r *recorder) SendAttempt(id, server string, d time.Duration) { r.add("send %s %s", id, server) }

func (r *recorder) RejectRequest(id string, d time.Duration) { r.add("refuse %s", id) }

func (r *recorder) FailRequest(id string) { r.add("fail %s", id) }

func (r *recorder) CancelAttempt(id string, n int) { r.add("cancel %s %d", id, n) }

func (r *recorder) SetTimer(token uint64, d time.Duration) {
	r.timers = append(r.timers, timerSet{token, d})
}

func (r *recorder) CheckHealth(server string) { r.add("probe %s", server) }

func (r *recorder) WatchEndpoints(on bool) { r.add("watch %v", on) }

func (r *recorder) Log(string) {}

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

type timerSet struct {
	token uint64
	after time.Duration
}

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

func testSettings() Settings {
	return Settings{
		InstanceCount: 1, Zone: "a",
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 300 * ms, LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
			{Name: "unsafe", Idempotency: NonIdempotent, DedupWindow: time.Second, LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{Name: "hard", Rate: 20, Burst: 20, HardLimitRate: 25, HardLimitBurst: 24, HardLimitSlack: 1, PriorityFactor: 1},
			{Name: "rate", Rate: 40, Burst: 40, PriorityFactor: 1},
			{Name: "open", MaxInFlight: 6, PriorityFactor: 1},
		},
		ResponseSlack: 10 * ms, DrainGracePeriod: 200 * ms, SlowStartMinFraction: 0.2, SlowStartWindow: 8 * time.Second, ColdOverloadMultiple: 2,
		ColdOverloadWindow: time.Second, MaxAttempts: 4, AllowsCancel: true, AllowsGossip: true, SendsRetryAfter: true,
		MaxRetryAfter: 2 * time.Second, GossipInboxRate: 60, MinEventInterval: ms,
	}
}

func probing() Settings {
	s := testSettings()
	s.AllowsHealthChecks, s.LoadReports = true, LoadReportsInHealthChecks
	return s
}

type event struct {
	at  time.Duration
	n   int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n }

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}
