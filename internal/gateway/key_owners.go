package gateway

import (
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// maxRequestTransit is how long a request may be on its way beyond its client's deadline.
const maxRequestTransit = 500 * time.Millisecond

// minRetryAfter is the least that a client is told to wait where its key has no site now.
const minRetryAfter = 50 * time.Millisecond

// InstallKeyOwners takes over an agreed epoch of key owners: what an entry of the log, the voters of that moment
// (joint: they change) and all before it come to.
func (in *Instance) InstallKeyOwners(h multisite.OwnershipEpoch, index uint64, voters []uint64, joint bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.keys.InstallEpoch(now, h)
		if in.confirmation != nil {
			in.confirmation.ApplyAgreed(index, voters, joint)
		}
	})
}

// ConfirmKeyOwners tells that the epoch in force was confirmed by a quorum that was asked at a time.
func (in *Instance) ConfirmKeyOwners(asked time.Time) {
	in.handleEvent(func(time.Duration, policy.Actions) {
		in.keys.ConfirmEpoch(time.Duration(in.startedAt.UnixNano()) + asked.Sub(in.startedAt))
	})
}

// NextMessage is [multisite.KeyTable.NextBroadcast], with what else goes to the other instances. fence tells this member's: see
// [multisite.QuorumConfirmation].
func (in *Instance) NextMessage(most int, fence func() uint64) (m multisite.Message, more bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if m, more = in.keys.NextBroadcast(now, most); more {
			return
		}
		if in.health != nil {
			for name := range in.siteWatches {
				if in.isRemote(name) {
					in.health.SetRemote(name, true)
				} else {
					in.health.RecordCapacity(name, in.engine.ZoneCapacity(now, name))
				}
			}
			m.Views = in.health.Views(now)
		}
		if in.ramp != nil && in.health != nil {
			w := in.updateRecoveryRamp(now)
			m.Ramp = &w
		}
		if in.confirmation != nil {
			w := in.confirmation.NextBroadcast(now, fence())
			m.Confirmation = &w
			in.confirmByQuorum()
		}
	})
	return m, more
}

// ReceiveMessage is [multisite.KeyTable.Receive].
func (in *Instance) ReceiveMessage(m multisite.Message) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.keys.Receive(now, m)
		if in.health != nil && m.Views != nil {
			in.health.Receive(now, m.From, m.Views)
		}
		if in.ramp != nil && m.Ramp != nil {
			in.ramp.Receive(now, m.From, *m.Ramp)
		}
		if in.confirmation != nil && m.Confirmation != nil {
			in.confirmation.Receive(m.From, *m.Confirmation)
			in.confirmByQuorum()
		}
	})
}

// confirmByQuorum confirms the key owners in force where enough others consent. Called under the mutex.
func (in *Instance) confirmByQuorum() {
	if at, ok := in.confirmation.ConfirmedAt(); ok {
		in.keys.ConfirmEpoch(at)
	}
}
