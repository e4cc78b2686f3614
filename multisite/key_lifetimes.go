package multisite

import (
	"slices"
	"time"
)

// lifetimes are previous values of the key TTL and the deduplication window.
type lifetimes struct {
	keyTTL              time.Duration
	deduplicationWindow time.Duration
	until               time.Duration // time until which they still apply
}

// SetLifetimes changes how long clients repeat keys and how long sites drop the repeats. A longer TTL and a shorter
// deduplication window apply at once. The previous values also apply until no request that was sent under them can
// arrive any more. Other instances may adopt the new values later: each announces its own TTL, and the longest applies.
// Values that are not above 0 are ignored.
func (k *KeyTable) SetLifetimes(now, keyTTL, deduplicationWindow time.Duration) {
	if keyTTL <= 0 || deduplicationWindow <= 0 {
		return
	}
	if keyTTL == k.cfg.KeyTTL && deduplicationWindow == k.cfg.DeduplicationWindow {
		return
	}
	k.previousLifetimes = append(k.previousLifetimes, lifetimes{
		keyTTL:              k.cfg.KeyTTL,
		deduplicationWindow: k.cfg.DeduplicationWindow,
		until:               now + k.cfg.LeaseTTL + k.cfg.KeyTTL,
	})
	k.cfg.KeyTTL = keyTTL
	k.cfg.DeduplicationWindow = deduplicationWindow
}

// ownKeyTTL returns the longest TTL of the keys that this instance has sent recently.
func (k *KeyTable) ownKeyTTL(now time.Duration) time.Duration {
	k.previousLifetimes = slices.DeleteFunc(k.previousLifetimes, func(l lifetimes) bool { return now >= l.until })
	ttl := k.cfg.KeyTTL
	for _, l := range k.previousLifetimes {
		ttl = max(ttl, l.keyTTL)
	}
	return ttl
}

// maxKeyTTL returns the longest key TTL of this instance and of all others that have announced theirs.
func (k *KeyTable) maxKeyTTL(now time.Duration) time.Duration {
	ttl := k.ownKeyTTL(now)
	for _, p := range k.peers {
		ttl = max(ttl, p.keyTTL)
	}
	return ttl
}

// repeatWindow returns the time from the first attempt with a key for which a further attempt may begin: it arrives
// while every site is certain to drop repeats.
func (k *KeyTable) repeatWindow() time.Duration {
	window := k.cfg.DeduplicationWindow
	for _, l := range k.previousLifetimes {
		window = min(window, l.deduplicationWindow)
	}
	return window - k.cfg.MaxSendDelay
}

// retention returns the time for which a key stays in the ledger: while its site drops repeats and, after that, for as
// long as its client may repeat it.
func (k *KeyTable) retention(now time.Duration) time.Duration {
	window := k.cfg.DeduplicationWindow
	for _, l := range k.previousLifetimes {
		window = max(window, l.deduplicationWindow)
	}
	return window + k.maxKeyTTL(now)
}
