package cluster

import (
	"context"
	"encoding/json"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/multisite"
)

const (
	keyBroadcastInterval = 20 * time.Millisecond
	maxKeysPerMessage    = 400
)

// applyKeyOwnership puts the key ownership of the applied state in force at the instance, together with the members of
// the same moment, and returns its epoch. Without key ownership, or if the state can't be had, it returns 0.
func (m *Member) applyKeyOwnership(ctx context.Context) uint64 {
	if m.instanceConfig.Keys == nil {
		return 0
	}
	state, moment, err := m.node.AppliedStateAndMembership(ctx)
	if err != nil {
		return 0
	}
	ownership := keyOwnershipOf(state, moment.Members)
	m.instance.InstallKeyOwners(ownership.epoch, moment.AppliedIndex, moment.Voters, moment.IsJoint)
	m.instance.SetAgreedSites(ownership.sites, ownership.keyEighths, moment.Members)
	return ownership.epoch.Number
}

// broadcastKeys sends the other members, until ctx ends, which keys this instance has sent on, its view of the sites'
// health and its part of recovery ramps.
func (m *Member) broadcastKeys(ctx context.Context) {
	tick := time.NewTicker(keyBroadcastInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for hasMore := true; hasMore; {
			var message multisite.Message
			message, hasMore = m.instance.NextMessage(maxKeysPerMessage, m.node.FenceIndex)
			if err := m.broadcastJSON(nil, &message); err != nil {
				m.logger.Warn("key broadcast failed", logging.Error(err))
			}
		}
	}
}

// broadcastJSON sends all other members a message: prefix and the JSON text of body.
func (m *Member) broadcastJSON(prefix []byte, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return m.node.Broadcast(append(prefix, text...))
}

// receiveMessage takes in another member's message, on followers or on keys. One that can't be used is dropped: the
// receiver sees a gap in the sequence numbers, as after a loss.
func (m *Member) receiveMessage(from uint64, text []byte) {
	if isFollowerMessage(text) {
		m.followers.receiveMessage(from, text)
		return
	}
	instance := m.startedInstance()
	if instance == nil || m.instanceConfig.Keys == nil {
		return
	}
	var message multisite.Message
	if err := json.Unmarshal(text, &message); err != nil || message.From != from {
		return
	}
	instance.ReceiveMessage(message)
}
