package configstream

import (
	"fmt"
	"time"
)

// FollowerConfig is what a follower's side goes by.
type FollowerConfig struct {
	Name              string
	ProcessID         uint64        // drawn at the process's start
	HeartbeatInterval time.Duration // between two signs of life
	SilenceTimeout    time.Duration // without a word from the member, after which the stream is given up
	MaxAttempts       int           // of a version that ends the process while it is checked or put in force; then it is refused
}

// DurableState is what a follower keeps. Each change of it is an [Action] that the host must have synced before it says that it is done.
type DurableState struct {
	StartCount         uint64   // processes that have used it, this one too
	Accepted           *Version // checked, in force or to be put in force
	WasActivated       bool     // Good has been in force
	ActivationAttempts int      // starts with a Good that has not been
	Previous           *Version // that was in force before Good
	Candidate          Ref      // being checked; the zero Ref: none
	CheckAttempts      int      // of it that were begun
	Rejections         []Rejection
}

// Action is something that a follower's host does. Of Keep, Check and Install one is under way at a time; each is ended by
// [Follower.PersistCompleted], [Follower.CheckCompleted] or [Follower.ActivationCompleted].
type Action struct {
	Persist     *DurableState // write all of it
	Check       *Version      // may it be put in force?
	Activate    *Version      // put it in force
	Send        *Report
	Ping        uint64 // its number; 0: none
	CloseStream string // end the stream, for this reason
	Log         string
}

type step int

const (
	idle step = iota
	keepingReceived
	checking
	keepingGood
	installing
	keepingForce
	keepingRefusal
)

// Follower is a follower's side.
type Follower struct {
	cfg     FollowerConfig
	disk    DurableState
	running *Version // in force now
	since   time.Duration
	step    step
	work    *Version   // that step is about
	nonce   uint64     // of the push that it came with
	refusal *Rejection // that is being kept
	boot    bool       // what is being kept is the count of starts with work, which was kept before
	again   *Version   // put back in force once the refusal is kept
	waiting *Push      // the newest that came meanwhile

	linked    bool
	heard     time.Duration
	dial      uint64
	ping      uint64
	pings     map[uint64]time.Duration // by number, the last ones
	pinged    time.Duration
	confirmed time.Duration // asked then, a quorum confirmed that nothing newer than running was agreed on
	sure      bool
	homes     time.Duration // likewise of the homes of keys
	homesSure bool
	note      string
}

// NewFollower returns a follower's side, and what is to be done first. What was in force before is put in force again with
// no word from anyone; what ended the process time and again is refused instead.
func NewFollower(cfg FollowerConfig, disk DurableState) (*Follower, []Action) {
	f := &Follower{cfg: cfg, disk: disk, pings: map[uint64]time.Duration{}}
	// A newer program may read what an older one could not.
	f.disk.Rejections = nil
	for _, r := range disk.Rejections {
		if !r.IsUnsupportedFormat {
			f.disk.Rejections = append(f.disk.Rejections, r)
		}
	}
	good := f.disk.Accepted
	switch {
	case good == nil:
		return f, f.recheck()
	case f.disk.WasActivated:
		return f, f.install(good)
	case f.disk.ActivationAttempts >= cfg.MaxAttempts:
		f.work = good
		return f, f.refuse([]Problem{{Text: fmt.Sprintf("the process ended %d times while this version was put in force", f.disk.ActivationAttempts)}}, false)
	}
	f.disk.ActivationAttempts++
	f.work, f.step, f.boot = good, keepingGood, true
	return f, f.keep()
}

// recheck refuses a version that ended the process while it was checked, time and again.
func (f *Follower) recheck() []Action {
	if f.disk.CheckAttempts < f.cfg.MaxAttempts {
		return nil
	}
	f.work = &Version{Ref: f.disk.Candidate}
	return f.refuse([]Problem{{Text: fmt.Sprintf("the process ended %d times while this version was checked", f.disk.CheckAttempts)}}, false)
}

func (f *Follower) keep() []Action {
	d := f.disk
	return []Action{{Persist: &d}}
}

func (f *Follower) install(v *Version) []Action {
	f.work, f.step, f.boot = v, installing, false
	return []Action{{Activate: v}}
}

func (f *Follower) report(nonce uint64, result Result, ref Ref, why *Rejection) []Action {
	if !f.linked {
		return nil // the next stream's hello tells
	}
	r := &Report{Nonce: nonce, Result: result, Ref: ref, Running: f.Running()}
	if why != nil {
		r.Problems, r.IsUnsupportedFormat = why.Problems, why.IsUnsupportedFormat
	}
	return []Action{{Send: r}}
}

// Running is what is in force; nil: nothing.
func (f *Follower) Running() *Ref {
	if f.running == nil {
		return nil
	}
	ref := f.running.Ref
	return &ref
}

