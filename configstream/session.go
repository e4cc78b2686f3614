package configstream

import "time"

// session is the member's state of a stream from a follower. It decides what is sent on the stream and when the stream
// is closed. Times are readings of the publisher's clock.
type session struct {
	id           uint64
	hello        Hello
	beganAt      time.Duration // time of the hello
	receivedAt   time.Duration // time of the last message from the follower
	running      *Ref
	runningSince time.Duration
	rejections   []Rejection

	pendingNonce uint64 // nonce of the push without a reply yet; 0 if there is none
	offered      *Ref   // version in the last push
	pushedAt     time.Duration
	needsFull    bool // the next push must be complete

	pingSequence uint64 // sequence number of the last ping
	pingedAt     time.Duration
	isPongDue    bool // whether the last ping has no reply yet

	nameConflict string // see [Pong]; empty if there is no conflict
}

// observed returns the stream's state as of now, for gossip and statuses.
func (s *session) observed(now time.Duration) ObservedStream {
	return ObservedStream{
		Name:            s.hello.Name,
		ProcessID:       s.hello.ProcessID,
		StartCount:      s.hello.StartCount,
		StreamNumber:    s.hello.StreamNumber,
		StreamAge:       now - s.beganAt,
		SilentFor:       now - s.receivedAt,
		Running:         s.running,
		RunningFor:      now - s.runningSince,
		Offered:         s.offered,
		LatestRejection: newestRejection(s.rejections),
	}
}

// newSession returns the session of a stream that begins with a follower's hello.
func newSession(now time.Duration, id uint64, h *Hello) *session {
	s := &session{id: id, hello: *h, beganAt: now, receivedAt: now, running: h.Running, runningSince: now - h.RunningFor}
	for _, r := range h.Rejections {
		s.rejections = appendRejection(s.rejections, r)
	}
	return s
}

// isReplacedBy reports whether a hello begins a later stream of the same process. The follower has then lost this
// stream without the member noticing.
func (s *session) isReplacedBy(h *Hello) bool {
	return s.hello.ProcessID == h.ProcessID && s.hello.StreamNumber < h.StreamNumber
}

// timeoutReason returns the reason for closing the stream if a timeout was exceeded: the silence timeout without a
// message from the follower, or the reply timeout after a push. It returns "" if the stream stays open.
func (s *session) timeoutReason(now time.Duration, cfg *PublisherConfig) (reason string) {
	switch {
	case now-s.receivedAt > cfg.SilenceTimeout:
		return "the follower is silent"
	case s.pendingNonce != 0 && now-s.pushedAt > cfg.PushReplyTimeout:
		return "the follower does not reply to a push"
	}
	return ""
}

// recordPing records a ping. It replaces an earlier ping that has no reply yet.
func (s *session) recordPing(now time.Duration, sequence uint64) {
	s.receivedAt = now
	s.pingSequence = sequence
	s.pingedAt = now
	s.isPongDue = true
}

// isPingConfirmed reports whether the last ping has no reply yet and the confirmation was requested after it.
func (s *session) isPingConfirmed(c confirmation) bool {
	return s.isPongDue && s.pingedAt <= c.requestedAt
}

// isPongLate reports whether the last ping has to be answered without a confirmation, so that the follower does not
// count the member as silent.
func (s *session) isPongLate(now, confirmationTimeout time.Duration) bool {
	return s.isPongDue && now-s.pingedAt > confirmationTimeout
}

// pong returns the reply to the last ping. During a name conflict no version is confirmed to either process.
func (s *session) pong(newest *Version, isConfirmed bool) PublisherAction {
	s.isPongDue = false
	return PublisherAction{SessionID: s.id, Pong: &Pong{
		Sequence:         s.pingSequence,
		Newest:           newest.Ref,
		PlacementVersion: newest.PlacementVersion,
		IsConfirmed:      isConfirmed && s.nameConflict == "",
		NameConflict:     s.nameConflict,
	}}
}
