package policy

import "time"

// peerCount is what a peer told last of its attempts in flight.
type peerCount struct {
	inFlight   int
	receivedAt time.Duration
}

// peer numbers the gossip to and from one peer. Each message repeats the entries of the one before, so that a single
// loss costs nothing; sequence numbers tell lost, repeated and late messages apart. Each process of the peer has an
// epoch of its own, drawn at its start, in which its numbers begin anew.
type peer struct {
	sequence uint64         // of the last message sent
	sent     encodedEntries // its entries

	isKnown          bool
	epoch            uint64
	previousEpoch    uint64
	receivedSequence uint64
}

// needsMessage reports whether a message with the entries would tell the peer anything: these, or again those before.
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

// newEntries notes that a message has come and returns those of its entries that were not received before.
func (p *peer) newEntries(m gossipMessage) []gossipEntry {
	isOfOldProcess := m.epoch == p.previousEpoch && m.epoch != p.epoch
	if p.isKnown && isOfOldProcess {
		return nil
	}
	if !p.isKnown || m.epoch != p.epoch {
		p.startEpoch(m.epoch)
		// An earlier process of this instance may have taken and spent what was transferred then.
		for i := range m.previousEntries {
			m.previousEntries[i].transferred = 0
		}
	}
	if m.sequence <= p.receivedSequence {
		return nil
	}
	missedOne := m.sequence > p.receivedSequence+1
	p.receivedSequence = m.sequence
	if missedOne {
		return append(m.previousEntries, m.entries...)
	}
	return m.entries
}

// startEpoch begins to number the messages of a peer that has restarted.
func (p *peer) startEpoch(epoch uint64) {
	p.previousEpoch, p.epoch = p.epoch, epoch
	p.receivedSequence = 0
	p.isKnown = true
}
