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

// Verdict is the result of a run, and its JSON form.
type Verdict struct {
	Scenario      string             `json:"scenario"`
	Seed          uint64             `json:"seed"`
	OK            bool               `json:"ok"`
	Rules         map[string]int     `json:"rules"` // violations by rule
	Requests      int                `json:"requests"`
	Served        int                `json:"served"`
	Rejected      int                `json:"refused"`
	Failed        int                `json:"failed"`
	UnitsDeclared int                `json:"units_declared"` // read by the sites from the requests that reached them
	UnitsCounted  int                `json:"units_counted"`  // charged by the instances
	Duplicates    int                `json:"duplicates"`
	Unanswered    int                `json:"unanswered"`
	Figures       map[string]float64 `json:"figures"`
	Examples      []string           `json:"examples,omitempty"` // the first violations
	Evidence      []string           `json:"evidence,omitempty"` // of the first requests that violated a rule
	Operations    []OperationFigures `json:"operations"`
}

// OperationFigures are the totals of one operation.
type OperationFigures struct {
	Operation     string `json:"operation"`
	Sent          int    `json:"sent"` // requests that reached a site
	Attempts      int    `json:"attempts"`
	UnitsDeclared int    `json:"units_declared"`
	UnitsCounted  int    `json:"units_counted"`
}

// Tolerances of the checks, as the records of clients, instances and sites are not exact.
const (
	inFlightSlack      = 25 * time.Millisecond                  // for a site to notice that a connection has ended
	leftLimit          = 100 * time.Millisecond                 // after a client's close, for attempts on their way
	drainGrace         = drainGracePeriod + 50*time.Millisecond // after which a draining server may receive no request
	deadlineSlack      = 60 * time.Millisecond                  // for an answer after its client's deadline
	keyTTLSlack        = 50 * time.Millisecond                  // for a repeat after idempotencyTTL
	hardLimitTimeSlack = 150 * time.Millisecond                 // units of a hard limit's rate in this time are tolerated
	minHardLimitSlack  = 0.1                                    // fraction of the burst of a hard limit
)

// maxExamples is the maximum number of violations that a verdict describes.
const maxExamples = 12

// ruleChecker checks the rules of a run and counts their violations in its verdict.
type ruleChecker struct {
	verdict *Verdict
	// stoppedFor returns how long an attempt's instance was stopped during the attempt; nil: no instance was stopped.
	stoppedFor func(testserver.Attempt) time.Duration
	// mayOverlap reports whether the attempts of a request may overlap; nil: they never may.
	mayOverlap func(trace string) bool

	violatingTraces []string // traces of the first requests that violated a rule, without duplicates
}

// violation counts a violation of a rule. The first maxExamples are kept as examples.
func (checker *ruleChecker) violation(rule, format string, args ...any) {
	checker.verdict.Rules[rule]++
	if len(checker.verdict.Examples) < maxExamples {
		checker.verdict.Examples = append(checker.verdict.Examples, rule+": "+fmt.Sprintf(format, args...))
	}
}

// requestViolation counts a violation of a rule by one request. The first maxExplained requests get evidence in the
// verdict.
func (checker *ruleChecker) requestViolation(trace, rule, format string, args ...any) {
	checker.violation(rule, format, args...)
	if len(checker.violatingTraces) < maxExplained && !slices.Contains(checker.violatingTraces, trace) {
		checker.violatingTraces = append(checker.violatingTraces, trace)
	}
}

// checkRules compares the records of the sites and the clients with those of the instances and returns the verdict.
func (env *environment) checkRules(clientAttempts []testserver.Attempt, began time.Time) *Verdict {
	v := env.newVerdict()
	checker := &ruleChecker{verdict: v}
	arrivals, byTrace := env.arrivals()
	records := map[string]gateway.RequestRecord{}
	for _, r := range env.records {
		if _, twice := records[r.TraceID]; twice {
			checker.violation(ruleAnswers, "%s was answered twice by the instances", r.TraceID)
		}
		records[r.TraceID] = r
	}
	checker.checkAnswers(clientAttempts, func(testserver.Attempt) bool { return false })
	checker.checkEffects(arrivals, byTrace)
	checker.checkClientsLeft(clientAttempts, byTrace)
	checker.checkCosts(byTrace, records)
	env.checkSites(checker)
	checker.checkHardLimits(byTrace)
	env.checkCounters(checker)
	env.addScenarioViolations(checker)
	checker.addFigures(clientAttempts, len(arrivals), time.Since(began))
	env.mu.Lock()
	traces := env.traces
	env.mu.Unlock()
	env.checkTraces(checker, traces)
	env.explain(checker, clientAttempts, byTrace, traces)
	v.setOK()
	return v
}

