package policy

import "math"

// healthChecker limits the scheduled health checks to a fraction of the requests forwarded: checks have a price and
// cost the servers work. Invariant: 0 <= credit <= 1, where 1 is one check.
type healthChecker struct{ credit float64 }

// earn adds to the credit what the requests forwarded in a sample earn, in checks.
func (h *healthChecker) earn(checks float64) { h.credit = math.Min(h.credit+checks, 1) }

// take spends the credit of one check, and reports whether there was enough.
func (h *healthChecker) take() bool {
	if h.credit < 1 {
		return false
	}
	h.credit = 0
	return true
}
