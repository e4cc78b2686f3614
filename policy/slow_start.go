package policy

import "math"

const coldBudgetFraction = 0.5 // of what overloads a cold server: the work of a request varies

// hasWarmupBudget reports whether a server that warms up has the budget for a request of a class; a warm one
// always has. Each node's budget follows from the work that it sends to a warm server, so that all nodes
// together stay below what overloads a cold one.
func (e *Engine) hasWarmupBudget(s *server, class int) bool {
	capacity := e.capacityFraction(s)
	zone := e.zones[s.Zone]
	if capacity >= 1 || zone != nil && zone.IsRemote {
		s.warmup.reset()
		return true
	}
	if !s.inSubset {
		return false // the nodes with it in their subset warm it up
	}
	rate := coldBudgetFraction * e.settings.ColdOverloadMultiple * capacity * s.weight() * e.warmServerRate(s)
	limit := math.Max(e.minWarmupBudget(class), rate*e.settings.ColdOverloadWindow.Seconds()/2)
	s.warmup.refill(e.now, rate, limit, e.rng)
	work := e.expectedWork(class)
	if zone != nil && zone.WarmServerRate > 0 {
		// Requests of low value are mostly light and would use up the budget: part is left to others.
		work += (1 - e.relativeValue(class)) * limit / 2
	}
	return s.warmup.work >= work
}

// warmServerRate returns the work per second and unit of weight that this node may send the server once warm.
func (e *Engine) warmServerRate(s *server) float64 {
	if zone := e.zones[s.Zone]; zone != nil {
		return zone.WarmServerRate
	}
	// A server does at least one second of work per second: the estimate while none is warm.
	return math.Max(e.load.warmRate, 1/e.subset.meanHolders) * s.subsetCorrection / e.subset.width.Factor()
}

// minWarmupBudget returns the work that the budget must be able to hold, so that a request of the class can
// be sent. With a subset, saving for one request takes seconds: the limit is the same for all classes, or a
// check for a light one would cut what is saved for a heavy one.
func (e *Engine) minWarmupBudget(class int) float64 {
	largest := e.expectedWork(class)
	if e.usesAllServers() {
		return largest
	}
	for c := range e.settings.Classes {
		largest = math.Max(largest, e.expectedWork(c))
	}
	return largest
}

// capacityFraction returns the fraction of its capacity that a server has now.
func (e *Engine) capacityFraction(s *server) float64 { return s.capacityFraction(e.now, &e.settings) }
