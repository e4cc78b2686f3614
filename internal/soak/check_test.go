package soak

import (
	"errors"
	"io"
	"testing"
	"time"
)

// base is the time of the recorded runs.
var base = time.Unix(1000, 0)

// at is a time of a recorded run, in milliseconds.
func at(milliseconds int) time.Time { return base.Add(time.Duration(milliseconds) * time.Millisecond) }

// recordedRun is a run with one process that was told to end at 1,000 ms, and a request that was sent at 100 ms.
func recordedRun(change func(*request, *run)) *run {
	p := &process{exited: make(chan struct{}), logPath: "/dev/null", toldToEnd: at(1000), exitedAt: at(1500)}
	r := &run{plan: &Plan{Target: TargetEdgeProxy, Series: seriesTerm}, processes: []*process{p}}
	request := &request{id: "a", class: classPay, connectedAt: at(0), sentAt: at(100), timeout: time.Second,
		end: endAnswered, endedAt: at(200), status: 200}
	change(request, r)
	r.records.requests = append(r.records.requests, request)
	return r
}

// addAttempt records an attempt of the request between two times; an end of 0: it has none.
func (r *run) addAttempt(began, ended int, wasNeverRun bool) {
	a := &attempt{id: "a", began: at(began), wasNeverRun: wasNeverRun}
	if ended > 0 {
		a.ended = at(ended)
	}
	r.records.attempts = append(r.records.attempts, a)
}

// Each rule is found broken in a record that breaks it, and in no other.
func TestRulesAreFoundBroken(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*request, *run)
		rule   string // empty: none
	}{
		"served":           {func(*request, *run) {}, ""},
		"late":             {func(q *request, _ *run) { q.endedAt = at(1700) }, ruleAnswer},
		"just in time":     {func(q *request, _ *run) { q.endedAt = at(1650) }, ""},
		"another's answer": {func(q *request, _ *run) { q.err = errors.New("the answer is b's") }, ruleAnswer},
		"closed":           {func(q *request, _ *run) { q.end, q.err = endClosed, io.EOF }, ruleAnswer},
		"never answered":   {func(q *request, _ *run) { q.end = endNone }, ruleAnswer},
		"closed once forwarded, at the end": {func(q *request, r *run) {
			q.sentAt, q.end, q.endedAt = at(1600), endClosed, at(1601)
			r.addAttempt(1600, 1601, false)
		}, ruleAnswer},
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
			q.end = endLeft
			r.addAttempt(310, 320, false)
		}, ruleLeave},
		"begun as the client left": {func(q *request, r *run) {
			q.end = endLeft
			r.addAttempt(290, 320, false)
		}, ""},
		"killed late":    {func(_ *request, r *run) { r.processes[0].wasKilled = true }, ruleProcess},
		"ended in error": {func(_ *request, r *run) { r.processes[0].exitStatus = 1 }, ruleProcess},
		"not ready":      {func(_ *request, r *run) { r.problems = []string{"process 0 is not ready"} }, ruleProcess},
		"killed by plan": {func(_ *request, r *run) {
			r.processes[0].killedAt, r.processes[0].exitStatus = at(150), -1
		}, ""},
		"in a plan's kill": {func(q *request, r *run) {
			r.processes[0].killedAt, r.processes[0].exitStatus = at(150), -1
			r.processes[0].number = 1
			r.processes = append([]*process{{exited: make(chan struct{}), logPath: "/dev/null"}}, r.processes...)
			q.end = endClosed
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := recordedRun(c.change).judge(0)
			if v.OK != (c.rule == "") || c.rule != "" && v.Broken[c.rule] == 0 {
				t.Errorf("%v %v, want %q", v.Broken, v.Examples, c.rule)
			}
		})
	}
}

// A plan follows from its seed, and a false target or duration is an error.
func TestPlans(t *testing.T) {
	seen := map[series]bool{}
	for seed := range uint64(300) {
		a, err := NewPlan(TargetEdgeProxy, seed, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := NewPlan(TargetEdgeProxy, seed, time.Second)
		if a.String() != b.String() {
			t.Errorf("seed %d: %v and %v", seed, a, b)
		}
		seen[a.Series] = true
	}
	if len(seen) != len(edgeSeries) {
		t.Errorf("300 seeds have the series %v", seen)
	}
	for _, err := range []error{planError("other", time.Second), planError(TargetGateway, 0)} {
		if err == nil {
			t.Error("accepted")
		}
	}
}

func planError(target Target, duration time.Duration) error {
	_, err := NewPlan(target, 1, duration)
	return err
}

// A killed process that the kernel holds on to disturbs its run.
func TestSlowKillDisturbs(t *testing.T) {
	for _, test := range []struct {
		goneAfterMs int
		isDisturbed bool
	}{{10, false}, {600, true}} {
		r := recordedRun(func(_ *request, r *run) {
			p := r.processes[0]
			p.wasKilled, p.lateAt, p.exitedAt = true, at(2700), at(2700+test.goneAfterMs)
		})
		if v := r.judge(0); v.Disturbed != test.isDisturbed || v.Broken[ruleProcess] == 0 {
			t.Errorf("gone after %d ms: disturbed %v, broken %v", test.goneAfterMs, v.Disturbed, v.Broken)
		}
	}
}
