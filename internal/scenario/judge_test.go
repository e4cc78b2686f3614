package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/deploy"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/testserver"
)

// A scenario whose rules are broken on purpose fails: a booking is sent to both sites
// past the gateway.
func TestBrokenOnPurpose(t *testing.T) {
	t.Parallel()
	v, err := Run(context.Background(), Options{Scenario: "calm", For: 2 * time.Second, Seed: 7,
		breakRule: func(w *environment) {
			for _, h := range w.halls {
				for _, addr := range h.Addrs()[:1] { // one server of each site
					body := strings.NewReader(`{"installers":2}`)
					r, err := http.NewRequest("POST", "http://"+addr+"/v1/visits", body)
					if err != nil {
						t.Error(err)
						return
					}
					r.Header.Set("Idempotency-Key", "twice")
					r.Header.Set("X-Trace-Id", "past-"+h.Name)
					resp, err := http.DefaultClient.Do(r)
					if err != nil {
						t.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			http.DefaultClient.CloseIdleConnections()
		}})
	if err != nil {
		t.Fatal(err)
	}
	if v.OK || v.Duplicates != 1 || v.Rules["no_effect_twice"] != 1 || v.Rules["units"] < 2 ||
		v.UnitsDeclared-v.UnitsCounted != 4 {
		t.Errorf("%+v", v)
	}
}

// ruleTestStart is when the recorded requests of the cases began.
var ruleTestStart = time.Now()

// arrivalOf is an attempt that ran from and to so many milliseconds after ruleTestStart.
func arrivalOf(trace, site, effect string, from, to int) testserver.Arrival {
	return testserver.Arrival{Hall: site, Server: "s", Operation: "op", Effect: effect, Trace: trace,
		Key: "k-" + trace, Licensee: "kubwa-0", Version: 1, Units: 2,
		At: millisecondsAfterStart(from), Ended: millisecondsAfterStart(to), Ran: true}
}

func millisecondsAfterStart(ms int) time.Time {
	return ruleTestStart.Add(time.Duration(ms) * time.Millisecond)
}

// ruleCase is a request as the sites, its instance and its client recorded it.
type ruleCase struct {
	name string
	as   []testserver.Arrival
	rec  gateway.RequestRecord
	try  testserver.Try
	want string // rule; empty: none
}

// ruleCases are requests that keep all rules, or break one.
func ruleCases() []ruleCase {
	ran, at := arrivalOf, millisecondsAfterStart
	effected := func(a testserver.Arrival) testserver.Arrival { a.Effected = true; return a }
	unseen := func(a testserver.Arrival) testserver.Arrival { a.Ran = false; return a }
	draining := func(a testserver.Arrival, d time.Duration) testserver.Arrival { a.Draining = d; return a }
	rec := gateway.RequestRecord{Trace: "a", Operation: "op", Version: 1, Units: 2, Sent: true, Attempts: 2}
	change := func(f func(*gateway.RequestRecord)) gateway.RequestRecord { r := rec; f(&r); return r }
	try := testserver.Try{Trace: "a", At: at(0), Ended: at(30), Answers: 1, Status: 200, Served: true}
	return []ruleCase{
		{"one attempt", []testserver.Arrival{effected(ran("a", "A", "unsafe", 0, 10))}, rec, try, ""},
		{"safe, again elsewhere", []testserver.Arrival{ran("a", "A", "safe", 0, 10), ran("a", "B", "safe", 10, 20)},
			rec, try, ""},
		{"two at once", []testserver.Arrival{ran("a", "A", "safe", 0, 100), ran("a", "B", "safe", 50, 120)}, rec, try,
			"no_effect_twice"},
		{"unsafe, twice", []testserver.Arrival{effected(ran("a", "A", "unsafe", 0, 10)),
			ran("a", "A", "unsafe", 20, 30)}, rec, try, "no_effect_twice"},
		{"unsafe, never ran first", []testserver.Arrival{unseen(ran("a", "A", "unsafe", 0, 10)),
			effected(ran("a", "A", "unsafe", 20, 30))}, rec, try, ""},
		{"keyed, same hall", []testserver.Arrival{effected(ran("a", "A", "keyed", 0, 10)),
			ran("a", "A", "keyed", 20, 30)}, rec, try, ""},
		{"keyed, other hall", []testserver.Arrival{ran("a", "A", "keyed", 0, 10),
			effected(ran("a", "B", "keyed", 20, 30))}, rec, try, "no_effect_twice"},
		{"keyed, too late", []testserver.Arrival{ran("a", "A", "keyed", 0, 10), ran("a", "A", "keyed", 4100, 4200)},
			rec, try, "no_effect_twice"},
		{"keyed, effect twice", []testserver.Arrival{effected(ran("a", "A", "keyed", 0, 10)),
			effected(ran("a", "A", "keyed", 20, 30))}, rec, try, "no_effect_twice"},
		{"to one that drains", []testserver.Arrival{draining(ran("a", "A", "safe", 0, 10), 310*time.Millisecond)},
			rec, try, "drains"},
		{"within the grace", []testserver.Arrival{draining(ran("a", "A", "safe", 0, 10), 240*time.Millisecond)}, rec,
			try, ""},
		{"charged too little", []testserver.Arrival{ran("a", "A", "safe", 0, 10)},
			change(func(r *gateway.RequestRecord) { r.Units = 1 }), try, "units"},
		{"not charged", []testserver.Arrival{ran("a", "A", "safe", 0, 10)},
			change(func(r *gateway.RequestRecord) { r.Sent = false }), try, "units"},
		{"charged for nothing", nil, rec, try, "units"},
		{"an unknown attempt", []testserver.Arrival{ran("a", "A", "safe", 0, 10), ran("a", "A", "safe", 20, 30)},
			change(func(r *gateway.RequestRecord) { r.Attempts = 1 }), try, "units"},
		{"another operation", []testserver.Arrival{ran("a", "A", "safe", 0, 10)},
			change(func(r *gateway.RequestRecord) { r.Operation = "cheap" }), try, "operations"},
		{"another version", []testserver.Arrival{ran("a", "A", "safe", 0, 10)},
			change(func(r *gateway.RequestRecord) { r.Version = 2 }), try, "versions"},
		{"no answer", []testserver.Arrival{ran("a", "A", "safe", 0, 10)}, rec, testserver.Try{Trace: "a", Cut: true},
			"one_answer"},
		{"two answers", []testserver.Arrival{ran("a", "A", "safe", 0, 10)}, rec,
			testserver.Try{Trace: "a", Answers: 2, Status: 200, Served: true}, "one_answer"},
		{"another's answer", []testserver.Arrival{ran("a", "A", "safe", 0, 10)}, rec,
			testserver.Try{Trace: "a", Answers: 1, Status: 200, Served: true, Wrong: "x"}, "one_answer"},
		{"a late answer", []testserver.Arrival{ran("a", "A", "safe", 0, 10)}, rec,
			testserver.Try{Trace: "a", At: at(0), Ended: at(2100), Answers: 1, Status: 502}, "one_answer"},
		{"turned down", []testserver.Arrival{ran("a", "A", "safe", 0, 10)}, rec,
			testserver.Try{Trace: "a", Answers: 1, Status: 404}, "operations"},
	}
}

// Each rule's check finds what it is for, and finds nothing where the rule was kept.
func TestChecksFind(t *testing.T) {
	for _, c := range ruleCases() {
		j := &ruleChecker{&Verdict{Rules: map[string]int{}}}
		byTrace := map[string][]testserver.Arrival{}
		if len(c.as) > 0 {
			byTrace["a"] = c.as
		}
		j.checkAnswers([]testserver.Try{c.try}, func(testserver.Try) bool { return false })
		j.checkEffects(c.as, byTrace)
		j.checkCosts(byTrace, map[string]gateway.RequestRecord{"a": c.rec})
		for rule, n := range j.v.Rules {
			if rule != c.want && n > 0 {
				t.Errorf("%s: %v", c.name, j.v.Examples)
			}
		}
		if c.want != "" && j.v.Rules[c.want] == 0 {
			t.Errorf("%s: %s is not found broken", c.name, c.want)
		}
	}
	checkHardLimitsFind(t)
}

// checkHardLimitsFind checks the rule of hard limits on either side of one.
func checkHardLimitsFind(t *testing.T) {
	t.Helper()
	// The ceiling of kubwa: 300 at once and 180 a second, with a slack of 57.
	for units, want := range map[int]bool{350: false, 370: true} {
		j := &ruleChecker{&Verdict{Rules: map[string]int{}}}
		byTrace := map[string][]testserver.Arrival{}
		for i := range units / 2 {
			name := fmt.Sprint("t", i)
			byTrace[name] = []testserver.Arrival{arrivalOf(name, "A", "safe", 0, 10)}
		}
		if j.checkHardLimits(byTrace); (j.v.Rules["ceilings"] > 0) != want {
			t.Errorf("%d units at once: %d violations", units, j.v.Rules["ceilings"])
		}
	}
}

// No spelling of a path reaches a site as another operation than the one charged: a site
// that decodes, cleans and cuts whatever it can finds the same one.
func FuzzSpelling(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	tab, _, err := openapi.Compile("booking.yaml", deploy.Booking, (&gateway.Config{Classes: classes()}).Options())
	if err != nil {
		f.Fatal(err)
	}
	rs := routes(sameUnits)
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		found := 0
		for range 50 {
			r := rs[rng.IntN(len(rs))]
			path := r.Template
			for strings.Contains(path, "{") {
				i, j := strings.IndexByte(path, '{'), strings.IndexByte(path, '}')
				path = path[:i] + []string{"7", "new", "batch", "search", "x.csv", "sheet.pdf", "a b", "..",
					"visits"}[rng.IntN(9)] + path[j+1:]
			}
			for range rng.IntN(3) {
				path = respell(rng, path)
			}
			target := path + "?days=3"
			if tab.CheckPath(path) != "" {
				continue
			}
			op, _, _ := tab.Match(r.Method, path)
			if op == nil {
				continue
			}
			found++
			hall := testserver.Lookup(rs, r.Method, target, http.Header{})
			if hall == nil || hall.Operation != op.ID {
				t.Fatalf("%s %s is charged as %s and reaches the hall as %+v", r.Method, path, op.ID, hall)
			}
		}
		if found == 0 {
			t.Errorf("no path was found")
		}
	})
}

// respell writes a path in another way, which a site may or may not take for the same.
func respell(rng *rand.Rand, path string) string {
	i := 1 + rng.IntN(len(path)-1)
	switch rng.IntN(12) {
	case 0:
		return path[:i] + fmt.Sprintf("%%%02X", path[i]) + path[i+1:]
	case 1:
		return path[:i] + fmt.Sprintf("%%%02x", path[i]) + path[i+1:]
	case 2:
		return path[:i] + "/" + path[i:]
	case 3:
		return path[:i] + "/./" + path[i:]
	case 4:
		return path[:i] + "/../" + path[i:]
	case 5:
		return path[:i] + ";x=1" + path[i:]
	case 6:
		return path + "/"
	case 7:
		return path[:i] + "%2F" + path[i:]
	case 8:
		return path[:i] + "\\" + path[i:]
	case 9:
		return path[:i] + "%252F" + path[i:]
	case 10:
		return path[:i] + strings.ToUpper(path[i:])
	}
	return path + "/.."
}

// The checks of scenarios with processes find what they are for.
func TestClusterJudge(t *testing.T) {
	t0 := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	try := func(trace, instance string, from, to int) testserver.Try {
		return testserver.Try{Trace: trace, Instance: instance, At: at(from), Ended: at(to), Answers: 1, Served: true,
			Status: 200}
	}
	arrived := func(trace string, version int) []testserver.Arrival {
		return []testserver.Arrival{{Trace: trace, Version: version}}
	}
	for name, c := range map[string]struct {
		tries    []testserver.Try
		versions map[string]int
		broken   int
	}{
		"newer after older": {[]testserver.Try{try("a", "x", 0, 10), try("b", "x", 20, 30)},
			map[string]int{"a": 1, "b": 2}, 0},
		"older after newer": {[]testserver.Try{try("a", "x", 0, 10), try("b", "x", 20, 30)},
			map[string]int{"a": 2, "b": 1}, 1},
		"at another instance": {[]testserver.Try{try("a", "x", 0, 10), try("b", "y", 20, 30)},
			map[string]int{"a": 2, "b": 1}, 0},
		"begun before the answer": {[]testserver.Try{try("a", "x", 0, 10), try("b", "x", 5, 30)},
			map[string]int{"a": 2, "b": 1}, 0},
	} {
		j := &ruleChecker{&Verdict{Rules: map[string]int{}}}
		by := map[string][]testserver.Arrival{}
		for trace, v := range c.versions {
			by[trace] = arrived(trace, v)
		}
		if checkVersionOrder(j, c.tries, by); j.v.Rules["versions"] != c.broken {
			t.Errorf("%s: %v", name, j.v.Rules)
		}
	}
	history := []clusterconfig.HistoryRecord{{Version: 1, ID: "a"}, {Version: 2, ID: "b"}}
	asked := func(id string, from, to int, version uint64, applied bool) configChange {
		return configChange{id: id, call: at(from), ret: at(to), version: version, applied: applied, known: true}
	}
	for name, c := range map[string]struct {
		orders  []configChange
		history []clusterconfig.HistoryRecord
		broken  int
	}{
		"in order": {[]configChange{asked("a", 0, 1, 1, true), asked("b", 2, 3, 2, true),
			asked("r", 4, 5, 2, false)}, history, 0},
		"lost":               {[]configChange{asked("c", 0, 1, 2, true)}, history, 1},
		"told wrong":         {[]configChange{asked("a", 0, 1, 2, true)}, history, 1},
		"stale read":         {[]configChange{asked("b", 0, 1, 2, true), asked("r", 2, 3, 1, false)}, history, 1},
		"against real time":  {[]configChange{asked("b", 0, 1, 2, true), asked("a", 2, 3, 1, true)}, history, 1},
		"at once":            {[]configChange{asked("b", 0, 4, 2, true), asked("a", 2, 3, 1, true)}, history, 0},
		"twice in the chain": {nil, append(history, clusterconfig.HistoryRecord{Version: 3, ID: "a"}), 1},
	} {
		j := &ruleChecker{&Verdict{Rules: map[string]int{}}}
		if (&clusterRun{orders: c.orders}).checkConfigChanges(j, c.history); j.v.Rules["changes"] != c.broken {
			t.Errorf("%s: %v %v", name, j.v.Rules, j.v.Examples)
		}
	}
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
func TestClusterCharges(t *testing.T) {
	t0 := time.Now().Add(-time.Minute)
	history := []clusterconfig.HistoryRecord{{Version: 1, Reason: variantWhy(1)}, {Version: 2, Reason: variantWhy(3)},
		{Version: 3, Reason: "a plan"}}
	by := map[string][]testserver.Arrival{"a": {{Trace: "a", Operation: "getDayReport", Units: 5, Version: 3}}}
	tries := []testserver.Try{{Trace: "a", Instance: "x", At: t0, Ended: t0.Add(time.Millisecond)}}
	right := changingPrice(3, "getDayReport", 5)
	record := func(operation string, version, units int) string {
		return fmt.Sprintf(`{"trace":"a","operation":%q,"version":%d,"units":%d,"sent":true}`,
			operation, version, units)
	}
	for name, c := range map[string]struct {
		line   string
		killed []time.Time
		broken string
	}{
		"right":           {record("getDayReport", 3, right), nil, ""},
		"another price":   {record("getDayReport", 3, right+1), nil, "units"},
		"another version": {record("getDayReport", 2, right), nil, "versions"},
		"no such version": {record("getDayReport", 9, right), nil, "versions"},
		"another operation": {fmt.Sprintf(`{"trace":"a","operation":"getSlot","version":3,"units":%d,"sent":true}`,
			right), nil, "operations"},
		"not charged":         {"", nil, "units"},
		"killed meanwhile":    {"", []time.Time{t0.Add(100 * time.Millisecond)}, ""},
		"killed long after":   {"", []time.Time{t0.Add(10 * time.Second)}, "units"},
		"killed before it":    {"", []time.Time{t0.Add(-time.Second)}, "units"},
		"half a line of it":   {`{"trace":"a","oper`, nil, "units"},
		"answered twice over": {strings.Repeat(record("getDayReport", 3, right)+"\n", 2), nil, "one_answer"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "access-1.jsonl"), []byte(c.line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		m := &member{id: 1, killed: c.killed}
		j := &ruleChecker{&Verdict{Rules: map[string]int{}, Figures: map[string]float64{}}}
		(&clusterRun{dir: dir, members: []*member{m}}).checkCharges(j, by, tries, map[string]*member{"x": m}, history)
		for _, rule := range []string{"units", "versions", "operations", "one_answer"} {
			if (j.v.Rules[rule] > 0) != (rule == c.broken) {
				t.Errorf("%s: %v", name, j.v.Rules)
			}
		}
	}
}
