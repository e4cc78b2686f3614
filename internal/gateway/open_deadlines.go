package gateway

import (
	"slices"
	"time"

	"mulleinmux/policy"
)

// openDeadlines tells how long requests may stay open: by the deadlines of the version in force, or by the longer ones
// of a version that was replaced, which the requests matched before have kept.
type openDeadlines struct {
	inForce  time.Duration   // longest deadline of the version in force
	replaced []time.Duration // clock readings until which requests of replaced versions may be open
}

// replace records that a version with other classes is put in force.
func (d *openDeadlines) replace(now time.Duration, classes []policy.Class) {
	d.replaced = slices.DeleteFunc(d.replaced, func(until time.Duration) bool { return until <= now })
	if d.inForce > 0 {
		d.replaced = append(d.replaced, now+d.inForce)
	}
	d.inForce = 0
	for i := range classes {
		d.inForce = max(d.inForce, classes[i].Deadline)
	}
}

// longest returns the longest time that a request may still take, if it is open or is matched now.
func (d *openDeadlines) longest(now time.Duration) time.Duration {
	longest := d.inForce
	for _, until := range d.replaced {
		longest = max(longest, until-now)
	}
	return longest
}

// longestDeadline returns the longest time that a request of this instance may still take.
func (in *Instance) longestDeadline() (longest time.Duration) {
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) { longest = in.deadlines.longest(now) })
	return longest
}
