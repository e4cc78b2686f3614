package configstream

import (
	"maps"
	"slices"
	"time"
)

// simMember is a member's machine.
type simMember struct {
	id            uint64
	applied       int  // entries of the log
	isPartitioned bool // from the other members: it may go on serving followers
	isDown        bool
	process       int // counts processes
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
	isMute          bool // what is sent on it is lost, and neither side notices
}

// isMemberUp reports whether the stream is one of the member's current process.
func (s *simStream) isMemberUp() bool { return !s.isBroken && s.member.process == s.memberProcess }

// isFollowerUp reports whether the stream is the current one of the follower's current process.
func (s *simStream) isFollowerUp() bool {
	f := s.follower
	return f.isUp && f.process == s.followerProcess && f.stream == s
}

func (w *simulation) startMember(m *simMember) {
	w.breakStreams(m)
	m.process++
	m.isDown, m.streams = false, map[uint64]*simStream{}
	m.publisher = NewPublisher(PublisherConfig{
		Member:              m.id,
		SilenceTimeout:      time.Second,
		PushReplyTimeout:    2 * time.Second,
		ConfirmationTimeout: 300 * time.Millisecond,
		MaxRetainedVersions: 4,
		MaxFollowers:        100,
		AdmissionRate:       20,
		AdmissionBurst:      20,
	}, w.rng.Uint64())
	w.publish(m)
}

func (w *simulation) publish(m *simMember) {
	if m.applied > 0 {
		w.deliver(m, m.publisher.Publish(w.now, w.log[m.applied-1]))
	}
}

// scheduleMember schedules a member's regular work and its faults.
func (w *simulation) scheduleMember(m *simMember) {
	w.every(60*time.Millisecond, func() { w.replicate(m) })
	w.every(50*time.Millisecond, func() {
		if !m.isDown {
			w.deliver(m, m.publisher.Tick(w.now))
		}
	})
	w.every(200*time.Millisecond, func() { w.gossip(m) })
	w.every(700*time.Millisecond, func() {
		switch {
		case w.chance(0.15):
			m.isDown = true
			w.breakStreams(m)
			w.after(w.randomMillis(1000), func() { w.startMember(m) })
		case w.chance(0.2):
			m.isPartitioned = true
			w.after(w.randomMillis(2000), func() { m.isPartitioned = false })
		}
	})
}

// replicate has a member apply what is agreed on, and a quorum confirm it.
func (w *simulation) replicate(m *simMember) {
	if m.isDown || m.isPartitioned {
		return
	}
	askedAt, agreed, process := w.now, len(w.log), m.process
	w.after(w.randomMillis(40), func() {
		if m.isDown || m.isPartitioned || m.process != process || agreed > len(w.log) {
			return
		}
		if w.rng.IntN(3) > 0 {
			m.applied = max(m.applied, min(agreed, len(w.log)))
			w.publish(m)
		}
		if m.applied >= agreed {
			w.deliver(m, m.publisher.Confirm(w.now, askedAt, w.log[m.applied-1].Ref))
		}
	})
}

// gossip sends what a member knows to the others; messages get lost.
func (w *simulation) gossip(m *simMember) {
	if m.isDown {
		return
	}
	isFull := int(w.now/(200*time.Millisecond))%3 == 0
	for _, message := range m.publisher.GossipMessages(w.now, 2, isFull) {
		for _, o := range w.members {
			if o == m || w.chance(0.3) {
				continue
			}
			w.after(w.randomMillis(30), func() {
				if !o.isDown {
					o.publisher.GossipReceived(w.now, message)
				}
			})
		}
	}
}

func (w *simulation) breakStreams(m *simMember) {
	for _, id := range slices.Sorted(maps.Keys(m.streams)) {
		w.breakStream(m.streams[id])
	}
}

// breakStream ends a stream; the follower notices later, and connects again.
func (w *simulation) breakStream(s *simStream) {
	if s == nil || s.isBroken {
		return
	}
	if s.isMemberUp() {
		s.member.publisher.StreamClosed(w.now, s.id)
		delete(s.member.streams, s.id)
	}
	s.isBroken = true
	w.after(w.randomMillis(20), func() {
		if s.isFollowerUp() {
			s.follower.stream = nil
			s.follower.node.StreamClosed()
			w.connect(s.follower, s.follower.selector.StreamEnded(true))
		}
	})
}

// deliver carries out a member's actions. Messages reach followers in their order unless the stream breaks.
func (w *simulation) deliver(m *simMember, actions []StreamAction) {
	for _, a := range actions {
		s := m.streams[a.SessionID]
		if s == nil {
			continue
		}
		if a.CloseReason != "" {
			w.breakStream(s)
			continue
		}
		s.isMute = s.isMute || w.chance(0.005)
		if s.isMute {
			continue
		}
		w.after(10*time.Millisecond, func() { w.deliverToFollower(s, a) })
	}
}

func (w *simulation) deliverToFollower(s *simStream, a StreamAction) {
	if s.isBroken || !s.isFollowerUp() {
		return
	}
	if w.chance(0.01) {
		w.breakStream(s)
		return
	}
	f := s.follower
	if a.Push != nil {
		w.perform(f, f.node.PushReceived(w.now, a.Push))
		return
	}
	w.perform(f, f.node.PongReceived(w.now, *a.Pong))
	w.checkConfirmation(f)
}
