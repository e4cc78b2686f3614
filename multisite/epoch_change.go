package multisite

import (
	"slices"
	"time"
)

// previousEpoch is an epoch by which other instances may still route.
type previousEpoch struct {
	epoch   *OwnershipEpoch // nil if unknown, as the epoch in force before this process started
	endedAt time.Duration
}

func (p *previousEpoch) hasOwner(key uint64, site string) bool {
	return p.epoch != nil && p.epoch.owner(key) == site
}

// InstallEpoch puts an agreed epoch in force. An epoch that is not newer than the one in force is ignored.
func (k *KeyTable) InstallEpoch(now time.Duration, epoch OwnershipEpoch) {
	if k.epoch != nil {
		if epoch.Number <= k.epoch.Number {
			return
		}
		k.previousEpochs = append(k.previousEpochs, previousEpoch{k.epoch, now})
	}
	k.epoch = epoch.clone()
}

// ConfirmEpoch renews the lease of the epoch in force: a quorum has confirmed that no later epoch had been agreed on
// when the confirmation was requested. See [QuorumConfirmation].
func (k *KeyTable) ConfirmEpoch(requestedAt time.Duration) {
	k.confirmationAt = max(k.confirmationAt, requestedAt)
	k.hasConfirmation = true
}

// hasLease reports whether the lease of the epoch in force has not ended, so that keys may be routed by it.
func (k *KeyTable) hasLease(now time.Duration) bool {
	return k.hasConfirmation && now-k.confirmationAt <= k.cfg.LeaseTTL
}

// dropEndedEpochs drops the previous epochs that ended so long ago that no client still repeats a key that was sent
// under them.
func (k *KeyTable) dropEndedEpochs(now time.Duration) {
	maxAge := k.cfg.LeaseTTL + k.maxKeyTTL(now)
	k.previousEpochs = slices.DeleteFunc(k.previousEpochs, func(p previousEpoch) bool {
		return now-p.endedAt > maxAge
	})
}

// haveAllAnnounced reports whether all instances of a previous epoch and of the epoch in force route by the latter and
// have announced all keys that they sent before.
func (k *KeyTable) haveAllAnnounced(now time.Duration, previous *OwnershipEpoch) bool {
	maxKeyTTL := k.maxKeyTTL(now)
	hasAnnounced := func(instance uint64) bool { return k.hasAnnounced(now, instance, maxKeyTTL) }
	if !all(k.epoch.Instances, hasAnnounced) {
		return false
	}
	if previous == nil {
		// An instance that was removed before this process started has not been able to send since its lease ended.
		return true
	}
	return all(previous.Instances, hasAnnounced)
}

// hasAnnounced reports whether an instance has announced the epoch in force and all keys that clients may still repeat.
func (k *KeyTable) hasAnnounced(now time.Duration, instance uint64, maxKeyTTL time.Duration) bool {
	if instance == k.cfg.InstanceID {
		// The keys that the previous process of this instance has sent are unknown.
		return now-k.startedAt > maxKeyTTL && now >= k.unrecordedKeysExpireAt
	}
	p := k.peers[instance]
	return p != nil && p.epoch >= k.epoch.Number && !p.hasUnrecordedKeys && now-p.completeSince > maxKeyTTL
}

func all[T any](items []T, holds func(T) bool) bool {
	return !slices.ContainsFunc(items, func(item T) bool { return !holds(item) })
}
