package quota

import "time"

// peerCount is the number of attempts in flight that a peer last reported for a customer.
type peerCount struct {
	inFlight   int
	receivedAt time.Duration
}

// peer is the state of the gossip exchanged with one peer. Each message repeats the entries of the previous one, so
// that a single loss has no effect. Sequence numbers distinguish lost, repeated and reordered messages. Each process of
// the peer has its own random epoch, in which its sequence numbers restart.
type peer struct {
	sequence uint64         // of the last message sent
	sent     encodedEntries // entries of that message

	isKnown          bool   // a message has been received from the peer
	epoch            uint64 // of the last message received
	previousEpoch    uint64 // of the peer's previous process
	receivedSequence uint64 // highest received in this epoch
}

// needsMessage reports whether a message has to be sent: for new entries, or to repeat the entries of the last message.
func (p *peer) needsMessage(entries encodedEntries) bool {
	return entries.count > 0 || p.sent.count > 0
}

// nextMessage encodes the next message to the peer.
func (p *peer) nextMessage(epoch uint64, entries encodedEntries) []byte {
	p.sequence++
	message := encodeGossip(epoch, p.sequence, entries, p.sent)
	p.sent = entries
	return message
}

// acceptMessage records the epoch and sequence number of a message and returns those of its entries that were not
// received before. Messages of the peer's previous process are ignored.
func (p *peer) acceptMessage(m GossipMessage) []Entry {
	isFromPreviousProcess := m.Epoch == p.previousEpoch && m.Epoch != p.epoch
	if p.isKnown && isFromPreviousProcess {
		return nil
	}
	if !p.isKnown || m.Epoch != p.epoch {
		p.startEpoch(m.Epoch)
		// An earlier process of this instance may have received and spent these transfers.
		for i := range m.PreviousEntries {
			m.PreviousEntries[i].Transferred = 0
		}
	}
	if m.Sequence <= p.receivedSequence {
		return nil
	}
	hasGap := m.Sequence > p.receivedSequence+1
	p.receivedSequence = m.Sequence
	if hasGap {
		return append(m.PreviousEntries, m.Entries...)
	}
	return m.Entries
}

// startEpoch restarts the received sequence numbers for a peer that has restarted.
func (p *peer) startEpoch(epoch uint64) {
	p.previousEpoch, p.epoch = p.epoch, epoch
	p.receivedSequence = 0
	p.isKnown = true
}
