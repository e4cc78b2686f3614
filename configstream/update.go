package configstream

import (
	"fmt"
	"time"
)

// step is the action whose completion an update waits for.
type step int

// Steps of an update, in their order. After a failure the rejection is persisted instead of the remaining steps, and
// the previous version is activated again if necessary.
const (
	stepIdle step = iota
	stepPersistCandidate
	stepCheck
	stepPersistAccepted
	stepActivate
	stepPersistActivation
	stepPersistRejection
)

var stepNames = [...]string{
	"idle", "persist candidate", "check", "persist accepted", "activate", "persist activation", "persist rejection",
}

// String returns the step's name.
func (s step) String() string { return stepNames[s] }

// update is the progress of putting a version in force. The zero value means that no update is in progress.
type update struct {
	step      step
	version   *Version   // version that the step processes
	nonce     uint64     // nonce of the push; 0 if the version was not pushed on the current stream
	rejection *Rejection // rejection with which the update ends; nil if there is none
	fallback  *Version   // version to activate after the rejection was persisted; nil if there is none
	isStartup bool       // whether the step persists the count of activation attempts at a start
}

// PushReceived handles a push.
func (f *Follower) PushReceived(now time.Duration, p *Push) []FollowerAction {
	f.stream.receivedAt = now
	if f.update.step != stepIdle {
		f.pendingPush = p // replaces an earlier pending push
		return nil
	}
	b := p.Body
	if reply := p.immediateReply(f.running, f.durable.Rejections); reply != nil {
		return f.report(p.Nonce, reply.result, b.Ref, reply.rejection)
	}
	f.update.nonce = p.Nonce
	if b.Format > Format {
		const text = "the version has format %d, and this program supports formats up to %d: update the program"
		f.update.version = &Version{Ref: b.Ref}
		return f.reject(Rejection{
			Ref:                 b.Ref,
			Problems:            []Problem{{Text: fmt.Sprintf(text, b.Format, Format)}},
			IsUnsupportedFormat: true,
		})
	}
	v, err := b.Build(f.running)
	if err != nil { // the base is missing, or the body was corrupted by the network or the member
		return f.report(p.Nonce, ResultNeedsFull, b.Ref, nil)
	}
	f.update.version = v
	f.update.step = stepPersistCandidate
	f.durable.beginCheck(v.Ref)
	return f.persist()
}

// pushReply is a reply to a push that does not depend on the push's content.
type pushReply struct {
	result    PushResult
	rejection *Rejection // the earlier rejection if the version was rejected before; nil otherwise
}

// immediateReply returns the reply to a push that the follower declines without checking its content, or nil if the
// content has to be checked. running is the version in force. A follower without one accepts only versions that a
// quorum confirms, any other follower only versions newer than running. A rejected version is never accepted.
func (p *Push) immediateReply(running *Version, rejections []Rejection) *pushReply {
	if running == nil && !p.IsConfirmed {
		return &pushReply{result: ResultUnconfirmed}
	}
	if running != nil {
		switch p.Body.Compare(running.Ref) {
		case OrderSame, OrderOlder:
			return &pushReply{result: ResultNotNewer}
		case OrderDiverged:
			return &pushReply{result: ResultDiverged}
		}
	}
	if r := findRejection(rejections, p.Body.Ref); r != nil {
		return &pushReply{result: ResultRejected, rejection: r}
	}
	return nil
}

// PersistCompleted handles the completion of the last Persist. After an error the state may not be on disk: the update
// ends, the version in force is kept, and the stream is closed, since a report could be wrong after a restart.
func (f *Follower) PersistCompleted(now time.Duration, err error) []FollowerAction {
	u := &f.update
	if err != nil && u.isStartup {
		// The accepted version is activated even if the count of attempts cannot be persisted.
		f.warning = err.Error()
		return f.activate(u.version)
	}
	if err != nil {
		f.update = update{}
		f.pendingPush = nil
		f.warning = fmt.Sprintf("the follower's file cannot be written: %v", err)
		return []FollowerAction{{CloseStream: f.warning}}
	}
	switch u.step {
	case stepPersistCandidate:
		u.step = stepCheck
		return []FollowerAction{{Check: u.version}}
	case stepPersistAccepted:
		return f.activate(u.version)
	case stepPersistActivation:
		return f.finish(now)
	case stepPersistRejection:
		if v := u.fallback; v != nil && (f.running == nil || f.running.Ref != v.Ref) {
			return f.activate(v)
		}
		return f.finish(now)
	}
	return nil
}

