package configstream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
)

// agreed returns the versions that come of a list of changes, the first with a follower called f.
func agreed(t *testing.T, n int) (vs []*Version) {
	w := &world{t: t, state: clusterconfig.New(nil), agreed: map[Ref]agreement{}, rng: rand.New(rand.NewPCG(1, 1))}
	w.agree(clusterconfig.NewPutChange("follower", "f", clusterconfig.Follower{}), clusterconfig.NewPutChange("plan", "big", clusterconfig.Plan{Rate: 1, Burst: 1}))
	for i := range n - 1 {
		w.agree(clusterconfig.NewPutChange("limit", "units", clusterconfig.Limit{Max: i + 1}))
	}
	return w.log
}

// say words what goes out, for comparison.
func say(outs []StreamAction) string {
	var all []string
	for _, o := range outs {
		sure := ""
		if o.Push != nil && o.Push.IsConfirmed {
			sure = "!"
		}
		switch {
		case o.CloseReason != "":
			all = append(all, fmt.Sprintf("%d close", o.SessionID))
		case o.Push != nil && o.Push.Body.Base != nil:
			all = append(all, fmt.Sprintf("%d push %d on %d%s", o.SessionID, o.Push.Body.Number, o.Push.Body.Base.Number, sure))
		case o.Push != nil:
			all = append(all, fmt.Sprintf("%d push %d%s", o.SessionID, o.Push.Body.Number, sure))
		default:
			all = append(all, fmt.Sprintf("%d pong %d %v", o.SessionID, o.Pong.Sequence, o.Pong.IsConfirmed))
		}
	}
	return strings.Join(all, ", ")
}

