package multisite

import (
	"slices"
	"time"
)

// Message is what an instance broadcasts to all others. Its JSON is read by instances of other versions.
type Message struct {
	From              uint64               `json:"From"`
	Incarnation       uint64               `json:"Incarnation"`
	SequenceNumber    uint64               `json:"Seq"`               // counts from 1
	Uptime            time.Duration        `json:"Age"`               // of the sender's process
	Epoch             uint64               `json:"Epoch"`             // it sends by no older one from here on
	SentKeys          []SentKey            `json:"Sent"`              // since the message before
	HasUnrecordedKeys bool                 `json:"Full"`              // it has sent keys that its ledger had no room for
	KeyTTL            time.Duration        `json:"Life"`              // of the keys that it has sent recently
	Views             []SiteView           `json:"Views,omitempty"`   // see [HealthMonitor]; nil: as before
	Ramp              *RampMessage         `json:"Ramp,omitempty"`    // nil: as before
	Confirmation      *ConfirmationMessage `json:"Consent,omitempty"` // nil: as before
}

// SentKey is a key that may have run.
type SentKey struct {
	Key            uint64        `json:"Key"`
	Site           string        `json:"Hall"`
	SinceFirstSend time.Duration `json:"Ago"`
}

// peer is what another instance has announced.
type peer struct {
	incarnation       uint64
	sequenceNumber    uint64
	epoch             uint64
	completeSince     time.Duration // since then none of its messages is missing
	hasUnrecordedKeys bool
	keyTTL            time.Duration
}

// NextBroadcast returns the next message to all other instances, with maxSentKeys keys at the most, and whether there
// is more to broadcast at once. It must go out regularly even if nothing was sent: other instances wait for it before
// they route by a new epoch.
func (k *KeyTable) NextBroadcast(now time.Duration, maxSentKeys int) (m Message, more bool) {
	k.expire(now)
	k.lastSequenceNumber++
	count := min(len(k.unannounced), maxSentKeys)
	more = count < len(k.unannounced)
	if !more && k.epoch != nil { // an epoch is announced behind all that was sent before it
		k.announcedEpoch = k.epoch.Number
	}
	m = Message{
		From:              k.cfg.InstanceID,
		Incarnation:       k.cfg.Incarnation,
		SequenceNumber:    k.lastSequenceNumber,
		Uptime:            now - k.startedAt,
		Epoch:             k.announcedEpoch,
		SentKeys:          k.sentKeys(now, k.unannounced[:count]),
		HasUnrecordedKeys: now < k.unrecordedUntil,
		KeyTTL:            k.ownKeyTTL(now),
	}
	k.unannounced = append([]uint64(nil), k.unannounced[count:]...)
	return m, more
}

// sentKeys lists those of some keys that are still in the ledger.
func (k *KeyTable) sentKeys(now time.Duration, keys []uint64) (sent []SentKey) {
	for _, key := range keys {
		if entry, isKnown := k.ledger.entries[key]; isKnown {
			sent = append(sent, SentKey{key, k.ledger.siteNames[entry.site], now - entry.firstSentAt})
		}
	}
	return sent
}

func (k *KeyTable) isUnannounced(key uint64) bool { return slices.Contains(k.unannounced, key) }

// Receive takes in another instance's message. One that is late, repeated or from an older process is dropped; one
// behind a gap counts as the first.
func (k *KeyTable) Receive(now time.Duration, m Message) {
	if m.From == k.cfg.InstanceID {
		return
	}
	p := k.acceptFrom(now, m)
	if p == nil {
		return
	}
	p.sequenceNumber = m.SequenceNumber
	p.epoch = max(p.epoch, m.Epoch)
	p.hasUnrecordedKeys = m.HasUnrecordedKeys
	p.keyTTL = m.KeyTTL
	k.expire(now)
	for _, sent := range m.SentKeys {
		k.recordAnnounced(now, p, sent)
	}
}

// acceptFrom returns the sender of a message, up to date as to gaps before it; nil if the message is to be dropped.
func (k *KeyTable) acceptFrom(now time.Duration, m Message) *peer {
	p := k.peers[m.From]
	switch {
	case p == nil || m.Incarnation > p.incarnation:
		p = &peer{incarnation: m.Incarnation, completeSince: now}
		if m.SequenceNumber == 1 { // what the process before it sent may be missing
			p.completeSince = now - m.Uptime
		}
		k.peers[m.From] = p
	case m.Incarnation < p.incarnation || m.SequenceNumber <= p.sequenceNumber:
		return nil
	case m.SequenceNumber != p.sequenceNumber+1:
		p.completeSince = now
	}
	return p
}

// recordAnnounced notes a key that another instance has sent. One that the ledger has no room for counts as a message
// that was missed.
func (k *KeyTable) recordAnnounced(now time.Duration, p *peer, sent SentKey) {
	entry, isKnown := k.ledger.entries[sent.Key]
	switch {
	case isKnown:
		entry.mayHaveRun = true
		k.ledger.entries[sent.Key] = entry
	case k.ledger.isFull():
		p.completeSince = now
	default:
		entry = ledgerEntry{
			site:        k.ledger.siteIndex(sent.Site),
			firstSentAt: now - sent.SinceFirstSend,
			mayHaveRun:  true,
		}
		k.ledger.add(sent.Key, entry, now+k.retention(now))
	}
}