// newVerdict returns a verdict without violations, with the rules of every scenario and the given ones.
func (env *environment) newVerdict(rules ...string) *Verdict {
	v := &Verdict{
		Scenario: env.scenario.Name,
		Seed:     env.options.Seed,
		Figures:  map[string]float64{},
		Rules: map[string]int{
			ruleAnswers: 0, ruleEffects: 0, ruleClientsLeft: 0, ruleDraining: 0, ruleWarmup: 0, ruleHardLimits: 0,
			ruleUnits: 0, ruleOperations: 0, ruleVersions: 0, ruleSteps: 0, ruleScenario: 0,
		},
	}
	for _, rule := range rules {
		v.Rules[rule] = 0
	}
	return v
}

// setOK sets OK if no rule was violated.
func (v *Verdict) setOK() {
	v.OK = true
	for _, violations := range v.Rules {
		v.OK = v.OK && violations == 0
	}
}

// arrivals returns the requests that reached the sites, ordered by time, and the same grouped by trace.
func (env *environment) arrivals() (all []testserver.Arrival, byTrace map[string][]testserver.Arrival) {
	all = env.ledger.Arrivals()
	slices.SortStableFunc(all, func(a, b testserver.Arrival) int { return a.At.Compare(b.At) })
	byTrace = map[string][]testserver.Arrival{}
	for _, a := range all {
		byTrace[a.Trace] = append(byTrace[a.Trace], a)
	}
	return all, byTrace
}

// checkSites reports requests that no operation of the sites matched, and servers that collapsed while they warmed up.
func (env *environment) checkSites(checker *ruleChecker) {
	for _, s := range env.ledger.Unmatched() {
		checker.violation(ruleOperations, "no operation of the sites matches %s", s)
	}
	for _, s := range env.ledger.Collapsed() {
		checker.violation(ruleWarmup, "cold server %s collapsed under overload", s)
	}
}

// addScenarioViolations adds the violations that the scenario itself found.
func (env *environment) addScenarioViolations(checker *ruleChecker) {
	for _, n := range env.scenarioViolations {
		checker.violation(ruleScenario, "%s", n)
	}
}

// checkAnswers checks that each attempt of a client received exactly one complete answer, to its own request and in
// time. An attempt without an answer is no violation if its instance was down, or stopped for long enough.
func (checker *ruleChecker) checkAnswers(attempts []testserver.Attempt, wasInstanceDown func(testserver.Attempt) bool) {
	for _, attempt := range attempts {
		checker.verdict.Requests++
		switch {
		case attempt.Served:
			checker.verdict.Served++
		case attempt.Status == 429 || attempt.Status == 503:
			checker.verdict.Rejected++
		default:
			checker.verdict.Failed++
		}
		switch {
		case !attempt.LeftAt.IsZero():
			checker.verdict.Figures[figureClientsLeft]++
		case attempt.AnswerCount == 0 && (wasInstanceDown(attempt) || checker.gaveUpWhileStopped(attempt)):
		case attempt.AnswerCount == 0:
			checker.verdict.Unanswered++
			checker.requestViolation(attempt.Trace, ruleAnswers, "%s (%s) received no answer", attempt.Trace,
				attempt.Operation)
		case attempt.AnswerCount > 1:
			checker.violation(ruleAnswers, "%s (%s) received more than one answer", attempt.Trace, attempt.Operation)
		case attempt.Mismatch != "":
			checker.violation(ruleAnswers, "%s: %s", attempt.Trace, attempt.Mismatch)
		case attempt.Ended.Sub(attempt.At) > clientDeadline+deadlineSlack+checker.timeStopped(attempt):
			checker.requestViolation(attempt.Trace, ruleAnswers, "%s was answered after %v", attempt.Trace,
				attempt.Ended.Sub(attempt.At))
		}
		if attempt.Status == 400 || attempt.Status == 404 || attempt.Status == 405 || attempt.Status == 403 {
			checker.violation(ruleOperations, "%s (%s) was rejected with status %d", attempt.Trace, attempt.Operation,
				attempt.Status)
		}
	}
}

