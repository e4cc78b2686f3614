package policy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	t0 = 1000 * time.Second // clock reading at which the engines start
)

// recorder records an engine's actions as text.
type recorder struct {
	actions []string
	timers  []recordedTimer
	gossip  map[int][][]byte
}

func (r *recorder) SendAttempt(id, server string, d time.Duration) { r.add("send %s %s", id, server) }

func (r *recorder) RejectRequest(id string, d time.Duration) { r.add("reject %s", id) }

func (r *recorder) FailRequest(id string) { r.add("fail %s", id) }

func (r *recorder) CancelAttempt(id string, n int) { r.add("cancel %s %d", id, n) }

func (r *recorder) SetTimer(token uint64, d time.Duration) {
	r.timers = append(r.timers, recordedTimer{token, d})
}

func (r *recorder) CheckHealth(server string) { r.add("check %s", server) }

func (r *recorder) WatchEndpoints(on bool) { r.add("watch %v", on) }

func (r *recorder) Log(LogEvent) {}

func (r *recorder) SendGossip(peer int, message []byte) {
	if r.gossip == nil {
		r.gossip = map[int][][]byte{}
	}
	r.gossip[peer] = append(r.gossip[peer], bytes.Clone(message))
}

func (r *recorder) add(f string, a ...any) { r.actions = append(r.actions, fmt.Sprintf(f, a...)) }

// count returns how many actions begin with a prefix.
func (r *recorder) count(prefix string) int {
	n := 0
	for _, a := range r.actions {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}

// last returns the latest action, if any.
func (r *recorder) last() string {
	if len(r.actions) == 0 {
		return ""
	}
	return r.actions[len(r.actions)-1]
}

// recordedTimer is a timer that an engine has set.
type recordedTimer struct {
	token uint64
	after time.Duration
}

// newEngine returns an engine that was started at t0 with a list of servers, and the recorder of its actions.
func newEngine(t *testing.T, s Settings, servers ...Server) (*Engine, *recorder) {
	t.Helper()
	e, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	e.Start(t0, r)
	e.EndpointsChanged(t0, EndpointsSaved, servers, r)
	return e, r
}

// newInstance returns an engine that is one of several instances, which share each customer's quota.
func newInstance(t *testing.T, index, count int) (*Engine, *recorder) {
	t.Helper()
	s := testSettings()
	s.InstanceIndex, s.InstanceCount = index, count
	return newEngine(t, s, testServers(4)...)
}

// newSharedRequest returns an idempotent request of a customer whose traffic is spread over several instances.
func newSharedRequest(plan string, customer uint64, instances int) Request {
	q := newRequest(0, "safe", plan, customer)
	q.InstanceCount = instances
	return q
}

// newRequest returns a request of one unit, of a customer whose traffic arrives at one instance only.
func newRequest(n int, class, plan string, customer uint64) Request {
	return Request{ID: fmt.Sprintf("r%d", n), Class: class, Plan: plan, Customer: customer,
		Timeout: 2 * time.Second, Units: 1, InstanceCount: 1}
}

// testServers returns a list of servers of one kind and zone.
func testServers(n int) (list []Server) {
	for i := 0; i < n; i++ {
		list = append(list, Server{ID: fmt.Sprintf("s%d", i), Kind: "k", Zone: "a", Cell: 1})
	}
	return list
}

// offerRequests passes n requests of one customer to an engine at the same time, and returns how many were sent.
func offerRequests(e *Engine, r *recorder, now time.Duration, n int, q Request) int {
	before := r.count("send")
	for i := 0; i < n; i++ {
		q.ID = fmt.Sprintf("%s-%d-%v-%d", q.Class, q.Customer, now, i)
		q.Units = max(q.Units, 1)
		e.load.inFlight = 0 // so that the bound on work in flight rejects none
		e.RequestReceived(now, q, r)
	}
	return r.count("send") - before
}

// completeAttempts completes all attempts sent since the last call with a result, and clears the recorded actions.
func completeAttempts(e *Engine, r *recorder, now, took time.Duration, res Result) {
	for _, a := range r.actions {
		var id, server string
		if n, _ := fmt.Sscanf(a, "send %s %s", &id, &server); n == 2 {
			completed := AttemptResult{ID: id, Result: res, Server: server, RequestAnswered: res == OK, Latency: took}
			e.AttemptCompleted(now, completed, r)
		}
	}
	r.actions = nil
}

// testSettings returns settings with a class of each idempotency, and plans with a hard limit, with a rate only, and
// with an in-flight limit.
func testSettings() Settings {
	return Settings{
		InstanceCount: 1, Zone: "a",
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent,
				LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 300 * ms,
				LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
			{Name: "unsafe", Idempotency: NonIdempotent, DedupWindow: time.Second,
				LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{
				Name:           "hard",
				Rate:           20,
				Burst:          20,
				HardLimitRate:  25,
				HardLimitBurst: 24,
				HardLimitSlack: 1,
				PriorityFactor: 1,
			},
			{Name: "rate", Rate: 40, Burst: 40, PriorityFactor: 1},
			{Name: "open", MaxInFlight: 6, PriorityFactor: 1},
		},
		ResponseSlack: 10 * ms, DrainGracePeriod: 200 * ms,
		SlowStartMinFraction: 0.2, SlowStartWindow: 8 * time.Second,
		ColdOverloadMultiple: 2, ColdOverloadWindow: time.Second,
		MaxAttempts: 4, AllowsCancel: true, AllowsGossip: true,
		SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		GossipInboxRate: 60, MinEventInterval: ms,
	}
}

// healthCheckSettings returns testSettings with health checks whose responses contain load reports.
func healthCheckSettings() Settings {
	s := testSettings()
	s.AllowsHealthChecks, s.LoadReports = true, LoadReportsInHealthChecks
	return s
}
