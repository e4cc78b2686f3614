package configstream

import (
	"errors"
	"testing"
	"time"
)

// followerTest is a follower whose events a test triggers one by one.
type followerTest struct {
	*Follower
	t *testing.T
}

// expect fails the test unless describeActions returns want for the actions.
func (f *followerTest) expect(step, want string, actions []FollowerAction) {
	f.t.Helper()
	if got := describeActions(actions); got != want {
		f.t.Fatalf("%s: got actions %q, want %q", step, got, want)
	}
}

func (f *followerTest) push(nonce uint64, v, base *Version) []FollowerAction {
	return f.PushReceived(0, &Push{Nonce: nonce, Body: v.Body(base), IsConfirmed: true})
}

func (f *followerTest) persisted() []FollowerAction { return f.PersistCompleted(0, nil) }
func (f *followerTest) checked(problems ...Problem) []FollowerAction {
	return f.CheckCompleted(0, problems)
}
func (f *followerTest) activated(err error) []FollowerAction { return f.ActivationCompleted(0, err) }

// A sequence of events results in the expected actions of a follower. Each part continues from the state at the end of
// the previous one.
func TestFollowerEventSequence(t *testing.T) {
	vs := numberedVersions(t, 6)
	follower, first := NewFollower(FollowerConfig{
		Name:              "f",
		HeartbeatInterval: time.Second,
		SilenceTimeout:    3 * time.Second,
		MaxAttempts:       2,
	}, DurableState{StartCount: 1})
	f := &followerTest{follower, t}
	f.OpenStream(0)
	f.expect("start", "", first)
	f.expectFirstVersion(vs)
	f.expectRejection(vs)
	f.expectFailures(vs)
	f.expectHeartbeats()
	if f.Running() == nil || *f.Running() != vs[0].Ref {
		t.Errorf("version in force: got %v, want version 1", f.Running())
	}
}

// expectFirstVersion checks that version 1 is put in force, and that the push received during the update is handled
// afterwards.
func (f *followerTest) expectFirstVersion(vs []*Version) {
	f.t.Helper()
	f.expect("first push", "persist", f.push(1, vs[0], nil))
	f.expect("candidate persisted", "check 1", f.persisted())
	f.expect("push during an update", "", f.push(2, vs[1], nil))
	f.expect("checked", "persist", f.checked())
	f.expect("accepted", "activate 1", f.persisted())
	f.expect("activated", "persist", f.activated(nil))
	f.expect("activation persisted, pending push handled", "1 applied 1, persist", f.persisted())
}

// expectRejection checks that version 2 is rejected after the stream was replaced, and which pushes are replied to
// immediately.
func (f *followerTest) expectRejection(vs []*Version) {
	f.t.Helper()
	f.StreamClosed()
	f.OpenStream(0)
	f.expect("candidate persisted on another stream", "check 2", f.persisted())
	f.expect("problem found", "persist", f.checked(Problem{Object: "plan big", Field: "rate", Text: "is odd"}))
	f.expect("rejected, pushed on an earlier stream", "rejected 2, 0 refused 2", f.persisted())
	f.expect("push of a rejected version", "3 refused 2", f.push(3, vs[1], vs[0]))
	f.expect("push with a missing base", "4 needs-full 4", f.push(4, vs[3], vs[2]))
	f.expect("push of the same version", "5 not-newer 1", f.push(5, vs[0], nil))
}

// expectFailures checks that version 1 stays in force when the disk or an activation fails.
func (f *followerTest) expectFailures(vs []*Version) {
	f.t.Helper()
	f.expect("push of a delta", "persist", f.push(6, vs[3], vs[0]))
	f.expect("candidate persisted", "check 4", f.persisted())
	f.expect("checked", "persist", f.checked())
	f.expect("disk failure", "close", f.PersistCompleted(0, errors.New("no space")))
	f.expect("push after a disk failure", "persist", f.push(7, vs[4], vs[0]))
	f.expect("candidate persisted", "check 5", f.persisted())
	f.expect("checked", "persist", f.checked())
	f.expect("accepted", "activate 5", f.persisted())
	f.expect("activation failed", "persist", f.activated(errors.New("no port")))
	f.expect("rejected, 1 stays in force", "rejected 5, 7 refused 5", f.persisted())
}

// expectHeartbeats checks when a ping is due, and that the stream of a silent member is closed.
func (f *followerTest) expectHeartbeats() {
	f.t.Helper()
	f.expect("heartbeat due", "ping", f.Tick(time.Second))
	f.expect("heartbeat not due", "", f.Tick(1500*time.Millisecond))
	f.expect("member silent", "close", f.Tick(3500*time.Millisecond))
}
