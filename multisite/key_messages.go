package multisite

import (
	"slices"
	"time"
)

// Message is broadcast by an instance to all others. Its JSON is read by instances of other versions.
type Message struct {
	From              uint64               `json:"From"`
	Incarnation       uint64               `json:"Incarnation"`
	SequenceNumber    uint64               `json:"Seq"`               // counts from 1
	Uptime            time.Duration        `json:"Age"`               // uptime of the sender's process
	Epoch             uint64               `json:"Epoch"`             // the sender no longer routes by an older epoch
	SentKeys          []SentKey            `json:"Sent"`              // keys sent since the previous message
	HasUnrecordedKeys bool                 `json:"Full"`              // keys were sent while the ledger was full
	KeyTTL            time.Duration        `json:"Life"`              // longest TTL of the keys sent recently
	Views             []SiteView           `json:"Views,omitempty"`   // for a [HealthMonitor]; nil if unchanged
	Ramp              *RampMessage         `json:"Ramp,omitempty"`    // nil if unchanged
	Confirmation      *ConfirmationMessage `json:"Consent,omitempty"` // nil if unchanged
}

// SentKey is a key that may have run at a site.
type SentKey struct {
	Key            uint64        `json:"Key"`
	Site           string        `json:"Hall"`
	SinceFirstSend time.Duration `json:"Ago"`
}

// peer is the state that another instance has announced.
type peer struct {
	incarnation       uint64
	sequenceNumber    uint64
	epoch             uint64
	completeSince     time.Duration // clock reading since which none of its messages is missing
	hasUnrecordedKeys bool
	keyTTL            time.Duration
}

// NextBroadcast returns the next message to all other instances, with at most maxSentKeys keys, and whether another
// message has to follow at once. It must be called regularly even if no key was sent: other instances wait for the
// message before they route by a new epoch.
func (k *KeyTable) NextBroadcast(now time.Duration, maxSentKeys int) (m Message, more bool) {
	k.expire(now)
	k.lastSequenceNumber++
	count := min(len(k.unannounced), maxSentKeys)
	more = count < len(k.unannounced)
	if !more && k.epoch != nil { // the epoch is announced only after all keys that were sent before it
		k.announcedEpoch = k.epoch.Number
	}
	m = Message{
		From:              k.cfg.InstanceID,
		Incarnation:       k.cfg.Incarnation,
		SequenceNumber:    k.lastSequenceNumber,
		Uptime:            now - k.startedAt,
		Epoch:             k.announcedEpoch,
		SentKeys:          k.sentKeys(now, k.unannounced[:count]),
		HasUnrecordedKeys: now < k.unrecordedKeysExpireAt,
		KeyTTL:            k.ownKeyTTL(now),
	}
	k.unannounced = append([]uint64(nil), k.unannounced[count:]...)
	return m, more
}

// sentKeys returns the given keys that are still in the ledger, with their sites.
func (k *KeyTable) sentKeys(now time.Duration, keys []uint64) (sent []SentKey) {
	for _, key := range keys {
		if entry, isKnown := k.ledger.entries[key]; isKnown {
			sent = append(sent, SentKey{key, k.ledger.siteNames[entry.site], now - entry.firstSentAt})
		}
	}
	return sent
}

func (k *KeyTable) isUnannounced(key uint64) bool { return slices.Contains(k.unannounced, key) }

// Receive handles another instance's message. A message that is reordered, repeated or from an older process is
// ignored. If messages are missing, the sender's announced keys are complete only from this message on.
func (k *KeyTable) Receive(now time.Duration, m Message) {
	if m.From == k.cfg.InstanceID {
		return
	}
	p := k.acceptMessage(now, m)
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

// acceptMessage checks whether messages before this one are missing and returns the state of its sender, or nil if the
// message has to be ignored.
func (k *KeyTable) acceptMessage(now time.Duration, m Message) *peer {
	p := k.peers[m.From]
	switch {
	case p == nil || m.Incarnation > p.incarnation:
		p = &peer{incarnation: m.Incarnation, completeSince: now}
		if m.SequenceNumber == 1 { // complete since the process started; messages of its predecessor may be missing
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

// recordAnnounced records a key that another instance has sent. If the ledger is full, the key counts as a missing
// message.
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
