package soak

import (
	"slices"
	"time"
)

// Rejections break the rule from maxRejectedShare of the judged requests of the clients that heed Retry-After. A run
// with fewer than minJudgedRequests of them, two for each such client, is not judged.
const (
	maxRejectedShare  = 1.0 / 3
	minJudgedRequests = 30
)

// latencyObjective is that of every class. The bound on work in flight admits what the servers respond to in that time
// and only two attempts for each server while that is unknown, so that for as long after its first request a process
// correctly rejects many.
const latencyObjective = 400 * time.Millisecond

// checkRejections counts the rejections of the clients that heed Retry-After, and checks that they are a small share of
// the requests sent once the first process may know its servers.
func (v *Verdict) checkRejections(r *run) {
	all := countRejections(r.records.requests, time.Time{})
	v.HeedingRequests, v.HeedingRejected = all.requests, all.rejected
	judged := countRejections(r.records.requests, firstSentAt(r.records.requests).Add(latencyObjective))
	if r.mayRejectMany() || judged.requests < minJudgedRequests {
		return
	}
	if float64(judged.rejected) >= maxRejectedShare*float64(judged.requests) {
		v.violation(ruleRejections, "%d of %d requests of clients that heed Retry-After were rejected", judged.rejected,
			judged.requests)
	}
}

// rejectionCount counts requests, and those of them that were rejected.
type rejectionCount struct{ requests, rejected int }

// countRejections counts the requests of clients that heed Retry-After that were sent after a time.
func countRejections(requests []*request, after time.Time) (count rejectionCount) {
	for _, request := range requests {
		if !request.isHeeding || !request.sentAt.After(after) {
			continue
		}
		count.requests++
		if request.isRejected() {
			count.rejected++
		}
	}
	return count
}

// firstSentAt returns when the first request was sent, or the zero time if there is none.
func firstSentAt(requests []*request) (first time.Time) {
	for _, request := range requests {
		if first.IsZero() || request.sentAt.Before(first) {
			first = request.sentAt
		}
	}
	return first
}

// mayRejectMany reports whether a large share of rejections is correct: a process was away for a time, or a server
// responded to nothing at the end.
func (r *run) mayRejectMany() bool {
	isKilled := slices.ContainsFunc(r.processes, func(p *process) bool { return !p.killedByPlanAt.IsZero() })
	hangs := slices.ContainsFunc(r.plan.Servers, func(s serverPlan) bool { return s.HangsAtEnd })
	return isKilled || hangs || len(r.outages) > 0 || r.plan.isRestart()
}
