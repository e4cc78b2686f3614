package scenario

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/testserver"
)

// checkCharges holds the instances' records against the sites and the history: each request that
// reached a site was charged once, at the price of the version that it was matched with.
// Records that a killed instance did not get to write are missed.
func (c *clusterRun) checkCharges(
	j *ruleChecker,
	byTrace map[string][]testserver.Arrival,
	clientAttempts []testserver.Attempt,
	at map[string]*member,
	history []clusterconfig.HistoryRecord,
) {
	variants := variantsByVersion(history)
	records := c.readAccessLogs(j)
	addKeyRejectionFraction(j, clientAttempts, records)
	tryByTrace := map[string]testserver.Attempt{}
	for _, t := range clientAttempts {
		tryByTrace[t.Trace] = t
	}
	missing := 0
	for trace, arrivals := range byTrace {
		t, sentByClient := tryByTrace[trace]
		if !sentByClient {
			continue // a scenario's own
		}
		record, isRecorded := records[trace]
		if !isRecorded {
			missing++
			checkMissingRecord(j, arrivals[0], t, at[t.Instance])
			continue
		}
		checkCharge(j, arrivals, record, variants)
	}
	j.v.Figures["records_lost_with_kills"] = float64(missing)
}

// variantsByVersion tells which variant of the description is in force in each version.
func variantsByVersion(history []clusterconfig.HistoryRecord) map[uint64]int {
	variants := map[uint64]int{}
	current := 1
	for _, r := range history {
		if v := variantOf(r); v > 0 {
			current = v
		}
		variants[r.Version] = current
	}
	return variants
}

// readAccessLogs reads what the instances recorded of their requests, by trace.
func (c *clusterRun) readAccessLogs(j *ruleChecker) map[string]gateway.RequestRecord {
	records := map[string]gateway.RequestRecord{}
	for _, m := range c.instances() {
		path := filepath.Join(c.dir, fmt.Sprintf("access-%d.jsonl", m.id))
		eachLogLine(j, path, func(r gateway.RequestRecord) {
			if r.Trace == "" {
				return // the count of lines that were dropped
			}
			if _, isRepeated := records[r.Trace]; isRepeated {
				j.violation(ruleAnswers, "%s was answered twice by the instances", r.Trace)
			}
			records[r.Trace] = r
		})
	}
	return records
}

// addKeyRejectionFraction tells which fraction of the bookings was rejected for the owner of their key.
func addKeyRejectionFraction(
	j *ruleChecker,
	clientAttempts []testserver.Attempt,
	records map[string]gateway.RequestRecord,
) {
	booked, rejected := 0, 0
	for _, t := range clientAttempts {
		if t.Operation != "bookVisit" || t.At.Sub(clientAttempts[0].At) <= keyHoldAfterStart {
			continue
		}
		booked++
		if records[t.Trace].KeyRejection != "" {
			rejected++
		}
	}
	if booked > 0 {
		j.v.Figures[figureKeyRejectionFraction] = math.Round(float64(rejected)/float64(booked)*10000) / 10000
	}
}

// checkMissingRecord checks a request that reached a site and that its instance m has no record of: m must have been
// killed at a time when it may not have written it yet.
func checkMissingRecord(j *ruleChecker, first testserver.Arrival, t testserver.Attempt, m *member) {
	m.downMu.Lock()
	isLost := slices.ContainsFunc(m.killed, func(killed time.Time) bool {
		return t.At.Before(killed) && killed.Sub(t.Ended) < lostLogWindow
	})
	m.downMu.Unlock()
	if !isLost && time.Since(t.Ended) > lostLogWindow {
		j.violation(ruleUnits, "%s (%s) reached %s and was charged by no instance", first.Trace, first.Operation,
			first.Site)
	}
}

// checkCharge checks the record of one request against its attempts, as the sites saw them.
func checkCharge(
	j *ruleChecker,
	arrivals []testserver.Arrival,
	r gateway.RequestRecord,
	variants map[uint64]int,
) {
	first := arrivals[0]
	variant, isKnown := variants[r.Version]
	want := changingPrice(variant, first.Operation, first.Units)
	j.v.UnitsDeclared += want
	j.v.UnitsCounted += r.Units
	switch {
	case !isKnown:
		j.violation(ruleVersions, "%s was matched with version %d, which is not in the history", r.Trace, r.Version)
	case !r.Sent || r.Operation != first.Operation:
		j.violation(ruleOperations, "%s was charged as %s (sent: %v) and reached %s as %s",
			r.Trace, r.Operation, r.Sent, first.Site, first.Operation)
	case r.Units != want:
		j.violation(ruleUnits, "%s (%s, version %d, variant %d) was charged %d units; %d are right",
			r.Trace, r.Operation, r.Version, variant, r.Units, want)
	}
	j.checkSentVersions(arrivals, &r)
}

