package scenario

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/testserver"
)

// Verdict is what came of a scenario. It is also its JSON.
type Verdict struct {
	Scenario      string             `json:"scenario"`
	Seed          uint64             `json:"seed"`
	OK            bool               `json:"ok"`
	Rules         map[string]int     `json:"rules"` // violations
	Requests      int                `json:"requests"`
	Served        int                `json:"served"`
	Refused       int                `json:"refused"`
	Failed        int                `json:"failed"`
	UnitsDeclared int                `json:"units_declared"` // by what the sites read of each request that reached them
	UnitsCounted  int                `json:"units_counted"`  // by the instances
	Duplicates    int                `json:"duplicates"`
	Unanswered    int                `json:"unanswered"`
	Figures       map[string]float64 `json:"figures"`
	Examples      []string           `json:"examples,omitempty"` // of violations
	Operations    []OperationFigures `json:"operations"`
}

// OperationFigures are those of one operation.
type OperationFigures struct {
	Operation string `json:"operation"`
	Sent      int    `json:"sent"` // requests that reached a site
	Attempts  int    `json:"attempts"`
	Declared  int    `json:"units_declared"`
	Counted   int    `json:"units_counted"`
}

// Tolerances of the rules: what a record's time may be off.
const (
	inFlightSlack = 25 * time.Millisecond // until a site sees that a connection has ended
	drainGrace    = 250*time.Millisecond + 50*time.Millisecond
	lateSlack     = 60 * time.Millisecond
	windowSlack   = 50 * time.Millisecond
	maxExamples   = 12
)

// ruleChecker checks the rules of a run and counts their violations in its verdict.
type ruleChecker struct {
	v *Verdict
}

// violation counts a violation of a rule, and keeps the first as examples.
func (j *ruleChecker) violation(rule, format string, args ...any) {
	j.v.Rules[rule]++
	if len(j.v.Examples) < maxExamples {
		j.v.Examples = append(j.v.Examples, rule+": "+fmt.Sprintf(format, args...))
	}
}

// checkRules holds the account of the sites and of the clients against the instances' own.
func (w *environment) checkRules(tries []testserver.Attempt, began time.Time) *Verdict {
	v := w.newVerdict()
	j := &ruleChecker{v}
	arrivals, byTrace := w.arrivals()
	records := map[string]gateway.RequestRecord{}
	for _, r := range w.records {
		if _, twice := records[r.Trace]; twice {
			j.violation("one_answer", "%s was answered twice by the instances", r.Trace)
		}
		records[r.Trace] = r
	}
	j.checkAnswers(tries, func(testserver.Attempt) bool { return false })
	j.checkEffects(arrivals, byTrace)
	j.checkCosts(byTrace, records)
	w.checkSites(j)
	j.checkHardLimits(byTrace)
	w.checkCounters(j)
	w.reportNotes(j)
	j.addFigures(tries, len(arrivals), time.Since(began))
	v.judge()
	return v
}

// newVerdict begins a verdict with the rules of every scenario and those given.
func (w *environment) newVerdict(rules ...string) *Verdict {
	v := &Verdict{
		Scenario: w.scenario.Name,
		Seed:     w.options.Seed,
		Figures:  map[string]float64{},
		Rules: map[string]int{
			"one_answer": 0, "no_effect_twice": 0, "drains": 0, "cold_servers": 0, "ceilings": 0,
			"units": 0, "operations": 0, "versions": 0, "scenario": 0,
		},
	}
	for _, rule := range rules {
		v.Rules[rule] = 0
	}
	return v
}

// judge sets whether every rule was kept.
func (v *Verdict) judge() {
	v.OK = true
	for _, violations := range v.Rules {
		v.OK = v.OK && violations == 0
	}
}

