package gateway

import (
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// maxRequestTransit is how long a request may be on its way beyond its client's deadline.
const maxRequestTransit = 500 * time.Millisecond

// minRetryAfter is the shortest Retry-After of a request whose key no site owns now.
const minRetryAfter = 50 * time.Millisecond

// AgreedVoters are the members that vote, as of an entry of the log; zero at an instance that is no member.
type AgreedVoters struct {
	Index   uint64 // of the entry
	Voters  []uint64
	IsJoint bool // they are being changed
}

// InstallKeyOwners applies an agreed epoch of key owners, and the voters of that moment.
func (in *Instance) InstallKeyOwners(epoch multisite.OwnershipEpoch, agreed AgreedVoters) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.keys.InstallEpoch(now, epoch)
		if in.confirmation != nil {
			in.confirmation.ApplyAgreed(agreed.Index, agreed.Voters, agreed.IsJoint)
		}
	})
}

// ConfirmKeyOwners records that a quorum, asked at a time, has confirmed the epoch in force.
func (in *Instance) ConfirmKeyOwners(askedAt time.Time) {
	in.handleEvent(func(time.Duration, policy.Actions) {
		in.keys.ConfirmEpoch(time.Duration(in.startedAt.UnixNano()) + askedAt.Sub(in.startedAt))
	})
}

// NextMessage returns the next message to the other instances, with maxKeys keys at most, and whether more are due
// now. The last of them carries what else is due. fence returns this member's fence index: see
// [multisite.QuorumConfirmation].
func (in *Instance) NextMessage(maxKeys int, fence func() uint64) (message multisite.Message, hasMore bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		message, hasMore = in.keys.NextBroadcast(now, maxKeys)
		if !hasMore {
			in.addSiteMessages(now, &message, fence)
		}
	})
	return message, hasMore
}

// addSiteMessages adds to a message what this instance reports of the sites, of the recovery ramps and of the
// confirmation of key owners. Called under the mutex.
func (in *Instance) addSiteMessages(now time.Duration, message *multisite.Message, fence func() uint64) {
	if in.health != nil {
		in.recordCapacities(now)
		message.Views = in.health.Views(now)
	}
	if in.ramp != nil && in.health != nil {
		ramp := in.updateRecoveryRamp(now)
		message.Ramp = &ramp
	}
	if in.confirmation != nil {
		confirmation := in.confirmation.NextBroadcast(now, fence())
		message.Confirmation = &confirmation
		in.confirmByQuorum()
	}
}

// recordCapacities gives the judgement of site health the capacity of the servers that this instance reaches itself.
// Called under the mutex.
func (in *Instance) recordCapacities(now time.Duration) {
	for site := range in.siteWatches {
		if in.isRemote(site) {
			in.health.SetRemote(site, true)
		} else {
			in.health.RecordCapacity(site, in.engine.ZoneCapacity(now, site))
		}
	}
}

// ReceiveMessage applies a message of another instance.
func (in *Instance) ReceiveMessage(message multisite.Message) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.keys.Receive(now, message)
		if in.health != nil && message.Views != nil {
			in.health.Receive(now, message.From, message.Views)
		}
		if in.ramp != nil && message.Ramp != nil {
			in.ramp.Receive(now, message.From, *message.Ramp)
		}
		if in.confirmation != nil && message.Confirmation != nil {
			in.confirmation.Receive(message.From, *message.Confirmation)
			in.confirmByQuorum()
		}
	})
}

// confirmByQuorum confirms the key owners in force if a quorum does. Called under the mutex.
func (in *Instance) confirmByQuorum() {
	if confirmedAt, ok := in.confirmation.ConfirmedAt(); ok {
		in.keys.ConfirmEpoch(confirmedAt)
	}
}
