package quota

import (
	"slices"
	"time"
)

// State is the encoded state of a customer's quota, which a process passes to its successor. The JSON keys are stored
// and must not change.
type State struct {
	Customer           uint64        `json:"Key"`
	Plan               int           // index in the exported plans
	InstanceCount      int           `json:"Spread"`
	FirstInstance      int           `json:"First"`
	RefilledAt         time.Duration `json:"At"`
	RejectedUntil      time.Duration `json:"Shut"`
	ContendedUntil     time.Duration `json:"Crowded"`
	Tokens             float64       `json:"Level"`
	HardLimitTokens    float64       `json:"Ceiling"`
	UnitsSinceGossip   float64       `json:"Since"`
	PendingUnits       float64       `json:"Untold"`
	InFlight           int           `json:"Out"`
	StartedSinceGossip int           `json:"Opened"`
	IdleGossipRounds   int           `json:"Zeros"`
	NeedsGossip        bool          `json:"Dirty"`
	GrantFraction      float64       `json:"Pass"`
	UnitsInTransit     float64       `json:"Lent,omitempty"` // of the hard limit

	PeerInFlight   []int           `json:"LevelsN,omitempty"` // by instance
	PeerReceivedAt []time.Duration `json:"LevelsAt,omitempty"`
	LeaseFrom      []int           `json:",omitempty"`
	LeaseNumber    []uint64        `json:"LeaseNum,omitempty"`
	LeaseExpiresAt []time.Duration `json:"LeaseEnds,omitempty"`
}

// IsValid reports whether the state is consistent for the number of plans and the size of the fleet.
func (s *State) IsValid(planCount, fleetSize int) bool {
	hasPlan := s.Plan >= 0 && s.Plan < planCount
	hasCount := s.InstanceCount >= 1 && s.InstanceCount <= fleetSize
	hasFirst := s.FirstInstance >= 0 && s.FirstInstance < fleetSize
	hasPeers := len(s.PeerInFlight) == len(s.PeerReceivedAt) && len(s.PeerInFlight) <= fleetSize
	hasLeases := len(s.LeaseFrom) == len(s.LeaseNumber) && len(s.LeaseFrom) == len(s.LeaseExpiresAt)
	return hasPlan && hasCount && hasFirst && hasPeers && hasLeases
}

// Export returns the state of all quotas, refilled up to now. After [Table.HandOver] it has the successor's part of the
// tokens.
func (t *Table) Export(now time.Duration) (states []State) {
	for _, quota := range t.list {
		t.Refill(quota, now)
		state := quota.export()
		if t.handover.isHandedOver {
			state.Tokens, state.HardLimitTokens = quota.handedOver.quota, quota.handedOver.hardLimit
		}
		states = append(states, state)
	}
	return states
}

func (q *Quota) export() State {
	state := State{
		Customer:           q.Customer,
		Plan:               q.Plan,
		InstanceCount:      q.InstanceCount,
		FirstInstance:      q.FirstInstance,
		RefilledAt:         q.refilledAt,
		RejectedUntil:      q.RejectedUntil,
		ContendedUntil:     q.ContendedUntil,
		Tokens:             q.Tokens,
		HardLimitTokens:    q.HardLimitTokens,
		UnitsSinceGossip:   q.unitsSinceGossip,
		PendingUnits:       q.pendingUnits,
		InFlight:           q.InFlight,
		StartedSinceGossip: q.startedSinceGossip,
		IdleGossipRounds:   q.idleGossipRounds,
		NeedsGossip:        q.needsGossip,
		GrantFraction:      q.GrantFraction,
		UnitsInTransit:     q.UnitsInTransit(),
	}
	for _, count := range q.peerInFlight {
		state.PeerInFlight = append(state.PeerInFlight, count.inFlight)
		state.PeerReceivedAt = append(state.PeerReceivedAt, count.receivedAt)
	}
	for _, l := range q.leases {
		state.LeaseFrom = append(state.LeaseFrom, l.from)
		state.LeaseNumber = append(state.LeaseNumber, l.number)
		state.LeaseExpiresAt = append(state.LeaseExpiresAt, l.expiresAt)
	}
	return state
}

