package policy

import (
	"math"
)

const coldBudgetFraction = 0.5 // of the overload budget that is used: work varies

// hasWarmupBudget keeps rule 4: this gateway sends a cold server part of the fall-over multiple of what a
// warm one is seen to carry, which all together can't exceed the whole. The credit starts by chance: hundreds
// of gateways with less than one request a window to send must not all send it at once.
func (e *Engine) hasWarmupBudget(s *server, class int) bool {
	w := e.capacityFraction(s)
	c := e.zones[s.Zone]
	if w >= 1 || c != nil && c.IsRemote {
		s.warmupBudget = -1
		return true
	}
	work := e.expectedWork(class)
	if !s.inSubset {
		return false // its holders warm it up
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	carries := math.Max(e.warmRate, 1/e.meanSubsetHolders) * s.subsetCorrection / e.subsetWidth.Factor()
	if c != nil {
		carries = c.WarmServerRate
	}
	rate := coldBudgetFraction * e.settings.ColdOverloadMultiple * w * e.serverWeight(s) * carries
	most := math.Max(e.minWarmupBudget(class), rate*e.settings.ColdOverloadWindow.Seconds()/2)
	if s.warmupBudget < 0 {
		s.warmupBudget = most * e.rng.Float64()
	} else {
		s.warmupBudget = math.Min(s.warmupBudget+rate*(e.now-s.budgetUpdatedAt).Seconds(), most)
	}
	s.budgetUpdatedAt = e.now
	if c != nil && c.WarmServerRate > 0 {
		// What is worth less for its work leaves the others room: it is mostly smaller, and would take all.
		work += (1 - e.relativeValue(class)) * most / 2
	}
	return s.warmupBudget >= work
}

// capacityFraction is the least share of its capacity that a server can have by now.
func (e *Engine) capacityFraction(s *server) float64 {
	boot := max(s.StartedAt, s.connectFailedAt)
	age := e.now - boot
	if boot == 0 || age >= e.settings.SlowStartWindow || e.settings.SlowStartWindow == 0 {
		return 1
	}
	least := e.settings.SlowStartMinFraction
	share := least + (1-least)*math.Max(age.Seconds(), 0)/e.settings.SlowStartWindow.Seconds()
	return math.Max(share, 0.01)
}

// minWarmupBudget is the work that is saved up for a cold server at least, so that a request of the class can
// go there. With a subset each node saves for seconds for one request: a light class that looks in must not
// cut off what has been saved for a heavier one.
func (e *Engine) minWarmupBudget(class int) float64 {
	most := e.expectedWork(class)
	for c := range e.settings.Classes {
		if !e.usesAllServers() {
			most = math.Max(most, e.expectedWork(c))
		}
	}
	return most
}

// ColdBudgetMultiple is the multiple of what a cold server can take that all nodes together send it at most.
func (s *Settings) ColdBudgetMultiple() float64 { return coldBudgetFraction * s.ColdOverloadMultiple }
