package subset

import (
	"math"
	"time"
)

// WidthController decides how much larger than by the rule a node's part is. It widens at once when the part can't carry
// what the node has for it, and shrinks a step at a time once a smaller one has been enough for a while: a
// hall that comes and goes must not move the fleet's connections each time. The zero value is a part by the rule.
type WidthController struct {
	steps int
	grown time.Duration // when it was last widened
	calm  time.Duration // since when one step less would have been enough; 0: it would not
}

const (
	widthStep  = 1.5  // factor between two widths
	widthMost  = 8    // steps: 25 times the rule's part
	widthFit   = 0.35 // share of the rule's part that must be fit to serve
	widthSlow  = 3 * time.Second
	widthJump  = 2 // steps at once
	widthPause = time.Second
	widthLoads = 1.0 // attempts out for each member that is fit; more of them need more members
)

// Factor is the present width, for [Tier.Select].
func (w *WidthController) Factor() float64 { return math.Pow(widthStep, float64(w.steps)) }

// Update takes in how much of the part is fit, as a share of the part that it is (a cold server counts as the part of one
// that it is, one that is silent or ejected as nothing), its members and the attempts that the node has out. It
// tells whether the width has changed.
func (w *WidthController) Update(now time.Duration, fit float64, members int, out float64) bool {
	enough := func(steps int) bool {
		scale := math.Pow(widthStep, float64(steps-w.steps))
		carry := math.Max(fit, 0) * float64(members) * scale
		return math.Max(fit, 0)*math.Pow(widthStep, float64(steps)) >= widthFit && carry*widthLoads >= out
	}
	if !enough(w.steps) {
		w.calm = 0
		if w.steps >= widthMost {
			return false
		}
		// What is fit may be misjudged for a moment: it must not take the whole fleet at once.
		if now-w.grown < widthPause && w.grown != 0 {
			return false
		}
		w.grown = now
		for n := 0; n < widthJump && w.steps < widthMost && !enough(w.steps); n++ {
			w.steps++
		}
		return true
	}
	if w.steps == 0 || !enough(w.steps-1) {
		w.calm = 0
		return false
	}
	if w.calm == 0 {
		w.calm = now
	}
	if now-w.calm < widthSlow {
		return false
	}
	w.steps--
	w.calm = now
	return true
}