// checkVersionOrder checks, on the sites' record, that no instance routes a request with an older
// version than one that it had answered a client on before the request began.
func checkVersionOrder(
	j *ruleChecker,
	clientAttempts []testserver.Attempt,
	byTrace map[string][]testserver.Arrival,
) {
	for instance, events := range versionEventsOf(clientAttempts, byTrace) {
		slices.SortStableFunc(events, func(a, b versionEvent) int { return a.at.Compare(b.at) })
		newest := 0
		for _, e := range events {
			if e.isAnswer {
				newest = max(newest, e.version)
			} else if e.version < newest {
				j.violation(ruleVersions, "%s was routed with version %d at %s, which had answered on %d", e.trace,
					e.version, instance, newest)
			}
		}
	}
}

// versionEvent is the begin of a client's attempt, with the version that it was later routed with, or its answer.
type versionEvent struct {
	at       time.Time
	trace    string
	version  int
	isAnswer bool
}

// versionEventsOf returns the events of each instance, by its address.
func versionEventsOf(
	clientAttempts []testserver.Attempt,
	byTrace map[string][]testserver.Arrival,
) map[string][]versionEvent {
	byInstance := map[string][]versionEvent{}
	for _, t := range clientAttempts {
		arrivals := byTrace[t.Trace]
		if len(arrivals) == 0 {
			continue
		}
		for _, a := range arrivals {
			begin := versionEvent{at: t.At, trace: t.Trace, version: a.Version}
			byInstance[t.Instance] = append(byInstance[t.Instance], begin)
		}
		if t.Served {
			last := arrivals[len(arrivals)-1]
			answer := versionEvent{at: t.Ended, trace: t.Trace, version: last.Version, isAnswer: true}
			byInstance[t.Instance] = append(byInstance[t.Instance], answer)
		}
	}
	return byInstance
}

// checkConfigChanges checks operators' changes and reads: what was answered as applied is in the history, once
// and as the version told; they are in the order of real time.
func (c *clusterRun) checkConfigChanges(j *ruleChecker, history []clusterconfig.HistoryRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(history) == 0 {
		return
	}
	versions := map[string]uint64{} // by the id of the change
	for _, r := range history {
		if _, isRepeated := versions[r.ID]; isRepeated {
			j.violation(ruleConfigChanges, "%s stands twice in the history", r.ID)
		}
		versions[r.ID] = r.Version
	}
	var known []configChange
	for _, o := range c.configChanges {
		if !o.isKnown {
			continue
		}
		known = append(known, o)
		if o.isApplied && versions[o.id] != o.version && o.version >= history[0].Version {
			j.violation(ruleConfigChanges, "%s was answered as version %d; the history has it as %d (0: lost)", o.id,
				o.version, versions[o.id])
		}
	}
	checkRealTimeOrder(j, known)
}

// changeEvent is the call or the return of an operator's change or read.
type changeEvent struct {
	at       time.Time
	change   configChange
	isReturn bool
}

// checkRealTimeOrder checks that each change or read was answered a version that is no older than any that another had
// been answered before it was called, and newer if it was applied.
func checkRealTimeOrder(j *ruleChecker, changes []configChange) {
	var events []changeEvent
	for _, o := range changes {
		events = append(events, changeEvent{at: o.called, change: o},
			changeEvent{at: o.returned, change: o, isReturn: true})
	}
	slices.SortStableFunc(events, func(a, b changeEvent) int { return a.at.Compare(b.at) })
	newest := uint64(0)
	newestAtCall := map[string]uint64{} // by the id of the change
	for _, e := range events {
		o := e.change
		if !e.isReturn {
			newestAtCall[o.id] = newest
			continue
		}
		atCall := newestAtCall[o.id]
		if o.version < atCall || o.isApplied && o.version == atCall {
			j.violation(ruleConfigChanges, "%s was answered version %d after another ask had ended on %d", o.id,
				o.version, atCall)
		}
		newest = max(newest, o.version)
	}
}
