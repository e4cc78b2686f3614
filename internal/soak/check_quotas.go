package soak

import "time"

// Quota of the tight contract. Each request takes one unit.
const (
	tightRate  = 10 // units per second
	tightBurst = 20 // units
)

// Tolerances of the quota: a fraction of the units that it allows, and the units of one interval at which nodes assess
// their load.
const (
	quotaTolerance = 0.05
	quotaSample    = 100 * time.Millisecond
)

// checkQuotas checks that no more units of the tight contract were admitted, over all processes, than its burst and its
// rate over the time allow. A process that has not inherited the quota of another one begins with a burst of its own.
// With a peer, which the tool only simulates, the node has but a part of the quota, so the rule is not checked.
func (v *Verdict) checkQuotas(r *run, attempts map[string][]*attempt) {
	if r.plan.hasPeer() {
		return
	}
	var admitted int
	var first, last time.Time
	for _, request := range r.records.requests {
		began, hasRun := firstRun(attempts[request.id])
		if request.contract != contractTight || !hasRun {
			continue
		}
		admitted++
		if first.IsZero() || request.sentAt.Before(first) {
			first = request.sentAt
		}
		if began.After(last) {
			last = began
		}
	}
	bursts := r.countNewQuotas()
	allowed := float64(bursts*tightBurst) + tightRate*last.Sub(first).Seconds()
	if limit := allowed*(1+quotaTolerance) + tightRate*quotaSample.Seconds(); float64(admitted) > limit {
		v.violation(ruleQuotas, "%d units of the tight contract were admitted in %v, at most %.1f are allowed with %d bursts",
			admitted, last.Sub(first).Round(time.Millisecond), limit, bursts)
	}
}

// firstRun returns when the first attempt began that was not rejected as never run, and whether there is one.
func firstRun(attempts []*attempt) (began time.Time, hasRun bool) {
	for _, a := range attempts {
		if !a.neverRan && (!hasRun || a.began.Before(began)) {
			began, hasRun = a.began, true
		}
	}
	return began, hasRun
}

// countNewQuotas returns how many processes began with a quota of their own: the first one, and each later one that did
// not inherit the state of its predecessor.
func (r *run) countNewQuotas() int {
	count := 1
	for _, p := range r.processes[1:] {
		if !p.hasLogged("waiting for predecessor") || p.hasLogged("starting without inherited state") {
			count++
		}
	}
	return count
}