// A publisher, event by event: what it sends.
func TestPublisherTranscript(t *testing.T) {
	vs := agreed(t, 9)
	p := NewPublisher(PublisherConfig{Member: 1, SilenceTimeout: 3 * time.Second, PushReplyTimeout: 5 * time.Second, ConfirmationTimeout: time.Second, MaxRetainedVersions: 4, MaxFollowers: 3, AdmissionRate: 1, AdmissionBurst: 2}, 1<<40)
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	var nonce uint64
	hello := func(dial uint64, process uint64, running *Version) Hello {
		h := Hello{Name: "f", ProcessID: process, StreamNumber: dial}
		if running != nil {
			h.Running = &running.Ref
		}
		return h
	}
	report := func(r Result, v, running *Version) Report {
		return Report{Nonce: nonce, Result: r, Ref: v.Ref, Running: &running.Ref}
	}
	for i, step := range []struct {
		do   func() []StreamAction
		want string
	}{
		{func() []StreamAction { return p.OpenStream(at(0), 1, hello(1, 7, nil)) }, "1 close"}, // nobody is agreed on yet
		{func() []StreamAction { return p.Publish(at(0), vs[0]) }, ""},
		{func() []StreamAction { return p.OpenStream(at(1), 2, hello(1, 7, nil)) }, ""}, // it has nothing kept
		{func() []StreamAction { return p.Confirm(at(1.1), at(0.9), vs[0].Ref) }, ""},
		{func() []StreamAction { return p.Confirm(at(1.2), at(1.1), vs[0].Ref) }, "2 push 1!"},
		{func() []StreamAction { return p.Publish(at(1.3), vs[1]) }, ""}, // one at a time
		{func() []StreamAction { return p.Publish(at(1.3), vs[2]) }, ""},
		{func() []StreamAction { return p.ReportReceived(at(1.4), 2, report(ResultApplied, vs[0], vs[0])) }, "2 push 3 on 1"}, // the newest, not a queue
		{func() []StreamAction {
			return p.ReportReceived(at(1.4), 2, Report{Nonce: nonce - 1, Result: ResultApplied, Ref: vs[2].Ref, Running: &vs[0].Ref})
		}, ""}, // another push's
		{func() []StreamAction { return p.Publish(at(1.5), vs[3]) }, ""},
		{func() []StreamAction { return p.ReportReceived(at(1.6), 2, report(ResultNeedsFull, vs[2], vs[0])) }, "2 push 4"},
		{func() []StreamAction { return p.ReportReceived(at(1.7), 2, report(ResultNeedsFull, vs[3], vs[0])) }, "2 close"}, // the whole, and damaged again
		{func() []StreamAction { return p.OpenStream(at(2), 3, hello(2, 7, vs[0])) }, "3 push 4 on 1"},
		{func() []StreamAction { return p.OpenStream(at(2.1), 4, hello(3, 7, vs[0])) }, "3 close, 4 push 4 on 1"}, // the same process once more
		{func() []StreamAction { return p.ReportReceived(at(2.2), 4, report(ResultRejected, vs[3], vs[0])) }, ""},
		{func() []StreamAction { return p.Confirm(at(2.3), at(2.2), vs[3].Ref) }, ""}, // it refused that
		{func() []StreamAction { return p.PingReceived(at(2.3), 4, 1) }, ""},
		{func() []StreamAction { return p.Confirm(at(2.4), at(2.2), vs[3].Ref) }, ""}, // asked before
		{func() []StreamAction { return p.Publish(at(2.45), vs[4]) }, "4 push 5"},
		{func() []StreamAction { return p.Confirm(at(2.5), at(2.45), vs[3].Ref) }, ""}, // not of the newest
		{func() []StreamAction { return p.Tick(at(3.4)) }, "4 pong 1 false"},
		{func() []StreamAction { return p.PingReceived(at(3.5), 4, 2) }, ""},
		{func() []StreamAction { return p.Confirm(at(3.6), at(3.55), vs[4].Ref) }, "4 pong 2 true"},
		{func() []StreamAction { return p.ReportReceived(at(3.7), 4, report(ResultApplied, vs[4], vs[4])) }, ""},
		{func() []StreamAction { return p.Publish(at(4), vs[5]) }, "4 push 6 on 5"},
		{func() []StreamAction { return p.PingReceived(at(6), 4, 3) }, ""},
		{func() []StreamAction { return p.PingReceived(at(8.9), 4, 4) }, ""},
		{func() []StreamAction { return p.Tick(at(9.1)) }, "4 close"},                              // alive, and does not reply to a push
		{func() []StreamAction { return p.OpenStream(at(10), 5, hello(4, 7, vs[1])) }, "5 push 6"}, // 2 is not held any more
		{func() []StreamAction { return p.Tick(at(13.1)) }, "5 close"},                             // silent
		{func() []StreamAction { return p.OpenStream(at(14), 6, hello(5, 7, vs[5])) }, ""},
		{func() []StreamAction { return p.OpenStream(at(14.1), 7, hello(1, 8, vs[5])) }, ""}, // another process: restarted, or a twin
		{func() []StreamAction { return p.Tick(at(14.2)) }, ""},
		{func() []StreamAction {
			return append(p.PingReceived(at(14.3), 6, 9), p.PingReceived(at(14.3), 7, 9)...)
		}, ""},
		{func() []StreamAction { return p.Tick(at(14.4)) }, "6 pong 9 false, 7 pong 9 false"}, // both were heard since: told that they are twins
		{func() []StreamAction { return p.Publish(at(14.5), vs[6]) }, ""},                     // neither wins
		{func() []StreamAction { p.StreamClosed(at(14.6), 6); return p.Tick(at(18)) }, "7 close"},
	} {
		outs := step.do()
		if got := say(outs); got != step.want {
			t.Fatalf("step %d: %q, want %q", i, got, step.want)
		}
		for _, o := range outs {
			if o.Push != nil {
				nonce = o.Push.Nonce
			}
		}
	}
	if !p.Admit(at(20)) || !p.Admit(at(20)) || p.Admit(at(20.5)) || !p.Admit(at(21)) {
		t.Error("handshakes: two at once and one a second are wanted")
	}
}

// A follower that is pinned goes up to that version and stays, and takes the newest once it is unpinned.
func TestPin(t *testing.T) {
	w := &world{t: t, state: clusterconfig.New(nil), agreed: map[Ref]agreement{}, rng: rand.New(rand.NewPCG(1, 1))}
	w.agree(clusterconfig.NewPutChange("follower", "f", clusterconfig.Follower{}))
	w.agree(clusterconfig.NewPutChange("limit", "units", clusterconfig.Limit{Max: 2}))
	w.agree(clusterconfig.NewPutChange("follower", "f", clusterconfig.Follower{PinnedVersion: 2}))
	w.agree(clusterconfig.NewPutChange("follower", "f", clusterconfig.Follower{}))
	p := NewPublisher(PublisherConfig{Member: 1, SilenceTimeout: time.Hour, PushReplyTimeout: time.Hour, MaxRetainedVersions: 9, MaxFollowers: 9, AdmissionBurst: 9}, 0)
	p.Publish(0, w.log[0])
	p.OpenStream(0, 1, Hello{Name: "f", ProcessID: 1, StreamNumber: 1, Running: &w.log[0].Ref})
	var last *Push
	step := func(outs []StreamAction, want string) {
		t.Helper()
		if got := say(outs); got != want {
			t.Fatalf("%q, want %q", got, want)
		}
		for _, o := range outs {
			last = o.Push
		}
	}
	done := func(v *Version) []StreamAction {
		return p.ReportReceived(0, 1, Report{Nonce: last.Nonce, Result: ResultApplied, Ref: v.Ref, Running: &v.Ref})
	}
	step(p.Publish(0, w.log[1]), "1 push 2 on 1")
	p.Publish(0, w.log[2])
	step(done(w.log[1]), "") // 2 is what it stays at
	if st := p.Statuses(0)[0]; st.PinnedVersion != 2 || !strings.Contains(st.Explain(3), "until it is unpinned") {
		t.Errorf("%+v", st)
	}
	step(p.Publish(0, w.log[3]), "1 push 4 on 2")
}