// arrivals are the requests that reached the sites, in the order of their times, and the same by trace.
func (w *environment) arrivals() (all []testserver.Arrival, byTrace map[string][]testserver.Arrival) {
	all = w.ledger.Arrivals()
	slices.SortStableFunc(all, func(a, b testserver.Arrival) int { return a.At.Compare(b.At) })
	byTrace = map[string][]testserver.Arrival{}
	for _, a := range all {
		byTrace[a.Trace] = append(byTrace[a.Trace], a)
	}
	return all, byTrace
}

// checkSites reports requests that no operation is for, and servers that were overloaded while they warmed up.
func (w *environment) checkSites(j *ruleChecker) {
	for _, s := range w.ledger.Strays() {
		j.violation("operations", "the halls know no operation for %s", s)
	}
	for _, s := range w.ledger.Collapsed() {
		j.violation("cold_servers", "%s was pushed over", s)
	}
}

// reportNotes reports what the scenario itself found wrong.
func (w *environment) reportNotes(j *ruleChecker) {
	for _, n := range w.notes {
		j.violation("scenario", "%s", n)
	}
}

// checkAnswers checks that each try of a client had one whole answer, its own and in time. A try
// without one is excused where its instance was down.
func (j *ruleChecker) checkAnswers(tries []testserver.Attempt, excused func(testserver.Attempt) bool) {
	for _, t := range tries {
		j.v.Requests++
		switch {
		case t.Served:
			j.v.Served++
		case t.Status == 429 || t.Status == 503:
			j.v.Refused++
		default:
			j.v.Failed++
		}
		switch {
		case t.AnswerCount == 0 && excused(t):
		case t.AnswerCount == 0:
			j.v.Unanswered++
			j.violation("one_answer", "%s (%s) had no answer", t.Trace, t.Operation)
		case t.AnswerCount > 1:
			j.violation("one_answer", "%s (%s) had more than one answer", t.Trace, t.Operation)
		case t.Mismatch != "":
			j.violation("one_answer", "%s: %s", t.Trace, t.Mismatch)
		case t.Ended.Sub(t.At) > 2*time.Second+lateSlack:
			j.violation("one_answer", "%s was answered after %v", t.Trace, t.Ended.Sub(t.At))
		}
		if t.Status == 400 || t.Status == 404 || t.Status == 405 || t.Status == 403 {
			j.violation("operations", "%s (%s) was turned down with %d", t.Trace, t.Operation, t.Status)
		}
	}
}

// checkEffects checks what the attempts of each request did: no effect twice, repeats only
// within their class, never two attempts at once, drains kept.
func (j *ruleChecker) checkEffects(arrivals []testserver.Arrival, byTrace map[string][]testserver.Arrival) {
	done := map[string]string{}
	for _, a := range arrivals {
		if a.Draining > drainGrace {
			j.violation("drains", "%s came to %s %v after it drained", a.Trace, a.Server, a.Draining)
		}
		if !a.Effected || a.Effect == "safe" {
			continue
		}
		name := a.Trace
		if a.Effect == "keyed" {
			name = a.Key
		}
		if before, twice := done[name]; twice {
			j.v.Duplicates++
			j.violation("no_effect_twice", "%s (%s) had its effect at %s and at %s", name, a.Operation, before,
				a.Site+"/"+a.Server)
		}
		done[name] = a.Site + "/" + a.Server
	}
	for trace, as := range byTrace {
		var ran *testserver.Arrival // the first that may have run
		for i := range as {
			a := &as[i]
			if i > 0 && a.At.Add(inFlightSlack).Before(as[i-1].Ended) {
				j.violation("no_effect_twice", "%s had two attempts out for %v", trace, as[i-1].Ended.Sub(a.At))
			}
			if ran != nil {
				switch {
				case a.Effect == "unsafe":
					j.violation("no_effect_twice", "%s (%s) is unsafe, may have run and was sent again", trace,
						a.Operation)
				case a.Effect == "keyed" && a.Site != ran.Site:
					j.violation("no_effect_twice", "%s (%s) may have run at %s and was sent to %s", trace,
						a.Operation, ran.Site, a.Site)
				case a.Effect == "keyed" && a.At.Sub(ran.At) > 4*time.Second+windowSlack:
					j.violation("no_effect_twice", "%s (%s) was sent again after %v", trace, a.Operation,
						a.At.Sub(ran.At))
				}
			}
			if ran == nil && a.Ran {
				ran = a
			}
		}
	}
}

