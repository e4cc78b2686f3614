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

// checkCharges compares the instances' records with those of the sites and with the history: each request that
// reached a site was charged once, at the price of the version that it was matched with.
// Records that a killed instance may not have written yet may be missing.
func (c *clusterRun) checkCharges(
	checker *ruleChecker,
	byTrace map[string][]testserver.Arrival,
	clientAttempts []testserver.Attempt,
	instanceByAddr map[string]*clusterInstance,
	history []clusterconfig.HistoryRecord,
) {
	variants := variantsByVersion(history)
	records := c.readAccessLogs(checker)
	addKeyRejectionFraction(checker, clientAttempts, records)
	attemptByTrace := map[string]testserver.Attempt{}
	for _, attempt := range clientAttempts {
		attemptByTrace[attempt.Trace] = attempt
	}
	missingCount := 0
	for trace, arrivals := range byTrace {
		attempt, sentByClient := attemptByTrace[trace]
		if !sentByClient {
			continue // sent by the scenario itself
		}
		record, isRecorded := records[trace]
		if !isRecorded {
			missingCount++
			checkMissingRecord(checker, arrivals[0], attempt, instanceByAddr[attempt.Instance])
			continue
		}
		checkCharge(checker, arrivals, record, variants)
	}
	checker.verdict.Figures["records_lost_with_kills"] = float64(missingCount)
}

// variantsByVersion returns the variant of the description in each version.
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

// readAccessLogs reads the instances' records of their requests, by trace.
func (c *clusterRun) readAccessLogs(checker *ruleChecker) map[string]gateway.RequestRecord {
	records := map[string]gateway.RequestRecord{}
	for _, m := range c.instances() {
		path := filepath.Join(c.dir, fmt.Sprintf("access-%d.jsonl", m.id))
		eachLogLine(checker, path, func(r gateway.RequestRecord) {
			if r.TraceID == "" {
				return // a line with the count of dropped lines
			}
			if _, isRepeated := records[r.TraceID]; isRepeated {
				checker.violation(ruleAnswers, "%s was answered twice by the instances", r.TraceID)
			}
			records[r.TraceID] = r
		})
	}
	return records
}

// addKeyRejectionFraction adds the fraction of bookings that were rejected because of the owner of their key.
func addKeyRejectionFraction(
	checker *ruleChecker,
	clientAttempts []testserver.Attempt,
	records map[string]gateway.RequestRecord,
) {
	booked, rejected := 0, 0
	for _, attempt := range clientAttempts {
		if attempt.Operation != "bookVisit" || attempt.At.Sub(clientAttempts[0].At) <= keyHoldAfterStart {
			continue
		}
		booked++
		if records[attempt.Trace].KeyRejection != "" {
			rejected++
		}
	}
	if booked > 0 {
		checker.verdict.Figures[figureKeyRejectionFraction] = math.Round(float64(rejected)/float64(booked)*10000) / 10000
	}
}

// checkMissingRecord checks a request that reached a site but is not in the access log of its instance m: m must have
// been killed before it had to have written the record.
func checkMissingRecord(
	checker *ruleChecker, first testserver.Arrival, attempt testserver.Attempt, m *clusterInstance,
) {
	recordedBy := attempt.Ended
	if !attempt.LeftAt.IsZero() { // the instance records the request when it has ended there
		recordedBy = attempt.At.Add(clientDeadline)
	}
	m.downMu.Lock()
	isLost := slices.ContainsFunc(m.killed, func(killed time.Time) bool {
		return attempt.At.Before(killed) && killed.Sub(recordedBy) < lostLogWindow
	})
	m.downMu.Unlock()
	if !isLost && time.Since(recordedBy) > lostLogWindow {
		checker.violation(ruleUnits, "%s (%s) reached %s and was charged by no instance", first.Trace, first.Operation,
			first.Site)
	}
}

// checkCharge compares an instance's record of a request with its attempts, as the sites recorded them.
func checkCharge(
	checker *ruleChecker,
	arrivals []testserver.Arrival,
	r gateway.RequestRecord,
	variants map[uint64]int,
) {
	first := arrivals[0]
	variant, isKnown := variants[r.Version]
	want := changingPrice(variant, first.Operation, first.Units)
	checker.verdict.UnitsDeclared += want
	checker.verdict.UnitsCounted += r.Units
	switch {
	case !isKnown:
		checker.violation(ruleVersions, "%s was matched with version %d, which is not in the history", r.TraceID, r.Version)
	case !r.Sent || r.Operation != first.Operation:
		checker.violation(ruleOperations, "%s was charged as %s (sent: %v) and reached %s as %s",
			r.TraceID, r.Operation, r.Sent, first.Site, first.Operation)
	case r.Units != want:
		checker.violation(ruleUnits, "%s (%s, version %d, variant %d) was charged %d units, want %d",
			r.TraceID, r.Operation, r.Version, variant, r.Units, want)
	}
	checker.checkSentVersions(arrivals, &r)
}