// OpenStream begins a stream.
func (f *Follower) OpenStream(now time.Duration) Hello {
	f.linked, f.heard, f.waiting = true, now, nil
	f.dial++
	f.nonce = 0 // what is under way came with another stream
	clear(f.pings)
	f.pinged = now - f.cfg.HeartbeatInterval
	return Hello{Name: f.cfg.Name, ProcessID: f.cfg.ProcessID, StartCount: f.disk.StartCount, StreamNumber: f.dial, Running: f.Running(), RunningFor: now - f.since, Rejections: f.disk.Rejections, MaxFormat: Format}
}

// StreamClosed says that the stream has ended. What runs goes on.
func (f *Follower) StreamClosed() { f.linked, f.waiting = false, nil }

// PushReceived takes in a push.
func (f *Follower) PushReceived(now time.Duration, p *Push) []Action {
	f.heard = now
	if f.step != idle {
		f.waiting = p // one that waited already is older, or the member has lost count
		return nil
	}
	b := p.Body
	if f.running != nil {
		switch b.Compare(f.running.Ref) {
		case OrderSame, OrderOlder:
			return f.report(p.Nonce, ResultNotNewer, b.Ref, nil)
		case OrderDiverged:
			return f.report(p.Nonce, ResultDiverged, b.Ref, nil)
		}
	} else if !p.IsConfirmed {
		return f.report(p.Nonce, ResultUnconfirmed, b.Ref, nil)
	}
	if r := refusalOf(f.disk.Rejections, b.Ref); r != nil {
		return f.report(p.Nonce, ResultRejected, b.Ref, r)
	}
	f.nonce = p.Nonce
	if b.Format > Format {
		f.work = &Version{Ref: b.Ref}
		return f.refuse([]Problem{{Text: fmt.Sprintf("it is in format %d, and this program knows up to %d: update it", b.Format, Format)}}, true)
	}
	if b.Base != nil && (f.running == nil || *b.Base != f.running.Ref) {
		return f.report(p.Nonce, ResultNeedsFull, b.Ref, nil)
	}
	v, err := b.Build(f.running)
	if err != nil { // it was damaged, on the way or by whoever made it
		return f.report(p.Nonce, ResultNeedsFull, b.Ref, nil)
	}
	f.work = v
	if f.disk.Candidate != v.Ref {
		f.disk.Candidate, f.disk.CheckAttempts = v.Ref, 0
	}
	f.disk.CheckAttempts++
	f.step = keepingReceived
	return f.keep()
}

// refuse keeps a refusal of the version at work, so that it is never put in force, whoever offers it, after a restart either.
func (f *Follower) refuse(problems []Problem, unread bool) []Action {
	r := Rejection{Ref: f.work.Ref, Problems: problems, IsUnsupportedFormat: unread}
	f.refusal = &r
	f.disk.Rejections = addRefusal(f.disk.Rejections, r)
	f.disk.Candidate, f.disk.CheckAttempts = Ref{}, 0
	f.again = nil
	if f.disk.Accepted != nil && f.disk.Accepted.Ref == r.Ref { // back to what was in force before it
		f.disk.Accepted, f.disk.WasActivated, f.disk.ActivationAttempts, f.disk.Previous = f.disk.Previous, f.disk.Previous != nil, 0, nil
		f.again = f.disk.Accepted
	}
	f.step = keepingRefusal
	return f.keep()
}

// PersistCompleted says that the last Keep is on the disk. An error means that it may not be: the follower goes on with what runs and
// takes nothing new, since it could not keep its word after a restart.
func (f *Follower) PersistCompleted(now time.Duration, err error) []Action {
	if err != nil && f.boot {
		// At the start: a count that can't be written is no reason not to serve what was good before.
		f.note = err.Error()
		return f.install(f.work)
	}
	if err != nil {
		f.rest()
		f.waiting, f.note = nil, fmt.Sprintf("its file can't be written: %v", err)
		return []Action{{CloseStream: f.note}}
	}
	switch f.step {
	case keepingReceived:
		f.step = checking
		return []Action{{Check: f.work}}
	case keepingGood:
		return f.install(f.work)
	case keepingForce:
		return f.done(now, ResultApplied, nil)
	case keepingRefusal:
		if v := f.again; v != nil && (f.running == nil || f.running.Ref != v.Ref) {
			return f.install(v)
		}
		return f.done(now, ResultRejected, f.refusal)
	}
	return nil
}

