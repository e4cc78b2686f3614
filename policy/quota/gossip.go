package quota

// This file has the gossip between instances. The units that each instance has taken from a customer's quota are sent
// as differences, its attempts in flight as absolute counts.

import (
	"math"
	"time"

	"mulleinmux/policy/overload"
)

const (
	minGossipInterval    = 40 * time.Millisecond // lower bound where the inbox limit allows more frequent broadcasts
	gossipIntervalFactor = 1.3                   // interval as a multiple of the shortest that the inbox limit allows
	maxIdleGossipRounds  = 3                     // messages that report nothing in flight, of which some may be lost
	inboxRateWeight      = 0.1                   // weight of a sample in the moving average of the messages received
)

// Sender sends a message of at most 256 bytes to a peer, which is given by its instance index. It must not retain the
// message.
type Sender interface {
	SendGossip(peer int, message []byte)
}

// Gossip is the state of an instance's gossip: the sequence numbers exchanged with each peer, and the rate of messages
// received. The quotas to be broadcast are in the [Table].
type Gossip struct {
	InboxRate float64 // messages received per second, a moving average; restored by a hot restart

	epoch    uint64  // random, distinguishes this process from earlier ones
	peers    []peer  // by instance
	received float64 // messages in the current sample
}

// NewGossip returns the gossip state of a new process in a fleet. The epoch should be random.
func NewGossip(epoch uint64, instanceCount int) Gossip {
	return Gossip{epoch: epoch, peers: make([]peer, instanceCount)}
}

// GossipInterval returns the time between broadcasts: the shortest time that the peers' inbox limit of inboxRate
// messages per second allows, with some reserve, but at least the shortest time between events. If there is no limit
// (0), it is [overload.SampleInterval].
func GossipInterval(inboxRate float64, instanceCount int, minEventInterval time.Duration) time.Duration {
	if inboxRate <= 0 {
		return overload.SampleInterval
	}
	peers := float64(instanceCount - 1)
	interval := time.Duration(gossipIntervalFactor * peers / inboxRate * float64(time.Second))
	return max(interval, minEventInterval, minGossipInterval)
}

// NextBroadcastDelay returns the time until the next broadcast, where messages is the number of messages that the last
// broadcast sent to one peer. An interval for each message keeps within the inbox limit when a broadcast needs several.
func (f *Fleet) NextBroadcastDelay(messages int) time.Duration {
	return f.GossipInterval * time.Duration(max(messages, 1))
}

// CountMessage counts a received message of any kind.
func (g *Gossip) CountMessage() { g.received++ }

// CloseSample updates the rate with the messages received in a sample, which lasts [overload.SampleInterval].
func (g *Gossip) CloseSample() {
	g.InboxRate += inboxRateWeight * (g.received/overload.SampleInterval.Seconds() - g.InboxRate)
	g.received = 0
}

// AcceptMessage records the epoch and sequence number of a peer's message and returns those of its entries that were
// not received before.
func (g *Gossip) AcceptMessage(from int, m GossipMessage) []Entry {
	return g.peers[from].acceptMessage(m)
}

// ReceiveEntries applies the entries received from a peer. The two instances may have different plans for a customer
// for a while; the units that the peer took are charged in either case. An entry of a customer for whom the table has
// no room is ignored: requests of that customer are rejected here as well.
func (t *Table) ReceiveEntries(from int, entries []Entry, now time.Duration) {
	for _, entry := range entries {
		if !t.HasRoomFor(entry.Customer) {
			continue
		}
		quota := t.quotaFor(entry.Customer, entry.Scope, now)
		t.chargeRemoteUnits(quota, entry.Units)
		if t.plans[entry.Scope.Plan].MaxInFlight > 0 {
			quota.recordPeerCount(from, peerCount{entry.InFlight, now}, t.Fleet.InstanceCount)
		}
		if quota.receiveTransfer(from, entry, t.PlanOf(quota), t.Fleet.InstanceCount) {
			t.MarkForGossip(quota)
		}
	}
}

// recordPeerCount records the number of attempts that a peer has in flight.
func (q *Quota) recordPeerCount(from int, count peerCount, fleetSize int) {
	if q.peerInFlight == nil {
		q.peerInFlight = make([]peerCount, fleetSize)
	}
	q.peerInFlight[from] = count
}

// Broadcast sends each peer the pending quotas of the customers whose requests it receives. It returns the largest
// number of messages sent to one peer.
func (g *Gossip) Broadcast(quotas *Table, sender Sender) (maxMessages int) {
	for peer := range g.peers {
		if peer != quotas.Fleet.InstanceIndex {
			maxMessages = max(maxMessages, g.broadcastTo(peer, quotas, sender))
		}
	}
	quotas.endBroadcast()
	return maxMessages
}

// broadcastTo sends the pending quotas to a peer in as many messages as needed, and returns the number of messages.
func (g *Gossip) broadcastTo(instance int, quotas *Table, sender Sender) (messages int) {
	codec, receiver := quotas.Codec(), &g.peers[instance]
	var entries encodedEntries
	flush := func() {
		if receiver.needsMessage(entries) {
			sender.SendGossip(instance, receiver.nextMessage(g.epoch, entries))
			entries = encodedEntries{}
			messages++
		}
	}
	for _, quota := range quotas.pending {
		if !quota.includes(instance, quotas.Fleet.InstanceCount) {
			continue
		}
		entries.count++
		entries.bytes = codec.appendEntry(entries.bytes, quota.gossipEntryFor(instance, quotas.PlanOf(quota)))
		if len(entries.bytes) > maxNewEntriesSize-maxEntrySize {
			flush()
		}
	}
	if entries.count > 0 || messages == 0 {
		flush()
	}
	return messages
}

// gossipEntryFor returns the quota's entry for a peer. The units that it transfers to the peer are deducted from this
// instance's share of the hard limit.
func (q *Quota) gossipEntryFor(peer int, plan *Plan) Entry {
	entry := Entry{
		Customer: q.Customer,
		Scope:    q.Scope,
		Units:    q.pendingUnits,
		InFlight: q.InFlight,
	}
	if plan.HardLimitRate > 0 {
		entry.Transferred = q.transferTo(peer, plan)
		entry.Deficit = q.hardLimitDeficit(plan)
	}
	return entry
}

// endBroadcast records that the pending quotas have been sent to all peers, and keeps those for the next broadcast that
// still need gossip.
func (t *Table) endBroadcast() {
	pending := t.pending[:0]
	for _, quota := range t.pending {
		quota.recordBroadcast(t.PlanOf(quota))
		if quota.needsGossip {
			pending = append(pending, quota)
		}
	}
	t.pending = pending
}

// recordBroadcast resets the counts since the last broadcast and decides whether the quota stays pending: attempts in
// flight are reported until several consecutive messages have reported none.
func (q *Quota) recordBroadcast(plan *Plan) {
	q.pendingUnits -= math.Round(q.pendingUnits)
	q.unitsSinceGossip, q.startedSinceGossip, q.unmetUnits = 0, 0, 0
	q.idleGossipRounds++
	if q.InFlight > 0 {
		q.idleGossipRounds = 0
	}
	q.needsGossip = plan.MaxInFlight > 0 && q.idleGossipRounds < maxIdleGossipRounds
}
