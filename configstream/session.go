package configstream

import (
	"fmt"
	"slices"
	"time"
)

// session is the member's state of a stream from a follower.
type session struct {
	id           uint64
	hello        Hello
	beganAt      time.Duration
	heardAt      time.Duration
	running      *Ref
	runningSince time.Duration
	rejections   []Rejection

	pendingNonce uint64 // of the push that awaits its reply; 0: none
	offered      *Ref   // by the last push
	pushedAt     time.Duration
	needsFull    bool // the next push must be complete

	pingSequence uint64 // of the last ping
	pingedAt     time.Duration
	isPongDue    bool

	nameConflict string // see [Pong]
}

// observed returns the stream's state for gossip.
func (s *session) observed(now time.Duration) ObservedStream {
	return ObservedStream{
		Name:            s.hello.Name,
		ProcessID:       s.hello.ProcessID,
		StartCount:      s.hello.StartCount,
		StreamNumber:    s.hello.StreamNumber,
		StreamAge:       now - s.beganAt,
		SilentFor:       now - s.heardAt,
		Running:         s.running,
		RunningFor:      now - s.runningSince,
		Offered:         s.offered,
		LatestRejection: newestRejection(s.rejections),
	}
}

// sessionTable holds the streams at a member.
//
// Invariant: order holds the keys of byID, ascending; byName holds the same streams in the same order, and no empty
// list.
type sessionTable struct {
	byID   map[uint64]*session
	order  []uint64
	byName map[string][]*session
}

func newSessionTable() sessionTable {
	return sessionTable{byID: map[uint64]*session{}, byName: map[string][]*session{}}
}

func (t *sessionTable) count() int { return len(t.byID) }

// add adds a stream whose ID must be higher than all others.
func (t *sessionTable) add(s *session) {
	t.byID[s.id] = s
	t.order = append(t.order, s.id)
	t.byName[s.hello.Name] = append(t.byName[s.hello.Name], s)
}

func (t *sessionTable) remove(s *session) {
	delete(t.byID, s.id)
	if i, ok := slices.BinarySearch(t.order, s.id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	name := s.hello.Name
	t.byName[name] = slices.DeleteFunc(t.byName[name], func(o *session) bool { return o == s })
	if len(t.byName[name]) == 0 {
		delete(t.byName, name)
	}
}

// each calls f for all streams in the order of their IDs and returns all actions. f may remove streams.
func (t *sessionTable) each(f func(*session) []StreamAction) (actions []StreamAction) {
	for _, id := range slices.Clone(t.order) {
		if s := t.byID[id]; s != nil {
			actions = append(actions, f(s)...)
		}
	}
	return actions
}

// OpenStream handles a new stream and its first message. Its ID must be higher than those of all earlier streams.
func (p *Publisher) OpenStream(now time.Duration, id uint64, h Hello) (actions []StreamAction) {
	if !p.isFollower(h.Name) {
		reason := fmt.Sprintf("%q is not agreed on as a follower", h.Name)
		return []StreamAction{{SessionID: id, CloseReason: reason}}
	}
	if p.sessions.count() >= p.cfg.MaxFollowers {
		return []StreamAction{{SessionID: id, CloseReason: "too many followers here"}}
	}
	for _, o := range slices.Clone(p.sessions.byName[h.Name]) {
		if o.hello.ProcessID == h.ProcessID && o.hello.StreamNumber < h.StreamNumber {
			actions = append(actions, p.endStream(now, o, "the follower has begun another stream")...)
		}
	}
	s := &session{id: id, hello: h, beganAt: now, heardAt: now, running: h.Running, runningSince: now - h.RunningFor}
	for _, r := range h.Rejections {
		s.rejections = appendRejection(s.rejections, r)
	}
	p.sessions.add(s)
	p.changed[h.Name] = true
	return append(actions, p.offer(now, s)...)
}

// endStream closes a stream from the member's side.
func (p *Publisher) endStream(now time.Duration, s *session, reason string) []StreamAction {
	p.StreamClosed(now, s.id)
	return []StreamAction{{SessionID: s.id, CloseReason: reason}}
}

// StreamClosed records that a stream has ended. The last state of its follower is retained.
func (p *Publisher) StreamClosed(now time.Duration, id uint64) {
	s := p.sessions.byID[id]
	if s == nil {
		return
	}
	p.sessions.remove(s)
	name := s.hello.Name
	p.changed[name] = true
	before, ok := p.departed[name]
	isLatest := !ok || s.heardAt >= before.observedAt-before.stream.SilentFor
	if p.isFollower(name) && isLatest {
		p.departed[name] = timedStream{s.observed(now), now}
	}
}
