package configstream

import (
	"errors"
	"testing"
	"time"
)

// A follower, event by event: what it does.
func TestFollowerTranscript(t *testing.T) {
	vs := numberedVersions(t, 6)
	f, first := NewFollower(FollowerConfig{
		Name:              "f",
		HeartbeatInterval: time.Second,
		SilenceTimeout:    3 * time.Second,
		MaxAttempts:       2,
	}, DurableState{StartCount: 1})
	expect := func(step, want string, actions []Action) {
		t.Helper()
		if got := describeActions(actions); got != want {
			t.Fatalf("%s: %q, want %q", step, got, want)
		}
	}
	push := func(nonce uint64, v, base *Version) []Action {
		return f.PushReceived(0, &Push{Nonce: nonce, Body: v.Body(base), IsConfirmed: true})
	}
	persisted := func() []Action { return f.PersistCompleted(0, nil) }
	checked := func(problems ...Problem) []Action { return f.CheckCompleted(0, problems) }
	activated := func(err error) []Action { return f.ActivationCompleted(0, err) }

	f.OpenStream(0)
	expect("start", "", first)
	expect("first push", "persist", push(1, vs[0], nil))
	expect("candidate persisted", "check 1", persisted())
	expect("push during an update", "", push(2, vs[1], nil))
	expect("checked", "persist", checked())
	expect("accepted", "activate 1", persisted())
	expect("activated", "persist", activated(nil))
	expect("the push that came meanwhile follows", "1 applied 1, persist", persisted())
	f.StreamClosed()
	f.OpenStream(0)
	expect("candidate persisted on another stream", "check 2", persisted())
	expect("problem found", "persist", checked(Problem{Object: "plan big", Field: "rate", Text: "is odd"}))
	expect("rejected, the push was another stream's", "rejected 2, 0 refused 2", persisted())
	expect("push of a rejected version", "3 refused 2", push(3, vs[1], vs[0]))
	expect("push with a missing base", "4 needs-full 4", push(4, vs[3], vs[2]))
	expect("push of the same version", "5 not-newer 1", push(5, vs[0], nil))
	expect("push of a delta", "persist", push(6, vs[3], vs[0]))
	expect("candidate persisted", "check 4", persisted())
	expect("checked", "persist", checked())
	expect("disk failure", "close", f.PersistCompleted(0, errors.New("no space")))
	expect("push after a disk failure", "persist", push(7, vs[4], vs[0]))
	expect("candidate persisted", "check 5", persisted())
	expect("checked", "persist", checked())
	expect("accepted", "activate 5", persisted())
	expect("activation failed", "persist", activated(errors.New("no port")))
	expect("rejected, 1 stays in force", "rejected 5, 7 refused 5", persisted())
	expect("heartbeat due", "ping", f.Tick(time.Second))
	expect("heartbeat not due", "", f.Tick(1500*time.Millisecond))
	expect("member silent", "close", f.Tick(3500*time.Millisecond))
	if f.Running() == nil || *f.Running() != vs[0].Ref {
		t.Errorf("runs %v", f.Running())
	}
}
