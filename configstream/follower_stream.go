package configstream

import (
	"fmt"
	"time"
)

// maxPendingPings bounds the pings that may still be answered.
const maxPendingPings = 16

// followerStream is the state of a follower's current stream.
type followerStream struct {
	isOpen   bool
	heardAt  time.Duration
	number   uint64 // streams of the process so far
	lastPing uint64
	pingedAt time.Duration
	pings    map[uint64]time.Duration // when the last ones were sent, by sequence number
}

func newFollowerStream() followerStream { return followerStream{pings: map[uint64]time.Duration{}} }

// OpenStream begins a stream and returns its first message.
func (f *Follower) OpenStream(now time.Duration) Hello {
	f.pendingPush = nil
	f.update.nonce = 0 // its push came with another stream
	s := &f.stream
	s.isOpen, s.heardAt = true, now
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

// StreamClosed reports that the stream has ended. The version in force stays.
func (f *Follower) StreamClosed() { f.stream.isOpen, f.pendingPush = false, nil }

// report returns the reply to a push; rejection may be nil. Without a stream there is none: the next stream's hello
// says the same.
func (f *Follower) report(nonce uint64, result Result, ref Ref, rejection *Rejection) []Action {
	if !f.stream.isOpen {
		return nil
	}
	r := &Report{Nonce: nonce, Result: result, Ref: ref, Running: f.Running()}
	if rejection != nil {
		r.Problems, r.IsUnsupportedFormat = rejection.Problems, rejection.IsUnsupportedFormat
	}
	return []Action{{Send: r}}
}

// Tick sends pings, and closes a stream whose member is silent.
func (f *Follower) Tick(now time.Duration) []Action {
	s := &f.stream
	if !s.isOpen {
		return nil
	}
	if now-s.heardAt > f.cfg.SilenceTimeout {
		return []Action{{CloseStream: "the member is silent"}}
	}
	if now-s.pingedAt < f.cfg.HeartbeatInterval {
		return nil
	}
	s.pingedAt = now
	s.lastPing++
	s.pings[s.lastPing] = now
	delete(s.pings, s.lastPing-maxPendingPings)
	return []Action{{Ping: s.lastPing}}
}

// PongReceived takes in the answer to a ping.
func (f *Follower) PongReceived(now time.Duration, p Pong) (actions []Action) {
	f.stream.heardAt = now
	askedAt, ok := f.stream.pings[p.Sequence]
	if !ok {
		return nil
	}
	warning := p.NameConflict
	if f.running != nil {
		f.confirm(askedAt, &p)
		if w := f.divergence(&p); w != "" {
			warning = w
		}
	}
	if warning != f.warning && warning != "" {
		actions = append(actions, Action{Warning: warning})
	}
	f.warning = warning
	return actions
}

// confirm records what a pong says of the version in force.
func (f *Follower) confirm(askedAt time.Duration, p *Pong) {
	if !p.IsConfirmed {
		return
	}
	if p.Newest.Compare(f.running.Ref) == OrderSame {
		f.confirmation = confirmation{askedAt, true}
	}
	if p.Newest.Epoch == f.running.Epoch && p.PlacementVersion == f.running.PlacementVersion {
		f.placementConfirmation = confirmation{askedAt, true}
	}
}

// divergence returns a warning if the members' newest version does not follow the one in force, or "".
func (f *Follower) divergence(p *Pong) string {
	const (
		diverged = "the members have version %v, which is not the version %v in force here: " +
			"two services have one epoch, or one was restored: agree on a new epoch"
		older = "the members agree on version %v, older than %v in force here: " +
			"the service was restored: agree on a new epoch"
	)
	order := p.Newest.Compare(f.running.Ref)
	switch {
	case order == OrderDiverged:
		return fmt.Sprintf(diverged, p.Newest, f.running.Ref)
	case order == OrderOlder && p.IsConfirmed:
		return fmt.Sprintf(older, p.Newest, f.running.Ref)
	}
	return ""
}
