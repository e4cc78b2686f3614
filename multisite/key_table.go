package multisite

import (
	"errors"
	"time"
)

// KeyConfig holds what a [KeyTable] needs to know of its instance.
type KeyConfig struct {
	InstanceID  uint64
	Incarnation uint64        // of this process: above those of the processes before it
	LeaseTTL    time.Duration // for which an epoch may be routed by after it was confirmed

	// KeyTTL lasts from a client's first attempt with a key until nothing of it can arrive any more, and
	// DeduplicationWindow is for how long a site drops repeats, from the first attempt that may have run.
	// [KeyTable.SetLifetimes] changes both.
	KeyTTL              time.Duration
	DeduplicationWindow time.Duration

	MaxKeys int // in the ledger
}

// KeyTable routes keyed requests at one instance. While each instance asks its table before each attempt and passes on
// each broadcast, no key is sent to a site while an attempt at another site may have run.
//
// It is not safe for concurrent use.
type KeyTable struct {
	cfg       KeyConfig
	startedAt time.Duration

	epoch           *OwnershipEpoch // in force; nil: none yet
	previousEpochs  []previousEpoch
	confirmationAt  time.Duration // when the newest confirmation of the epoch was requested
	hasConfirmation bool

	ledger            keyLedger
	unrecordedUntil   time.Duration // until then, keys that the ledger had no room for may still be repeated
	previousLifetimes []lifetimes   // that still count

	peers              map[uint64]*peer
	unannounced        []uint64 // sent keys that no broadcast has named yet
	lastSequenceNumber uint64
	announcedEpoch     uint64
}

// NewKeyTable returns a table without an epoch. An error names the figure that is out of range.
func NewKeyTable(cfg KeyConfig, now time.Duration) (*KeyTable, error) {
	switch {
	case cfg.LeaseTTL <= 0 || cfg.KeyTTL <= 0 || cfg.MaxKeys <= 0:
		return nil, errors.New("multisite: LeaseTTL, KeyTTL and MaxKeys must be above 0")
	case cfg.DeduplicationWindow <= 0:
		return nil, errors.New("multisite: DeduplicationWindow must be above 0")
	}
	return &KeyTable{
		cfg:            cfg,
		startedAt:      now,
		previousEpochs: []previousEpoch{{epoch: nil, endedAt: now}},
		ledger:         newKeyLedger(cfg.MaxKeys),
		peers:          map[uint64]*peer{},
	}, nil
}

// Len is the number of keys in the ledger.
func (k *KeyTable) Len() int { return len(k.ledger.entries) }

// BeginAttempt records that an attempt is about to be written to a site. If it returns false, it must not be.
func (k *KeyTable) BeginAttempt(now time.Duration, key uint64, site string) bool {
	if d := k.Route(now, key); d.Site == "" || d.Site != site {
		return false
	}
	k.expire(now)
	entry, isKnown := k.ledger.entries[key]
	switch {
	case isKnown:
		entry.inFlight++
		k.ledger.entries[key] = entry
	case k.ledger.isFull():
		return k.beginUnrecorded(now)
	default:
		entry = ledgerEntry{site: k.ledger.siteIndex(site), inFlight: 1, firstSentAt: now}
		k.ledger.add(key, entry, now+k.retention(now))
		k.unannounced = append(k.unannounced, key)
	}
	return true
}

// beginUnrecorded reports whether a key that the ledger has no room for may be sent. Its owner is safe as long as
// ownership stays; when it moves, the passing of time is all that counts. A site that forgets the key sooner than its
// client does must not get it.
func (k *KeyTable) beginUnrecorded(now time.Duration) bool {
	if k.minDeduplicationWindow() < k.maxKeyTTL(now) {
		return false
	}
	k.unrecordedUntil = now + k.maxKeyTTL(now)
	return true
}

// EndAttempt records the outcome of an attempt that [KeyTable.BeginAttempt] let through. A key that never ran leaves no
// trace, unless another attempt may have run or other instances were told that it may have: they send it to that site
// alone, and so must this one.
func (k *KeyTable) EndAttempt(key uint64, neverRan bool) {
	entry, isKnown := k.ledger.entries[key]
	if !isKnown || entry.inFlight == 0 {
		return
	}
	entry.inFlight--
	entry.mayHaveRun = entry.mayHaveRun || !neverRan
	if !entry.mayHaveRun && entry.inFlight == 0 {
		if k.isUnannounced(key) {
			delete(k.ledger.entries, key)
			return
		}
		entry.mayHaveRun = true
	}
	k.ledger.entries[key] = entry
}

// expire drops the keys that no client repeats any more.
func (k *KeyTable) expire(now time.Duration) { k.ledger.expire(now, k.retention(now)) }
