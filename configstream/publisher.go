package configstream

import (
	"fmt"
	"slices"
	"time"
)

// PublisherConfig is the configuration of a [Publisher].
type PublisherConfig struct {
	MemberID            uint64
	SilenceTimeout      time.Duration // time without a message from a follower after which its stream is closed
	PushReplyTimeout    time.Duration // time without a reply to a push after which the stream is closed
	ConfirmationTimeout time.Duration // time that the reply to a ping waits for a quorum confirmation
	MaxRetainedVersions int           // number of versions retained as bases of differences
	MaxFollowers        int           // maximum number of open streams at this member
	AdmissionRate       float64       // sustained rate of new connections per second
	AdmissionBurst      float64       // maximum burst of new connections
	DisableDeltas       bool          // push complete versions only; for benchmarks
}

// PublisherAction is an action that a publisher's host carries out: send a message on a stream, or close the stream.
type PublisherAction struct {
	SessionID   uint64 // the ID that the host has passed to OpenStream
	Push        *Push
	Pong        *Pong
	CloseReason string // reason for closing the stream; empty if it stays open
}

// nonceBits is the number of low bits of a nonce that hold the count of a process's pushes.
const nonceBits = 20

// Publisher is the member's side of the streams to its followers. It is not safe for concurrent use. The host calls its
// methods for each event and carries out the actions that they return. The decisions are made by the types that hold
// the state: admissionLimiter decides which connections are accepted, versionStore which version a follower should run,
// session what is sent on a stream, and observationTable holds the streams at other members, for name conflicts and
// statuses.
type Publisher struct {
	cfg          PublisherConfig
	admission    admissionLimiter
	versions     versionStore
	sessions     sessionTable
	observations observationTable
	lastNonce    uint64
}

// NewPublisher returns a publisher that has no version. The seed must differ from those of the member's earlier
// processes, so that their nonces differ too.
func NewPublisher(cfg PublisherConfig, seed uint64) *Publisher {
	return &Publisher{
		cfg:          cfg,
		admission:    newAdmissionLimiter(&cfg),
		versions:     newVersionStore(&cfg),
		sessions:     newSessionTable(),
		observations: newObservationTable(cfg.MemberID),
		lastNonce:    seed &^ (1<<nonceBits - 1),
	}
}

// Newest returns the newest version that was published at this member, or nil if there is none.
func (p *Publisher) Newest() *Version { return p.versions.newest }

// Admit reports whether a new connection is accepted, and counts it against the limit if it is.
func (p *Publisher) Admit(now time.Duration) bool {
	return p.admission.admitConnection(now, p.sessions.count())
}

// Publish makes a committed version the newest and pushes it. A version that is not newer than the last one is ignored.
func (p *Publisher) Publish(now time.Duration, v *Version) []PublisherAction {
	if !p.versions.publish(v) {
		return nil
	}
	p.observations.dropRemovedFollowers(p.versions.isFollower)
	return p.sessions.each(func(s *session) []PublisherAction {
		if !p.versions.isFollower(s.hello.Name) {
			return p.endStream(now, s, "the follower is no longer configured")
		}
		return p.pushIfDue(now, s)
	})
}

// Confirm records that a quorum has confirmed that no version newer than ref had been committed as of requestedAt.
func (p *Publisher) Confirm(now, requestedAt time.Duration, ref Ref) []PublisherAction {
	if !p.versions.confirm(requestedAt, ref) {
		return nil
	}
	return p.sessions.each(func(s *session) (actions []PublisherAction) {
		if s.isPingConfirmed(p.versions.confirmation) {
			actions = append(actions, s.pong(p.versions.newest, true))
		}
		return append(actions, p.pushIfDue(now, s)...)
	})
}

