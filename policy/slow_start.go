package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// coldBudgetFraction is the load that all nodes together may send to a cold server, as a fraction of the load that
// overloads it. The rest is a margin, since the work of requests varies.
const coldBudgetFraction = 0.5

// slowStart decides which requests may be sent to a server that is warming up. Each node derives its budget from the
// work that it sends to a warm server, so that all nodes together stay below the load that overloads a cold one.
type slowStart struct {
	settings  *Settings
	rng       *rand.Rand
	subset    *serverSubset
	latencies *latencyTable
	load      *loadMeter
}

// admits reports whether a request of a class may be sent to a server. It is always true for a warm server. zone is the
// zone of the server, or nil if the zone has no limits. The warm-up budget is in seconds of work.
func (w *slowStart) admits(now time.Duration, s *server, class int, zone *zoneState) bool {
	capacity := s.capacityFraction(now, w.settings)
	if capacity >= 1 || zone != nil && zone.IsRemote {
		s.warmup.reset()
		return true
	}
	if !s.inSubset {
		return false // only the nodes that have it in their subset warm it up
	}
	serverRate := w.warmServerRate(s, zone)
	rate := coldBudgetFraction * w.settings.ColdOverloadMultiple * capacity * s.weight() * serverRate
	limit := math.Max(w.minLimit(class), rate*w.settings.ColdOverloadWindow.Seconds()/2)
	s.warmup.refill(now, rate, limit, w.rng)
	return s.warmup.work >= w.requiredBudget(class, zone, limit)
}

// spend takes the work of a request of a class from the budget of a server that is warming up.
func (w *slowStart) spend(now time.Duration, s *server, class int, zone *zoneState) {
	if s.capacityFraction(now, w.settings) >= 1 {
		return
	}
	work := w.latencies.expectedWork(w.settings.Classes, class)
	s.warmup.spend(work)
	if zone != nil {
		zone.sentWork += work
	}
}

// recordUnmet records that no cold server of a zone had budget for a request of a class.
func (w *slowStart) recordUnmet(class int, zone *zoneState) {
	zone.unmetWork += w.latencies.expectedWork(w.settings.Classes, class)
}

// requiredBudget returns the seconds of work that the budget must hold before a request of a class may be sent. If the
// host has set the zone's rate, the budget must hold more than the work of a request of low value: most of these
// requests are light, and would otherwise use up the budget of the others.
func (w *slowStart) requiredBudget(class int, zone *zoneState, limit float64) float64 {
	work := w.latencies.expectedWork(w.settings.Classes, class)
	if zone != nil && zone.WarmServerRate > 0 {
		work += (1 - w.latencies.relativeValue(w.settings.Classes, class)) * limit / 2
	}
	return work
}

// warmServerRate returns the work per second and unit of weight that this node may send to the server once it is warm.
func (w *slowStart) warmServerRate(s *server, zone *zoneState) float64 {
	if zone != nil {
		return zone.WarmServerRate
	}
	// A server does at least one second of work per second, which is the estimate while no server is warm.
	return math.Max(w.load.warmRate, 1/w.subset.meanHolders) * s.subsetCorrection / w.subset.width.Factor()
}

// minLimit returns the least limit of the budget with which a request of the class can be sent. With a subset, it takes
// seconds until the budget suffices for one request. The limit is then the same for all classes: otherwise a check for
// a light request would cut the budget saved for a heavy one.
func (w *slowStart) minLimit(class int) float64 {
	classes := w.settings.Classes
	largest := w.latencies.expectedWork(classes, class)
	if w.subset.usesAllServers() {
		return largest
	}
	for c := range classes {
		largest = math.Max(largest, w.latencies.expectedWork(classes, c))
	}
	return largest
}
