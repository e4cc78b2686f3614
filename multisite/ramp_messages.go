package multisite

import (
	"maps"
	"slices"
	"time"
)

// RampMessage is the part of a [Message] for a [RecoveryRamp]. Its JSON is read by instances of other versions.
type RampMessage struct {
	RequestID uint64         `json:"Ask"` // of its requests
	Loads     []WarmLoad     `json:"Carried,omitempty"`
	Requests  []ShareRequest `json:"Asks,omitempty"`
	Grants    []ShareGrant   `json:"Grants,omitempty"`
}

// WarmLoad is what an instance sends to a warm server of a site that it reaches directly, and how busy that is.
type WarmLoad struct {
	Site        string  `json:"Hall"`
	Rate        float64 `json:"Rate"` // work a second, for a server of unit weight
	Utilization float64 `json:"Util"` // busy fraction of its cores; below 0: not known
}

// ShareRequest asks for a share beyond what an instance owns.
type ShareRequest struct {
	Site  string  `json:"Hall"`
	Share float64 `json:"Share"`
}

// ShareGrant lends a share.
type ShareGrant struct {
	Site      string  `json:"Hall"`
	Borrower  uint64  `json:"To"`
	RequestID uint64  `json:"Ask"` // that it answers
	Share     float64 `json:"Share"`
}

// NextBroadcast returns what to send to the other members now. loads are what the instance sends to warm servers, one
// for each site.
func (r *RecoveryRamp) NextBroadcast(now time.Duration, loads []WarmLoad) RampMessage {
	r.broadcastAt = now
	r.recordLoads(now, r.cfg.InstanceID, loads)
	m := RampMessage{RequestID: r.requests.next(now), Loads: loads}
	owned := r.ownedShare(now)
	for _, name := range slices.Sorted(maps.Keys(r.sites)) {
		site := r.sites[name]
		needed := min(needHeadroom*site.neededShare, fullShare)
		if site.hasWarmingServers && needed > owned {
			m.Requests = append(m.Requests, ShareRequest{name, needed - owned})
		}
		m.Grants = append(m.Grants, site.loans.grant(now, name, owned-needed, r.cfg.LoanTTL)...)
	}
	return m
}

// Receive takes in another member's message.
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

// receiveGrant takes in a share that is lent to this instance, for LoanTTL from its request.
func (r *RecoveryRamp) receiveGrant(now time.Duration, lender uint64, grant ShareGrant) {
	site := r.sites[grant.Site]
	isShare := grant.Share >= 0 // false for NaN as well
	if site == nil || grant.Borrower != r.cfg.InstanceID || !isShare {
		return
	}
	if requestedAt, ok := r.requests.madeAt(grant.RequestID); ok {
		site.loans.recordGrant(now, lender, grant, requestedAt+r.cfg.LoanTTL)
	}
}

func (r *RecoveryRamp) recordLoads(now time.Duration, member uint64, loads []WarmLoad) {
	for _, load := range loads {
		if site := r.sites[load.Site]; site != nil {
			site.warm.record(now, member, load)
		}
	}
}
