package policy

import "time"

const (
	minGossipInterval    = 40 * time.Millisecond
	gossipIntervalFactor = 1.3 // interval as a multiple of what the inbox limit allows
)

// gossipState is what an instance keeps for its gossip. Invariant: pending holds just the quotas whose needsGossip is
// set.
type gossipState struct {
	epoch    uint64 // tells this process from those before it
	peers    []peer // by instance
	interval time.Duration
	pending  []*customerQuota // to be told with the next broadcast
	received float64          // messages in this sample
	rate     float64          // received a second, moving average
}

func newGossipState(epoch uint64, instanceCount int) gossipState {
	return gossipState{epoch: epoch, peers: make([]peer, instanceCount)}
}

// gossipInterval returns the time between broadcasts: as short as the inboxes of the peers allow, if they are limited.
func (s *Settings) gossipInterval() time.Duration {
	if s.GossipInboxRate <= 0 {
		return sampleInterval
	}
	peers := float64(s.InstanceCount - 1)
	interval := time.Duration(gossipIntervalFactor * peers / s.GossipInboxRate * float64(time.Second))
	return max(interval, s.MinEventInterval, minGossipInterval)
}

// mark adds a quota to those that the next broadcast tells of.
func (g *gossipState) mark(quota *customerQuota) {
	if !quota.needsGossip {
		quota.needsGossip = true
		g.pending = append(g.pending, quota)
	}
}

// endBroadcast notes that all peers have been told of the pending quotas. Some are to be told of again.
func (g *gossipState) endBroadcast(plans []Plan) {
	pending := g.pending[:0]
	for _, quota := range g.pending {
		quota.recordBroadcast(&plans[quota.plan])
		if quota.needsGossip {
			pending = append(pending, quota)
		}
	}
	g.pending = pending
}

// closeSample takes the messages of a sample into the rate.
func (g *gossipState) closeSample() {
	g.rate += rateWeight * (g.received/sampleInterval.Seconds() - g.rate)
	g.received = 0
}
