package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/schedwait"
	"mulleinmux/policy"
)

const (
	// unansweredStatusWait is how long an instance waits for a far one's word on an attempt before it sends an
	// idempotent request again.
	unansweredStatusWait = 300 * time.Millisecond
	// timerTolerance is what a timer may be late in a process that waits for no processor.
	timerTolerance = 10 * time.Millisecond
	// traceLogFlushTime is for how long the latest traces may not have been written.
	traceLogFlushTime = 400 * time.Millisecond
)

// requestTraces are the traces of a request by the instances that it came to, in the order of their starts.
type requestTraces map[string][]gateway.RequestTrace

// add records a trace.
func (t requestTraces) add(trace gateway.RequestTrace) {
	t[trace.Trace] = append(t[trace.Trace], trace)
}

// traceLogName is the file name of an instance's log of traces.
func (m *member) traceLogName() string { return fmt.Sprintf("trace-%d.jsonl", m.id) }

// readTraces reads the traces that the instances have written.
func (c *clusterRun) readTraces(j *ruleChecker) requestTraces {
	time.Sleep(traceLogFlushTime)
	traces := requestTraces{}
	for _, m := range c.instances() {
		eachLogLine(j, filepath.Join(c.dir, m.traceLogName()), func(trace gateway.RequestTrace) {
			if trace.Trace != "" {
				traces.add(trace)
			}
		})
	}
	return traces
}

// eachLogLine calls take with each line of an instance's log that can be read: half of one is of an instance that was
// killed.
func eachLogLine[T any](j *ruleChecker, path string, take func(T)) {
	f, err := os.Open(path)
	if err != nil {
		j.violation(ruleScenario, "%v", err)
		return
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var line T
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			take(line)
		}
	}
}

// checkTraces checks, on the instances' own traces, that the attempts of each request came in order and that its answer
// was written in time. No load on the machine changes the order of an instance's steps; for the time of an answer the
// instance's waits for a processor are allowed.
func (w *environment) checkTraces(j *ruleChecker, traces requestTraces) {
	steps := 0
	for _, ofRequest := range traces {
		for i := range ofRequest {
			trace := &ofRequest[i]
			steps += len(trace.Steps)
			j.checkAttemptOrder(trace)
			w.checkAnswerTime(j, trace)
		}
	}
	j.v.Figures[figureTraceSteps] = float64(steps)
}

// checkAttemptOrder checks that each attempt of a trace began when the one before had ended.
func (j *ruleChecker) checkAttemptOrder(trace *gateway.RequestTrace) {
	order := attemptOrder{}
	for k := range trace.Steps {
		if fault := order.take(trace, &trace.Steps[k]); fault != "" {
			j.violationOf(trace.Trace, ruleSteps, "%s at %s: %s", trace.Trace, trace.Instance, fault)
		}
	}
}

// attemptOrder follows the attempts of one trace.
type attemptOrder struct {
	attempt        int  // the latest
	isInFlight     bool // nothing has told its end
	isRelayed      bool
	wasWritten     bool
	wasConnClosed  bool
	wasEndTold     bool // by the far instance
	statusAskedAt  time.Time
	isClosedByPeer bool
}

// take follows one step and returns what is wrong with its place; empty: nothing.
func (o *attemptOrder) take(trace *gateway.RequestTrace, step *gateway.TraceStep) (fault string) {
	switch step.Kind {
	case gateway.StepClosedByPeer:
		o.isClosedByPeer = true
	case gateway.StepBegun:
		fault = o.begin(trace, step)
	case gateway.StepWritten:
		o.wasWritten = true
	case gateway.StepConnClosed:
		o.wasConnClosed = true
	case gateway.StepEnded:
		o.isInFlight = o.mayBeInFlight(step.Detail)
	case gateway.StepStatusQueried:
		o.statusAskedAt = step.At
	case gateway.StepStatusReported:
		o.wasEndTold = true
	}
	return fault
}

// mayBeInFlight reports whether an attempt that has ended for its instance may go on elsewhere: one without an answer
// whose connection is open or, if it was relayed, whose far instance has not told its end.
func (o *attemptOrder) mayBeInFlight(result string) bool {
	hasAnswer := result == policy.OK.String() || result == policy.RejectedByServer.String() ||
		result == policy.ErrorResponse.String()
	hasEnded := o.wasConnClosed
	if o.isRelayed {
		hasEnded = o.wasEndTold
	}
	return o.wasWritten && !hasAnswer && !hasEnded
}

// begin follows the begin of an attempt.
func (o *attemptOrder) begin(trace *gateway.RequestTrace, step *gateway.TraceStep) (fault string) {
	hasWaited := !o.statusAskedAt.IsZero() && step.At.Sub(o.statusAskedAt) >= unansweredStatusWait-time.Millisecond
	switch {
	case o.isClosedByPeer:
		fault = fmt.Sprintf("attempt %d begins after the near instance's close was seen", step.Attempt)
	case o.isInFlight && !(trace.Idempotent && hasWaited):
		fault = fmt.Sprintf("attempt %d begins while attempt %d may be in flight", step.Attempt, o.attempt)
	}
	isClosedByPeer := o.isClosedByPeer
	*o = attemptOrder{attempt: step.Attempt, isInFlight: true, isRelayed: step.Relayed,
		isClosedByPeer: isClosedByPeer}
	return fault
}

// checkAnswerTime checks that an answer was written by its deadline and what the instance waited for a processor.
func (w *environment) checkAnswerTime(j *ruleChecker, trace *gateway.RequestTrace) {
	last := trace.Steps[len(trace.Steps)-1]
	late := last.At.Sub(trace.Deadline)
	if late <= timerTolerance {
		return
	}
	waited := w.waitedFor(trace.Instance, trace.Deadline, last.At)
	if w.stoppedBetween != nil {
		waited += w.stoppedBetween(trace.Instance, trace.Deadline, last.At)
	}
	if late > waited+timerTolerance {
		j.violationOf(trace.Trace, ruleSteps, "%s at %s: its answer was written %v after its deadline, and the instance "+
			"waited %v for a processor", trace.Trace, trace.Instance, late, waited)
	}
}

// waitedFor returns for how long between two times any thread of an instance's process waited for a processor.
func (w *environment) waitedFor(instance string, from, to time.Time) time.Duration {
	process := instance
	if w.scenario.cluster == nil {
		process = harnessProcess
	}
	waits, _ := w.waits.Between(from, to)
	waits = slices.DeleteFunc(waits, func(wait schedwait.Wait) bool { return wait.Process != process })
	return unionOf(waits, from, to)
}

// unionOf returns for how long between two times any of the waits lasted.
func unionOf(waits []schedwait.Wait, from, to time.Time) (sum time.Duration) {
	slices.SortFunc(waits, func(a, b schedwait.Wait) int { return a.From.Compare(b.From) })
	for _, wait := range waits {
		if within := (interval{wait.From, wait.To}).within(from, to); within > 0 {
			sum += within
			from = wait.To
		}
	}
	return sum
}
