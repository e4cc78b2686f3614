package multisite

import (
	"slices"
	"time"
)

// previousEpoch is an epoch by which other instances may still route. If its epoch is nil, it represents all epochs
// that this instance has not received: nothing is known of their owners and their instances, so that only time ends
// them.
type previousEpoch struct {
	epoch   *OwnershipEpoch
	endedAt time.Duration // when this instance installed a later epoch, which had been agreed on before
}

func (p *previousEpoch) hasOwner(key uint64, site string) bool {
	return p.epoch != nil && p.epoch.owner(key) == site
}

// InstallEpoch puts an agreed epoch in force, or changes the instances of the epoch in force. An epoch that is older
// than the one in force is ignored.
//
// isDirectSuccessor reports that no other change of sites or instances was agreed on between the last call and this
// one. If it is false, which is always safe, epochs may have been in force at other instances that this instance never
// received. The argument has no effect on the first epoch of a process, before which all epochs are unknown.
func (k *KeyTable) InstallEpoch(now time.Duration, epoch OwnershipEpoch, isDirectSuccessor bool) {
	isFirst := k.epoch == nil
	switch {
	case !isFirst && epoch.isOlderThan(k.epoch):
		return
	case !isFirst && isDirectSuccessor && epoch.isSameAs(k.epoch):
		return
	}
	k.dropEndedEpochs(now)
	if !isFirst {
		k.previousEpochs = append(k.previousEpochs, previousEpoch{k.epoch, now})
	}
	if isFirst || !isDirectSuccessor {
		k.previousEpochs = append(k.previousEpochs, previousEpoch{nil, now})
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
// have announced all keys that they sent before. It returns false if the previous epoch is unknown, since an instance
// that had a part in it may have been removed.
func (k *KeyTable) haveAllAnnounced(now time.Duration, previous *OwnershipEpoch) bool {
	if previous == nil {
		return false
	}
	maxKeyTTL := k.maxKeyTTL(now)
	hasAnnounced := func(instance uint64) bool { return k.hasAnnounced(now, instance, maxKeyTTL) }
	return all(k.epoch.Instances, hasAnnounced) && all(previous.Instances, hasAnnounced)
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
