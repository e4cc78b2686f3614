package policy

import (
	"math"
)

const coldBudgetFraction = 0.5 // of the overload budget that is used: work varies

// hasWarmupBudget reports whether a request of a class may be sent to a server that may be warming up. This
// node sends a cold server part of the overload multiple of what a warm one is seen to serve, which all
// nodes together cannot exceed.
func (e *Engine) hasWarmupBudget(s *server, class int) bool {
	capacity := e.capacityFraction(s)
	zone := e.zones[s.Zone]
	if capacity >= 1 || zone != nil && zone.IsRemote {
		s.warmup.reset()
		return true
	}
	if !s.inSubset {
		return false // the nodes that have it in their subset warm it up
	}
	rate := coldBudgetFraction * e.settings.ColdOverloadMultiple * capacity * s.weight() * e.warmServerRate(s)
	limit := math.Max(e.minWarmupBudget(class), rate*e.settings.ColdOverloadWindow.Seconds()/2)
	s.warmup.refill(e.now, rate, limit, e.rng)
	work := e.expectedWork(class)
	if zone != nil && zone.WarmServerRate > 0 {
		// A class of little value for its work leaves capacity to the others: it is mostly light, and
		// would take all.
		work += (1 - e.relativeValue(class)) * limit / 2
	}
	return s.warmup.work >= work
}

// warmServerRate is the work a second that this node may send the server once it is warm, per unit of weight.
func (e *Engine) warmServerRate(s *server) float64 {
	if zone := e.zones[s.Zone]; zone != nil {
		return zone.WarmServerRate
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	return math.Max(e.load.warmRate, 1/e.subset.meanHolders) * s.subsetCorrection / e.subset.width.Factor()
}

// minWarmupBudget is the work that is saved up for a cold server at least, so that a request of the class can
// go there. With a subset each node saves for seconds for one request: a light class that looks in must not
// cut off what has been saved for a heavier one.
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

// capacityFraction is the least fraction of its capacity that a server can have by now.
func (e *Engine) capacityFraction(s *server) float64 { return s.capacityFraction(e.now, &e.settings) }
