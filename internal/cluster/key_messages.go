package cluster

import (
	"context"
	"encoding/json"
	"time"

	"mulleinmux/internal/gateway"
	"mulleinmux/internal/logging"
	"mulleinmux/multisite"
)

const (
	keyBroadcastInterval = 20 * time.Millisecond
	maxKeysPerMessage    = 400
)

// applyKeyOwnership puts the key ownership of the applied state in force at the instance, together with the
// membership at the same index, and returns its epoch. Without key ownership, or if the Raft node has stopped, it
// returns 0.
func (m *Member) applyKeyOwnership(ctx context.Context) uint64 {
	if m.instanceConfig.Keys == nil {
		return 0
	}
	state, membership, err := m.node.AppliedStateAndMembership(ctx)
	if err != nil {
		return 0
	}
	ownership := keyOwnershipOf(state, membership.Members)
	isDirectSuccessor := m.placement.record(state, &membership)
	m.instance.InstallKeyOwners(ownership.epoch, isDirectSuccessor, gateway.AgreedVoters{
		Index:   membership.AppliedIndex,
		Voters:  membership.Voters,
		IsJoint: membership.IsJoint,
	})
	m.instance.SetAgreedSites(ownership.sites, ownership.keyEighths, membership.Members)
	return ownership.epoch.Number
}

// broadcastKeys broadcasts the keys that this instance has forwarded, its view of the sites' health and its messages on
// recovery ramps to the other members, until ctx ends.
func (m *Member) broadcastKeys(ctx context.Context) {
	runEvery(ctx, keyBroadcastInterval, func() {
		for hasMore := true; hasMore; {
			var message multisite.Message
			message, hasMore = m.instance.NextMessage(maxKeysPerMessage, m.node.FenceIndex)
			if err := m.broadcastJSON(nil, &message); err != nil {
				m.logger.Warn("key broadcast failed", logging.Error(err))
			}
		}
	})
}

// broadcastJSON sends all other members a message that consists of prefix and the JSON encoding of body.
func (m *Member) broadcastJSON(prefix []byte, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return m.node.Broadcast(append(prefix, text...))
}

// receiveMessage handles another member's message about followers or keys. An invalid message is ignored, which
// has the effect of a lost message: a gap in the sequence numbers.
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
