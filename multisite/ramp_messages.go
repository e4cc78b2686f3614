package multisite

import (
	"maps"
	"slices"
	"time"
)

// RampMessage is the part of a [Message] for a [RecoveryRamp]. Its JSON is read by instances of other versions.
type RampMessage struct {
	RequestID uint64           `json:"Ask"` // ID of all requests in the message
	Loads     []WarmServerLoad `json:"Carried,omitempty"`
	Requests  []ShareRequest   `json:"Asks,omitempty"`
	Grants    []ShareGrant     `json:"Grants,omitempty"`
}

// WarmServerLoad is the load that an instance sends to a warm server of a site that it reaches directly.
type WarmServerLoad struct {
	Site        string  `json:"Hall"`
	Rate        float64 `json:"Rate"` // seconds of work per second, for a server of unit weight
	Utilization float64 `json:"Util"` // utilization of the server's cores, 0 to 1; negative if unknown
}

// ShareRequest requests a share in addition to the one that an instance owns.
type ShareRequest struct {
	Site  string  `json:"Hall"`
	Share float64 `json:"Share"`
}

// ShareGrant lends a share to an instance.
type ShareGrant struct {
	Site      string  `json:"Hall"`
	Borrower  uint64  `json:"To"`
	RequestID uint64  `json:"Ask"` // ID of the granted request
	Share     float64 `json:"Share"`
}

// NextBroadcast returns the next message to the other members. loads are this instance's loads on warm servers, one for
// each site.
func (r *RecoveryRamp) NextBroadcast(now time.Duration, loads []WarmServerLoad) RampMessage {
	r.broadcastAt = now
	r.recordLoads(now, r.cfg.InstanceID, loads)
	m := RampMessage{RequestID: r.requests.next(now), Loads: loads}
	owned := r.ownedShare(now)
	for _, name := range slices.Sorted(maps.Keys(r.sites)) {
		site := r.sites[name]
		needed := min(neededShareHeadroom*site.neededShare, fullShare)
		if site.hasWarmingServers && needed > owned {
			m.Requests = append(m.Requests, ShareRequest{name, needed - owned})
		}
		m.Grants = append(m.Grants, site.loans.lend(now, name, owned-needed, r.cfg.LoanTTL)...)
	}
	return m
}

// Receive handles another member's message.
func (r *RecoveryRamp) Receive(now time.Duration, from uint64, m RampMessage) {
	if from == r.cfg.InstanceID || !slices.Contains(r.members, from) {
		return
	}
	r.recordLoads(now, from, m.Loads)
	for _, request := range m.Requests {
		if site := r.sites[request.Site]; site != nil {
			site.loans.recordRequest(now, from, m.RequestID, request.Share)
		}
	}
	for _, grant := range m.Grants {
		r.receiveGrant(now, from, grant)
	}
}

// receiveGrant records a share that is lent to this instance. The loan lasts for LoanTTL from the request for it.
func (r *RecoveryRamp) receiveGrant(now time.Duration, lender uint64, grant ShareGrant) {
	site := r.sites[grant.Site]
	isShare := grant.Share >= 0 // false for NaN as well
	if site == nil || grant.Borrower != r.cfg.InstanceID || !isShare {
		return
	}
	if requestedAt, ok := r.requests.requestTime(grant.RequestID); ok {
		site.loans.recordGrant(now, lender, grant, requestedAt+r.cfg.LoanTTL)
	}
}

func (r *RecoveryRamp) recordLoads(now time.Duration, member uint64, loads []WarmServerLoad) {
	for _, load := range loads {
		if site := r.sites[load.Site]; site != nil {
			site.warm.record(now, member, load)
		}
	}
}
