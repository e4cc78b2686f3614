package policy

// Transfer of quota. Each node's part of a hard limit is empty at its start and fills at a fixed share of
// the rate, while a customer's requests come unevenly. A node tells what its part lacks, and a peer whose
// part has a surplus takes units off it and sends them with its next gossip. It holds that much less until
// they must have come, so that all parts together never hold more than the limit; units in a lost message
// are lost.

import (
	"math"
	"time"
)

const (
	transferAheadIntervals   = 4.0                    // gossip intervals that a part should last for
	transferReserveFraction  = 0.25                   // of its part that a sender keeps
	minTransferTimeout       = 300 * time.Millisecond // a transfer may be in transit for at least so long,
	transferTimeoutIntervals = 3                      // or for so many gossip intervals
)

// quotaDeficit is how many units more the gateway's part of the ceiling should hold.
func (e *Engine) quotaDeficit(st *customerQuota) float64 {
	if e.settings.Plans[st.plan].HardLimitRate <= 0 || st.usesOwner {
		return 0
	}
	ahead := transferAheadIntervals*st.unitsSinceGossip + st.unmetUnits
	want := math.Min(ahead, e.hardLimitCapacity(st))
	return math.Max(math.Ceil(want-st.hardLimitTokens), 0)
}

// quotaSurplus is how many units the gateway's part of the ceiling can do without.
func (e *Engine) quotaSurplus(st *customerQuota) float64 {
	ahead := transferAheadIntervals*st.unitsSinceGossip + st.unmetUnits
	reserve := transferReserveFraction * e.settings.Plans[st.plan].HardLimitBurst * st.burstFraction
	keep := math.Max(ahead, reserve)
	return math.Max(math.Floor(st.hardLimitTokens-keep), 0)
}

// transferQuota takes units off the gateway's part of the ceiling for a peer that lacks them.
func (e *Engine) transferQuota(st *customerQuota, to int) float64 {
	if st.peerDeficits == nil || st.usesOwner {
		return 0
	}
	units := math.Min(st.peerDeficits[to], math.Ceil(e.quotaSurplus(st)/2))
	st.peerDeficits[to] = 0
	st.hardLimitTokens -= units
	st.unitsInTransit[0] += units
	return units
}

// receiveTransfer takes in the units that a peer lends, and what it lacks.
func (e *Engine) receiveTransfer(st *customerQuota, from int, entry gossipEntry) {
	if e.settings.Plans[st.plan].HardLimitRate <= 0 || st.usesOwner {
		return
	}
	st.hardLimitTokens += entry.transferred // bounded when it next fills
	if st.peerDeficits == nil && entry.deficit > 0 {
		st.peerDeficits = make([]float64, e.settings.InstanceCount)
	}
	if st.peerDeficits != nil {
		st.peerDeficits[from] = entry.deficit
	}
	if entry.deficit > 0 && e.quotaSurplus(st) > 0 {
		e.markForGossip(st)
	}
}

// transferTimeout is how long a tell, and its repeat in the next, may be under way.
func (e *Engine) transferTimeout() time.Duration {
	return max(minTransferTimeout, transferTimeoutIntervals*e.gossipInterval)
}