// Restore restores a quota that had the plan oldPlan in the predecessor. The quota is skipped if a plan of that name no
// longer exists or the customer already has a quota. The quota refills from now on, or from [Table.TakeOver] on: since
// the export, the predecessor has refilled its own and spent the units. Attempts that the predecessor still has in
// flight count for leaseTTL.
func (t *Table) Restore(saved State, oldPlan *Plan, now, leaseTTL time.Duration) {
	plan := slices.IndexFunc(t.plans, func(p Plan) bool { return p.Name == oldPlan.Name })
	if plan < 0 || t.Lookup(saved.Customer) != nil {
		return
	}
	quota := &Quota{
		Scope:    Scope{Plan: plan, InstanceCount: saved.InstanceCount, FirstInstance: saved.FirstInstance},
		Customer: saved.Customer,
	}
	t.split(quota, oldPlan)
	quota.restore(saved, now, t.Fleet.InstanceCount)
	for range saved.InFlight {
		quota.leases = append(quota.leases, lease{from: t.Fleet.InstanceIndex, expiresAt: now + leaseTTL})
	}
	t.add(quota)
	if *oldPlan != t.plans[plan] {
		t.changePlan(quota, *oldPlan, plan)
	}
	if saved.NeedsGossip {
		t.MarkForGossip(quota)
	}
}

// restore sets the quota to a saved state, except for the attempts in flight on this instance and whether the quota
// needs gossip.
func (q *Quota) restore(saved State, now time.Duration, fleetSize int) {
	q.refilledAt = now
	q.RejectedUntil, q.ContendedUntil = saved.RejectedUntil, saved.ContendedUntil
	q.Tokens, q.HardLimitTokens = saved.Tokens, saved.HardLimitTokens
	q.unitsSinceGossip, q.pendingUnits = saved.UnitsSinceGossip, saved.PendingUnits
	q.startedSinceGossip, q.idleGossipRounds = saved.StartedSinceGossip, saved.IdleGossipRounds
	q.GrantFraction = saved.GrantFraction
	q.inTransit = unitsInTransit{units: saved.UnitsInTransit, since: now}
	if len(saved.PeerInFlight) > 0 {
		q.peerInFlight = make([]peerCount, fleetSize)
	}
	for i, count := range saved.PeerInFlight {
		q.peerInFlight[i] = peerCount{count, saved.PeerReceivedAt[i]}
	}
	for i, from := range saved.LeaseFrom {
		q.leases = append(q.leases, lease{from, saved.LeaseNumber[i], saved.LeaseExpiresAt[i]})
	}
}

// PeerState is the encoded state of the gossip received from a peer. The JSON keys are stored and must not change.
type PeerState struct {
	IsKnown          bool   `json:"Heard"`
	Epoch            uint64 `json:"InEpoch"`
	PreviousEpoch    uint64 `json:"OldEpoch"`
	ReceivedSequence uint64 `json:"InSeq"`
}

// Export returns the state of the gossip received from each peer, by instance.
func (g *Gossip) Export() (states []PeerState) {
	for i := range g.peers {
		states = append(states, g.peers[i].export())
	}
	return states
}

// Restore restores the state of the gossip received from the peers that the fleet still has.
func (g *Gossip) Restore(states []PeerState) {
	for i := range min(len(states), len(g.peers)) {
		g.peers[i].restore(states[i])
	}
}

func (p *peer) export() PeerState {
	return PeerState{
		IsKnown:          p.isKnown,
		Epoch:            p.epoch,
		PreviousEpoch:    p.previousEpoch,
		ReceivedSequence: p.receivedSequence,
	}
}

func (p *peer) restore(saved PeerState) {
	p.isKnown = saved.IsKnown
	p.epoch, p.previousEpoch = saved.Epoch, saved.PreviousEpoch
	p.receivedSequence = saved.ReceivedSequence
}
