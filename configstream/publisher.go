package configstream

import (
	"encoding/json"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
)

// PublisherConfig is the configuration of a [Publisher].
type PublisherConfig struct {
	Member              uint64
	SilenceTimeout      time.Duration // without a message of a follower until its stream is closed
	PushReplyTimeout    time.Duration // without a reply to a push until the stream is closed
	ConfirmationTimeout time.Duration // for which the answer to a ping waits for the confirmation of a quorum
	MaxRetainedVersions int           // versions retained as bases of differences
	MaxFollowers        int           // connected to this member
	AdmissionRate       float64       // new connections per second
	AdmissionBurst      float64       // new connections at once
	DisableDeltas       bool          // push complete versions only; for benchmarks
}

// StreamAction is an action for a publisher's host: a message to send on a stream, or the stream's closing.
type StreamAction struct {
	SessionID   uint64
	Push        *Push
	Pong        *Pong
	CloseReason string // empty: the stream stays open
}

// followerPrefix is the prefix of the keys of followers' objects.
const followerPrefix = clusterconfig.KindFollower + "/"

// nonceBits is the number of low bits of a nonce that count the pushes of a process.
const nonceBits = 20

// Publisher is a member's side of the streams to its followers. It is not safe for concurrent use.
type Publisher struct {
	cfg          PublisherConfig
	newest       *Version
	retained     []*Version // oldest first, the newest among them
	confirmation confirmation
	pins         map[string]uint64 // pinned version numbers by follower
	sessions     sessionTable
	departed     map[string]timedStream             // last stream, by name, of followers that have no stream here now
	remote       map[uint64]map[string]timedStreams // observations by member and follower
	changed      map[string]bool                    // names whose streams have changed since the last gossip
	bodies       map[bodyKey]*Body                  // of pushes since the newest version was published
	admission    admissionLimiter
	lastNonce    uint64
}

// NewPublisher returns a member's side without a version. The seed must differ from those of the member's earlier
// processes, so that nonces do.
func NewPublisher(cfg PublisherConfig, seed uint64) *Publisher {
	return &Publisher{
		cfg:       cfg,
		pins:      map[string]uint64{},
		sessions:  newSessionTable(),
		departed:  map[string]timedStream{},
		remote:    map[uint64]map[string]timedStreams{},
		changed:   map[string]bool{},
		bodies:    map[bodyKey]*Body{},
		admission: newAdmissionLimiter(cfg.AdmissionRate, cfg.AdmissionBurst),
		lastNonce: seed &^ (1<<nonceBits - 1),
	}
}

// Newest returns the newest version that was published here; nil: none.
func (p *Publisher) Newest() *Version { return p.newest }

// Publish makes an agreed version the newest and pushes it. A version that is not newer than the last is ignored.
func (p *Publisher) Publish(now time.Duration, v *Version) []StreamAction {
	if p.newest != nil && v.Compare(p.newest.Ref) != OrderNewer {
		return nil
	}
	p.newest = v
	p.confirmation.isValid = false
	p.retained = append(p.retained, v)
	p.retained = slices.Clone(p.retained[max(len(p.retained)-max(p.cfg.MaxRetainedVersions, 1), 0):])
	p.pins = pinnedVersions(v)
	clear(p.bodies)
	for name := range p.departed {
		if !p.isFollower(name) {
			delete(p.departed, name)
		}
	}
	return p.sessions.each(func(s *session) []StreamAction {
		if !p.isFollower(s.hello.Name) {
			return p.endStream(now, s, "is no longer agreed on as a follower")
		}
		return p.offer(now, s)
	})
}

// Confirm records the confirmation of a quorum that, as of askedAt, nothing newer than ref had been agreed on.
func (p *Publisher) Confirm(now, askedAt time.Duration, ref Ref) []StreamAction {
	if p.newest == nil || p.newest.Ref != ref {
		return nil
	}
	if !p.confirmation.isValid || askedAt > p.confirmation.askedAt {
		p.confirmation = confirmation{askedAt, true}
	}
	return p.sessions.each(func(s *session) (actions []StreamAction) {
		if s.isPongDue && s.pingedAt <= p.confirmation.askedAt {
			actions = append(actions, p.pong(s, true))
		}
		return append(actions, p.offer(now, s)...)
	})
}

// Tick closes streams that are silent or whose follower does not reply to a push, answers pings without a confirmation
// after a timeout, and detects name conflicts. The host calls it regularly.
func (p *Publisher) Tick(now time.Duration) []StreamAction {
	p.expireGossip(now)
	return p.sessions.each(func(s *session) []StreamAction {
		switch {
		case now-s.heardAt > p.cfg.SilenceTimeout:
			return p.endStream(now, s, "silent")
		case s.pendingNonce != 0 && now-s.pushedAt > p.cfg.PushReplyTimeout:
			return p.endStream(now, s, "does not reply to a push")
		}
		hadConflict := s.nameConflict != ""
		s.nameConflict = p.findNameConflict(now, s)
		hasConflict := s.nameConflict != ""
		isPongLate := s.isPongDue && now-s.pingedAt > p.cfg.ConfirmationTimeout
		switch {
		case hasConflict && !hadConflict, isPongLate:
			return []StreamAction{p.pong(s, false)}
		case hadConflict && !hasConflict:
			return p.offer(now, s)
		}
		return nil
	})
}

// PingReceived handles a ping. It is answered when a quorum confirms the newest version, or after a timeout.
func (p *Publisher) PingReceived(now time.Duration, id, sequence uint64) []StreamAction {
	if s := p.sessions.byID[id]; s != nil {
		s.heardAt = now
		s.pingSequence = sequence
		s.pingedAt = now
		s.isPongDue = true
	}
	return nil
}

// pong answers the last ping of a stream.
func (p *Publisher) pong(s *session, isConfirmed bool) StreamAction {
	s.isPongDue = false
	return StreamAction{SessionID: s.id, Pong: &Pong{
		Sequence:         s.pingSequence,
		Newest:           p.newest.Ref,
		PlacementVersion: p.newest.PlacementVersion,
		IsConfirmed:      isConfirmed && s.nameConflict == "",
		NameConflict:     s.nameConflict,
	}}
}

// isFollower reports whether a follower of that name is agreed on.
func (p *Publisher) isFollower(name string) bool {
	if p.newest == nil {
		return false
	}
	_, ok := p.newest.Tree.Get([]byte(followerPrefix + name))
	return ok
}

// forEachFollower calls f for each follower that is agreed on in a version, sorted by name.
func forEachFollower(v *Version, f func(name string, value json.RawMessage)) {
	v.Tree.Root().WalkPrefix([]byte(followerPrefix), func(key []byte, value json.RawMessage) bool {
		f(string(key[len(followerPrefix):]), value)
		return false
	})
}

// pinnedVersions returns the version numbers that followers are pinned to, by name.
func pinnedVersions(v *Version) map[string]uint64 {
	pins := map[string]uint64{}
	forEachFollower(v, func(name string, value json.RawMessage) {
		var f clusterconfig.Follower
		if json.Unmarshal(value, &f) == nil && f.PinnedVersion > 0 {
			pins[name] = f.PinnedVersion
		}
	})
	return pins
}
