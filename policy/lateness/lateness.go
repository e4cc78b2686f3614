// Package lateness estimates by how much a process acts later than it means to, on a machine that has less processor
// time to give than is asked for. A request that would be answered at its deadline is then given up earlier, so that
// its answer comes in time. All times are readings of one monotonic clock; the package does no I/O and is not safe for
// concurrent use.
package lateness

import "time"

const (
	// window is the time over which the longest lateness is taken: an estimate holds for one to two windows.
	window = 2 * time.Second
	// maxFraction bounds how much of a request's time is kept back, so that a process that is held up once for long
	// still serves.
	maxFraction = 0.25
	// ignored is a lateness that the slack of answers covers.
	ignored = 2 * time.Millisecond
	// actions that may be late count for a request's time: its reading, of which nothing tells how late it was, and its
	// answer.
	actions = 2
)

// Estimator takes the longest lateness of the latest one to two windows for that of the next action.
type Estimator struct {
	windowEnd time.Duration // of current
	current   time.Duration // the longest of the window under way
	previous  time.Duration // the longest of the window before
}

// Record takes an action that was due at a time and came at a later one, and returns the estimate from then on.
func (e *Estimator) Record(due, now time.Duration) (estimate time.Duration) {
	e.advance(now)
	e.current = max(e.current, now-due)
	return max(e.current, e.previous)
}

// Margin decides by how much earlier than its timeout a request is given up, at an estimate of the lateness.
func Margin(estimate, timeout time.Duration) time.Duration {
	if estimate <= ignored || timeout <= 0 {
		return 0
	}
	return min(actions*estimate, time.Duration(maxFraction*float64(timeout)))
}

// advance begins a new window if the one under way has ended.
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
