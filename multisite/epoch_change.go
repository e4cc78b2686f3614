package multisite

import (
	"slices"
	"time"
)

// previousEpoch is one that other instances may still send by.
type previousEpoch struct {
	epoch   *OwnershipEpoch // nil: whichever was in force before this process started
	endedAt time.Duration
}

func (p *previousEpoch) hasOwner(key uint64, site string) bool {
	return p.epoch != nil && p.epoch.owner(key) == site
}

// InstallEpoch puts an agreed epoch in force. One that is not newer than the epoch in force is dropped.
func (k *KeyTable) InstallEpoch(now time.Duration, epoch OwnershipEpoch) {
	if k.epoch != nil {
		if epoch.Number <= k.epoch.Number {
			return
		}
		k.previousEpochs = append(k.previousEpochs, previousEpoch{k.epoch, now})
	}
	k.epoch = epoch.clone()
}

// ConfirmEpoch renews the lease: a quorum that was asked at a time has confirmed that by then no epoch behind the one
// in force was agreed on. See [QuorumConfirmation].
func (k *KeyTable) ConfirmEpoch(requestedAt time.Duration) {
	k.confirmationAt = max(k.confirmationAt, requestedAt)
	k.hasConfirmation = true
}

// hasLease reports whether the epoch in force may be routed by.
func (k *KeyTable) hasLease(now time.Duration) bool {
	return k.hasConfirmation && now-k.confirmationAt <= k.cfg.LeaseTTL
}

// dropEndedEpochs drops the epochs by which nobody can have sent for so long that no client repeats what was sent by
// them.
func (k *KeyTable) dropEndedEpochs(now time.Duration) {
	fence := k.cfg.LeaseTTL + k.maxKeyTTL(now)
	k.previousEpochs = slices.DeleteFunc(k.previousEpochs, func(p previousEpoch) bool {
		return now-p.endedAt > fence
	})
}

// hasHeardAll reports whether all other instances, those of a previous epoch and those of the one in force, send by the
// latter and have announced all that they sent before.
func (k *KeyTable) hasHeardAll(now time.Duration, previous *OwnershipEpoch) bool {
	maxKeyTTL := k.maxKeyTTL(now)
	isHeard := func(instance uint64) bool { return k.hasHeard(now, instance, maxKeyTTL) }
	if !all(k.epoch.Instances, isHeard) {
		return false
	}
	if previous == nil {
		// An instance that had left by this process's start has sent nothing for a lease: the fence of its own
		// epoch holds.
		return true
	}
	return all(previous.Instances, isHeard)
}

// hasHeard reports whether an instance has announced the epoch in force and all keys that clients may still repeat.
func (k *KeyTable) hasHeard(now time.Duration, instance uint64, maxKeyTTL time.Duration) bool {
	if instance == k.cfg.InstanceID {
		// What the process before this one sent is not known.
		return now-k.startedAt > maxKeyTTL && now >= k.unrecordedUntil
	}
	p := k.peers[instance]
	return p != nil && p.epoch >= k.epoch.Number && !p.hasUnrecordedKeys && now-p.completeSince > maxKeyTTL
}

func all[T any](items []T, holds func(T) bool) bool {
	return !slices.ContainsFunc(items, func(item T) bool { return !holds(item) })
}