// Tick closes streams whose follower is silent or does not reply to a push, answers pings that were not confirmed
// within the timeout, and detects name conflicts. The host calls it periodically.
func (p *Publisher) Tick(now time.Duration) []PublisherAction {
	p.observations.expire(now, gossipRetention*p.cfg.SilenceTimeout, p.versions.isFollower)
	return p.sessions.each(func(s *session) []PublisherAction {
		if reason := s.timeoutReason(now, &p.cfg); reason != "" {
			return p.endStream(now, s, reason)
		}
		hadConflict := s.nameConflict != ""
		s.nameConflict = p.findNameConflict(now, s)
		hasConflict := s.nameConflict != ""
		switch {
		case hasConflict && !hadConflict, s.isPongLate(now, p.cfg.ConfirmationTimeout):
			return []PublisherAction{s.pong(p.versions.newest, false)}
		case hadConflict && !hasConflict:
			return p.pushIfDue(now, s)
		}
		return nil
	})
}

// PingReceived handles a ping. The reply is sent when a quorum confirms the newest version, or after a timeout.
func (p *Publisher) PingReceived(now time.Duration, id, sequence uint64) []PublisherAction {
	if s := p.sessions.byID[id]; s != nil {
		s.recordPing(now, sequence)
	}
	return nil
}

// ReportReceived handles a follower's report.
func (p *Publisher) ReportReceived(now time.Duration, id uint64, r Report) []PublisherAction {
	s := p.sessions.byID[id]
	if s == nil {
		return nil
	}
	if s.recordReport(now, &r) {
		p.observations.changed[s.hello.Name] = true
	}
	switch s.handleReply(&r, p.versions.newest) {
	case pushTargetIfDue:
		return p.pushIfDue(now, s)
	case closeCorrupt:
		return p.endStream(now, s, "the follower received a corrupt complete version")
	}
	return nil
}

// pushIfDue pushes the version that a follower should run, unless decidePush withholds it. Versions published while a
// push is in flight are not queued; the newest is pushed after the reply.
func (p *Publisher) pushIfDue(now time.Duration, s *session) []PublisherAction {
	v := p.versions.target(s.hello.Name)
	if s.decidePush(v, p.versions.confirmation) != pushNow {
		return nil
	}
	p.lastNonce++
	s.recordPush(now, p.lastNonce, v.Ref)
	push := &Push{
		Nonce:       p.lastNonce,
		Body:        p.versions.body(s.bodyBase(), v),
		IsConfirmed: s.isConfirmedSinceStreamBegan(p.versions.confirmation),
	}
	return []PublisherAction{{SessionID: s.id, Push: push}}
}

// OpenStream handles the first message of a new stream. The stream's ID must be higher than those of all earlier
// streams.
func (p *Publisher) OpenStream(now time.Duration, id uint64, h Hello) (actions []PublisherAction) {
	if !p.versions.isFollower(h.Name) {
		reason := fmt.Sprintf("%q is not a configured follower", h.Name)
		return []PublisherAction{{SessionID: id, CloseReason: reason}}
	}
	if !p.admission.admitStream(p.sessions.count()) {
		return []PublisherAction{{SessionID: id, CloseReason: "the member has the maximum number of followers"}}
	}
	for _, earlier := range slices.Clone(p.sessions.byName[h.Name]) {
		if earlier.isReplacedBy(&h) {
			actions = append(actions, p.endStream(now, earlier, "the follower has begun another stream")...)
		}
	}
	s := newSession(now, id, &h)
	p.sessions.add(s)
	p.observations.changed[h.Name] = true
	return append(actions, p.pushIfDue(now, s)...)
}

// endStream closes a stream from the member's side.
func (p *Publisher) endStream(now time.Duration, s *session, reason string) []PublisherAction {
	p.StreamClosed(now, s.id)
	return []PublisherAction{{SessionID: s.id, CloseReason: reason}}
}

// StreamClosed records that a stream has ended. The last observed state of its follower is retained.
func (p *Publisher) StreamClosed(now time.Duration, id uint64) {
	s := p.sessions.byID[id]
	if s == nil {
		return
	}
	p.sessions.remove(s)
	name := s.hello.Name
	p.observations.changed[name] = true
	if p.versions.isFollower(name) {
		p.observations.recordDisconnect(now, s)
	}
}
