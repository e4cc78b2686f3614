package quota

// This file has the quota transfer. A customer's requests are spread unevenly over the instances, and the shares of its
// hard limit evenly. An instance gossips the deficit of its share, and a peer with a surplus sends units with its next
// gossip message. The peer's capacity is reduced by these units until they must have arrived, so that all shares
// together never hold more than the limit. Units in a lost message are lost.

import (
	"math"
	"time"
)

const (
	transferAheadIntervals   = 4.0                    // gossip intervals for which a share should suffice
	transferReserveFraction  = 0.25                   // fraction of its full share that a sender keeps
	minTransferTimeout       = 300 * time.Millisecond // shortest time after which a transfer has arrived or is lost
	transferTimeoutIntervals = 3                      // gossip intervals after which it has, if that is longer
)

// transferTimeout returns how long a gossip message and its repeat in the next one may be in transit.
func (f *Fleet) transferTimeout() time.Duration {
	return max(minTransferTimeout, transferTimeoutIntervals*f.GossipInterval)
}

// transfersHardLimit reports whether units of the customer's hard limit are transferred between instances. Owners grant
// units instead.
func (q *Quota) transfersHardLimit(plan *Plan) bool {
	return plan.HardLimitRate > 0 && !q.UsesOwner
}

// expectedDemand returns the units that this instance's share should hold for the next gossip intervals.
func (q *Quota) expectedDemand() float64 {
	return transferAheadIntervals*q.unitsSinceGossip + q.unmetUnits
}

// hardLimitDeficit returns how many units of the hard limit this instance requests from its peers: those that its share
// lacks for the next gossip intervals, up to its capacity.
func (q *Quota) hardLimitDeficit(plan *Plan) float64 {
	if !q.transfersHardLimit(plan) {
		return 0
	}
	wanted := math.Min(q.expectedDemand(), q.hardLimitCapacity(plan))
	return math.Max(math.Ceil(wanted-q.HardLimitTokens), 0)
}

// hardLimitSurplus returns how many units this instance can spare from its share of the hard limit: those beyond its
// expected demand and its reserve, whichever is larger.
func (q *Quota) hardLimitSurplus(plan *Plan) float64 {
	reserve := transferReserveFraction * plan.HardLimitBurst * q.burstFraction
	kept := math.Max(q.expectedDemand(), reserve)
	return math.Max(math.Floor(q.HardLimitTokens-kept), 0)
}

// transferTo deducts units from this instance's share of the hard limit for a peer with a deficit, and returns their
// number: at most half of the surplus, since other peers may lack units too.
func (q *Quota) transferTo(peer int, plan *Plan) float64 {
	if q.peerDeficits == nil || q.UsesOwner {
		return 0
	}
	units := math.Min(q.peerDeficits[peer], math.Ceil(q.hardLimitSurplus(plan)/2))
	q.peerDeficits[peer] = 0
	q.deductTransfer(units)
	return units
}

// receiveTransfer adds the units that a peer has sent to this instance's share, and records the peer's deficit. It
// reports whether this instance can transfer units in turn.
func (q *Quota) receiveTransfer(
	from int, entry Entry, plan *Plan, fleetSize int,
) (canTransfer bool) {
	if !q.transfersHardLimit(plan) {
		return false
	}
	q.HardLimitTokens += entry.Transferred // limited to the capacity at the next refill
	if q.peerDeficits == nil && entry.Deficit > 0 {
		q.peerDeficits = make([]float64, fleetSize)
	}
	if q.peerDeficits != nil {
		q.peerDeficits[from] = entry.Deficit
	}
	return entry.Deficit > 0 && q.hardLimitSurplus(plan) > 0
}
