package scenario

import (
	"fmt"
	"strings"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/schedwait"
	"mulleinmux/internal/testserver"
)

const (
	harnessProcess = "harness" // the process of clients, test servers and links
	maxExplained   = 6         // requests of a verdict with evidence
	maxShownWaits  = 12        // waits for a processor listed for a request
	minShownWait   = 10 * time.Millisecond
	evidenceTime   = "05.0000"
)

// explain adds to the verdict, for the first requests that violated a rule, the records of clients, servers and
// instances and the processes that waited for a processor meanwhile.
func (env *environment) explain(
	checker *ruleChecker,
	clientAttempts []testserver.Attempt,
	byTrace map[string][]testserver.Arrival,
	traces requestTraces,
) {
	for _, trace := range checker.violatingTraces {
		e := &evidence{}
		for i := range clientAttempts {
			if clientAttempts[i].Trace == trace {
				e.addClient(&clientAttempts[i])
			}
		}
		for i := range traces[trace] {
			e.addTrace(&traces[trace][i])
		}
		for i := range byTrace[trace] {
			e.addArrival(&byTrace[trace][i])
		}
		e.addWaits(env.waits)
		checker.verdict.Evidence = append(checker.verdict.Evidence, trace+"\n"+e.text.String())
	}
}

// evidence is the text of the records of one request, and the time span of these records.
type evidence struct {
	text     strings.Builder
	from, to time.Time
}

// line adds a line about an event at a time.
func (e *evidence) line(at time.Time, format string, args ...any) {
	if e.from.IsZero() || at.Before(e.from) {
		e.from = at
	}
	if at.After(e.to) {
		e.to = at
	}
	fmt.Fprintf(&e.text, "  %s %s\n", at.Format(evidenceTime), fmt.Sprintf(format, args...))
}

func (e *evidence) addClient(attempt *testserver.Attempt) {
	e.line(attempt.At, "client sends %s to %s", attempt.Operation, attempt.Instance)
	e.line(attempt.Ended, "client's attempt ended with status %d after %v", attempt.Status,
		attempt.Ended.Sub(attempt.At))
}

func (e *evidence) addTrace(trace *gateway.RequestTrace) {
	fmt.Fprintf(&e.text, "  %s %s, deadline %s\n", trace.Instance, trace.RelayID, trace.Deadline.Format(evidenceTime))
	for _, step := range trace.Steps {
		e.line(step.At, "  %s %d %s %s", step.Kind, step.Attempt, step.Server, step.Detail)
	}
}

func (e *evidence) addArrival(a *testserver.Arrival) {
	e.line(a.At, "server %s/%s receives it", a.Site, a.Server)
	if !a.Ended.IsZero() {
		e.line(a.Ended, "server %s/%s ended it, status %d, ran %v", a.Site, a.Server, a.Status, a.Ran)
	}
}

// addWaits adds the longest waits for a processor within the request's time, by process.
func (e *evidence) addWaits(monitor *schedwait.Monitor) {
	waits, dropped := monitor.Between(e.from, e.to)
	sums, longest := map[string]time.Duration{}, map[string]time.Duration{}
	for _, wait := range waits {
		sums[wait.Process] += wait.Waited
		longest[wait.Process] = max(longest[wait.Process], wait.Waited)
	}
	for name := range sums {
		fmt.Fprintf(&e.text, "  threads of %s waited %v in all, %v at most\n", name, sums[name].Round(time.Millisecond),
			longest[name].Round(time.Millisecond))
	}
	shown := 0
	for _, wait := range waits {
		if wait.Waited >= minShownWait && shown < maxShownWaits {
			shown++
			fmt.Fprintf(&e.text, "  %s to %s a thread of %s waited %v\n", wait.From.Format(evidenceTime),
				wait.To.Format(evidenceTime), wait.Process, wait.Waited.Round(time.Millisecond))
		}
	}
	if dropped > 0 {
		fmt.Fprintf(&e.text, "  %d waits of the run were not recorded\n", dropped)
	}
}
