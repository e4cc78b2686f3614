package policy_test

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mulleinmux/internal/eventqueue"
	"mulleinmux/policy"
)

// What gateways say to one another and what one hands over to its successor is recorded under testdata, on
// purpose alone, with
//
//	go test ./policy -run 'TestRecorded' -update
var update = flag.Bool("update", false, "record testdata anew")

// compareRecorded compares a text with the recorded one, byte for byte.
func compareRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("%s, line %d:\n%s\nrecorded\n%s", name, i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%s: %d lines, recorded %d", name, len(gotLines), len(wantLines))
	}
}

// world hosts a tier of gateways, in simulated time, with outcomes that are determined by counting.
type world struct {
	now        time.Duration
	queue      eventqueue.Queue
	order      int
	gateways   []*policy.Engine
	attempts   map[string]int
	outcomes   int
	requests   int
	transcript bytes.Buffer
}

const worldStart = 1000 * time.Second

func worldSettings(me int, inboxPerS float64) policy.Settings {
	return policy.Settings{
		InstanceIndex:        me,
		InstanceCount:        3,
		Zone:                 "a",
		MinEventInterval:     time.Millisecond,
		MaxAttempts:          4,
		AllowsCancel:         true,
		AllowsGossip:         true,
		AllowsHealthChecks:   true,
		SendsRetryAfter:      true,
		MaxRetryAfter:        2 * time.Second,
		LoadReports:          policy.LoadReportsInResponses,
		GossipInboxRate:      inboxPerS,
		MaxUnits:             3,
		ResponseSlack:        8 * time.Millisecond,
		DrainGracePeriod:     time.Second,
		SlowStartMinFraction: 0.2,
		SlowStartWindow:      5 * time.Second,
		ColdOverloadMultiple: 2,
		ColdOverloadWindow:   2 * time.Second,
		CrossZonePrice:       0.01,
		GossipPrice:          0.01,
		HealthCheckPrice:     0.01,
		WastedWorkPrice:      0.05,
		Classes:              worldClasses(),
		Plans:                worldPlans(),
	}
}

func worldClasses() []policy.Class {
	return []policy.Class{
		{
			Name:             "safe",
			Idempotency:      policy.Idempotent,
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   1,
		},
		{
			Name:             "keyed",
			Idempotency:      policy.IdempotentWithKey,
			DedupScope:       policy.DedupZone,
			DedupWindow:      time.Second,
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   2,
			LateFraction:     0.2,
		},
		{
			Name:             "unsafe",
			Idempotency:      policy.NonIdempotent,
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   3,
			IsStreaming:      true,
		},
	}
}

func worldPlans() []policy.Plan {
	return []policy.Plan{
		{
			Name:              "ceiled",
			Rate:              4,
			Burst:             6,
			HardLimitRate:     8,
			HardLimitBurst:    14,
			HardLimitSlack:    2,
			PriorityFactor:    1,
			OverQuotaFraction: 0.5,
			OverQuotaCost:     0.2,
		},
		{Name: "open", MaxInFlight: 3, PriorityFactor: 2},
		{Name: "both", Rate: 10, Burst: 8, MaxInFlight: 4, PriorityFactor: 1, OverQuotaCost: 1},
	}
}

func (w *world) after(d time.Duration, deliver func()) {
	w.order++
	w.queue.Push(eventqueue.Event{At: w.now + d, Order: w.order, Run: deliver})
}

func (w *world) runUntil(end time.Duration) {
	for w.queue.Len() > 0 && w.queue.NextAt() <= end {
		e := w.queue.Pop()
		w.now = e.At
		e.Run()
	}
	w.now = end
}

