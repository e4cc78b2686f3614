package soak

import "slices"

// maxRejectedShare is the share of the requests of clients that heed Retry-After from which rejections break the rule.
const maxRejectedShare = 1.0 / 3

// checkRejections counts the rejections of the clients that heed Retry-After, and checks that their share is small.
func (v *Verdict) checkRejections(r *run) {
	for _, request := range r.records.requests {
		if !request.isHeeding {
			continue
		}
		v.HeedingRequests++
		if request.isRejected() {
			v.HeedingRejected++
		}
	}
	if r.mayRejectMany() {
		return
	}
	if float64(v.HeedingRejected) >= maxRejectedShare*float64(v.HeedingRequests) && v.HeedingRejected > 0 {
		v.violation(ruleRejections, "%d of %d requests of clients that heed Retry-After were rejected", v.HeedingRejected,
			v.HeedingRequests)
	}
}

// mayRejectMany reports whether a large share of rejections is correct: a process was away for a time, or a server
// responded to nothing at the end.
func (r *run) mayRejectMany() bool {
	isKilled := slices.ContainsFunc(r.processes, func(p *process) bool { return !p.killedByPlanAt.IsZero() })
	hangs := slices.ContainsFunc(r.plan.Servers, func(s serverPlan) bool { return s.HangsAtEnd })
	return isKilled || hangs || len(r.outages) > 0 || r.plan.isRestart()
}
