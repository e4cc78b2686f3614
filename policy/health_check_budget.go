package policy

import (
	"math"
)

// healthChecker spaces out the scheduled health checks. They are priced and cost the servers work, so a node
// that forwards little checks seldom. Invariant: 0 <= credit <= 1, where 1 is one check.
type healthChecker struct{ credit float64 }

// earn adds to the credit what the requests forwarded in a sample have earned.
func (h *healthChecker) earn(checks float64) { h.credit = math.Min(h.credit+checks, 1) }

// take reports whether a check is due, and takes its credit.
func (h *healthChecker) take() bool {
	if h.credit < 1 {
		return false
	}
	h.credit = 0
	return true
}
