package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/testserver"
)

// newRuleChecker returns a checker with an empty verdict.
func newRuleChecker() *ruleChecker {
	return &ruleChecker{verdict: &Verdict{Rules: map[string]int{}, Figures: map[string]float64{}}}
}

// The check must find a request that is routed with an older version than one with which its instance had answered.
func TestVersionOrderCheck(t *testing.T) {
	at := millisecondsAfterStart
	attempt := func(trace, instance string, from, to int) testserver.Attempt {
		return testserver.Attempt{Trace: trace, Instance: instance, At: at(from), Ended: at(to), AnswerCount: 1,
			Served: true, Status: 200}
	}
	for name, c := range map[string]struct {
		attempts   []testserver.Attempt
		versions   map[string]int // of the attempts, by trace
		violations int
	}{
		"newer after older": {[]testserver.Attempt{attempt("a", "x", 0, 10), attempt("b", "x", 20, 30)},
			map[string]int{"a": 1, "b": 2}, 0},
		"older after newer": {[]testserver.Attempt{attempt("a", "x", 0, 10), attempt("b", "x", 20, 30)},
			map[string]int{"a": 2, "b": 1}, 1},
		"at another instance": {[]testserver.Attempt{attempt("a", "x", 0, 10), attempt("b", "y", 20, 30)},
			map[string]int{"a": 2, "b": 1}, 0},
		"begun before the answer": {[]testserver.Attempt{attempt("a", "x", 0, 10), attempt("b", "x", 5, 30)},
			map[string]int{"a": 2, "b": 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			byTrace := map[string][]testserver.Arrival{}
			for trace, version := range c.versions {
				byTrace[trace] = []testserver.Arrival{{Trace: trace, Version: version}}
			}
			checker := newRuleChecker()
			checkVersionOrder(checker, c.attempts, byTrace)
			if checker.verdict.Rules["versions"] != c.violations {
				t.Errorf("unexpected number of violations: %v", checker.verdict.Rules)
			}
		})
	}
}

// The check must find results of operators' operations that contradict the history or the real-time order.
func TestConfigChangeCheck(t *testing.T) {
	at := millisecondsAfterStart
	history := []clusterconfig.HistoryRecord{{Version: 1, ID: "a"}, {Version: 2, ID: "b"}}
	change := func(id string, from, to int, version uint64) configOperation {
		return configOperation{id: id, called: at(from), returned: at(to), version: version, isApplied: true,
			isOutcomeKnown: true}
	}
	read := func(id string, from, to int, version uint64) configOperation {
		return configOperation{id: id, called: at(from), returned: at(to), version: version, isOutcomeKnown: true}
	}
	for name, c := range map[string]struct {
		changes    []configOperation
		history    []clusterconfig.HistoryRecord
		violations int
	}{
		"in order": {[]configOperation{change("a", 0, 1, 1), change("b", 2, 3, 2), read("r", 4, 5, 2)},
			history, 0},
		"lost":                          {[]configOperation{change("c", 0, 1, 2)}, history, 1},
		"answered with another version": {[]configOperation{change("a", 0, 1, 2)}, history, 1},
		"stale read":                    {[]configOperation{change("b", 0, 1, 2), read("r", 2, 3, 1)}, history, 1},
		"against real time":             {[]configOperation{change("b", 0, 1, 2), change("a", 2, 3, 1)}, history, 1},
		"at once":                       {[]configOperation{change("b", 0, 4, 2), change("a", 2, 3, 1)}, history, 0},
		"twice in the history":          {nil, append(history, clusterconfig.HistoryRecord{Version: 3, ID: "a"}), 1},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newRuleChecker()
			(&clusterRun{configOperations: c.changes}).checkConfigOperations(checker, c.history)
			if checker.verdict.Rules["changes"] != c.violations {
				t.Errorf("unexpected number of violations: %v: %v", checker.verdict.Rules, checker.verdict.Examples)
			}
		})
	}
}

// An instance must count as down after markDown and no longer after markUp.
func TestMemberDownTime(t *testing.T) {
	m := &clusterInstance{}
	m.markDown()
	if !m.wasDown(time.Now(), time.Now().Add(time.Second)) {
		t.Error("wasDown is false for an instance that is down")
	}
	if m.markUp(); m.wasDown(time.Now().Add(time.Second), time.Now().Add(2*time.Second)) {
		t.Error("wasDown is true for an instance that is up")
	}
}

// The check must compare a charge with the version that the request was matched with. A record may be missing only if
// its instance was killed before it had to have written it.
func TestChargeChecks(t *testing.T) {
	began := time.Now().Add(-time.Minute)
	price := changingPrice(3, "getDayReport", 5) // in force from version 2 on
	charged := func(operation string, version, units int) string {
		return fmt.Sprintf(`{"trace":"a","operation":%q,"version":%d,"units":%d,"sent":true}`, operation, version, units)
	}
	for name, c := range map[string]struct {
		log          string // access log of the instance
		killed       []time.Time
		violatedRule string // empty for none
	}{
		"right":               {charged("getDayReport", 3, price), nil, ""},
		"another price":       {charged("getDayReport", 3, price+1), nil, "units"},
		"another version":     {charged("getDayReport", 2, price), nil, "versions"},
		"no such version":     {charged("getDayReport", 9, price), nil, "versions"},
		"another operation":   {charged("getSlot", 3, price), nil, "operations"},
		"not charged":         {"", nil, "units"},
		"killed meanwhile":    {"", []time.Time{began.Add(100 * time.Millisecond)}, ""},
		"killed long after":   {"", []time.Time{began.Add(10 * time.Second)}, "units"},
		"killed before it":    {"", []time.Time{began.Add(-time.Second)}, "units"},
		"half a line of it":   {`{"trace":"a","oper`, nil, "units"},
		"answered twice over": {strings.Repeat(charged("getDayReport", 3, price)+"\n", 2), nil, "one_answer"},
	} {
		t.Run(name, func(t *testing.T) {
			checker := checkOneCharge(t, began, c.log, &clusterInstance{id: 1, killed: c.killed})
			for _, rule := range []string{"units", "versions", "operations", "one_answer"} {
				if (checker.verdict.Rules[rule] > 0) != (rule == c.violatedRule) {
					t.Errorf("unexpected violations: %v", checker.verdict.Rules)
				}
			}
		})
	}
}

// checkOneCharge checks the charge of trace a, a request for a day's report that was matched with version 3. log is the
// access log of its instance m, and may lack the record.
func checkOneCharge(t *testing.T, began time.Time, log string, m *clusterInstance) *ruleChecker {
	t.Helper()
	history := []clusterconfig.HistoryRecord{
		{Version: 1, Reason: variantReason(1)},
		{Version: 2, Reason: variantReason(3)},
		{Version: 3, Reason: "a plan"},
	}
	byTrace := map[string][]testserver.Arrival{"a": {{Trace: "a", Operation: "getDayReport", Units: 5, Version: 3}}}
	attempts := []testserver.Attempt{{Trace: "a", Instance: "x", At: began, Ended: began.Add(time.Millisecond)}}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "access-1.jsonl"), []byte(log+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	checker := newRuleChecker()
	run := &clusterRun{dir: dir, members: []*clusterInstance{m}}
	run.checkCharges(checker, byTrace, attempts, map[string]*clusterInstance{"x": m}, history)
	return checker
}
