package soak

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"
)

// runStart is the start time of the recorded runs.
var runStart = time.Unix(1000, 0)

// at returns the time of a recorded run that is a number of milliseconds after its start.
func at(milliseconds int) time.Time {
	return runStart.Add(time.Duration(milliseconds) * time.Millisecond)
}

// recordedRun returns a run with one process that got SIGTERM at 1,000 ms, and a request that was sent at 100 ms and
// got its response at 200 ms. change modifies them.
func recordedRun(change func(*request, *run)) *run {
	p := &process{exited: make(chan struct{}), logPath: "/dev/null", sigtermAt: at(1000), exitedAt: at(1500)}
	r := &run{plan: &Plan{Target: TargetEdgeProxy, Series: seriesTerm}, processes: []*process{p}}
	request := &request{id: "a", class: classPay, connectedAt: at(0), sentAt: at(100), timeout: time.Second,
		end: endAnswered, endedAt: at(200), status: 200}
	change(request, r)
	r.records.requests = append(r.records.requests, request)
	return r
}

// addAttempt records an attempt of the request between two times in milliseconds. An end of 0 means that the attempt is
// still in flight.
func (r *run) addAttempt(began, ended int, neverRan bool) {
	a := &attempt{id: "a", began: at(began), neverRan: neverRan}
	if ended > 0 {
		a.ended = at(ended)
	}
	r.records.attempts = append(r.records.attempts, a)
}

// recordIdle records the descriptors that the process held once its clients had left. When it was ready, it held 7, and
// none of them was a connection.
func (r *run) recordIdle(atIdle descriptorCounts) {
	r.plan.Series = seriesIdle
	r.processes[0].atReady, r.processes[0].atIdle = descriptorCounts{others: 7}, &atIdle
	r.processes[0].idleAt = at(900)
}

// addHeedingRequests records requests of a client that heeds Retry-After, sent at 501 ms.
func (r *run) addHeedingRequests(rejected, served int) {
	for i := range rejected + served {
		status := 200
		if i < rejected {
			status = 429
		}
		r.records.requests = append(r.records.requests, &request{id: "b", class: classCheck, isHeeding: true,
			sentAt: at(501), timeout: time.Second, end: endAnswered, endedAt: at(600), status: status})
	}
}

// addTightRequests records served requests of the tight contract. The last is sent a number of milliseconds after the
// others.
func (r *run) addTightRequests(count, lastAfter int) {
	for i := range count {
		id, sentAt := fmt.Sprint("tight-", i), at(100)
		if i == count-1 {
			sentAt = at(100 + lastAfter)
		}
		r.records.requests = append(r.records.requests, &request{id: id, class: classCheck, contract: contractTight,
			sentAt: sentAt, timeout: time.Second, end: endAnswered, endedAt: sentAt, status: 200})
		r.records.attempts = append(r.records.attempts, &attempt{id: id, began: sentAt, ended: sentAt})
	}
}

// restartProcess records that the process exited at 2,000 ms and that the next one was ready at 2,050 ms.
func (r *run) restartProcess() {
	r.plan.Series = seriesRestarts
	r.processes[0].exitedAt = at(2000)
	r.processes = append(r.processes, &process{number: 1, exited: make(chan struct{}), logPath: "/dev/null",
		readyAt: at(2050)})
}

