// Package lateness estimates by how much a process acts later than scheduled, on a machine that is short of processor
// time. A request that would be answered at its deadline is then given up earlier, so that its answer is written in
// time. All times are readings of one monotonic clock; the package does no I/O and is not safe for concurrent use.
package lateness

import "time"

const (
	// window is the length of the periods over which the maximum lateness is taken. An estimate covers one to two
	// windows.
	window = 2 * time.Second
	// maxMarginFraction is the maximum margin as a fraction of a request's timeout, so that a process that was delayed
	// once for long still serves requests.
	maxMarginFraction = 0.25
	// negligibleLateness is the lateness up to which no margin is needed, since the response slack covers it.
	negligibleLateness = 2 * time.Millisecond
	// lateActionsPerRequest is the number of actions of a request that may be late: reading the request, whose lateness
	// is not measured, and writing its answer.
	lateActionsPerRequest = 2
)

// Estimator estimates the lateness of the next action as the maximum lateness in the latest one to two windows.
type Estimator struct {
	windowEnd time.Duration // end of the current window
	current   time.Duration // maximum of the current window
	previous  time.Duration // maximum of the previous window
}

// Record records an action that was due at one time and happened at a later one, and returns the new estimate.
func (e *Estimator) Record(due, now time.Duration) (estimate time.Duration) {
	e.advance(now)
	e.current = max(e.current, now-due)
	return max(e.current, e.previous)
}

// Margin returns by how much earlier than its timeout a request is given up, given an estimate of the lateness.
func Margin(estimate, timeout time.Duration) time.Duration {
	if estimate <= negligibleLateness || timeout <= 0 {
		return 0
	}
	return min(lateActionsPerRequest*estimate, time.Duration(maxMarginFraction*float64(timeout)))
}

// advance starts a new window if the current one has ended.
func (e *Estimator) advance(now time.Duration) {
	if now < e.windowEnd {
		return
	}
	e.previous = e.current
	if now-e.windowEnd >= window {
		e.previous = 0 // nothing was recorded in a whole window
	}
	e.current = 0
	e.windowEnd = now + window
}
