package policy

import (
	"time"

	"mulleinmux/policy/quota"
)

// newQuotaFleet returns the fleet that the settings describe, as seen from this instance.
func newQuotaFleet(s *Settings) quota.Fleet {
	return quota.Fleet{
		InstanceIndex:      s.InstanceIndex,
		InstanceCount:      s.InstanceCount,
		AllowsGossip:       s.AllowsGossip,
		GossipInterval:     quota.GossipInterval(s.GossipInboxRate, s.InstanceCount, s.MinEventInterval),
		MaxGossipInboxRate: s.GossipInboxRate,
	}
}

// GossipReceived handles a message from another instance. It ignores malformed messages and invalid sender indexes.
func (e *Engine) GossipReceived(now time.Duration, from int, message []byte, actions Actions) {
	e.beginEvent(now, actions)
	if from < 0 || from >= e.settings.InstanceCount || from == e.settings.InstanceIndex || len(message) == 0 {
		return
	}
	e.gossip.CountMessage()
	if !quota.IsGossip(message) {
		e.receiveQuotaMessage(from, message)
		return
	}
	decoded, err := e.quotas.Codec().DecodeGossip(message)
	if err != nil {
		return
	}
	e.quotas.ReceiveEntries(from, e.gossip.AcceptMessage(from, decoded), now)
}

// Quotas returns the customers' quotas. The host hands them over at a hot restart, and reads the units beyond them.
func (e *Engine) Quotas() *quota.Table { return &e.quotas }
