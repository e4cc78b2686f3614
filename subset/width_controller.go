package subset

import (
	"math"
	"time"
)

const (
	// widthStepFactor is the factor between two widths.
	widthStepFactor = 1.5
	// maxWidthSteps bounds the width, at 25 times the size that [Sizing] gives.
	maxWidthSteps = 8
	// minHealthyFraction is the part of the size by [Sizing] that must be fit to serve.
	minHealthyFraction = 0.35
	// maxAttemptsPerMember is how many attempts in flight each fit member carries; more of them need more members.
	maxAttemptsPerMember = 1.0
	// maxStepsPerWidening and widenInterval hold back widening: the members' health may be misjudged for a moment,
	// which must not bring in all servers at once.
	maxStepsPerWidening = 2
	widenInterval       = time.Second
	// narrowDelay is how long a smaller width must have been enough before the width shrinks by a step.
	narrowDelay = 3 * time.Second
)

// WidthController decides how many times larger than by [Sizing] a node's subset is. It widens at once when the subset
// can't carry the node's attempts, and narrows a step at a time once a smaller one has been enough for a while: a
// zone that fails and recovers must not move the tier's connections each time. The zero value is the size by [Sizing].
type WidthController struct {
	steps           int
	widenedAt       time.Duration
	narrowableSince time.Duration // since when one step less would have been enough; 0: it would not
}

// Factor is the present width, for [Tier.Select].
func (w *WidthController) Factor() float64 { return math.Pow(widthStepFactor, float64(w.steps)) }

// Update adjusts the width and reports whether it has changed. The fit fraction says how much of the present subset can
// serve (a server that is warming up counts in part, one that is unresponsive or ejected not at all); members is the
// subset's size and inFlight the number of the node's attempts in flight.
func (w *WidthController) Update(now time.Duration, fitFraction float64, members int, inFlight float64) bool {
	isEnough := func(steps int) bool { return w.isEnough(steps, fitFraction, members, inFlight) }
	if !isEnough(w.steps) {
		w.narrowableSince = 0
		return w.widen(now, isEnough)
	}
	if w.steps == 0 || !isEnough(w.steps-1) {
		w.narrowableSince = 0
		return false
	}
	return w.narrow(now)
}

// isEnough reports whether a width of so many steps would carry the node's attempts.
func (w *WidthController) isEnough(steps int, fitFraction float64, members int, inFlight float64) bool {
	fit := math.Max(fitFraction, 0)
	if fit*math.Pow(widthStepFactor, float64(steps)) < minHealthyFraction {
		return false
	}
	scale := math.Pow(widthStepFactor, float64(steps-w.steps))
	return fit*float64(members)*scale*maxAttemptsPerMember >= inFlight
}

func (w *WidthController) widen(now time.Duration, isEnough func(steps int) bool) bool {
	if w.steps >= maxWidthSteps {
		return false
	}
	if w.widenedAt != 0 && now-w.widenedAt < widenInterval {
		return false
	}
	w.widenedAt = now
	for range maxStepsPerWidening {
		if w.steps >= maxWidthSteps || isEnough(w.steps) {
			break
		}
		w.steps++
	}
	return true
}

func (w *WidthController) narrow(now time.Duration) bool {
	if w.narrowableSince == 0 {
		w.narrowableSince = now
	}
	if now-w.narrowableSince < narrowDelay {
		return false
	}
	w.steps--
	w.narrowableSince = now
	return true
}