// CheckCompleted brings the result of a check: no problems, or why the version can't be put in force.
func (f *Follower) CheckCompleted(now time.Duration, problems []Problem) []Action {
	if f.step != checking {
		return nil
	}
	if len(problems) > 0 {
		return f.refuse(problems, false)
	}
	if f.disk.WasActivated {
		f.disk.Previous = f.disk.Accepted
	}
	f.disk.Accepted, f.disk.WasActivated, f.disk.ActivationAttempts = f.work, false, 0
	f.disk.Candidate, f.disk.CheckAttempts = Ref{}, 0
	f.step = keepingGood
	return f.keep()
}

// ActivationCompleted says whether the version is in force. With an error the one before it is again.
func (f *Follower) ActivationCompleted(now time.Duration, err error) []Action {
	if f.step != installing {
		return nil
	}
	back := f.refusal != nil
	if err != nil && back { // not even the one before
		f.note = err.Error()
		return f.done(now, ResultRejected, f.refusal)
	}
	if err != nil {
		return f.refuse([]Problem{{Text: err.Error()}}, false)
	}
	if f.running == nil || f.running.Ref != f.work.Ref {
		f.running, f.since, f.sure, f.homesSure = f.work, now, false, false
	}
	f.note = ""
	if back {
		return f.done(now, ResultRejected, f.refusal)
	}
	if f.disk.WasActivated {
		return f.done(now, ResultApplied, nil)
	}
	f.disk.WasActivated, f.disk.ActivationAttempts = true, 0
	f.step = keepingForce
	return f.keep()
}

// rest ends the work on a version.
func (f *Follower) rest() {
	f.step, f.work, f.nonce, f.refusal, f.again, f.boot = idle, nil, 0, nil, nil, false
}

// done ends the work on a push, and begins that on the one that came meanwhile.
func (f *Follower) done(now time.Duration, result Result, why *Rejection) (as []Action) {
	ref := f.work.Ref
	if why != nil { // work may be what was put in force again
		ref = why.Ref
		as = append(as, Action{Log: fmt.Sprintf("version %v is refused: %v", ref, why.Problems)})
	}
	as = append(as, f.report(f.nonce, result, ref, why)...)
	f.rest()
	if f.disk.CheckAttempts >= f.cfg.MaxAttempts {
		return append(as, f.recheck()...)
	}
	if p := f.waiting; p != nil {
		f.waiting = nil
		as = append(as, f.PushReceived(now, p)...)
	}
	return as
}

// PongReceived takes in an answer to a sign of life.
func (f *Follower) PongReceived(now time.Duration, p Pong) (as []Action) {
	f.heard = now
	asked, ok := f.pings[p.Sequence]
	if !ok {
		return nil
	}
	note := p.NameConflict
	if f.running != nil {
		order := p.Newest.Compare(f.running.Ref)
		if p.IsConfirmed && order == OrderSame {
			f.confirmed, f.sure = asked, true
		}
		if p.IsConfirmed && p.Newest.Epoch == f.running.Epoch && p.PlacementVersion == f.running.PlacementVersion {
			f.homes, f.homesSure = asked, true
		}
		switch {
		case order == OrderDiverged:
			note = fmt.Sprintf("the members have version %v, which is not the version %v in force here: two services have one epoch, or one was restored: agree on a new epoch", p.Newest, f.running.Ref)
		case order == OrderOlder && p.IsConfirmed:
			note = fmt.Sprintf("the members agree on version %v, older than %v in force here: the service was restored: agree on a new epoch", p.Newest, f.running.Ref)
		}
	}
	if note != f.note && note != "" {
		as = append(as, Action{Log: note})
	}
	f.note = note
	return as
}

// keptPings bounds signs of life that are not answered.
const keptPings = 16

// Tick sends signs of life, and gives a silent stream up.
func (f *Follower) Tick(now time.Duration) []Action {
	if !f.linked {
		return nil
	}
	if now-f.heard > f.cfg.SilenceTimeout {
		return []Action{{CloseStream: "the member is silent"}}
	}
	if now-f.pinged < f.cfg.HeartbeatInterval {
		return nil
	}
	f.pinged = now
	f.ping++
	f.pings[f.ping] = now
	delete(f.pings, f.ping-keptPings)
	return []Action{{Ping: f.ping}}
}

// ConfirmedAt is when a quorum last confirmed that what is in force is the newest, and the homes of keys with it; false: not
// since it is in force.
func (f *Follower) ConfirmedAt() (at time.Duration, ok bool) { return f.confirmed, f.sure }

// PlacementConfirmedAt is the same of the epoch of homes alone.
func (f *Follower) PlacementConfirmedAt() (at time.Duration, ok bool) { return f.homes, f.homesSure }

// Warning is what is wrong; empty: nothing.
func (f *Follower) Warning() string { return f.note }

// Rejections are the versions that it does not put in force, the oldest first.
func (f *Follower) Rejections() []Rejection { return f.disk.Rejections }
