package configstream

import (
	"fmt"
	"testing"
	"time"
)

// refOf returns a reference to a version without an epoch.
func refOf(number uint64) *Ref { return &Ref{Number: number, Digest: Digest{number}} }

// decidePush pushes the target version or returns why it is withheld.
func TestPushDecision(t *testing.T) {
	target := &Version{Ref: *refOf(3)}
	confirmed := confirmation{requestedAt: 2 * time.Second, isValid: true}
	for _, test := range []struct {
		name         string
		session      session
		target       *Version
		confirmation confirmation
		want         pushDecision
	}{
		{"older version runs", session{running: refOf(2)}, target, confirmation{}, pushNow},
		{"nothing runs, confirmed since", session{beganAt: time.Second}, target, confirmed, pushNow},
		{"nothing runs, confirmed before", session{beganAt: 3 * time.Second}, target, confirmed, withheldUnconfirmed},
		{"nothing runs, never confirmed", session{}, target, confirmation{}, withheldUnconfirmed},
		{"target not retained", session{running: refOf(2)}, nil, confirmed, withheldNoVersion},
		{"reply pending", session{running: refOf(2), pendingNonce: 1}, target, confirmed, withheldReplyPending},
		{"name conflict", session{running: refOf(2), nameConflict: "two"}, target, confirmed, withheldNameConflict},
		{"same version runs", session{running: refOf(3)}, target, confirmed, withheldNotNewer},
		{"newer version runs", session{running: refOf(4)}, target, confirmed, withheldNotNewer},
		{
			"rejected", session{running: refOf(2), rejections: []Rejection{{Ref: *refOf(3)}}}, target, confirmed,
			withheldRejected,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.session.decidePush(test.target, test.confirmation); got != test.want {
				t.Errorf("got decision %d, want %d", got, test.want)
			}
		})
	}
}

// Two streams with the same name conflict only if they belong to different processes and both have received messages
// since the later stream began.
func TestNameConflictRule(t *testing.T) {
	const silenceTimeout = 3 * time.Second
	stream := func(process uint64, age, silence time.Duration) ObservedStream {
		return ObservedStream{ProcessID: process, StreamAge: age, SilentFor: silence}
	}
	for _, test := range []struct {
		name     string
		own      ObservedStream
		other    ObservedStream
		conflict bool
	}{
		{"both heard since", stream(1, 9*time.Second, 0), stream(2, 5*time.Second, time.Second), true},
		{"same process", stream(1, 9*time.Second, 0), stream(1, 5*time.Second, time.Second), false},
		{"other silent since own began", stream(1, time.Second, 0), stream(2, 9*time.Second, 2*time.Second), false},
		{"own silent since other began", stream(1, 9*time.Second, 2*time.Second), stream(2, time.Second, 0), false},
		{"other silent for the timeout", stream(1, 9*time.Second, 0), stream(2, 9*time.Second, silenceTimeout), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.own.conflictsWith(&test.other, silenceTimeout); got != test.conflict {
				t.Errorf("got conflict %v, want %v", got, test.conflict)
			}
		})
	}
}

// decideStartup decides how the accepted version is handled at a start, by its activations and attempts before.
func TestStartupDecision(t *testing.T) {
	const maxAttempts = 2
	accepted := &Version{Ref: *refOf(1)}
	for _, test := range []struct {
		name  string
		state DurableState
		want  startupDecision
	}{
		{"empty", DurableState{}, startEmpty},
		{"in force before", DurableState{Accepted: accepted, WasActivated: true, ActivationAttempts: 5}, activateAccepted},
		{"last attempt", DurableState{Accepted: accepted, ActivationAttempts: 1}, countActivationAttempt},
		{"attempts used up", DurableState{Accepted: accepted, ActivationAttempts: 2}, rejectAccepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.state.decideStartup(maxAttempts); got != test.want {
				t.Errorf("got decision %d, want %d", got, test.want)
			}
		})
	}
}

// handleReply returns what a member does after a report, on a stream whose push of version 2 has the nonce 7.
func TestReplyDecision(t *testing.T) {
	newest := &Version{Ref: *refOf(3)}
	for _, test := range []struct {
		name      string
		needsFull bool
		report    Report
		want      reportDecision
	}{
		{"status", false, Report{Running: refOf(2)}, noAction},
		{"reply to another push", false, Report{Nonce: 6, Result: ResultApplied}, noAction},
		{"applied", false, Report{Nonce: 7, Result: ResultApplied}, pushTargetIfDue},
		{"rejected", false, Report{Nonce: 7, Result: ResultRejected}, pushTargetIfDue},
		{"difference not usable", false, Report{Nonce: 7, Result: ResultNeedsFull}, pushTargetIfDue},
		{"complete version damaged", true, Report{Nonce: 7, Result: ResultNeedsFull}, closeCorrupt},
		{"not newer, runs the newest", false, Report{Nonce: 7, Result: ResultNotNewer, Running: refOf(3)}, noAction},
		{"not newer than offered", false, Report{Nonce: 7, Result: ResultNotNewer, Running: refOf(2)}, pushTargetIfDue},
		{"unconfirmed", false, Report{Nonce: 7, Result: ResultUnconfirmed}, noAction},
		{"diverged", false, Report{Nonce: 7, Result: ResultDiverged}, noAction},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := session{pendingNonce: 7, offered: refOf(2), needsFull: test.needsFull}
			if got := s.handleReply(&test.report, newest); got != test.want {
				t.Errorf("got decision %d, want %d", got, test.want)
			}
		})
	}
}

// The upper bound of the backoff doubles with each failure up to MaxBackoff, for any number of failures.
func TestMaxBackoffAfter(t *testing.T) {
	cfg := MemberSelectorConfig{InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second}
	for _, test := range []struct {
		failures int
		want     time.Duration
	}{
		{1, 100 * time.Millisecond},
		{2, 200 * time.Millisecond},
		{4, 800 * time.Millisecond},
		{5, time.Second},
		{1000, time.Second},
	} {
		t.Run(fmt.Sprint(test.failures), func(t *testing.T) {
			if got := cfg.maxBackoffAfter(test.failures); got != test.want {
				t.Errorf("got bound %v, want %v", got, test.want)
			}
		})
	}
}

// Connections are admitted up to the burst and at the configured rate, and none while the maximum number of streams is
// open.
func TestAdmissionLimiter(t *testing.T) {
	limiter := newAdmissionLimiter(&PublisherConfig{MaxFollowers: 3, AdmissionRate: 1, AdmissionBurst: 2})
	for _, test := range []struct {
		name        string
		now         time.Duration
		openStreams int
		want        bool
	}{
		{"first of a burst", 10 * time.Second, 0, true},
		{"too many streams", 10 * time.Second, 3, false},
		{"second of a burst, no token was taken", 10 * time.Second, 2, true},
		{"bucket empty", 10 * time.Second, 0, false},
		{"a second later", 11 * time.Second, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := limiter.admitConnection(test.now, test.openStreams); got != test.want {
				t.Errorf("got admitted %v, want %v", got, test.want)
			}
		})
	}
}