// checkRules finds a violation of a rule in a record that breaks it, and none in similar records that don't.
func TestRuleViolations(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*request, *run)
		rule   string // the violated rule; empty if none is
	}{
		"served":       {func(*request, *run) {}, ""},
		"late":         {func(q *request, _ *run) { q.endedAt = at(1700) }, ruleResponse},
		"just in time": {func(q *request, _ *run) { q.endedAt = at(1650) }, ""},
		"another's answer": {func(q *request, _ *run) {
			q.err = errors.New("got the response of request b")
		}, ruleResponse},
		"closed":         {func(q *request, _ *run) { q.end, q.err = endClosed, io.EOF }, ruleResponse},
		"never answered": {func(q *request, _ *run) { q.end = endTimedOut }, ruleResponse},
		"closed once forwarded, at the end": {func(q *request, r *run) {
			q.sentAt, q.end, q.endedAt = at(1600), endClosed, at(1601)
			r.addAttempt(1600, 1601, false)
		}, ruleResponse},
		"behind a slow one": {func(q *request, _ *run) {
			q.ahead, q.endedAt = &request{endedAt: at(1690)}, at(1700)
		}, ""},
		"two attempts": {func(q *request, r *run) {
			q.class = classCheck
			r.addAttempt(110, 190, false)
			r.addAttempt(150, 195, false)
		}, ruleAttempts},
		"an attempt without an end, and another": {func(q *request, r *run) {
			q.class = classCheck
			r.addAttempt(110, 0, false)
			r.addAttempt(150, 195, false)
		}, ruleAttempts},
		"unsafe, sent again": {func(_ *request, r *run) {
			r.addAttempt(110, 120, false)
			r.addAttempt(150, 195, false)
		}, ruleAttempts},
		"unsafe, never ran, sent again": {func(_ *request, r *run) {
			r.addAttempt(110, 120, true)
			r.addAttempt(150, 195, false)
		}, ""},
		"begun after the client left": {func(q *request, r *run) {
			q.end = endClientClosed
			r.addAttempt(310, 320, false)
		}, ruleClientClosed},
		"begun as the client left": {func(q *request, r *run) {
			q.end = endClientClosed
			r.addAttempt(290, 320, false)
		}, ""},
		"killed late":    {func(_ *request, r *run) { r.processes[0].killedForTimeout = true }, ruleProcess},
		"ended in error": {func(_ *request, r *run) { r.processes[0].exitStatus = 1 }, ruleProcess},
		"not ready":      {func(_ *request, r *run) { r.processProblems = []string{"process 0 is not ready"} }, ruleProcess},
		"killed by plan": {func(_ *request, r *run) {
			r.processes[0].killedByPlanAt, r.processes[0].exitStatus = at(150), -1
		}, ""},
		"in a plan's kill": {func(q *request, r *run) {
			r.processes[0].killedByPlanAt, r.processes[0].exitStatus = at(150), -1
			r.processes[0].number = 1
			r.processes = append([]*process{{exited: make(chan struct{}), logPath: "/dev/null"}}, r.processes...)
			q.end = endClosed
		}, ""},
		"closed before a restart": {func(q *request, r *run) {
			r.restartProcess()
			q.sentAt, q.end, q.endedAt = at(1400), endClosed, at(1400)
		}, ruleResponse},
		"closed between the processes of a restart": {func(q *request, r *run) {
			r.restartProcess()
			q.sentAt, q.end, q.endedAt = at(1600), endClosed, at(1600)
		}, ""},
		"closed after a restart, on a connection to the exited process": {func(q *request, r *run) {
			r.restartProcess()
			q.sentAt, q.end, q.endedAt = at(2060), endClosed, at(2060)
		}, ""},
		"closed between the processes of a restart, on a connection opened after the exit": {func(q *request, r *run) {
			r.restartProcess()
			q.connectedAt, q.sentAt, q.end, q.endedAt = at(2010), at(2020), endClosed, at(2020)
		}, ruleResponse},
		"descriptors as at readiness, and connections that may be kept": {func(_ *request, r *run) {
			r.plan.Servers = make([]serverPlan, 1)
			r.addAttempt(110, 190, false)
			r.recordIdle(descriptorCounts{servers: 1 + spareConnectionsPerServer, discovery: 1, others: 7})
		}, ""},
		"more connections to servers than attempts needed": {func(_ *request, r *run) {
			r.plan.Servers = make([]serverPlan, 1)
			r.addAttempt(110, 190, false)
			r.recordIdle(descriptorCounts{servers: 2 + spareConnectionsPerServer, discovery: 1, others: 7})
		}, ruleDescriptors},
		"a client's connection kept": {func(_ *request, r *run) {
			r.recordIdle(descriptorCounts{clients: 1, others: 7})
		}, ruleDescriptors},
		"an attempt in flight without its client": {func(_ *request, r *run) {
			r.addAttempt(110, 950, false)
			r.recordIdle(descriptorCounts{others: 7})
		}, ruleDescriptors},
		"a third of the requests rejected": {func(_ *request, r *run) {
			r.addHeedingRequests(10, 20)
		}, ruleRejections},
		"less than a third of the requests rejected": {func(_ *request, r *run) {
			r.addHeedingRequests(10, 21)
		}, ""},
		"all of a few requests rejected": {func(_ *request, r *run) {
			r.addHeedingRequests(29, 0)
		}, ""},
		"a third of the requests rejected, just after the first request": {func(_ *request, r *run) {
			r.addHeedingRequests(10, 20)
			for _, request := range r.records.requests {
				request.sentAt = at(500)
			}
		}, ""},
		"rejected, of a client that does not heed Retry-After": {func(_ *request, r *run) {
			r.addHeedingRequests(30, 0)
			for _, request := range r.records.requests {
				request.isHeeding = false
			}
		}, ""},
		"rejected, with servers that hang at the end": {func(_ *request, r *run) {
			r.addHeedingRequests(30, 0)
			r.plan.Servers = []serverPlan{{HangsAtEnd: true}}
		}, ""},
		"rejected, with a process away": {func(_ *request, r *run) {
			r.addHeedingRequests(30, 0)
			r.outages = []interval{{at(500), at(600)}}
		}, ""},
		"units within the quota": {func(_ *request, r *run) { r.addTightRequests(21, 0) }, ""},
		"units beyond the quota": {func(_ *request, r *run) { r.addTightRequests(23, 0) }, ruleQuotas},
		"units within the quota, over time": {func(_ *request, r *run) {
			r.addTightRequests(31, 1000)
		}, ""},
		"units beyond the quota, over time": {func(_ *request, r *run) {
			r.addTightRequests(33, 1000)
		}, ruleQuotas},
		"units of two bursts, over a restart": {func(_ *request, r *run) {
			r.restartProcess()
			r.addTightRequests(41, 0)
		}, ""},
		"units beyond the bursts, over a restart": {func(_ *request, r *run) {
			r.restartProcess()
			r.addTightRequests(45, 0)
		}, ruleQuotas},
		"units beyond the quota, over an upgrade": {func(_ *request, r *run) {
			r.restartProcess()
			r.processes[1].logPath = "testdata/successor.log"
			r.addTightRequests(41, 0)
		}, ruleQuotas},
		"two watches": {func(_ *request, r *run) {
			r.recordIdle(descriptorCounts{discovery: 2, others: 7})
		}, ruleDescriptors},
		"another descriptor": {func(_ *request, r *run) {
			r.recordIdle(descriptorCounts{others: 8})
		}, ruleDescriptors},
	} {
		t.Run(name, func(t *testing.T) {
			v := recordedRun(c.change).checkRules(0)
			if v.OK != (c.rule == "") || c.rule != "" && v.Violations[c.rule] == 0 {
				t.Errorf("got violations %v %v, want rule %q", v.Violations, v.Examples, c.rule)
			}
		})
	}
}

