package configstream

import (
	"fmt"
	"time"
)

// maxPendingPings is the number of latest pings whose replies are accepted.
const maxPendingPings = 16

// followerStream is the state of a follower's current stream.
type followerStream struct {
	isOpen     bool
	receivedAt time.Duration            // time of the last message from the member
	number     uint64                   // number of streams that this process has opened
	lastPing   uint64                   // sequence number of the last ping
	pingedAt   time.Duration            // time of the last ping
	pings      map[uint64]time.Duration // send times of the latest pings by sequence number
}

func newFollowerStream() followerStream { return followerStream{pings: map[uint64]time.Duration{}} }

// OpenStream begins a stream and returns the first message to send on it.
func (f *Follower) OpenStream(now time.Duration) Hello {
	f.pendingPush = nil
	f.update.nonce = 0 // the update's push was received on another stream
	s := &f.stream
	s.isOpen = true
	s.receivedAt = now
	s.number++
	s.pingedAt = now - f.cfg.HeartbeatInterval
	clear(s.pings)
	return Hello{
		Name:         f.cfg.Name,
		ProcessID:    f.cfg.ProcessID,
		StartCount:   f.durable.StartCount,
		StreamNumber: s.number,
		Running:      f.Running(),
		RunningFor:   now - f.runningSince,
		Rejections:   f.durable.Rejections,
		MaxFormat:    Format,
	}
}

// StreamClosed records that the stream has ended. The version in force is kept.
func (f *Follower) StreamClosed() {
	f.stream.isOpen = false
	f.pendingPush = nil
}

// report returns the action that sends the reply to a push; rejection may be nil. Without an open stream nothing is
// sent, since the hello of the next stream contains the same state.
func (f *Follower) report(nonce uint64, result PushResult, ref Ref, rejection *Rejection) []FollowerAction {
	if !f.stream.isOpen {
		return nil
	}
	r := &Report{Nonce: nonce, Result: result, Ref: ref, Running: f.Running()}
	if rejection != nil {
		r.Problems, r.IsUnsupportedFormat = rejection.Problems, rejection.IsUnsupportedFormat
	}
	return []FollowerAction{{Send: r}}
}

// isSilent reports whether the member has sent nothing for longer than the timeout.
func (s *followerStream) isSilent(now, timeout time.Duration) bool { return now-s.receivedAt > timeout }

// nextPing records the ping that is due and returns its sequence number. It returns 0 if the interval since the last
// ping has not passed.
func (s *followerStream) nextPing(now, interval time.Duration) (sequence uint64) {
	if now-s.pingedAt < interval {
		return 0
	}
	s.pingedAt = now
	s.lastPing++
	s.pings[s.lastPing] = now
	delete(s.pings, s.lastPing-maxPendingPings)
	return s.lastPing
}

// Tick sends a ping if one is due, or closes the stream if the member is silent. The host calls it periodically.
func (f *Follower) Tick(now time.Duration) []FollowerAction {
	s := &f.stream
	if !s.isOpen {
		return nil
	}
	if s.isSilent(now, f.cfg.SilenceTimeout) {
		return []FollowerAction{{CloseStream: "the member is silent"}}
	}
	if sequence := s.nextPing(now, f.cfg.HeartbeatInterval); sequence != 0 {
		return []FollowerAction{{Ping: sequence}}
	}
	return nil
}

// PongReceived handles the reply to a ping.
func (f *Follower) PongReceived(now time.Duration, p Pong) (actions []FollowerAction) {
	f.stream.receivedAt = now
	requestedAt, ok := f.stream.pings[p.Sequence]
	if !ok {
		return nil
	}
	warning := p.NameConflict
	if f.running != nil {
		if p.confirmsVersion(f.running) {
			f.confirmation = confirmation{requestedAt, true}
		}
		if p.confirmsPlacement(f.running) {
			f.placementConfirmation = confirmation{requestedAt, true}
		}
		if divergence := p.divergenceWarning(f.running); divergence != "" {
			warning = divergence
		}
	}
	if warning != f.warning && warning != "" {
		actions = append(actions, FollowerAction{Warning: warning})
	}
	f.warning = warning
	return actions
}

// confirmsVersion reports whether a quorum has confirmed that the version in force was the newest as of the ping.
func (p *Pong) confirmsVersion(running *Version) bool {
	return p.IsConfirmed && p.Newest.Compare(running.Ref) == OrderSame
}

// confirmsPlacement reports whether a quorum has confirmed that no newer placement of keys than the one in force had
// been committed as of the ping. Changes of other objects may be newer than the version in force.
func (p *Pong) confirmsPlacement(running *Version) bool {
	return p.IsConfirmed && p.Newest.Epoch == running.Epoch && p.PlacementVersion == running.PlacementVersion
}

// divergenceWarning returns a warning if the members' newest version diverges from the version in force, or is
// confirmed and older. Otherwise it returns "".
func (p *Pong) divergenceWarning(running *Version) string {
	const (
		diverged = "the members' newest version %v diverges from version %v in force here: " +
			"two control services use one epoch, or one was restored; agree on a new epoch"
		older = "the members' newest version %v is older than version %v in force here: " +
			"the control service was restored; agree on a new epoch"
	)
	order := p.Newest.Compare(running.Ref)
	switch {
	case order == OrderDiverged:
		return fmt.Sprintf(diverged, p.Newest, running.Ref)
	case order == OrderOlder && p.IsConfirmed:
		return fmt.Sprintf(older, p.Newest, running.Ref)
	}
	return ""
}
