package scenario

import (
	"fmt"
	"testing"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/schedwait"
	"mulleinmux/internal/testserver"
)

// stepsOf returns steps that are 1 ms apart, from ruleTestStart on.
func stepsOf(steps ...gateway.TraceStep) []gateway.TraceStep {
	for i := range steps {
		steps[i].At = millisecondsAfterStart(i)
	}
	return steps
}

func directAttempt(n int) gateway.TraceStep {
	return gateway.TraceStep{Kind: gateway.StepBegun, Attempt: n, Server: "a/s"}
}

func relayedAttempt(n int) gateway.TraceStep {
	return gateway.TraceStep{Kind: gateway.StepBegun, Attempt: n, Server: "b/@2", Relayed: true}
}

func stepOf(kind gateway.StepKind, detail string) gateway.TraceStep {
	return gateway.TraceStep{Kind: kind, Detail: detail}
}

// The check must find an attempt that begins before the previous one is known to have ended.
func TestAttemptOrderCheck(t *testing.T) {
	written, closed := stepOf(gateway.StepWritten, ""), stepOf(gateway.StepConnClosed, "")
	timedOut := stepOf(gateway.StepEnded, "timed out")
	statusQuery := stepOf(gateway.StepStatusQueried, "")
	for _, test := range []struct {
		name       string
		idempotent bool
		steps      []gateway.TraceStep
		violations int
	}{
		{"connection closed", false, stepsOf(directAttempt(1), written, closed, timedOut, directAttempt(2)), 0},
		{"connection open", true, stepsOf(directAttempt(1), written, timedOut, directAttempt(2)), 1},
		{"never written", false, stepsOf(directAttempt(1), stepOf(gateway.StepEnded, "not sent"), directAttempt(2)), 0},
		{"answered", false, stepsOf(relayedAttempt(1), written, stepOf(gateway.StepEnded, "error response"),
			directAttempt(2)), 0},
		{"end reported", false, stepsOf(relayedAttempt(1), written, closed, statusQuery,
			stepOf(gateway.StepStatusReported, "unknown"), timedOut, directAttempt(2)), 0},
		{"relayed, end not reported", false, stepsOf(relayedAttempt(1), written, closed, statusQuery,
			stepOf(gateway.StepStatusUnknown, ""), timedOut, directAttempt(2)), 1},
		{"idempotent, retried too early", true, stepsOf(relayedAttempt(1), written, closed, statusQuery,
			stepOf(gateway.StepStatusUnknown, ""), timedOut, relayedAttempt(2)), 1},
		{"no end", false, stepsOf(directAttempt(1), directAttempt(2)), 1},
		{"after the peer's close", true, stepsOf(stepOf(gateway.StepClosedByPeer, ""), directAttempt(1)), 1},
	} {
		checker := newRuleChecker()
		checker.checkAttemptOrder(&gateway.RequestTrace{TraceID: "r", Idempotent: test.idempotent, Steps: test.steps})
		if checker.verdict.Rules[ruleSteps] != test.violations {
			t.Errorf("%s: %d violations, want %d: %v", test.name, checker.verdict.Rules[ruleSteps], test.violations,
				checker.verdict.Examples)
		}
	}
}

// After unansweredStatusWait, an idempotent request may be retried without the far instance's status, and no other may.
func TestAttemptOrderAfterUnansweredStatus(t *testing.T) {
	steps := stepsOf(relayedAttempt(1), stepOf(gateway.StepWritten, ""), stepOf(gateway.StepConnClosed, ""),
		stepOf(gateway.StepStatusQueried, ""), stepOf(gateway.StepStatusUnknown, ""),
		stepOf(gateway.StepEnded, "timed out"), relayedAttempt(2))
	steps[6].At = steps[3].At.Add(unansweredStatusWait)
	for _, isIdempotent := range []bool{true, false} {
		checker := newRuleChecker()
		checker.checkAttemptOrder(&gateway.RequestTrace{TraceID: "r", Idempotent: isIdempotent, Steps: steps})
		if wasFound := checker.verdict.Rules[ruleSteps] > 0; wasFound == isIdempotent {
			t.Errorf("idempotent %v: unexpected violations or none: %v", isIdempotent, checker.verdict.Examples)
		}
	}
}

// An answer that is late by more than the timer tolerance must violate the rule if its instance didn't wait for a
// processor.
func TestAnswerTimeCheck(t *testing.T) {
	for _, test := range []struct {
		lateMs     int
		violations int
	}{{5, 0}, {30, 1}} {
		checker := newRuleChecker()
		env := &environment{waits: schedwait.New()}
		env.checkAnswerTime(checker, &gateway.RequestTrace{TraceID: "r", Instance: "g", Deadline: ruleTestStart,
			Steps: []gateway.TraceStep{{Kind: gateway.StepAnswerWritten, At: millisecondsAfterStart(test.lateMs)}}})
		if checker.verdict.Rules[ruleSteps] != test.violations {
			t.Errorf("answer %d ms late: unexpected number of violations: %v", test.lateMs, checker.verdict.Examples)
		}
	}
}

// Overlapping waits of threads must count once, and only their parts within the time span.
func TestUnionOfWaits(t *testing.T) {
	wait := func(from, to int) schedwait.Wait {
		return schedwait.Wait{From: millisecondsAfterStart(from), To: millisecondsAfterStart(to)}
	}
	waits := []schedwait.Wait{wait(20, 30), wait(-5, 3), wait(2, 6), wait(25, 28), wait(90, 200)}
	got := unionDuration(waits, ruleTestStart, millisecondsAfterStart(100))
	if want := 26 * time.Millisecond; got != want {
		t.Error(fmt.Sprint(got, ", want ", want))
	}
}

// A client that gives up while its instance is stopped is no violation. One that waited longer than the stop accounts
// for is, and so is one whose connection was lost.
func TestGaveUpWhileStopped(t *testing.T) {
	const waited = clientDeadline + time.Second
	for _, test := range []struct {
		stopped time.Duration
		isLost  bool
		want    bool
	}{{1200 * time.Millisecond, false, true}, {500 * time.Millisecond, false, false}, {0, false, false},
		{1200 * time.Millisecond, true, false}} {
		checker := newRuleChecker()
		checker.stoppedFor = func(testserver.Attempt) time.Duration { return test.stopped }
		attempt := testserver.Attempt{At: ruleTestStart, Ended: ruleTestStart.Add(waited), ConnectionLost: test.isLost}
		if got := checker.gaveUpWhileStopped(attempt); got != test.want {
			t.Errorf("stopped for %v, connection lost %v: gaveUpWhileStopped returns %v", test.stopped, test.isLost, got)
		}
	}
}