// A follower, event by event: what it does.
func TestFollowerTranscript(t *testing.T) {
	vs := agreed(t, 6)
	f, as := NewFollower(FollowerConfig{Name: "f", HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second, MaxAttempts: 2}, DurableState{StartCount: 1})
	push := func(n uint64, v, base *Version) func() []Action {
		return func() []Action { return f.PushReceived(0, &Push{Nonce: n, Body: v.Body(base), IsConfirmed: true}) }
	}
	kept := func() []Action { return f.PersistCompleted(0, nil) }
	for i, step := range []struct {
		do   func() []Action
		want string
	}{
		{func() []Action { f.OpenStream(0); return as }, ""},
		{push(1, vs[0], nil), "keep"},
		{kept, "check 1"},
		{push(2, vs[1], nil), ""}, // it waits
		{func() []Action { return f.CheckCompleted(0, nil) }, "keep"},
		{kept, "install 1"},
		{func() []Action { return f.ActivationCompleted(0, nil) }, "keep"},
		{kept, "1 applied 1, keep"}, // and goes on with the one that came meanwhile
		{func() []Action { f.StreamClosed(); f.OpenStream(0); return kept() }, "check 2"},
		{func() []Action {
			return f.CheckCompleted(0, []Problem{{Object: "plan big", Field: "rate", Text: "is odd"}})
		}, "keep"},
		{kept, "log, 0 refused 2"},                // the push was another stream's
		{push(3, vs[1], vs[0]), "3 refused 2"},    // by a member that does not know
		{push(4, vs[3], vs[2]), "4 needs-full 4"}, // what it is made against is not here
		{push(5, vs[0], nil), "5 not-newer 1"},    //
		{push(6, vs[3], vs[0]), "keep"},           //
		{kept, "check 4"},                         //
		{func() []Action { return f.CheckCompleted(0, nil) }, "keep"},
		{func() []Action { return f.PersistCompleted(0, fmt.Errorf("no space")) }, "leave"},
		{push(7, vs[4], vs[0]), "keep"},
		{kept, "check 5"},
		{func() []Action { return f.CheckCompleted(0, nil) }, "keep"},
		{kept, "install 5"},
		{func() []Action { return f.ActivationCompleted(0, fmt.Errorf("no port")) }, "keep"},
		{kept, "log, 7 refused 5"}, // 1 runs on
		{func() []Action { return f.Tick(time.Second) }, "ping"},
		{func() []Action { return f.Tick(1500 * time.Millisecond) }, ""},
		{func() []Action { return f.Tick(3500 * time.Millisecond) }, "leave"},
	} {
		if got := does(step.do()); got != step.want {
			t.Fatalf("step %d: %q, want %q", i, got, step.want)
		}
	}
	if f.Running() == nil || *f.Running() != vs[0].Ref {
		t.Errorf("runs %v", f.Running())
	}
}

func does(as []Action) string {
	var all []string
	for _, a := range as {
		switch {
		case a.Persist != nil:
			all = append(all, "keep")
		case a.Check != nil:
			all = append(all, fmt.Sprint("check ", a.Check.Number))
		case a.Activate != nil:
			all = append(all, fmt.Sprint("install ", a.Activate.Number))
		case a.Send != nil:
			all = append(all, fmt.Sprintf("%d %v %d", a.Send.Nonce, a.Send.Result, a.Send.Ref.Number))
		case a.Ping != 0:
			all = append(all, "ping")
		case a.CloseStream != "":
			all = append(all, "leave")
		default:
			all = append(all, "log")
		}
	}
	return strings.Join(all, ", ")
}