// checkEffects checks the attempts of each request: no effect occurs twice, repeats are
// allowed for the operation's effect, attempts don't overlap, and none goes to a draining server.
func (checker *ruleChecker) checkEffects(arrivals []testserver.Arrival, byTrace map[string][]testserver.Arrival) {
	serverByEffect := map[string]string{} // the server of each effect, by its idempotency key or trace
	for _, a := range arrivals {
		if a.DrainingFor > drainGrace {
			checker.violation(ruleDraining, "%s was sent to server %s %v after it was listed as draining", a.Trace, a.Server,
				a.DrainingFor)
		}
		if !a.HadEffect || a.Effect == testserver.Idempotent {
			continue
		}
		name, server := a.Trace, a.Site+"/"+a.Server
		if a.Effect == testserver.IdempotentWithKey {
			name = a.Key
		}
		if before, isRepeated := serverByEffect[name]; isRepeated {
			checker.verdict.Duplicates++
			checker.violation(ruleEffects, "%s (%s) had its effect at %s and at %s", name, a.Operation, before, server)
		}
		serverByEffect[name] = server
	}
	for trace, attempts := range byTrace {
		checker.checkInFlight(trace, attempts)
		checker.checkRepeats(trace, attempts)
	}
}

// checkClientsLeft checks that no attempt begins later than leftLimit after the client has left.
func (checker *ruleChecker) checkClientsLeft(
	attempts []testserver.Attempt, byTrace map[string][]testserver.Arrival,
) {
	for _, attempt := range attempts {
		if attempt.LeftAt.IsZero() {
			continue
		}
		for _, arrival := range byTrace[attempt.Trace] {
			if late := arrival.At.Sub(attempt.LeftAt); late > leftLimit {
				checker.requestViolation(attempt.Trace, ruleClientsLeft, "%s reached %s/%s %v after its client had left",
					attempt.Trace, arrival.Site, arrival.Server, late)
			}
		}
	}
}

// timeStopped returns how long an attempt's instance was stopped during the attempt.
func (checker *ruleChecker) timeStopped(attempt testserver.Attempt) time.Duration {
	if checker.stoppedFor == nil {
		return 0
	}
	return checker.stoppedFor(attempt)
}

// gaveUpWhileStopped reports whether a client gave up, long after its deadline, because its instance was stopped:
// without the time of the stop, it had waited no longer than an answer may take.
func (checker *ruleChecker) gaveUpWhileStopped(attempt testserver.Attempt) bool {
	stopped := checker.timeStopped(attempt)
	return stopped > 0 && !attempt.ConnectionLost &&
		attempt.Ended.Sub(attempt.At)-stopped <= clientDeadline+deadlineSlack
}

// checkInFlight checks that each attempt of a request had ended when the next one arrived.
func (checker *ruleChecker) checkInFlight(trace string, attempts []testserver.Arrival) {
	for i := 1; i < len(attempts); i++ {
		before, a := &attempts[i-1], &attempts[i]
		if !a.At.Add(inFlightSlack).Before(before.Ended) {
			continue
		}
		if checker.mayOverlap != nil && checker.mayOverlap(trace) {
			checker.verdict.Figures[figureOverlapsAllowed]++
		} else {
			checker.requestViolation(trace, ruleEffects, "%s had two attempts in flight for %v", trace,
				before.Ended.Sub(a.At))
		}
	}
}

