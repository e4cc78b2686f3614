package multisite

import (
	"slices"
	"time"
)

// keyLedger records at which site a key may have run. Invariant: each entry has an expiration that is due no later than
// the entry itself. Expirations of dropped entries are skipped.
type keyLedger struct {
	maxKeys     int
	siteNames   []string // entries refer to them by index
	entries     map[uint64]ledgerEntry
	expirations []keyExpiration // in the order in which they were added
}

// ledgerEntry is a key that may have run or has an attempt in flight.
type ledgerEntry struct {
	site        uint16 // index in keyLedger.siteNames
	inFlight    uint16 // number of this instance's attempts in flight
	firstSentAt time.Duration
	mayHaveRun  bool // an attempt that has ended may have run, or another instance has announced the key
}

type keyExpiration struct {
	dueAt time.Duration
	key   uint64
}

func newKeyLedger(maxKeys int) keyLedger {
	return keyLedger{maxKeys: maxKeys, entries: map[uint64]ledgerEntry{}}
}

func (l *keyLedger) isFull() bool { return len(l.entries) >= l.maxKeys }

func (l *keyLedger) add(key uint64, entry ledgerEntry, expiresAt time.Duration) {
	l.entries[key] = entry
	l.expirations = append(l.expirations, keyExpiration{expiresAt, key})
}

// siteIndex returns a site's index in siteNames, to which it adds a new name.
func (l *keyLedger) siteIndex(site string) uint16 {
	if i := slices.Index(l.siteNames, site); i >= 0 {
		return uint16(i)
	}
	l.siteNames = append(l.siteNames, site)
	return uint16(len(l.siteNames) - 1)
}

// expire drops the entries whose retention has passed. If the retention has grown since an entry was added, the entry
// gets a later expiration.
func (l *keyLedger) expire(now, retention time.Duration) {
	done := 0
	for end := len(l.expirations); done < end && l.expirations[done].dueAt <= now; done++ {
		key := l.expirations[done].key
		entry, isKnown := l.entries[key]
		if !isKnown {
			continue
		}
		if dueAt := entry.firstSentAt + retention; now < dueAt {
			l.expirations = append(l.expirations, keyExpiration{dueAt, key})
			continue
		}
		delete(l.entries, key)
	}
	l.expirations = l.expirations[done:]
}
