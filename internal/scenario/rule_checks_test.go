package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/testserver"
)

// The verdict must report a violation that the test causes by sending a booking to both sites,
// bypassing the gateway.
func TestBrokenRuleIsFound(t *testing.T) {
	t.Parallel()
	v, err := Run(context.Background(), Options{Scenario: "calm", Duration: 2 * time.Second, Seed: 7,
		breakRule: func(env *environment) {
			for _, site := range env.sites {
				bookDirectly(t, site, "twice", `{"installers":2}`)
			}
			http.DefaultClient.CloseIdleConnections()
		}})
	if err != nil {
		t.Fatal(err)
	}
	if v.OK || v.Duplicates != 1 || v.Rules["no_effect_twice"] != 1 || v.Rules["units"] < 2 ||
		v.UnitsDeclared-v.UnitsCounted != 4 {
		t.Errorf("verdict lacks the duplicate or the 4 uncounted units: %+v", v)
	}
}

// bookDirectly sends a booking with an idempotency key to one server of a site, bypassing the gateway.
func bookDirectly(t *testing.T, site *testserver.Site, key, body string) {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+site.Addrs()[0]+"/v1/visits", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("X-Trace-Id", "past-"+site.Name)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// ruleTestStart is the start time of the recorded requests.
var ruleTestStart = time.Now()

// arrivalOf returns an attempt that ran between two times, in milliseconds after ruleTestStart.
func arrivalOf(trace, site string, effect testserver.Effect, from, to int) testserver.Arrival {
	return testserver.Arrival{Site: site, Server: "s", Operation: "op", Effect: effect, Trace: trace,
		Key: "k-" + trace, Licensee: "kubwa-0", Version: 1, Units: 2,
		At: millisecondsAfterStart(from), Ended: millisecondsAfterStart(to), Ran: true}
}

func millisecondsAfterStart(ms int) time.Time {
	return ruleTestStart.Add(time.Duration(ms) * time.Millisecond)
}

// ruleCase is a request with the records of the sites, its instance and its client.
type ruleCase struct {
	name     string
	arrivals []testserver.Arrival
	record   gateway.RequestRecord
	attempt  testserver.Attempt
	want     string // violated rule; empty for none
}

// attemptOf returns an attempt of request a.
func attemptOf(site string, effect testserver.Effect, from, to int) testserver.Arrival {
	return arrivalOf("a", site, effect, from, to)
}

// effected returns the attempt with its effect.
func effected(a testserver.Arrival) testserver.Arrival { a.HadEffect = true; return a }

// neverRan returns the attempt as one that the server did not run.
func neverRan(a testserver.Arrival) testserver.Arrival { a.Ran = false; return a }

// drained returns the attempt as one at a server that had been listed as draining for a time.
func drained(a testserver.Arrival, since time.Duration) testserver.Arrival {
	a.DrainingFor = since
	return a
}

// ruleCases returns requests that violate no rule or one.
func ruleCases() []ruleCase { return slices.Concat(effectCases(), chargeCases(), answerCases()) }

// rightRecord is an instance's record of request a, and servedAttempt the attempt of its client.
var (
	rightRecord   = gateway.RequestRecord{TraceID: "a", Operation: "op", Version: 1, Units: 2, Sent: true, Attempts: 2}
	servedAttempt = testserver.Attempt{Trace: "a", At: millisecondsAfterStart(0), Ended: millisecondsAfterStart(30),
		AnswerCount: 1, Status: 200, Served: true}
)

// effectCases returns cases that differ in the attempts of a request.
func effectCases() (cases []ruleCase) {
	const (
		idempotent = testserver.Idempotent
		keyed      = testserver.IdempotentWithKey
		unsafe     = testserver.NonIdempotent
	)
	add := func(name, want string, arrivals ...testserver.Arrival) {
		cases = append(cases, ruleCase{name, arrivals, rightRecord, servedAttempt, want})
	}
	add("one attempt", "", effected(attemptOf("A", unsafe, 0, 10)))
	add("idempotent, again elsewhere", "", attemptOf("A", idempotent, 0, 10), attemptOf("B", idempotent, 10, 20))
	add("two at once", "no_effect_twice", attemptOf("A", idempotent, 0, 100), attemptOf("B", idempotent, 50, 120))
	add("non-idempotent, twice", "no_effect_twice",
		effected(attemptOf("A", unsafe, 0, 10)), attemptOf("A", unsafe, 20, 30))
	add("non-idempotent, never ran first", "",
		neverRan(attemptOf("A", unsafe, 0, 10)), effected(attemptOf("A", unsafe, 20, 30)))
	add("keyed, same site", "", effected(attemptOf("A", keyed, 0, 10)), attemptOf("A", keyed, 20, 30))
	add("keyed, other site", "no_effect_twice", attemptOf("A", keyed, 0, 10), effected(attemptOf("B", keyed, 20, 30)))
	add("keyed, too late", "no_effect_twice", attemptOf("A", keyed, 0, 10), attemptOf("A", keyed, 4100, 4200))
	add("keyed, effect twice", "no_effect_twice",
		effected(attemptOf("A", keyed, 0, 10)), effected(attemptOf("A", keyed, 20, 30)))
	add("to a draining server", "drains", drained(attemptOf("A", idempotent, 0, 10), 310*time.Millisecond))
	add("within the drain grace period", "", drained(attemptOf("A", idempotent, 0, 10), 240*time.Millisecond))
	return cases
}

// chargeCases returns cases that differ in the instance's record of a request.
func chargeCases() (cases []ruleCase) {
	add := func(name, want string, change func(*gateway.RequestRecord), arrivals ...testserver.Arrival) {
		record := rightRecord
		change(&record)
		cases = append(cases, ruleCase{name, arrivals, record, servedAttempt, want})
	}
	first, second := attemptOf("A", testserver.Idempotent, 0, 10), attemptOf("A", testserver.Idempotent, 20, 30)
	add("charged too little", "units", func(r *gateway.RequestRecord) { r.Units = 1 }, first)
	add("not charged", "units", func(r *gateway.RequestRecord) { r.Sent = false }, first)
	add("charged for nothing", "units", func(*gateway.RequestRecord) {})
	add("an unknown attempt", "units", func(r *gateway.RequestRecord) { r.Attempts = 1 }, first, second)
	add("another operation", "operations", func(r *gateway.RequestRecord) { r.Operation = "cheap" }, first)
	add("another version", "versions", func(r *gateway.RequestRecord) { r.Version = 2 }, first)
	return cases
}

// answerCases returns cases that differ in the client's record of the answer.
func answerCases() (cases []ruleCase) {
	add := func(name, want string, attempt testserver.Attempt) {
		attempt.Trace = "a"
		arrivals := []testserver.Arrival{attemptOf("A", testserver.Idempotent, 0, 10)}
		cases = append(cases, ruleCase{name, arrivals, rightRecord, attempt, want})
	}
	add("no answer", "one_answer", testserver.Attempt{ConnectionLost: true})
	add("two answers", "one_answer", testserver.Attempt{AnswerCount: 2, Status: 200, Served: true})
	add("another's answer", "one_answer", testserver.Attempt{AnswerCount: 1, Status: 200, Served: true, Mismatch: "x"})
	add("a late answer", "one_answer", testserver.Attempt{AnswerCount: 1, Status: 502, At: millisecondsAfterStart(0),
		Ended: millisecondsAfterStart(2100)})
	add("rejected as unknown", "operations", testserver.Attempt{AnswerCount: 1, Status: 404})
	return cases
}

// The checks must find the violation of each case, and no violation of another rule.
func TestRuleChecks(t *testing.T) {
	for _, c := range ruleCases() {
		t.Run(c.name, func(t *testing.T) {
			checker := newRuleChecker()
			byTrace := map[string][]testserver.Arrival{}
			if len(c.arrivals) > 0 {
				byTrace["a"] = c.arrivals
			}
			checker.checkAnswers([]testserver.Attempt{c.attempt}, func(testserver.Attempt) bool { return false })
			checker.checkEffects(c.arrivals, byTrace)
			checker.checkCosts(byTrace, map[string]gateway.RequestRecord{"a": c.record})
			for rule, n := range checker.verdict.Rules {
				if rule != c.want && n > 0 {
					t.Errorf("unexpected violations: %v", checker.verdict.Examples)
				}
			}
			if c.want != "" && checker.verdict.Rules[c.want] == 0 {
				t.Errorf("no violation of rule %s was found", c.want)
			}
		})
	}
}

// The check must find units beyond a hard limit and its tolerance, and no violation below that.
func TestHardLimitCheck(t *testing.T) {
	// The hard limit of kubwa: 300 at once and 180 a second, with a slack of 57.
	for units, want := range map[int]bool{350: false, 370: true} {
		t.Run(fmt.Sprint(units, " units at once"), func(t *testing.T) {
			checker := newRuleChecker()
			byTrace := map[string][]testserver.Arrival{}
			for i := range units / 2 {
				name := fmt.Sprint("t", i)
				byTrace[name] = []testserver.Arrival{arrivalOf(name, "A", testserver.Idempotent, 0, 10)}
			}
			if checker.checkHardLimits(byTrace); (checker.verdict.Rules["ceilings"] > 0) != want {
				t.Errorf("got %d violations of the hard limit", checker.verdict.Rules["ceilings"])
			}
		})
	}
}

// An attempt that begins up to leftLimit after its client has left is no violation, a later one is. A client that has
// left needs no answer.
func TestClientsLeftRule(t *testing.T) {
	left := ruleTestStart.Add(50 * time.Millisecond)
	attempts := []testserver.Attempt{
		{Trace: "on its way", At: ruleTestStart, Ended: left, LeftAt: left},
		{Trace: "too late", At: ruleTestStart, Ended: left, LeftAt: left},
		{Trace: "stayed", At: ruleTestStart, Ended: left, AnswerCount: 1, Served: true},
	}
	byTrace := map[string][]testserver.Arrival{}
	for trace, at := range map[string]int{"on its way": 150, "too late": 151, "stayed": 400} {
		byTrace[trace] = []testserver.Arrival{
			arrivalOf(trace, "hall-a", testserver.IdempotentWithKey, 10, 20),
			arrivalOf(trace, "hall-a", testserver.IdempotentWithKey, at, at+10),
		}
	}
	checker := &ruleChecker{verdict: &Verdict{Rules: map[string]int{}, Figures: map[string]float64{}}}
	checker.checkAnswers(attempts, func(testserver.Attempt) bool { return false })
	checker.checkClientsLeft(attempts, byTrace)
	if v := checker.verdict; v.Rules[ruleClientsLeft] != 1 || v.Rules[ruleAnswers] != 0 || v.Figures[figureClientsLeft] != 2 {
		t.Errorf("got rules %v, figures %v; want 1 violation of %s and 2 clients that left", v.Rules, v.Figures, ruleClientsLeft)
	}
}