// checkCosts checks that each request that reached a site was charged once, as the operation
// that the site saw, at the price of one version.
func (j *ruleChecker) checkCosts(byTrace map[string][]testserver.Arrival, records map[string]gateway.RequestRecord) {
	ops := map[string]*OperationFigures{}
	op := func(name string) *OperationFigures {
		if ops[name] == nil {
			ops[name] = &OperationFigures{Operation: name}
		}
		return ops[name]
	}
	for trace, as := range byTrace {
		first := as[0]
		f := op(first.Operation)
		f.Sent++
		f.Attempts += len(as)
		f.Declared += first.Units
		j.v.UnitsDeclared += first.Units
		r, ok := records[trace]
		if !ok || !r.Sent {
			j.violation("units", "%s (%s) reached %s and was charged by no instance", trace, first.Operation,
				first.Site)
			continue
		}
		if r.Operation != first.Operation {
			j.violation("operations", "%s was charged as %s and reached %s as %s", trace, r.Operation, first.Site,
				first.Operation)
		}
		if r.Units != first.Units {
			j.violation("units", "%s (%s, version %d) was charged %d units; %d were declared", trace, r.Operation,
				r.Version, r.Units, first.Units)
		}
		if r.Attempts < len(as) {
			j.violation("units", "%s: the instance knows of %d attempts of %d", trace, r.Attempts, len(as))
		}
		for _, a := range as {
			if uint64(a.Version) != r.Version {
				j.violation("versions", "%s was matched with version %d and sent on with %d", trace, r.Version,
					a.Version)
			}
		}
	}
	for trace, r := range records {
		if r.Sent && byTrace[trace] == nil {
			j.violation("units", "%s (%s) was charged and reached no hall", trace, r.Operation)
		}
	}
	for _, f := range ops {
		j.v.Operations = append(j.v.Operations, *f)
	}
	slices.SortFunc(j.v.Operations, func(a, b OperationFigures) int { return cmp.Compare(a.Operation, b.Operation) })
}

// checkHardLimits runs the ceilings' stores over the sites' record. The slack is that of the
// plan or a tenth, whichever is more, and what the rate gives in 150 ms.
func (j *ruleChecker) checkHardLimits(byTrace map[string][]testserver.Arrival) {
	plans := map[string]string{}
	for _, l := range allLicensees() {
		plans[l.Name] = l.Plan
	}
	firsts := map[string][]testserver.Arrival{}
	for _, as := range byTrace {
		firsts[as[0].Licensee] = append(firsts[as[0].Licensee], as[0])
	}
	for name, as := range firsts {
		for _, p := range settings(0).Plans {
			if p.Name != plans[name] || p.HardLimitRate <= 0 {
				continue
			}
			slices.SortFunc(as, func(a, b testserver.Arrival) int { return a.At.Compare(b.At) })
			level, at := p.HardLimitBurst, as[0].At
			slack := math.Max(p.HardLimitSlack, 0.1*p.HardLimitBurst) + 0.15*p.HardLimitRate
			for _, a := range as {
				level = math.Min(level+p.HardLimitRate*a.At.Sub(at).Seconds(), p.HardLimitBurst) - float64(a.Units)
				if at = a.At; level < -slack {
					j.violation("ceilings", "%s is %.0f units over its ceiling", name, -level)
				}
			}
		}
	}
}