// newWorld starts three gateways with clients of six customers.
func newWorld(t *testing.T, inboxPerS float64) *world {
	t.Helper()
	w := &world{now: worldStart, attempts: map[string]int{}}
	var servers []policy.Server
	for i := range 6 {
		servers = append(servers, policy.Server{
			ID:     fmt.Sprintf("s%d", i),
			Weight: float64(1 + i%2),
			Kind:   []string{"k", "m"}[i%2],
			Zone:   []string{"a", "b"}[i/3],
			Cell:   i,
		})
	}
	servers[5].StartedAt = worldStart - time.Second
	for i := range 3 {
		g, err := policy.New(worldSettings(i, inboxPerS), uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		w.gateways = append(w.gateways, g)
		g.Start(w.now, worldHost{w, i})
		g.EndpointsChanged(w.now, policy.EndpointsSaved, servers, worldHost{w, i})
	}
	w.after(0, w.arrive)
	w.after(3*time.Second, func() {
		servers[1].State = policy.Draining
		for i, g := range w.gateways {
			g.EndpointsChanged(w.now, policy.EndpointsDelta, servers[1:2], worldHost{w, i})
		}
	})
	return w
}

func (w *world) arrive() {
	n := w.requests
	w.requests++
	q := policy.Request{
		ID:            fmt.Sprintf("r%d", n),
		Class:         []string{"safe", "keyed", "unsafe"}[n%3],
		Plan:          []string{"ceiled", "open", "both"}[n/2%3],
		Customer:      uint64(n/2%3 + 10*(n%2)),
		Timeout:       time.Second,
		Units:         float64(1 + n%3),
		InstanceCount: 3,
	}
	if n%7 == 3 {
		q.Timeout = 400 * time.Millisecond // a client's later try, which comes too late for its aim
	}
	g := n * 7 % 5 % 3
	w.gateways[g].RequestReceived(w.now, q, worldHost{w, g})
	w.after(time.Duration(11+n%5)*time.Millisecond, w.arrive)
}

// worldHost carries out what one gateway asks for.
type worldHost struct {
	w  *world
	me int
}

func (h worldHost) say(format string, args ...any) {
	fmt.Fprintf(&h.w.transcript, "%v %d ", h.w.now-worldStart, h.me)
	fmt.Fprintf(&h.w.transcript, format+"\n", args...)
}

func (h worldHost) SendAttempt(id, server string, timeout time.Duration) {
	w := h.w
	h.say("send %s %s %v", id, server, timeout)
	o := policy.AttemptResult{
		ID:      id,
		Attempt: w.attempts[id],
		Server:  server,
		Latency: time.Duration(20+w.outcomes%40) * time.Millisecond,
	}
	w.attempts[id]++
	w.outcomes++
	switch {
	case server == "s4" && w.now > worldStart+time.Second:
		o.Result, o.Latency = policy.ConnectFailed, time.Millisecond
	case server == "s2" && w.now > worldStart+2*time.Second:
		o.Result, o.Latency = policy.TimedOut, timeout
	case w.outcomes%17 == 0:
		o.Result = policy.Result(1 + w.outcomes/17%5)
	default:
		o.RequestAnswered, o.LoadReport = true, &policy.LoadReport{
			InFlight:    2,
			QueueLength: float64(w.outcomes % 5),
			Utilization: 0.6,
		}
	}
	if o.RequestAnswered {
		w.after(o.Latency/2, func() { w.gateways[h.me].ResponseStarted(w.now, id, o.Attempt, h) })
	}
	if w.outcomes%29 == 0 {
		w.after(o.Latency/3, func() { w.gateways[h.me].ClientDisconnected(w.now, id, h) })
	}
	w.after(o.Latency, func() { w.gateways[h.me].AttemptCompleted(w.now, o, h) })
}

func (h worldHost) RejectRequest(id string, retryAfter time.Duration) {
	h.say("refuse %s %v", id, retryAfter)
}
func (h worldHost) FailRequest(id string)                { h.say("fail %s", id) }
func (h worldHost) CancelAttempt(id string, attempt int) { h.say("cancel %s %d", id, attempt) }
func (h worldHost) WatchEndpoints(on bool)               { h.say("watch %v", on) }
func (h worldHost) Log(event policy.LogEvent)            { h.say("log %s", event) }

func (h worldHost) SetTimer(token uint64, after time.Duration) {
	h.say("timer %d %v", token, after)
	h.w.after(after, func() { h.w.gateways[h.me].TimerFired(h.w.now, token, h) })
}

func (h worldHost) CheckHealth(server string) {
	h.say("probe %s", server)
	result := policy.OK
	if server == "s4" {
		result = policy.ConnectFailed
	}
	h.w.after(5*time.Millisecond, func() {
		h.w.gateways[h.me].HealthCheckCompleted(
			h.w.now, server, result, &policy.LoadReport{InFlight: 1, QueueLength: -1, Utilization: 0.4}, h,
		)
	})
}

// SendGossip delivers a message after a while; every eleventh is lost, and with it a gap in the numbers of tells.
func (h worldHost) SendGossip(peer int, message []byte) {
	w := h.w
	h.say("tell %d %x", peer, message)
	message = bytes.Clone(message)
	for to, g := range w.gateways {
		if to == h.me || peer != policy.AllInstances && peer != to {
			continue
		}
		if w.order%11 == 0 {
			w.order++
			continue
		}
		w.after(3*time.Millisecond, func() { g.GossipReceived(w.now, h.me, message, worldHost{w, to}) })
	}
}

// TestRecordedMessages plays tiers whose inboxes are wide enough for tells, or so narrow that holders are asked, and
// compares all that the gateways do, the bytes of their messages among it. At the end two
// hear messages of each kind, that without loans among them, and what they do and know then is compared as well.
func TestRecordedMessages(t *testing.T) {
	for name, inboxPerS := range map[string]float64{"tells": 1000, "asks": 4} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, inboxPerS)
			w.runUntil(worldStart + 4*time.Second)
			messages := [][]byte{
				// an old tell of a plan with a ceiling: no loans
				{0, 200, 1, 1, 1, 10, 6, 6, 0},
				{0, 200, 1, 2, 1, 11, 15, 0, 2, 0},                             // one of a plan with open attempts
				{0, 200, 1, 4, 1, 12, 24, 6, 1, 1, 12, 24, 8, 2},               // one lost, and the repeat of it
				{0, 200, 1, 4, 0, 0},                                           // an old number
				{4, 200, 1, 5, 1, 10, 6, 6, 4, 2, 0},                           // a tell with a loan
				{1, 7, 10, 6, 2, 0, 0, 0, 0, 0},                                // an ask
				{1, 8, 0, 6, 2, 2, 4, 6, 8, 10},                                // an ask with figures of the pool
				{5, 9, 10, 6, 4, 0, 0, 0, 0, 0},                                // an ask of units that are spent
				{6, 10, 10, 6, 2, 0, 0, 0, 0, 0},                               // an ask for a try that comes too late
				{6, 11, 0, 6, 2, 0, 0, 0, 0, 0, 2, 4, 7},                       // one with notes of servers
				{3, 8, 0, 2},                                                   // units given back
				{0, 200}, {9, 1, 2}, {1, 1, 10, 255, 255, 1, 2}, {3, 8, 0}, {}, // malformed
			}
			for i, message := range messages {
				for to := range 2 {
					w.gateways[to].GossipReceived(w.now, 2, message, worldHost{w, to})
					text, err := w.gateways[to].ExportState(w.now)
					if err != nil {
						t.Fatal(err)
					}
					worldHost{w, to}.say("after message %d: state %x", i, sha256.Sum256(text))
				}
			}
			w.runUntil(w.now + 500*time.Millisecond)
			compareRecorded(t, "messages."+name+".txt", w.transcript.Bytes())
		})
	}
}

