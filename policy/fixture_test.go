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

// The messages of gateways and the states that they export for their successors are recorded under testdata. Record
// them again only after an intended change, with
//
//	go test ./policy -run 'TestRecorded' -update
var update = flag.Bool("update", false, "record testdata again")

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
			t.Fatalf("%s, line %d: got\n%s\nwant\n%s", name, i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%s: got %d lines, want %d", name, len(gotLines), len(wantLines))
	}
}

// simulation runs a fleet of gateways in simulated time. The results of attempts depend on counters alone, so that all
// runs are the same.
type simulation struct {
	now        time.Duration
	queue      eventqueue.Queue
	order      int // number of the latest event; events at the same time run in this order
	gateways   []*policy.Engine
	attempts   map[string]int
	outcomes   int
	requests   int
	transcript bytes.Buffer
}

const simulationStart = 1000 * time.Second

func simulationSettings(instance int, gossipInboxRate float64) policy.Settings {
	return policy.Settings{
		InstanceIndex:        instance,
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
		GossipInboxRate:      gossipInboxRate,
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
		Classes:              simulationClasses(),
		Plans:                simulationPlans(),
	}
}

func simulationClasses() []policy.Class {
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

func simulationPlans() []policy.Plan {
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

// schedule runs a function after a delay, in simulated time.
func (s *simulation) schedule(d time.Duration, deliver func()) {
	s.order++
	s.queue.Push(eventqueue.Event{At: s.now + d, Order: s.order, Run: deliver})
}

func (s *simulation) runUntil(end time.Duration) {
	for s.queue.Len() > 0 && s.queue.NextAt() <= end {
		e := s.queue.Pop()
		s.now = e.At
		e.Run()
	}
	s.now = end
}

// newSimulation starts three gateways that receive requests of six customers.
func newSimulation(t *testing.T, gossipInboxRate float64) *simulation {
	t.Helper()
	s := &simulation{now: simulationStart, attempts: map[string]int{}}
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
	servers[5].StartedAt = simulationStart - time.Second
	for i := range 3 {
		g, err := policy.New(simulationSettings(i, gossipInboxRate), uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		s.gateways = append(s.gateways, g)
		g.Start(s.now, simulationHost{s, i})
		g.EndpointsChanged(s.now, policy.EndpointsSaved, servers, simulationHost{s, i})
	}
	s.schedule(0, s.sendNextRequest)
	s.schedule(3*time.Second, func() {
		servers[1].State = policy.Draining
		for i, g := range s.gateways {
			g.EndpointsChanged(s.now, policy.EndpointsDelta, servers[1:2], simulationHost{s, i})
		}
	})
	return s
}

// sendNextRequest sends a request to one of the gateways, and schedules the next one.
func (s *simulation) sendNextRequest() {
	n := s.requests
	s.requests++
	request := policy.Request{
		ID:            fmt.Sprintf("r%d", n),
		Class:         []string{"safe", "keyed", "unsafe"}[n%3],
		Plan:          []string{"ceiled", "open", "both"}[n/2%3],
		Customer:      uint64(n/2%3 + 10*(n%2)),
		Timeout:       time.Second,
		Units:         float64(1 + n%3),
		InstanceCount: 3,
	}
	if n%7 == 3 {
		request.Timeout = 400 * time.Millisecond // a client's later try, which is too late for its latency objective
	}
	g := n * 7 % 5 % 3
	s.gateways[g].RequestReceived(s.now, request, simulationHost{s, g})
	s.schedule(time.Duration(11+n%5)*time.Millisecond, s.sendNextRequest)
}

// simulationHost performs the actions of one gateway, and records them in the transcript.
type simulationHost struct {
	simulation *simulation
	instance   int
}

// record appends a line to the transcript, with the time and the gateway.
func (h simulationHost) record(format string, args ...any) {
	fmt.Fprintf(&h.simulation.transcript, "%v %d ", h.simulation.now-simulationStart, h.instance)
	fmt.Fprintf(&h.simulation.transcript, format+"\n", args...)
}

func (h simulationHost) SendAttempt(id, server string, timeout time.Duration) {
	s := h.simulation
	h.record("send %s %s %v", id, server, timeout)
	result := policy.AttemptResult{
		ID:      id,
		Attempt: s.attempts[id],
		Server:  server,
		Latency: time.Duration(20+s.outcomes%40) * time.Millisecond,
	}
	s.attempts[id]++
	s.outcomes++
	switch {
	case server == "s4" && s.now > simulationStart+time.Second:
		result.Result, result.Latency = policy.ConnectFailed, time.Millisecond
	case server == "s2" && s.now > simulationStart+2*time.Second:
		result.Result, result.Latency = policy.TimedOut, timeout
	case s.outcomes%17 == 0:
		result.Result = policy.Result(1 + s.outcomes/17%5)
	default:
		result.RequestAnswered, result.LoadReport = true, &policy.LoadReport{
			InFlight:    2,
			QueueLength: float64(s.outcomes % 5),
			Utilization: 0.6,
		}
	}
	if result.RequestAnswered {
		s.schedule(result.Latency/2, func() { s.gateways[h.instance].ResponseStarted(s.now, id, result.Attempt, h) })
	}
	if s.outcomes%29 == 0 {
		s.schedule(result.Latency/3, func() { s.gateways[h.instance].ClientDisconnected(s.now, id, h) })
	}
	s.schedule(result.Latency, func() { s.gateways[h.instance].AttemptCompleted(s.now, result, h) })
}

func (h simulationHost) RejectRequest(id string, retryAfter time.Duration) {
	h.record("refuse %s %v", id, retryAfter)
}
func (h simulationHost) FailRequest(id string)                { h.record("fail %s", id) }
func (h simulationHost) CancelAttempt(id string, attempt int) { h.record("cancel %s %d", id, attempt) }
func (h simulationHost) WatchEndpoints(on bool)               { h.record("watch %v", on) }
func (h simulationHost) Log(event policy.LogEvent)            { h.record("log %s", event) }

func (h simulationHost) SetTimer(token uint64, after time.Duration) {
	h.record("timer %d %v", token, after)
	h.simulation.schedule(after, func() { h.simulation.gateways[h.instance].TimerFired(h.simulation.now, token, h) })
}

func (h simulationHost) CheckHealth(server string) {
	h.record("probe %s", server)
	result := policy.OK
	if server == "s4" {
		result = policy.ConnectFailed
	}
	h.simulation.schedule(5*time.Millisecond, func() {
		h.simulation.gateways[h.instance].HealthCheckCompleted(
			h.simulation.now, server, result, &policy.LoadReport{InFlight: 1, QueueLength: -1, Utilization: 0.4}, h,
		)
	})
}

// SendGossip delivers a message after a delay. A message is lost if the event counter is a multiple of eleven, which
// leaves a gap in the sequence numbers of gossip broadcasts.
func (h simulationHost) SendGossip(peer int, message []byte) {
	s := h.simulation
	h.record("tell %d %x", peer, message)
	message = bytes.Clone(message)
	for to, g := range s.gateways {
		if to == h.instance || peer != policy.AllInstances && peer != to {
			continue
		}
		if s.order%11 == 0 {
			s.order++
			continue
		}
		s.schedule(3*time.Millisecond, func() { g.GossipReceived(s.now, h.instance, message, simulationHost{s, to}) })
	}
}

// TestRecordedMessages runs fleets whose gossip inboxes are large enough for broadcasts, or so small that quota owners
// are used, and compares all actions of the gateways with the recorded ones, including the bytes of their messages. At
// the end two gateways receive messages of each kind, including gossip of earlier versions without quota transfers;
// their actions and exported states after each message are compared as well.
func TestRecordedMessages(t *testing.T) {
	for name, gossipInboxRate := range map[string]float64{"tells": 1000, "asks": 4} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, gossipInboxRate)
			s.runUntil(simulationStart + 4*time.Second)
			messages := [][]byte{
				// gossip of an earlier version, of a plan with a hard limit: no quota transfers
				{0, 200, 1, 1, 1, 10, 6, 6, 0},
				{0, 200, 1, 2, 1, 11, 15, 0, 2, 0},                             // a plan with an in-flight limit
				{0, 200, 1, 4, 1, 12, 24, 6, 1, 1, 12, 24, 8, 2},               // gossip that repeats a lost message
				{0, 200, 1, 4, 0, 0},                                           // an old sequence number
				{4, 200, 1, 5, 1, 10, 6, 6, 4, 2, 0},                           // gossip with a quota transfer
				{1, 7, 10, 6, 2, 0, 0, 0, 0, 0},                                // a quota request
				{1, 8, 0, 6, 2, 2, 4, 6, 8, 10},                                // a quota request with fleet means
				{5, 9, 10, 6, 4, 0, 0, 0, 0, 0},                                // a report of spent units
				{6, 10, 10, 6, 2, 0, 0, 0, 0, 0},                               // a quota request for a late try
				{6, 11, 0, 6, 2, 0, 0, 0, 0, 0, 2, 4, 7},                       // the same with findings on servers
				{3, 8, 0, 2},                                                   // a return of units
				{0, 200}, {9, 1, 2}, {1, 1, 10, 255, 255, 1, 2}, {3, 8, 0}, {}, // malformed
			}
			for i, message := range messages {
				for to := range 2 {
					s.gateways[to].GossipReceived(s.now, 2, message, simulationHost{s, to})
					text, err := s.gateways[to].ExportState(s.now)
					if err != nil {
						t.Fatal(err)
					}
					simulationHost{s, to}.record("after message %d: state %x", i, sha256.Sum256(text))
				}
			}
			s.runUntil(s.now + 500*time.Millisecond)
			compareRecorded(t, "messages."+name+".txt", s.transcript.Bytes())
		})
	}
}

// TestRecordedHandOver compares the state that a gateway exports with the recorded one. It also compares the states
// that a successor exports after it has imported the recorded one: at once, and after further requests.
func TestRecordedHandOver(t *testing.T) {
	for name, gossipInboxRate := range map[string]float64{"tells": 1000, "asks": 4} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, gossipInboxRate)
			s.runUntil(simulationStart + 4*time.Second)
			first, err := s.gateways[1].ExportState(s.now)
			if err != nil {
				t.Fatal(err)
			}
			compareRecorded(t, "handover."+name+".json", first)
			recorded, err := os.ReadFile(filepath.Join("testdata", "handover."+name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			next := newSimulation(t, gossipInboxRate)
			next.now = s.now
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
			next.schedule(0, next.sendNextRequest)
			next.runUntil(next.now + 700*time.Millisecond)
			third, err := g.ExportState(next.now)
			if err != nil {
				t.Fatal(err)
			}
			compareRecorded(t, "handover."+name+".later.json", third)
		})
	}
}
