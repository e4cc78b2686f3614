package configstream

import (
	"maps"
	"slices"
	"time"
)

// simMember is the simulated machine of a member.
type simMember struct {
	id            uint64
	applied       int  // number of applied log entries
	isPartitioned bool // cut off from the other members, but not from followers
	isDown        bool
	process       int // number of processes started so far; identifies the current one
	publisher     *Publisher
	streams       map[uint64]*simStream
}

// simStream is a connection of a follower to a member.
type simStream struct {
	id              uint64
	member          *simMember
	follower        *simFollower
	memberProcess   int
	followerProcess int
	isBroken        bool
	dropsMessages   bool // whether all messages on it are lost without either side noticing
}

// isMemberUp reports whether the stream is unbroken and belongs to the member's current process.
func (s *simStream) isMemberUp() bool { return !s.isBroken && s.member.process == s.memberProcess }

// isFollowerUp reports whether the stream is the current one of the follower's current process.
func (s *simStream) isFollowerUp() bool {
	f := s.follower
	return f.isUp && f.process == s.followerProcess && f.stream == s
}

func (sim *simulation) startMember(m *simMember) {
	sim.breakStreams(m)
	m.process++
	m.isDown, m.streams = false, map[uint64]*simStream{}
	m.publisher = NewPublisher(PublisherConfig{
		MemberID:            m.id,
		SilenceTimeout:      time.Second,
		PushReplyTimeout:    2 * time.Second,
		ConfirmationTimeout: 300 * time.Millisecond,
		MaxRetainedVersions: 4,
		MaxFollowers:        100,
		AdmissionRate:       20,
		AdmissionBurst:      20,
	}, sim.rng.Uint64())
	sim.publish(m)
}

func (sim *simulation) publish(m *simMember) {
	if m.applied > 0 {
		sim.deliver(m, m.publisher.Publish(sim.now, sim.log[m.applied-1]))
	}
}

// scheduleMember schedules a member's periodic events and its faults.
func (sim *simulation) scheduleMember(m *simMember) {
	sim.every(60*time.Millisecond, func() { sim.replicate(m) })
	sim.every(50*time.Millisecond, func() {
		if !m.isDown {
			sim.deliver(m, m.publisher.Tick(sim.now))
		}
	})
	sim.every(200*time.Millisecond, func() { sim.gossip(m) })
	sim.every(700*time.Millisecond, func() {
		switch {
		case sim.chance(0.15):
			m.isDown = true
			sim.breakStreams(m)
			sim.after(sim.randomMillis(1000), func() { sim.startMember(m) })
		case sim.chance(0.2):
			m.isPartitioned = true
			sim.after(sim.randomMillis(2000), func() { m.isPartitioned = false })
		}
	})
}

// replicate lets a member apply the committed versions, and confirms its newest version if no newer one was committed
// when the confirmation was requested.
func (sim *simulation) replicate(m *simMember) {
	if m.isDown || m.isPartitioned {
		return
	}
	requestedAt, committedCount, process := sim.now, len(sim.log), m.process
	sim.after(sim.randomMillis(40), func() {
		if m.isDown || m.isPartitioned || m.process != process || committedCount > len(sim.log) {
			return
		}
		if sim.rng.IntN(3) > 0 {
			m.applied = max(m.applied, min(committedCount, len(sim.log)))
			sim.publish(m)
		}
		if m.applied >= committedCount {
			sim.deliver(m, m.publisher.Confirm(sim.now, requestedAt, sim.log[m.applied-1].Ref))
		}
	})
}

// gossip sends a member's observations to the other members. Some messages are lost.
func (sim *simulation) gossip(m *simMember) {
	if m.isDown {
		return
	}
	isFull := int(sim.now/(200*time.Millisecond))%3 == 0
	for _, message := range m.publisher.GossipMessages(sim.now, 2, isFull) {
		for _, o := range sim.members {
			if o == m || sim.chance(0.3) {
				continue
			}
			sim.after(sim.randomMillis(30), func() {
				if !o.isDown {
					o.publisher.GossipReceived(sim.now, message)
				}
			})
		}
	}
}

func (sim *simulation) breakStreams(m *simMember) {
	for _, id := range slices.Sorted(maps.Keys(m.streams)) {
		sim.breakStream(m.streams[id])
	}
}

// breakStream ends a stream. The follower notices after a delay and connects again.
func (sim *simulation) breakStream(s *simStream) {
	if s == nil || s.isBroken {
		return
	}
	if s.isMemberUp() {
		s.member.publisher.StreamClosed(sim.now, s.id)
		delete(s.member.streams, s.id)
	}
	s.isBroken = true
	sim.after(sim.randomMillis(20), func() {
		if s.isFollowerUp() {
			s.follower.stream = nil
			s.follower.node.StreamClosed()
			sim.connect(s.follower, s.follower.selector.StreamEnded(true))
		}
	})
}

// deliver carries out a member's actions. Followers receive the messages in order unless the stream breaks.
func (sim *simulation) deliver(m *simMember, actions []PublisherAction) {
	for _, a := range actions {
		s := m.streams[a.SessionID]
		if s == nil {
			continue
		}
		if a.CloseReason != "" {
			sim.breakStream(s)
			continue
		}
		s.dropsMessages = s.dropsMessages || sim.chance(0.005)
		if s.dropsMessages {
			continue
		}
		sim.after(10*time.Millisecond, func() { sim.deliverToFollower(s, a) })
	}
}

func (sim *simulation) deliverToFollower(s *simStream, a PublisherAction) {
	if s.isBroken || !s.isFollowerUp() {
		return
	}
	if sim.chance(0.01) {
		sim.breakStream(s)
		return
	}
	f := s.follower
	if a.Push != nil {
		sim.perform(f, f.node.PushReceived(sim.now, a.Push))
		return
	}
	sim.perform(f, f.node.PongReceived(sim.now, *a.Pong))
	sim.checkConfirmation(f)
}