// TestRecordedHandOver compares what a gateway hands over, and what its successor hands over that has taken over
// the recorded text: at once, and after it has gone on for a while.
func TestRecordedHandOver(t *testing.T) {
	for name, inboxPerS := range map[string]float64{"tells": 1000, "asks": 4} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, inboxPerS)
			w.runUntil(worldStart + 4*time.Second)
			first, err := w.gateways[1].ExportState(w.now)
			if err != nil {
				t.Fatal(err)
			}
			compareRecorded(t, "handover."+name+".json", first)
			recorded, err := os.ReadFile(filepath.Join("testdata", "handover."+name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			next := newWorld(t, inboxPerS)
			next.now = w.now
			next.queue = eventqueue.Queue{}
			g := next.gateways[1]
			if err := g.ImportState(next.now, recorded); err != nil {
				t.Fatal(err)
			}
			second, err := g.ExportState(next.now)
			if err != nil {
				t.Fatal(err)
			}
			compareRecorded(t, "handover."+name+".again.json", second)
			next.after(0, next.arrive)
			next.runUntil(next.now + 700*time.Millisecond)
			third, err := g.ExportState(next.now)
			if err != nil {
				t.Fatal(err)
			}
			compareRecorded(t, "handover."+name+".later.json", third)
		})
	}
}
