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
	// unansweredStatusWait is how long an instance waits for a far instance's status of an attempt before it retries an
	// idempotent request.
	unansweredStatusWait = 300 * time.Millisecond
	// timerTolerance is how late a timer may fire in a process that doesn't wait for a processor.
	timerTolerance = 10 * time.Millisecond
	// traceLogFlushTime is the time within which instances write their latest traces.
	traceLogFlushTime = 400 * time.Millisecond
)

// requestTraces holds, for each request, the traces of the instances that received it, in the order in which they
// started.
type requestTraces map[string][]gateway.RequestTrace

// add records a trace.
func (t requestTraces) add(trace gateway.RequestTrace) {
	t[trace.TraceID] = append(t[trace.TraceID], trace)
}

// traceLogName returns the file name of an instance's trace log.
func (m *clusterInstance) traceLogName() string { return fmt.Sprintf("trace-%d.jsonl", m.id) }

// readTraces reads the traces that the instances have written.
func (c *clusterRun) readTraces(checker *ruleChecker) requestTraces {
	time.Sleep(traceLogFlushTime)
	traces := requestTraces{}
	for _, m := range c.instances() {
		eachLogLine(checker, filepath.Join(c.dir, m.traceLogName()), func(trace gateway.RequestTrace) {
			if trace.TraceID != "" {
				traces.add(trace)
			}
		})
	}
	return traces
}

// eachLogLine calls handle with each line of an instance's log that can be parsed. A killed instance may have written
// an incomplete last line.
func eachLogLine[T any](checker *ruleChecker, path string, handle func(T)) {
	f, err := os.Open(path)
	if err != nil {
		checker.violation(ruleScenario, "%v", err)
		return
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var line T
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			handle(line)
		}
	}
}

// checkTraces checks, with the instances' own traces, that the attempts of each request don't overlap and that its
// answer was written in time. The load of the machine can't change the order of an instance's steps. An answer may be
// late by the time that the instance waited for a processor.
func (env *environment) checkTraces(checker *ruleChecker, traces requestTraces) {
	steps := 0
	for _, tracesOfRequest := range traces {
		for i := range tracesOfRequest {
			trace := &tracesOfRequest[i]
			steps += len(trace.Steps)
			checker.checkAttemptOrder(trace)
			env.checkAnswerTime(checker, trace)
		}
	}
	checker.verdict.Figures[figureTraceSteps] = float64(steps)
}

// checkAttemptOrder checks that each attempt of a trace began after the previous one had ended.
func (checker *ruleChecker) checkAttemptOrder(trace *gateway.RequestTrace) {
	order := attemptOrder{}
	for k := range trace.Steps {
		if fault := order.addStep(trace, &trace.Steps[k]); fault != "" {
			checker.requestViolation(trace.TraceID, ruleSteps, "%s at %s: %s", trace.TraceID, trace.Instance, fault)
		}
	}
}

// attemptOrder is the state of the latest attempt of a trace, while its steps are checked in order.
type attemptOrder struct {
	attempt         int  // number of the latest attempt
	isInFlight      bool // its end is not known
	isRelayed       bool
	wasWritten      bool
	wasConnClosed   bool
	wasEndReported  bool // the far instance reported its end
	statusQueriedAt time.Time
	isClosedByPeer  bool
}

// addStep processes the next step and returns why it is not allowed at this place, or an empty text.
func (o *attemptOrder) addStep(trace *gateway.RequestTrace, step *gateway.TraceStep) (fault string) {
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
		o.statusQueriedAt = step.At
	case gateway.StepStatusReported:
		o.wasEndReported = true
	}
	return fault
}

// mayBeInFlight reports whether an attempt that has ended for its instance may still run: it has no answer, and its
// connection is open or, if it was relayed, the far instance has not reported its end.
func (o *attemptOrder) mayBeInFlight(result string) bool {
	hasAnswer := result == policy.OK.String() || result == policy.RejectedByServer.String() ||
		result == policy.ErrorResponse.String()
	hasEnded := o.wasConnClosed
	if o.isRelayed {
		hasEnded = o.wasEndReported
	}
	return o.wasWritten && !hasAnswer && !hasEnded
}

// begin processes the start of an attempt.
func (o *attemptOrder) begin(trace *gateway.RequestTrace, step *gateway.TraceStep) (fault string) {
	hasWaited := !o.statusQueriedAt.IsZero() && step.At.Sub(o.statusQueriedAt) >= unansweredStatusWait-time.Millisecond
	switch {
	case o.isClosedByPeer:
		fault = fmt.Sprintf("attempt %d begins after the near instance closed its connection", step.Attempt)
	case o.isInFlight && !(trace.Idempotent && hasWaited):
		fault = fmt.Sprintf("attempt %d begins while attempt %d may be in flight", step.Attempt, o.attempt)
	}
	isClosedByPeer := o.isClosedByPeer
	*o = attemptOrder{attempt: step.Attempt, isInFlight: true, isRelayed: step.Relayed,
		isClosedByPeer: isClosedByPeer}
	return fault
}

// checkAnswerTime checks that an answer was written by its deadline, extended by the time that the instance waited for
// a processor or was stopped.
func (env *environment) checkAnswerTime(checker *ruleChecker, trace *gateway.RequestTrace) {
	last := trace.Steps[len(trace.Steps)-1]
	late := last.At.Sub(trace.Deadline)
	if late <= timerTolerance {
		return
	}
	waited := env.waitedFor(trace.Instance, trace.Deadline, last.At)
	if env.stoppedBetween != nil {
		waited += env.stoppedBetween(trace.Instance, trace.Deadline, last.At)
	}
	if late > waited+timerTolerance {
		checker.requestViolation(trace.TraceID, ruleSteps,
			"%s at %s: its answer was written %v after its deadline, and the instance "+
				"waited %v for a processor", trace.TraceID, trace.Instance, late, waited)
	}
}

// waitedFor returns how long any thread of an instance's process waited for a processor between two times.
func (env *environment) waitedFor(instance string, from, to time.Time) time.Duration {
	process := instance
	if env.scenario.runOnCluster == nil {
		process = harnessProcess
	}
	waits, _ := env.waits.Between(from, to)
	waits = slices.DeleteFunc(waits, func(wait schedwait.Wait) bool { return wait.Process != process })
	return unionDuration(waits, from, to)
}

// unionDuration returns the length of the union of the waits between two times.
func unionDuration(waits []schedwait.Wait, from, to time.Time) (sum time.Duration) {
	slices.SortFunc(waits, func(a, b schedwait.Wait) int { return a.From.Compare(b.From) })
	for _, wait := range waits {
		if waited := (interval{wait.From, wait.To}).overlap(from, to); waited > 0 {
			sum += waited
			from = wait.To
		}
	}
	return sum
}
