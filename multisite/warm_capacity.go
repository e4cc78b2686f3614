package multisite

import (
	"math"
	"slices"
	"time"
)

const (
	minUtilization  = 0.3 // below, how busy servers are says little of what they can take
	minWarmCapacity = 1.0 // a server does at least a second's work a second
)

// warmCapacity estimates the work a second that one warm server of a site can take: what all members send to one,
// divided by the share of it that is busy.
type warmCapacity struct {
	loads  map[uint64]memberLoad // by member
	latest float64               // as last estimated from busy servers; 0: not known
}

type memberLoad struct {
	WarmLoad
	receivedAt time.Duration
}

func newWarmCapacity() warmCapacity { return warmCapacity{loads: map[uint64]memberLoad{}} }

// record notes what a member sends to warm servers; figures that can't be are dropped.
func (w *warmCapacity) record(now time.Duration, member uint64, load WarmLoad) {
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

// estimate returns the capacity by the loads that are not older than ttl, with the median of the utilizations. Where
// servers are little busy, the estimate before says more; it is never below what they are sent. 0: not known.
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
			w.latest = rate / min(median, 1)
		}
	}
	return max(w.latest, rate)
}
