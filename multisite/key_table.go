package multisite

import (
	"errors"
	"time"
)

// KeyConfig configures a [KeyTable].
type KeyConfig struct {
	InstanceID  uint64
	Incarnation uint64        // number of this process, above those of its predecessors
	LeaseTTL    time.Duration // time after the confirmation of an epoch for which keys may be routed by it

	// KeyTTL is the time from a client's first attempt with a key until no repeat can arrive any more.
	// DeduplicationWindow is the time for which a site drops repeats, from the first attempt that may have run.
	// [KeyTable.SetLifetimes] changes both.
	KeyTTL              time.Duration
	DeduplicationWindow time.Duration

	// MaxSendDelay is the longest time from the call of [KeyTable.BeginAttempt] until the attempt arrives at its site,
	// which must still drop repeats then.
	MaxSendDelay time.Duration

	MaxKeys int // maximum number of keys in the ledger
}

// KeyTable routes keyed requests at one instance. As long as each instance calls BeginAttempt before each attempt and
// sends each broadcast, no key is sent to a site while an attempt at another site may have run.
//
// It is not safe for concurrent use.
type KeyTable struct {
	cfg       KeyConfig
	startedAt time.Duration

	epoch           *OwnershipEpoch // epoch in force; nil if there is none yet
	previousEpochs  []previousEpoch
	confirmationAt  time.Duration // when the newest confirmation of the epoch was requested
	hasConfirmation bool

	ledger                 keyLedger
	unrecordedKeysExpireAt time.Duration // until then, clients may repeat keys that were sent while the ledger was full
	previousLifetimes      []lifetimes   // previous values that still apply

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
		cfg:       cfg,
		startedAt: now,
		ledger:    newKeyLedger(cfg.MaxKeys),
		peers:     map[uint64]*peer{},
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
		return k.beginUnrecordedAttempt(now)
	default:
		entry = ledgerEntry{site: k.ledger.siteIndex(site), inFlight: 1, firstSentAt: now}
		k.ledger.add(key, entry, now+k.retention(now))
		k.unannounced = append(k.unannounced, key)
	}
	return true
}

// beginUnrecordedAttempt reports whether a key may be sent although the ledger is too full to record it. This is safe
// while the key's owner does not change; after a change, all instances wait until no client can repeat the key. If a
// site might stop dropping repeats of the key while its client still repeats it, the key must not be sent.
func (k *KeyTable) beginUnrecordedAttempt(now time.Duration) bool {
	if k.repeatWindow() < k.maxKeyTTL(now) {
		return false
	}
	k.unrecordedKeysExpireAt = now + k.maxKeyTTL(now)
	return true
}

// EndAttempt records the outcome of an attempt that [KeyTable.BeginAttempt] allowed. A key that never ran is
// dropped, unless another attempt may have run or the key has been announced to other instances: those route it to that
// site only, and so must this instance.
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