// checkVersionOrder checks, with the sites' records, that no instance routes a request with a version
// older than one with which it had answered a client before the request began.
func checkVersionOrder(
	checker *ruleChecker,
	clientAttempts []testserver.Attempt,
	byTrace map[string][]testserver.Arrival,
) {
	for instance, events := range versionEventsByInstance(clientAttempts, byTrace) {
		slices.SortStableFunc(events, func(a, b versionEvent) int { return a.at.Compare(b.at) })
		newest := 0
		for _, e := range events {
			if e.isAnswer {
				newest = max(newest, e.version)
			} else if e.version < newest {
				checker.violation(ruleVersions, "%s was routed with version %d by %s, which had already answered with version %d",
					e.trace, e.version, instance, newest)
			}
		}
	}
}

// versionEvent is the start of a client's attempt, with the version that it was later routed with, or its answer.
type versionEvent struct {
	at       time.Time
	trace    string
	version  int
	isAnswer bool
}

// versionEventsByInstance returns the events of each instance, by the instance's address.
func versionEventsByInstance(
	clientAttempts []testserver.Attempt,
	byTrace map[string][]testserver.Arrival,
) map[string][]versionEvent {
	byInstance := map[string][]versionEvent{}
	for _, attempt := range clientAttempts {
		arrivals := byTrace[attempt.Trace]
		if len(arrivals) == 0 {
			continue
		}
		for _, a := range arrivals {
			begin := versionEvent{at: attempt.At, trace: attempt.Trace, version: a.Version}
			byInstance[attempt.Instance] = append(byInstance[attempt.Instance], begin)
		}
		if attempt.Served {
			last := arrivals[len(arrivals)-1]
			answer := versionEvent{at: attempt.Ended, trace: attempt.Trace, version: last.Version, isAnswer: true}
			byInstance[attempt.Instance] = append(byInstance[attempt.Instance], answer)
		}
	}
	return byInstance
}

// checkConfigOperations checks operators' changes and reads. Each change that was reported as applied is in the history
// exactly once and with the reported version, and all operations are in real-time order.
func (c *clusterRun) checkConfigOperations(checker *ruleChecker, history []clusterconfig.HistoryRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(history) == 0 {
		return
	}
	versions := map[string]uint64{} // by the id of the change
	for _, r := range history {
		if _, isRepeated := versions[r.ID]; isRepeated {
			checker.violation(ruleConfigChanges, "%s is in the history more than once", r.ID)
		}
		versions[r.ID] = r.Version
	}
	var known []configOperation
	for _, o := range c.configOperations {
		if !o.isOutcomeKnown {
			continue
		}
		known = append(known, o)
		if o.isApplied && versions[o.id] != o.version && o.version >= history[0].Version {
			checker.violation(ruleConfigChanges,
				"%s was reported as applied in version %d, but is version %d in the history (0: missing)",
				o.id, o.version, versions[o.id])
		}
	}
	checkRealTimeOrder(checker, known)
}

// operationEvent is the call or the return of an operator's operation.
type operationEvent struct {
	at        time.Time
	operation configOperation
	isReturn  bool
}

// checkRealTimeOrder checks that each operation returned a version no older than any that was returned before its call,
// and a newer one if it applied a change.
func checkRealTimeOrder(checker *ruleChecker, changes []configOperation) {
	var events []operationEvent
	for _, o := range changes {
		events = append(events, operationEvent{at: o.called, operation: o},
			operationEvent{at: o.returned, operation: o, isReturn: true})
	}
	slices.SortStableFunc(events, func(a, b operationEvent) int { return a.at.Compare(b.at) })
	newest := uint64(0)
	newestAtCall := map[string]uint64{} // by the id of the change
	for _, e := range events {
		o := e.operation
		if !e.isReturn {
			newestAtCall[o.id] = newest
			continue
		}
		atCall := newestAtCall[o.id]
		if o.version < atCall || o.isApplied && o.version == atCall {
			checker.violation(ruleConfigChanges, "%s returned version %d, though version %d had been returned before its call",
				o.id, o.version, atCall)
		}
		newest = max(newest, o.version)
	}
}
