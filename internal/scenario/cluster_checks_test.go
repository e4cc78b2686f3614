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

// newRuleChecker returns a checker of an empty verdict.
func newRuleChecker() *ruleChecker {
	return &ruleChecker{v: &Verdict{Rules: map[string]int{}, Figures: map[string]float64{}}}
}

// No instance may route with an older version than one that it has answered on.
func TestVersionOrderCheck(t *testing.T) {
	at := millisecondsAfterStart
	attempt := func(trace, instance string, from, to int) testserver.Attempt {
		return testserver.Attempt{Trace: trace, Instance: instance, At: at(from), Ended: at(to), AnswerCount: 1,
			Served: true, Status: 200}
	}
	for name, c := range map[string]struct {
		attempts []testserver.Attempt
		versions map[string]int // of the attempts, by trace
		broken   int
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
			j := newRuleChecker()
			checkVersionOrder(j, c.attempts, byTrace)
			if j.v.Rules["versions"] != c.broken {
				t.Errorf("%v", j.v.Rules)
			}
		})
	}
}

// What operators were answered must agree with the history and with the order of real time.
func TestConfigChangeCheck(t *testing.T) {
	at := millisecondsAfterStart
	history := []clusterconfig.HistoryRecord{{Version: 1, ID: "a"}, {Version: 2, ID: "b"}}
	change := func(id string, from, to int, version uint64) configChange {
		return configChange{id: id, called: at(from), returned: at(to), version: version, isApplied: true, isKnown: true}
	}
	read := func(id string, from, to int, version uint64) configChange {
		return configChange{id: id, called: at(from), returned: at(to), version: version, isKnown: true}
	}
	for name, c := range map[string]struct {
		changes []configChange
		history []clusterconfig.HistoryRecord
		broken  int
	}{
		"in order": {[]configChange{change("a", 0, 1, 1), change("b", 2, 3, 2), read("r", 4, 5, 2)},
			history, 0},
		"lost":                          {[]configChange{change("c", 0, 1, 2)}, history, 1},
		"answered with another version": {[]configChange{change("a", 0, 1, 2)}, history, 1},
		"stale read":                    {[]configChange{change("b", 0, 1, 2), read("r", 2, 3, 1)}, history, 1},
		"against real time":             {[]configChange{change("b", 0, 1, 2), change("a", 2, 3, 1)}, history, 1},
		"at once":                       {[]configChange{change("b", 0, 4, 2), change("a", 2, 3, 1)}, history, 0},
		"twice in the history":          {nil, append(history, clusterconfig.HistoryRecord{Version: 3, ID: "a"}), 1},
	} {
		t.Run(name, func(t *testing.T) {
			j := newRuleChecker()
			(&clusterRun{configChanges: c.changes}).checkConfigChanges(j, c.history)
			if j.v.Rules["changes"] != c.broken {
				t.Errorf("%v %v", j.v.Rules, j.v.Examples)
			}
		})
	}
}

// A member is excused from answering while it is down, and then alone.
func TestMemberDownTime(t *testing.T) {
	m := &member{}
	m.markDown()
	if !m.wasDown(time.Now(), time.Now().Add(time.Second)) {
		t.Error("a member that is down is held to answer")
	}
	if m.markUp(); m.wasDown(time.Now().Add(time.Second), time.Now().Add(2*time.Second)) {
		t.Error("a member that is up is excused")
	}
}

// What an instance charged is held against the version that it was matched with; only what
// a killed instance can't have written is missed.
func TestChargeChecks(t *testing.T) {
	began := time.Now().Add(-time.Minute)
	price := changingPrice(3, "getDayReport", 5) // in force from version 2 on
	charged := func(operation string, version, units int) string {
		return fmt.Sprintf(`{"trace":"a","operation":%q,"version":%d,"units":%d,"sent":true}`, operation, version, units)
	}
	for name, c := range map[string]struct {
		log    string // of the instance
		killed []time.Time
		broken string // rule; empty: none
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
			j := checkOneCharge(t, began, c.log, &member{id: 1, killed: c.killed})
			for _, rule := range []string{"units", "versions", "operations", "one_answer"} {
				if (j.v.Rules[rule] > 0) != (rule == c.broken) {
					t.Errorf("%v", j.v.Rules)
				}
			}
		})
	}
}

// checkOneCharge checks the charge of trace a, a request of a day's report that was matched with version 3. Member m
// has it in its access log or not.
func checkOneCharge(t *testing.T, began time.Time, log string, m *member) *ruleChecker {
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
	j := newRuleChecker()
	run := &clusterRun{dir: dir, members: []*member{m}}
	run.checkCharges(j, byTrace, attempts, map[string]*member{"x": m}, history)
	return j
}
