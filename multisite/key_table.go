package multisite

import (
	"errors"
	"time"
)

// KeyConfig configures a [KeyTable].
type KeyConfig struct {
	InstanceID  uint64
	Incarnation uint64        // of this process: above those of its predecessors
	LeaseTTL    time.Duration // for which keys may be routed by an epoch after its confirmation

	// KeyTTL is the time from a client's first attempt with a key until no repeat can arrive any more.
	// DeduplicationWindow is the time for which a site drops repeats, from the first attempt that may have run.
	// [KeyTable.SetLifetimes] changes both.
	KeyTTL              time.Duration
	DeduplicationWindow time.Duration

	MaxKeys int // in the ledger
}

// KeyTable routes keyed requests at one instance. As long as each instance calls BeginAttempt before each attempt and
// sends each broadcast, no key is sent to a site while an attempt at another site may have run.
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
	unrecordedUntil   time.Duration // until then, keys sent while the ledger was full may be repeated
	previousLifetimes []lifetimes   // that still apply

	peers              map[uint64]*peer
	unannounced        []uint64 // sent keys that have not been broadcast yet
	lastSequenceNumber uint64
	announcedEpoch     uint64
}

// NewKeyTable returns a table without an epoch. The error names the fields that are out of range.
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

// Len returns the number of keys in the ledger.
func (k *KeyTable) Len() int { return len(k.ledger.entries) }

// BeginAttempt records that an attempt is about to be sent to a site. If it returns false, the attempt must not be
// sent.
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

// beginUnrecorded reports whether a key may be sent while the ledger is full. It may as long as its owner does not
// change; after a change, all instances wait until no client can repeat it. If a site might forget the key while its
// client still repeats it, it must not be sent.
func (k *KeyTable) beginUnrecorded(now time.Duration) bool {
	if k.minDeduplicationWindow() < k.maxKeyTTL(now) {
		return false
	}
	k.unrecordedUntil = now + k.maxKeyTTL(now)
	return true
}

// EndAttempt records the outcome of an attempt that [KeyTable.BeginAttempt] allowed. A key that never ran is
// dropped, unless another attempt may have run or it has been announced to other instances: these route it to that
// site only, and so must this one.
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
