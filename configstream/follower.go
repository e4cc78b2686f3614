package configstream

import (
	"fmt"
	"time"
)

// FollowerConfig is the configuration of a [Follower].
type FollowerConfig struct {
	Name              string
	ProcessID         uint64        // drawn at the process's start
	HeartbeatInterval time.Duration // between two pings
	SilenceTimeout    time.Duration // without a message from the member, after which the stream is closed
	MaxAttempts       int           // checks or activations that end the process, after which a version is rejected
}

// Follower is a follower's side of its stream. It is not safe for concurrent use.
type Follower struct {
	cfg          FollowerConfig
	durable      DurableState
	running      *Version // in force now; nil: nothing
	runningSince time.Duration
	update       update
	pendingPush  *Push // the newest that came during the update
	stream       followerStream
	warning      string

	// What a quorum has confirmed of running: that nothing newer was agreed on, and the same of the placement of keys.
	confirmation          confirmation
	placementConfirmation confirmation
}

// NewFollower returns a follower's side and its first actions. The version that was in force before is put in force
// again without a message from any member; one that has ended the process too often is rejected instead.
func NewFollower(cfg FollowerConfig, durable DurableState) (*Follower, []Action) {
	f := &Follower{cfg: cfg, durable: durable, stream: newFollowerStream()}
	f.durable.Rejections = readableRejections(durable.Rejections)
	accepted := f.durable.Accepted
	switch {
	case accepted == nil:
		return f, f.rejectFailedCandidate()
	case f.durable.WasActivated:
		return f, f.activate(accepted)
	case f.durable.ActivationAttempts >= cfg.MaxAttempts:
		const text = "the process ended %d times while this version was put in force"
		f.update.version = accepted
		return f, f.rejectWithText(fmt.Sprintf(text, f.durable.ActivationAttempts))
	}
	f.durable.ActivationAttempts++
	f.update = update{step: stepPersistAccepted, version: accepted, isStartup: true}
	return f, f.persist()
}

// readableRejections returns the rejections that still hold at a start: this program may read versions that an older
// one could not.
func readableRejections(list []Rejection) (readable []Rejection) {
	for _, r := range list {
		if !r.IsUnsupportedFormat {
			readable = append(readable, r)
		}
	}
	return readable
}

// Running returns the version in force; nil: none.
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
	f.running, f.runningSince = v, now
	f.confirmation.isValid, f.placementConfirmation.isValid = false, false
}

// ConfirmedAt returns when a quorum last confirmed that the version in force is the newest; false: not since it is in
// force.
func (f *Follower) ConfirmedAt() (at time.Duration, ok bool) {
	return f.confirmation.askedAt, f.confirmation.isValid
}

// PlacementConfirmedAt is the same of the placement of keys alone.
func (f *Follower) PlacementConfirmedAt() (at time.Duration, ok bool) {
	return f.placementConfirmation.askedAt, f.placementConfirmation.isValid
}

// Warning returns what is wrong, for operators; empty: nothing.
func (f *Follower) Warning() string { return f.warning }

// Rejections returns the versions that are not put in force, oldest first.
func (f *Follower) Rejections() []Rejection { return f.durable.Rejections }
