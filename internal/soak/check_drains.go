package soak

import "time"

// The endpoint list is pushed to a process at once while its watch is open. A watch that has ended is opened again
// after a delay, which is the longest time for which a process may lack a change. It is the retry delay of package
// discovery for a local agent, which the edge proxy's is, and for any other after a watch that has received something.
const (
	edgeWatchRetryDelay    = 50 * time.Millisecond
	gatewayWatchRetryDelay = 100 * time.Millisecond
)

// maxListDelay returns how long after a change of the endpoint list a process may act on the list before.
func maxListDelay(target Target) time.Duration {
	if target == TargetEdgeProxy {
		return edgeWatchRetryDelay + inFlightTolerance
	}
	return gatewayWatchRetryDelay + inFlightTolerance
}

// checkDrains checks that no attempt begins at a drained or removed server once processes must know of that.
func (v *Verdict) checkDrains(r *run) {
	for _, drain := range r.records.drains {
		knownAt := r.drainKnownAt(drain)
		for _, a := range r.records.attempts {
			if a.server == drain.server && a.began.After(knownAt) {
				v.violation(ruleDrains, "request %s: an attempt began %v after server %d was drained, at %s", a.id,
					a.began.Sub(drain.at).Round(time.Millisecond), drain.server, drain.at.Format(timeFormat))
			}
		}
	}
}

// drainKnownAt returns from when on processes must know of a drain. A process that is stopped or not yet ready reads
// the list after that.
func (r *run) drainKnownAt(drain serverDrain) time.Time {
	delay := maxListDelay(r.plan.Target)
	knownAt := drain.at.Add(delay)
	for _, outage := range r.outages {
		if knownAt.After(outage.from) && drain.at.Before(outage.to) {
			knownAt = outage.to.Add(delay)
		}
	}
	return knownAt
}
