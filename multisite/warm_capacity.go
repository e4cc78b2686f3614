package multisite

import (
	"math"
	"slices"
	"time"
)

const (
	minUtilization  = 0.3 // below it, an estimate of the capacity from the utilization is too inaccurate
	minWarmCapacity = 1.0 // a server does at least one second of work per second
)

// warmCapacity estimates the work per second that one warm server of a site can take: the load of all members on one,
// divided by its utilization.
type warmCapacity struct {
	loads        map[uint64]memberLoad // by member
	lastEstimate float64               // last estimate from sufficiently utilized servers; 0 if there is none
}

type memberLoad struct {
	WarmServerLoad
	receivedAt time.Duration
}

func newWarmCapacity() warmCapacity { return warmCapacity{loads: map[uint64]memberLoad{}} }

// record records a member's load on warm servers. Invalid figures are ignored.
func (w *warmCapacity) record(now time.Duration, member uint64, load WarmServerLoad) {
	if load.Rate >= 0 && !math.IsInf(load.Rate, 0) && !math.IsNaN(load.Utilization) {
		w.loads[member] = memberLoad{load, now}
	}
}

// keepMembers drops the loads of all but the members.
func (w *warmCapacity) keepMembers(members []uint64) {
	for id := range w.loads {
		if !slices.Contains(members, id) {
			delete(w.loads, id)
		}
	}
}

// estimate returns the capacity, in seconds of work per second, from the loads that are not older than ttl and the
// median of their utilizations, or 0 if it is unknown. While the utilization is low, it returns the previous estimate,
// but not less than the present load.
func (w *warmCapacity) estimate(now, ttl time.Duration) float64 {
	rate := 0.0
	utilizations := make([]float64, 0, 8)
	for _, load := range w.loads {
		if now-load.receivedAt > ttl {
			continue
		}
		rate += load.Rate
		if load.Utilization >= 0 {
			utilizations = append(utilizations, load.Utilization)
		}
	}
	if len(utilizations) > 0 && rate > 0 {
		slices.Sort(utilizations)
		median := utilizations[len(utilizations)/2]
		if median >= minUtilization {
			w.lastEstimate = rate / min(median, 1)
		}
	}
	return max(w.lastEstimate, rate)
}