// CheckCompleted handles the result of a check. The version is accepted if there are no problems, and rejected
// otherwise.
func (f *Follower) CheckCompleted(_ time.Duration, problems []Problem) []FollowerAction {
	if f.update.step != stepCheck {
		return nil
	}
	if len(problems) > 0 {
		return f.reject(Rejection{Ref: f.update.version.Ref, Problems: problems})
	}
	f.durable.accept(f.update.version)
	f.update.step = stepPersistAccepted
	return f.persist()
}

// ActivationCompleted handles the result of an activation. After an error the host must have the previous version in
// force again.
func (f *Follower) ActivationCompleted(now time.Duration, err error) []FollowerAction {
	u := &f.update
	if u.step != stepActivate {
		return nil
	}
	isFallback := u.rejection != nil
	switch {
	case err != nil && isFallback: // there is no other version to fall back to
		f.warning = err.Error()
		return f.finish(now)
	case err != nil:
		return f.rejectWithText(err.Error())
	}
	f.setRunning(now, u.version)
	f.warning = ""
	if isFallback || f.durable.WasActivated {
		return f.finish(now)
	}
	f.durable.WasActivated = true
	f.durable.ActivationAttempts = 0
	u.step = stepPersistActivation
	return f.persist()
}

func (f *Follower) persist() []FollowerAction {
	durable := f.durable
	return []FollowerAction{{Persist: &durable}}
}

func (f *Follower) activate(v *Version) []FollowerAction {
	f.update.step = stepActivate
	f.update.version = v
	f.update.isStartup = false
	return []FollowerAction{{Activate: v}}
}

// reject persists a rejection of the update's version, so that no later push puts it in force, even after a restart.
func (f *Follower) reject(r Rejection) []FollowerAction {
	f.update.fallback = f.durable.reject(r)
	f.update.rejection = &r
	f.update.step = stepPersistRejection
	return f.persist()
}

// rejectWithText rejects the update's version for a problem that is not specific to one object.
func (f *Follower) rejectWithText(text string) []FollowerAction {
	return f.reject(Rejection{Ref: f.update.version.Ref, Problems: []Problem{{Text: text}}})
}

// rejectFailedCandidate rejects the candidate if its checks have ended the process too often.
func (f *Follower) rejectFailedCandidate() []FollowerAction {
	if !f.durable.hasFailedChecks(f.cfg.MaxAttempts) {
		return nil
	}
	f.update.version = &Version{Ref: f.durable.Candidate}
	const text = "the process ended %d times while this version was being checked"
	return f.rejectWithText(fmt.Sprintf(text, f.durable.CheckAttempts))
}

// finish ends the update, replies to its push and handles the push that was received during the update. If the update
// ended with a rejection, the reply reports the rejected version, not the fallback.
func (f *Follower) finish(now time.Duration) (actions []FollowerAction) {
	result, ref, rejection := ResultApplied, f.update.version.Ref, f.update.rejection
	if rejection != nil {
		result, ref = ResultRejected, rejection.Ref
		actions = append(actions, FollowerAction{Rejected: rejection})
	}
	actions = append(actions, f.report(f.update.nonce, result, ref, rejection)...)
	f.update = update{}
	if f.durable.hasFailedChecks(f.cfg.MaxAttempts) {
		return append(actions, f.rejectFailedCandidate()...)
	}
	if p := f.pendingPush; p != nil {
		f.pendingPush = nil
		actions = append(actions, f.PushReceived(now, p)...)
	}
	return actions
}
