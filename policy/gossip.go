package policy

// Gossip between instances. The units that each has taken from a customer's quota are sent as differences, its attempts
// in flight as absolute counts.

import (
	"math"
	"time"
)

// maxIdleGossipRounds is how many messages in a row report that nothing is in flight, since some may be lost.
const maxIdleGossipRounds = 3

// GossipReceived handles a message of another instance. A malformed one has no effect.
func (e *Engine) GossipReceived(now time.Duration, from int, message []byte, actions Actions) {
	e.beginEvent(now, actions)
	if from < 0 || from >= len(e.gossip.peers) || from == e.settings.InstanceIndex || len(message) == 0 {
		return
	}
	e.gossip.received++
	if message[0] != kindGossip && message[0] != kindGossipV1 {
		e.receiveQuotaMessage(from, message)
		return
	}
	decoded, err := e.codec().decodeGossip(message)
	if err != nil {
		return
	}
	e.receiveEntries(from, e.gossip.peers[from].newEntries(decoded))
}

// receiveEntries handles a peer's entries. The two instances may know different plans of a customer for a while: the
// units that the peer took count in any case.
func (e *Engine) receiveEntries(from int, entries []gossipEntry) {
	for _, entry := range entries {
		quota := e.quotaFor(entry.customer, entry.scope)
		e.chargeRemoteUnits(quota, entry.units)
		if e.settings.Plans[entry.scope.plan].MaxInFlight > 0 {
			e.receivePeerCount(quota, from, entry.inFlight)
		}
		e.receiveTransfer(quota, from, entry)
	}
}

func (e *Engine) receivePeerCount(quota *customerQuota, from, inFlight int) {
	if quota.peerInFlight == nil {
		quota.peerInFlight = make([]peerCount, e.settings.InstanceCount)
	}
	quota.peerInFlight[from] = peerCount{inFlight, e.now}
}

// markForGossip includes a quota in the next broadcast, unless quota requests to its owner take the place of gossip.
func (e *Engine) markForGossip(quota *customerQuota) {
	if !quota.usesOwner && e.settings.AllowsGossip && e.settings.InstanceCount > 1 {
		e.gossip.mark(quota)
	}
}

// broadcast sends each peer the pending quotas of the customers that it serves. It returns the largest number of
// messages sent to one peer.
func (e *Engine) broadcast() (maxMessages int) {
	for peer := range e.gossip.peers {
		if peer != e.settings.InstanceIndex {
			maxMessages = max(maxMessages, e.broadcastTo(peer))
		}
	}
	e.gossip.endBroadcast(e.settings.Plans)
	return maxMessages
}

// broadcastTo sends a peer the pending quotas, in as many messages as needed, and returns their number.
func (e *Engine) broadcastTo(instance int) (messages int) {
	codec, receiver := e.codec(), &e.gossip.peers[instance]
	var entries encodedEntries
	flush := func() {
		if receiver.needsMessage(entries) {
			e.actions.SendGossip(instance, receiver.nextMessage(e.gossip.epoch, entries))
			entries = encodedEntries{}
			messages++
		}
	}
	for _, quota := range e.gossip.pending {
		if !quota.includes(instance, e.settings.InstanceCount) {
			continue
		}
		entries.count++
		entries.bytes = codec.appendEntry(entries.bytes, e.gossipEntryFor(quota, instance))
		if len(entries.bytes) > maxNewEntriesSize-maxEntrySize {
			flush()
		}
	}
	if entries.count > 0 || messages == 0 {
		flush()
	}
	return messages
}

// gossipEntryFor returns the entry of a quota for a peer. Units that it transfers to the peer are taken off here.
func (e *Engine) gossipEntryFor(quota *customerQuota, peer int) gossipEntry {
	entry := gossipEntry{
		customer: quota.key,
		scope:    quota.quotaScope,
		units:    quota.pendingUnits,
		inFlight: quota.inFlight,
	}
	if e.planOf(quota).HardLimitRate > 0 {
		entry.transferred = e.transferQuota(quota, peer)
		entry.deficit = e.quotaDeficit(quota)
	}
	return entry
}

// recordBroadcast resets what was counted since the last broadcast. Attempts in flight are sent until several messages
// in a row have reported none.
func (q *customerQuota) recordBroadcast(plan *Plan) {
	q.pendingUnits -= math.Round(q.pendingUnits)
	q.unitsSinceGossip, q.startedSinceGossip, q.unmetUnits = 0, 0, 0
	q.idleGossipRounds++
	if q.inFlight > 0 {
		q.idleGossipRounds = 0
	}
	q.needsGossip = plan.MaxInFlight > 0 && q.idleGossipRounds < maxIdleGossipRounds
}
