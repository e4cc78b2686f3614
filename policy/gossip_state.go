package policy

import "time"

const (
	minGossipInterval    = 40 * time.Millisecond
	gossipIntervalFactor = 1.3 // interval as a multiple of the shortest that the inbox limit allows
)

// gossipState is the state of an instance's gossip. Invariant: pending holds exactly the quotas whose needsGossip is
// set.
type gossipState struct {
	epoch    uint64           // random, to tell this process from earlier ones
	peers    []peer           // by instance
	interval time.Duration    // between broadcasts
	pending  []*customerQuota // to be sent with the next broadcast
	received float64          // messages in this sample
	rate     float64          // received a second, moving average
}

func newGossipState(epoch uint64, instanceCount int) gossipState {
	return gossipState{epoch: epoch, peers: make([]peer, instanceCount)}
}

// gossipInterval returns the time between broadcasts: the shortest that the peers' inbox limit allows, if there is one.
func (s *Settings) gossipInterval() time.Duration {
	if s.GossipInboxRate <= 0 {
		return sampleInterval
	}
	peers := float64(s.InstanceCount - 1)
	interval := time.Duration(gossipIntervalFactor * peers / s.GossipInboxRate * float64(time.Second))
	return max(interval, s.MinEventInterval, minGossipInterval)
}

// mark adds a quota to the next broadcast.
func (g *gossipState) mark(quota *customerQuota) {
	if !quota.needsGossip {
		quota.needsGossip = true
		g.pending = append(g.pending, quota)
	}
}

// endBroadcast records that the pending quotas have been sent to all peers. Some remain for the next broadcast.
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

// closeSample updates the rate with the messages of a sample.
func (g *gossipState) closeSample() {
	g.rate += rateWeight * (g.received/sampleInterval.Seconds() - g.rate)
	g.received = 0
}