// checkRepeats checks that each attempt after the first one that may have run is allowed for the operation's effect.
func (checker *ruleChecker) checkRepeats(trace string, attempts []testserver.Arrival) {
	first := slices.IndexFunc(attempts, func(a testserver.Arrival) bool { return a.Ran })
	if first < 0 {
		return
	}
	ran := &attempts[first]
	for i := range attempts[first+1:] {
		a := &attempts[first+1+i]
		isKeyed := a.Effect == testserver.IdempotentWithKey
		switch {
		case a.Effect == testserver.NonIdempotent:
			checker.violation(ruleEffects, "%s (%s) is not idempotent, may have run and was sent again", trace, a.Operation)
		case isKeyed && a.Site != ran.Site:
			checker.violation(ruleEffects, "%s (%s) may have run at %s and was sent to %s", trace, a.Operation, ran.Site, a.Site)
		case isKeyed && a.At.Sub(ran.At) > idempotencyTTL+keyTTLSlack:
			checker.violation(ruleEffects, "%s (%s) was sent again after %v", trace, a.Operation, a.At.Sub(ran.At))
		}
	}
}

// checkCosts checks that each request that reached a site was charged once, as the operation
// that reached the site, at the price of one version.
func (checker *ruleChecker) checkCosts(
	byTrace map[string][]testserver.Arrival, records map[string]gateway.RequestRecord) {
	operations := map[string]*OperationFigures{}
	for trace, attempts := range byTrace {
		first := &attempts[0]
		f := operations[first.Operation]
		if f == nil {
			f = &OperationFigures{Operation: first.Operation}
			operations[first.Operation] = f
		}
		f.Sent++
		f.Attempts += len(attempts)
		f.UnitsDeclared += first.Units
		checker.verdict.UnitsDeclared += first.Units
		if r, isRecorded := records[trace]; isRecorded && r.Sent {
			checker.checkRecord(attempts, &r)
			continue
		}
		checker.violation(ruleUnits, "%s (%s) reached %s and was charged by no instance", trace, first.Operation, first.Site)
	}
	for trace, r := range records {
		if r.Sent && byTrace[trace] == nil {
			checker.violation(ruleUnits, "%s (%s) was charged and reached no site", trace, r.Operation)
		}
	}
	for _, f := range operations {
		checker.verdict.Operations = append(checker.verdict.Operations, *f)
	}
	slices.SortFunc(checker.verdict.Operations,
		func(a, b OperationFigures) int { return cmp.Compare(a.Operation, b.Operation) })
}

// checkRecord compares an instance's record of a request with its attempts, as the sites recorded them.
func (checker *ruleChecker) checkRecord(attempts []testserver.Arrival, r *gateway.RequestRecord) {
	first := &attempts[0]
	if r.Operation != first.Operation {
		checker.violation(ruleOperations, "%s was charged as %s and reached %s as %s", r.TraceID, r.Operation, first.Site,
			first.Operation)
	}
	if r.Units != first.Units {
		checker.violation(ruleUnits, "%s (%s, version %d) was charged %d units; %d were declared", r.TraceID, r.Operation,
			r.Version, r.Units, first.Units)
	}
	if r.Attempts < len(attempts) {
		checker.violation(ruleUnits, "%s: the instance counted %d attempts, the sites received %d", r.TraceID, r.Attempts,
			len(attempts))
	}
	checker.checkSentVersions(attempts, r)
}

// checkSentVersions checks that all attempts of a request were sent with the version that it was matched with.
func (checker *ruleChecker) checkSentVersions(attempts []testserver.Arrival, r *gateway.RequestRecord) {
	for i := range attempts {
		if sent := attempts[i].Version; uint64(sent) != r.Version {
			checker.violation(ruleVersions, "%s was matched with version %d and sent to a server with version %d", r.TraceID,
				r.Version, sent)
		}
	}
}

