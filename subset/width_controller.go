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
	// minHealthyFraction is the fraction of the size by [Sizing] that must be able to serve.
	minHealthyFraction = 0.35
	// maxAttemptsPerMember is the number of attempts in flight per healthy member above which the subset widens.
	maxAttemptsPerMember = 1.0
	// maxStepsPerWidening and widenInterval limit the rate of widening: if the members' health is misjudged for a
	// moment, the subset must not grow to all servers at once.
	maxStepsPerWidening = 2
	widenInterval       = time.Second
	// narrowDelay is how long a smaller width must have sufficed before the width shrinks by a step.
	narrowDelay = 3 * time.Second
)

// WidthController controls the width of a node's subset, its size as a multiple of that by [Sizing]. It widens at
// once if the subset cannot serve the node's attempts, and narrows step by step after a smaller subset would have
// sufficed for a while: a zone that fails and recovers repeatedly must not move the tier's connections each time. The
// zero value has width 1.
type WidthController struct {
	steps           int
	widenedAt       time.Duration
	narrowableSince time.Duration // clock reading since which one step less would suffice; 0 if it would not
}

// Factor returns the present width, for [Tier.Select].
func (w *WidthController) Factor() float64 { return math.Pow(widthStepFactor, float64(w.steps)) }

// Update adjusts the width and reports whether it has changed. healthyFraction is the part of the present subset's
// weight that can serve (a server that warms up counts in part, one that is unresponsive or ejected not at all);
// members is the subset's size and inFlight the number of the node's attempts in flight.
func (w *WidthController) Update(now time.Duration, healthyFraction float64, members int, inFlight float64) bool {
	isEnough := func(steps int) bool { return w.isEnough(steps, healthyFraction, members, inFlight) }
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

// isEnough reports whether a subset whose width is the given number of steps could serve the node's attempts.
func (w *WidthController) isEnough(steps int, healthyFraction float64, members int, inFlight float64) bool {
	healthy := math.Max(healthyFraction, 0)
	if healthy*math.Pow(widthStepFactor, float64(steps)) < minHealthyFraction {
		return false
	}
	scale := math.Pow(widthStepFactor, float64(steps-w.steps))
	return healthy*float64(members)*scale*maxAttemptsPerMember >= inFlight
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
