package policy

// Gossip between nodes. A message repeats the deltas of the one before: a peer that missed that learns them, and
// one that comes late or twice is known by its sequence number. Attempts in flight go as levels.

import (
	"math"
	"time"
)

const (
	minGossipInterval    = 40 * time.Millisecond
	gossipIntervalFactor = 1.3 // interval as a multiple of what the inbox limit allows
)

func (e *Engine) receiveEntries(from int, es []gossipEntry) {
	for _, entry := range es {
		st := e.quotaFor(entry.key, entry.plan, entry.instanceCount, entry.firstInstance)
		// Its plan may have changed at one gateway and not yet at the other: units spent count all the same.
		e.chargeRemoteUnits(st, entry.units)
		if e.settings.Plans[entry.plan].MaxInFlight > 0 {
			if st.peerInFlight == nil {
				st.peerInFlight = make([]peerCount, e.settings.InstanceCount)
			}
			st.peerInFlight[from] = peerCount{entry.inFlight, e.now}
		}
		e.receiveTransfer(st, from, entry)
	}
}

// broadcast tells each peer of the stores whose sets it is in, and returns the most messages that one was
// sent.
func (e *Engine) broadcast() (most int) {
	for i := range e.peers {
		if i != e.settings.InstanceIndex {
			most = max(most, e.broadcastTo(i, func(st *customerQuota) bool { return e.isCustomerInstance(i, st.firstInstance, st.instanceCount) }))
		}
	}
	kept := e.gossipPending[:0]
	for _, st := range e.gossipPending {
		st.pendingUnits -= math.Round(st.pendingUnits)
		st.unitsSinceGossip, st.startedSinceGossip, st.unmetUnits = 0, 0, 0
		if st.idleGossipRounds++; st.inFlight > 0 {
			st.idleGossipRounds = 0
		}
		// Levels are told until two tells have said that nothing is out.
		if st.needsGossip = e.settings.Plans[st.plan].MaxInFlight > 0 && st.idleGossipRounds < 3; st.needsGossip {
			kept = append(kept, st)
		}
	}
	e.gossipPending = kept
	return most
}

// broadcastTo packs the stores to tell that about chooses, in as many messages as it takes, and returns
// their number.
func (e *Engine) broadcastTo(peer int, about func(*customerQuota) bool) (sent int) {
	p, n := &e.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.lastEntryCount > 0 {
			p.sequence++
			e.actions.SendGossip(peer, encodeGossip(e.epoch, p.sequence, n, body, p.lastEntryCount, p.lastEntries))
			p.lastEntries, p.lastEntryCount, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range e.gossipPending {
		if about(st) {
			n++
			if body = e.appendEntry(body, st, peer); len(body) > maxNewEntriesSize-maxEntrySize {
				flush()
			}
		}
	}
	if n > 0 || sent == 0 {
		flush()
	}
	return sent
}

func (e *Engine) markForGossip(st *customerQuota) {
	if !st.needsGossip && !st.usesOwner && e.settings.AllowsGossip && e.settings.InstanceCount > 1 {
		st.needsGossip = true
		e.gossipPending = append(e.gossipPending, st)
	}
}

type peerCount struct {
	inFlight   int
	receivedAt time.Duration
}

// peer is the state of tells to and from one peer.
type peer struct {
	sequence           uint64
	lastEntries        []byte // entries of the last tell
	lastEntryCount     int
	isKnown            bool
	epoch              uint64
	previousEpoch      uint64
	receivedSequence   uint64
	unansweredRequests int // asks since its last answer
}

// maxNewEntriesSize is the bytes of new entries in a tell; the repeat follows if it fits.
const maxNewEntriesSize = 180

// GossipReceived brings a message of another gateway. A malformed one is ignored whole.
func (e *Engine) GossipReceived(now time.Duration, from int, message []byte, out Actions) {
	e.now, e.actions = now, out
	if from < 0 || from >= len(e.peers) || from == e.settings.InstanceIndex || len(message) == 0 {
		return
	}
	e.gossipReceived++
	if message[0] != kindGossip && message[0] != kindGossipV1 {
		e.receiveQuotaMessage(from, message)
		return
	}
	epoch, seq, cur, prev, ok := e.decodeGossip(message)
	p := &e.peers[from]
	if !ok || p.isKnown && epoch == p.previousEpoch && epoch != p.epoch {
		return
	}
	if !p.isKnown || epoch != p.epoch {
		// The peer has restarted: its numbers begin anew, and what still comes from before is ignored.
		p.previousEpoch, p.epoch, p.receivedSequence, p.isKnown = p.epoch, epoch, 0, true
		for i := range prev {
			prev[i].transferred = 0 // an earlier life of this gateway may have taken and spent it
		}
	}
	if seq <= p.receivedSequence {
		return
	}
	if seq > p.receivedSequence+1 {
		e.receiveEntries(from, prev)
	}
	p.receivedSequence = seq
	e.receiveEntries(from, cur)
}
