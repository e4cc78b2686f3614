package raftnode

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
)

// Tests the retry decision after each result of an attempt to propose, and the error for a context that ends then.
func TestProposalRetry(t *testing.T) {
	const electionTimeout = time.Second
	errRejected := errors.New("rejected")
	for _, test := range []struct {
		name              string
		attempts          []error
		want              retryDecision // decision after the last attempt
		wantContextErr    error
		wantResultTimeout time.Duration
	}{
		{"applied", []error{nil}, retryNever, ErrNoLeader, 3 * time.Second},
		{"rejected", []error{errRejected}, retryNever, ErrNoLeader, 3 * time.Second},
		{"no leader", []error{ErrNoLeader}, retryLater, ErrNoLeader, 3 * time.Second},
		{"leader changed", []error{ErrOutcomeUnknown}, retryLater, ErrOutcomeUnknown, 3 * time.Second},
		{"no answer", []error{errNoResult}, retryNow, ErrOutcomeUnknown, 6 * time.Second},
		{"no answer twice", []error{errNoResult, errNoResult}, retryNow, ErrOutcomeUnknown, 12 * time.Second},
		{"no leader after no answer", []error{errNoResult, ErrNoLeader}, retryLater, ErrOutcomeUnknown, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			retry := newProposalRetry(&clusterconfig.Proposal{}, electionTimeout)
			var got retryDecision
			for _, err := range test.attempts {
				got = retry.afterAttempt(err)
			}
			if got != test.want || retry.resultTimeout != test.wantResultTimeout {
				t.Errorf("got decision %d, result timeout %v", got, retry.resultTimeout)
			}
			errEnded := errors.New("time is over")
			if err := retry.contextError(errEnded); !errors.Is(err, test.wantContextErr) || !errors.Is(err, errEnded) {
				t.Error(err)
			}
		})
	}
}

// Tests that the wait for a result grows by one election timeout for each MiB of the proposal.
func TestProposalAnswerTimeout(t *testing.T) {
	for size, want := range map[int]time.Duration{
		0:       3 * time.Second,
		1 << 20: 4 * time.Second,
		8 << 20: 11 * time.Second,
	} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			p := &clusterconfig.Proposal{Changes: []clusterconfig.Change{{Value: make([]byte, size)}}}
			if got := newProposalRetry(p, time.Second).resultTimeout; got != want {
				t.Errorf("result timeout: got %v, want %v", got, want)
			}
		})
	}
}

// Tests that the delay before a member is dialed again doubles up to its maximum.
func TestRedialBackoff(t *testing.T) {
	backoff := newRedialBackoff()
	for i, want := range []time.Duration{
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		800 * time.Millisecond, time.Second, time.Second,
	} {
		if got := backoff.next(); got != want {
			t.Errorf("delay before attempt %d: got %v, want %v", i+1, got, want)
		}
	}
}

// Tests that a hello is accepted only from the newest copy of a member's file.
func TestHelloTable(t *testing.T) {
	newest := hello{incarnation: 3, processID: 7}
	for _, test := range []struct {
		name string
		next hello
		want bool
	}{
		{"same process", newest, true},
		{"next start", hello{4, 9}, true},
		{"earlier start", hello{2, 9}, false},
		{"same start in another process", hello{3, 9}, false},
		{"unknown incarnation", hello{0, 9}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := (helloTable{2: newest}).accept(2, test.next); got != test.want {
				t.Errorf("accept: got %v, want %v", got, test.want)
			}
		})
	}
}

// Tests that a snapshot is due after entriesPerSnapshot entries or after a change of the membership.
func TestSnapshotSchedule(t *testing.T) {
	const entriesPerSnapshot = 20
	for _, test := range []struct {
		name     string
		schedule snapshotSchedule
		applied  uint64
		want     bool
	}{
		{"too few entries", snapshotSchedule{lastIndex: 10}, 29, false},
		{"enough entries", snapshotSchedule{lastIndex: 10}, 30, true},
		{"membership changed", snapshotSchedule{lastIndex: 10, membershipChanged: true}, 11, true},
		{"change in the snapshot", snapshotSchedule{lastIndex: 10, membershipChanged: true}, 10, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.schedule.isDue(test.applied, entriesPerSnapshot); got != test.want {
				t.Errorf("isDue: got %v, want %v", got, test.want)
			}
		})
	}
}