// The same seed gives the same plan, all series are drawn, and an unknown target or a bad duration is an error.
func TestNewPlan(t *testing.T) {
	seen := map[series]bool{}
	drains := map[bool]int{}
	for seed := range uint64(300) {
		a, err := NewPlan(TargetEdgeProxy, seed, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := NewPlan(TargetEdgeProxy, seed, time.Second)
		if a.String() != b.String() {
			t.Errorf("seed %d: got the plans %v and %v, want equal ones", seed, a, b)
		}
		seen[a.Series] = true
		drains[a.Drain != nil]++
	}
	if want := len(edgeSeries) + 1; len(seen) != want || !seen[seriesIdle] {
		t.Errorf("300 seeds draw only the series %v, want all", seen)
	}
	if drains[true] == 0 || drains[false] == 0 {
		t.Errorf("300 seeds: got %d plans with a drain and %d without one, want both", drains[true], drains[false])
	}
	for _, err := range []error{planError("other", time.Second), planError(TargetGateway, 0)} {
		if err == nil {
			t.Error("NewPlan accepted an unknown target or a duration of 0, want an error")
		}
	}
}

func planError(target Target, duration time.Duration) error {
	_, err := NewPlan(target, 1, duration)
	return err
}

// A run counts as disturbed if the kernel takes long to end a killed process.
func TestSlowKillDisturbs(t *testing.T) {
	for _, test := range []struct {
		exitDelayMs int
		isDisturbed bool
	}{{10, false}, {600, true}} {
		r := recordedRun(func(_ *request, r *run) {
			p := r.processes[0]
			p.killedForTimeout, p.timedOutAt, p.exitedAt = true, at(2700), at(2700+test.exitDelayMs)
		})
		if v := r.checkRules(0); v.Disturbed != test.isDisturbed || v.Violations[ruleProcess] == 0 {
			t.Errorf("exited %d ms after the kill: got disturbed %v, violations %v; want rule process, disturbed only at 600 ms",
				test.exitDelayMs, v.Disturbed, v.Violations)
		}
	}
}