// checkHardLimits applies the token buckets of the plans' hard limits to the requests that the sites recorded.
// Tolerated are the plan's slack or a tenth of the burst, whichever is more, plus the rate's units in
// hardLimitTimeSlack.
func (checker *ruleChecker) checkHardLimits(byTrace map[string][]testserver.Arrival) {
	plans := map[string]string{}
	for _, l := range allLicensees() {
		plans[l.Name] = l.Plan
	}
	firstArrivals := map[string][]testserver.Arrival{}
	for _, as := range byTrace {
		firstArrivals[as[0].Licensee] = append(firstArrivals[as[0].Licensee], as[0])
	}
	for name, as := range firstArrivals {
		for _, p := range settings(0).Plans {
			if p.Name != plans[name] || p.HardLimitRate <= 0 {
				continue
			}
			slices.SortFunc(as, func(a, b testserver.Arrival) int { return a.At.Compare(b.At) })
			level, at := p.HardLimitBurst, as[0].At
			slack := math.Max(p.HardLimitSlack, minHardLimitSlack*p.HardLimitBurst) +
				p.HardLimitRate*hardLimitTimeSlack.Seconds()
			for _, a := range as {
				level = math.Min(level+p.HardLimitRate*a.At.Sub(at).Seconds(), p.HardLimitBurst) - float64(a.Units)
				if at = a.At; level < -slack {
					checker.violation(ruleHardLimits, "%s exceeds its hard limit by %.0f units", name, -level)
				}
			}
		}
	}
}

// checkCounters compares the instances' counters with the records of clients and sites.
func (env *environment) checkCounters(checker *ruleChecker) {
	counted := map[string]int{}
	answers := map[string]int{}
	for _, in := range env.instances {
		in.EachOperation(func(op string, c *gateway.Counters) {
			counted[op] += int(c.SentUnits.Load())
			checker.verdict.UnitsCounted += int(c.SentUnits.Load())
			answers["served"] += int(c.Served.Load())
			answers["refused"] += int(c.Rejected.Load())
			answers["failed"] += int(c.Failed.Load())
		})
	}
	for i := range checker.verdict.Operations {
		f := &checker.verdict.Operations[i]
		if f.UnitsCounted = counted[f.Operation]; f.UnitsCounted != f.UnitsDeclared {
			checker.violation(ruleUnits, "%s: %d units counted, %d declared", f.Operation, f.UnitsCounted,
				f.UnitsDeclared)
		}
	}
	if checker.verdict.UnitsCounted != checker.verdict.UnitsDeclared {
		checker.violation(ruleUnits, "%d units counted in total, %d declared", checker.verdict.UnitsCounted,
			checker.verdict.UnitsDeclared)
	}
	if answers["served"] != checker.verdict.Served || answers["refused"] != checker.verdict.Rejected ||
		answers["failed"] != checker.verdict.Failed {
		checker.violation(ruleAnswers, "the instances count %v; clients had %d served, %d refused, %d failed", answers,
			checker.verdict.Served, checker.verdict.Rejected, checker.verdict.Failed)
	}
}

// addFigures adds the figures of how well clients were served.
func (checker *ruleChecker) addFigures(clientAttempts []testserver.Attempt, attempts int, elapsed time.Duration) {
	var latencies []float64
	for _, attempt := range clientAttempts {
		if attempt.Served {
			latencies = append(latencies, attempt.Ended.Sub(attempt.At).Seconds()*1000)
		}
	}
	slices.Sort(latencies)
	at := func(q float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return math.Round(latencies[min(int(q*float64(len(latencies))), len(latencies)-1)]*10) / 10
	}
	f := checker.verdict.Figures
	f["seconds"] = math.Round(elapsed.Seconds()*10) / 10
	f["attempts"] = float64(attempts)
	f["served_p50_ms"], f["served_p99_ms"] = at(0.5), at(0.99)
	if checker.verdict.Requests > 0 {
		f[figureServedFraction] = math.Round(float64(checker.verdict.Served)/float64(checker.verdict.Requests)*1000) / 1000
	}
}

// Print writes a verdict as text.
func (v *Verdict) Print(w io.Writer) error {
	word := "every rule was kept"
	if !v.OK {
		word = "RULES WERE BROKEN"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d: %s\n\n", v.Scenario, v.Seed, word)
	fmt.Fprintf(&b, "requests %d: %d served, %d refused, %d failed, %d unanswered\n", v.Requests, v.Served, v.Rejected,
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
		fmt.Fprintf(&b, "%-20s %8d %8d %10d %10d\n", o.Operation, o.Sent, o.Attempts, o.UnitsDeclared, o.UnitsCounted)
	}
	for _, e := range slices.Concat(v.Examples, v.Evidence) {
		fmt.Fprintf(&b, "\n%s", e)
	}
	_, err := io.WriteString(w, b.String()+"\n")
	return err
}
