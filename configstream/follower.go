package configstream

import (
	"fmt"
	"time"
)

// FollowerConfig is the configuration of a [Follower].
type FollowerConfig struct {
	Name              string
	ProcessID         uint64        // random, chosen at the start of the process
	HeartbeatInterval time.Duration // interval between pings
	SilenceTimeout    time.Duration // time without a message from the member after which the stream is closed
	MaxAttempts       int           // checks or activations that end the process before the version is rejected
}

// Follower is the follower's side of a configuration stream. It is not safe for concurrent use. The host calls its
// methods for each event and carries out the actions that they return. The decisions are made by the types that hold
// the state: DurableState decides how the follower starts, Push.immediateReply which pushes are processed,
// followerStream when a ping is sent and when the member counts as silent, and Pong what the reply to a ping confirms.
type Follower struct {
	cfg          FollowerConfig
	durable      DurableState
	running      *Version // version in force; nil if none is
	runningSince time.Duration
	update       update
	pendingPush  *Push // latest push received during the update
	stream       followerStream
	warning      string // see Warning

	// Quorum confirmations that running, and its placement of keys, are the newest.
	confirmation          confirmation
	placementConfirmation confirmation
}

// NewFollower returns a follower and its first actions. The version that was in force before the restart is activated
// again without contacting a member. A version whose checks or activations have ended the process too often is
// rejected.
func NewFollower(cfg FollowerConfig, durable DurableState) (*Follower, []FollowerAction) {
	f := &Follower{cfg: cfg, durable: durable, stream: newFollowerStream()}
	f.durable.Rejections = validRejections(durable.Rejections)
	accepted := f.durable.Accepted
	switch f.durable.decideStartup(cfg.MaxAttempts) {
	case activateAccepted:
		return f, f.activate(accepted)
	case countActivationAttempt:
		f.durable.ActivationAttempts++
		f.update = update{step: stepPersistAccepted, version: accepted, isStartup: true}
		return f, f.persist()
	case rejectAccepted:
		const text = "the process ended %d times while this version was being put in force"
		f.update.version = accepted
		return f, f.rejectWithText(fmt.Sprintf(text, f.durable.ActivationAttempts))
	default:
		return f, f.rejectFailedCandidate()
	}
}

// validRejections returns the rejections that remain valid after a restart. Those for an unsupported format are
// dropped, since the program may have been updated.
func validRejections(list []Rejection) (valid []Rejection) {
	for _, r := range list {
		if !r.IsUnsupportedFormat {
			valid = append(valid, r)
		}
	}
	return valid
}

// Running returns the version in force, or nil if there is none.
func (f *Follower) Running() *Ref {
	if f.running == nil {
		return nil
	}
	ref := f.running.Ref
	return &ref
}

// setRunning records that a version is in force.
func (f *Follower) setRunning(now time.Duration, v *Version) {
	if f.running != nil && f.running.Ref == v.Ref {
		return
	}
	f.running = v
	f.runningSince = now
	f.confirmation.isValid = false
	f.placementConfirmation.isValid = false
}

// ConfirmedAt returns the time as of which a quorum last confirmed that the version in force is the newest. It returns
// false if there has been no confirmation since the version was put in force.
func (f *Follower) ConfirmedAt() (at time.Duration, ok bool) {
	return f.confirmation.requestedAt, f.confirmation.isValid
}

// PlacementConfirmedAt is like [Follower.ConfirmedAt], for the placement of keys only.
func (f *Follower) PlacementConfirmedAt() (at time.Duration, ok bool) {
	return f.placementConfirmation.requestedAt, f.placementConfirmation.isValid
}

// Warning returns the current problem that operators should see, or "".
func (f *Follower) Warning() string { return f.warning }

// Rejections returns the rejected versions, oldest rejection first.
func (f *Follower) Rejections() []Rejection { return f.durable.Rejections }
