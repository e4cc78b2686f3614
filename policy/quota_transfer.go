package policy

// Quota transfer. Each instance's part of a hard limit is empty at its start and fills at a fixed fraction of
// the rate, while a customer's requests are spread unevenly. An instance gossips the deficit of its part, and
// a peer whose part has a surplus takes units off it and sends them with its next gossip. Its capacity is
// that much smaller until they must have arrived, so that all parts together never hold more than the limit.
// Units in a lost message are lost.

import (
	"math"
	"time"
)

const (
	transferAheadIntervals   = 4.0                    // gossip intervals for which a part should suffice
	transferReserveFraction  = 0.25                   // of its part's capacity, which a sender keeps
	minTransferTimeout       = 300 * time.Millisecond // after which a transfer has arrived or is lost,
	transferTimeoutIntervals = 3                      // and at least so many gossip intervals
)

// transfersHardLimit reports whether units of the customer's hard limit are transferred between instances. An
// owner grants units instead.
func (e *Engine) transfersHardLimit(quota *customerQuota) bool {
	return e.planOf(quota).HardLimitRate > 0 && !quota.usesOwner
}

// expectedDemand returns the units that this instance's part should hold for the next gossip intervals.
func (q *customerQuota) expectedDemand() float64 {
	return transferAheadIntervals*q.unitsSinceGossip + q.unmetUnits
}

// quotaDeficit returns how many units more this instance's part of the hard limit should hold.
func (e *Engine) quotaDeficit(quota *customerQuota) float64 {
	if !e.transfersHardLimit(quota) {
		return 0
	}
	wanted := math.Min(quota.expectedDemand(), quota.hardLimitCapacity(e.planOf(quota)))
	return math.Max(math.Ceil(wanted-quota.hardLimitTokens), 0)
}

// quotaSurplus returns how many units this instance's part of the hard limit can do without.
func (e *Engine) quotaSurplus(quota *customerQuota) float64 {
	reserve := transferReserveFraction * e.planOf(quota).HardLimitBurst * quota.burstFraction
	kept := math.Max(quota.expectedDemand(), reserve)
	return math.Max(math.Floor(quota.hardLimitTokens-kept), 0)
}

// transferQuota takes units off this instance's part of the hard limit for a peer with a deficit, and returns
// their number.
func (e *Engine) transferQuota(quota *customerQuota, peer int) float64 {
	if quota.peerDeficits == nil || quota.usesOwner {
		return 0
	}
	units := math.Min(quota.peerDeficits[peer], math.Ceil(e.quotaSurplus(quota)/2))
	quota.peerDeficits[peer] = 0
	quota.sendUnits(units)
	return units
}

// receiveTransfer adds the units that a peer has sent, and records its deficit.
func (e *Engine) receiveTransfer(quota *customerQuota, from int, entry gossipEntry) {
	if !e.transfersHardLimit(quota) {
		return
	}
	quota.hardLimitTokens += entry.transferred // bounded at the next refill
	if quota.peerDeficits == nil && entry.deficit > 0 {
		quota.peerDeficits = make([]float64, e.settings.InstanceCount)
	}
	if quota.peerDeficits != nil {
		quota.peerDeficits[from] = entry.deficit
	}
	if entry.deficit > 0 && e.quotaSurplus(quota) > 0 {
		e.markForGossip(quota)
	}
}