// checkCounters holds the instances' counters against the records and the sites.
func (w *environment) checkCounters(j *ruleChecker) {
	counted := map[string]int{}
	answers := map[string]int{}
	for _, in := range w.instances {
		in.EachOperation(func(op string, c *gateway.Counters) {
			counted[op] += int(c.Units.Load())
			j.v.UnitsCounted += int(c.Units.Load())
			answers["served"] += int(c.Served.Load())
			answers["refused"] += int(c.Refused.Load())
			answers["failed"] += int(c.Failed.Load())
		})
	}
	for i := range j.v.Operations {
		f := &j.v.Operations[i]
		if f.Counted = counted[f.Operation]; f.Counted != f.Declared {
			j.violation("units", "%s: %d units counted, %d declared", f.Operation, f.Counted, f.Declared)
		}
	}
	if j.v.UnitsCounted != j.v.UnitsDeclared {
		j.violation("units", "%d units counted in all, %d declared", j.v.UnitsCounted, j.v.UnitsDeclared)
	}
	if answers["served"] != j.v.Served || answers["refused"] != j.v.Refused || answers["failed"] != j.v.Failed {
		j.violation("one_answer", "the instances count %v; clients had %d served, %d refused, %d failed", answers,
			j.v.Served, j.v.Refused, j.v.Failed)
	}
}

// addFigures tells how well clients were served.
func (j *ruleChecker) addFigures(tries []testserver.Attempt, attempts int, took time.Duration) {
	var lat []float64
	for _, t := range tries {
		if t.Served {
			lat = append(lat, t.Ended.Sub(t.At).Seconds()*1000)
		}
	}
	slices.Sort(lat)
	at := func(q float64) float64 {
		if len(lat) == 0 {
			return 0
		}
		return math.Round(lat[min(int(q*float64(len(lat))), len(lat)-1)]*10) / 10
	}
	f := j.v.Figures
	f["seconds"] = math.Round(took.Seconds()*10) / 10
	f["attempts"] = float64(attempts)
	f["served_p50_ms"], f["served_p99_ms"] = at(0.5), at(0.99)
	if j.v.Requests > 0 {
		f["served_share"] = math.Round(float64(j.v.Served)/float64(j.v.Requests)*1000) / 1000
	}
}

// Print writes a verdict for a person.
func (v *Verdict) Print(w io.Writer) error {
	word := "every rule was kept"
	if !v.OK {
		word = "RULES WERE BROKEN"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d: %s\n\n", v.Scenario, v.Seed, word)
	fmt.Fprintf(&b, "requests %d: %d served, %d refused, %d failed, %d unanswered\n", v.Requests, v.Served, v.Refused,
		v.Failed, v.Unanswered)
	fmt.Fprintf(&b, "units %d declared, %d counted; %d duplicates\n", v.UnitsDeclared, v.UnitsCounted, v.Duplicates)
	fmt.Fprintf(&b, "served within %.1f ms (median), %.1f ms (99 in 100)\n\n", v.Figures["served_p50_ms"],
		v.Figures["served_p99_ms"])
	for _, name := range slices.Sorted(maps.Keys(v.Rules)) {
		fmt.Fprintf(&b, "%-18s %d violations\n", name, v.Rules[name])
	}
	for _, name := range slices.Sorted(maps.Keys(v.Figures)) {
		if !strings.HasPrefix(name, "served_") {
			fmt.Fprintf(&b, "%-24s %v\n", name, v.Figures[name])
		}
	}
	fmt.Fprintf(&b, "\n%-20s %8s %8s %10s %10s\n", "operation", "sent", "attempts", "declared", "counted")
	for _, o := range v.Operations {
		fmt.Fprintf(&b, "%-20s %8d %8d %10d %10d\n", o.Operation, o.Sent, o.Attempts, o.Declared, o.Counted)
	}
	for _, e := range v.Examples {
		fmt.Fprintf(&b, "\n%s", e)
	}
	_, err := io.WriteString(w, b.String()+"\n")
	return err
}
