package multisite

import (
	"testing"
	"time"
)

// newTestConfirmation returns the confirmation of instance 1 with voters as of log entry 7.
func newTestConfirmation(t *testing.T, incarnation uint64, voters []uint64, isJoint bool) *QuorumConfirmation {
	t.Helper()
	c, err := NewQuorumConfirmation(ConfirmationConfig{InstanceID: 1, Incarnation: incarnation})
	if err != nil {
		t.Fatal(err)
	}
	c.ApplyAgreed(7, voters, isJoint)
	return c
}

// Who must answer so that an epoch is confirmed, and what a voter's report is worth.
func TestConfirmedAt(t *testing.T) {
	five := []uint64{1, 2, 3, 4, 5}
	for _, c := range []struct {
		name    string
		voters  []uint64
		isJoint bool
		fence   uint64            // of this instance
		answers map[uint64]uint64 // fences of those that answer
		isLate  bool              // they answer the process before this one
		ok      bool
	}{
		{name: "one of one", voters: five[:1], ok: true},
		{name: "one of two", voters: five[:2], ok: true},
		{name: "one of three", voters: five[:3]},
		{name: "two of three", voters: five[:3], answers: map[uint64]uint64{2: 7}, ok: true},
		{name: "one of four", voters: five[:4]},
		{name: "two of four", voters: five[:4], answers: map[uint64]uint64{3: 3}, ok: true},
		{name: "two of five", voters: five, answers: map[uint64]uint64{3: 3}},
		{name: "three of five", voters: five, answers: map[uint64]uint64{3: 3, 4: 7}, ok: true},
		{name: "one has a later entry", voters: five[:4], answers: map[uint64]uint64{3: 8}},
		{name: "this one has, and another not", voters: five[:4], fence: 8, answers: map[uint64]uint64{3: 3}},
		{
			name: "this one has, and two not", voters: five[:4], fence: 8,
			answers: map[uint64]uint64{2: 0, 3: 3}, ok: true,
		},
		{name: "voters change", voters: five[:4], isJoint: true, answers: map[uint64]uint64{2: 0, 3: 3, 4: 0}},
		{name: "a stranger", voters: five[:4], answers: map[uint64]uint64{5: 0}},
		{name: "not a voter itself", voters: five[1:], answers: map[uint64]uint64{2: 0, 3: 0, 4: 0, 5: 0}},
		{
			name: "answers to the process before", voters: five[:4],
			answers: map[uint64]uint64{2: 0, 3: 0, 4: 0}, isLate: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			current := newTestConfirmation(t, 2, c.voters, c.isJoint)
			before := newTestConfirmation(t, 1, c.voters, c.isJoint)
			requestID := current.NextBroadcast(time.Second, c.fence).RequestID
			if c.isLate {
				requestID = before.NextBroadcast(time.Second, c.fence).RequestID
			}
			current.NextBroadcast(2*time.Second, c.fence)
			for id, fence := range c.answers {
				answers := []ConfirmationAnswer{{Requester: 1, RequestID: requestID}}
				current.Receive(id, ConfirmationMessage{RequestID: 9, Fence: fence, Answers: answers})
			}
			at, ok := current.ConfirmedAt()
			if want := min(time.Duration(len(c.answers)), 1) * time.Second; ok != c.ok || ok && want > 0 && at != want {
				t.Errorf("confirmed as of %v: %v", at, ok)
			}
			// An older state of the log takes nothing back.
			current.ApplyAgreed(6, five[:1], false)
			if at2, ok2 := current.ConfirmedAt(); at2 != at || ok2 != ok {
				t.Errorf("after an older state: %v, %v", at2, ok2)
			}
		})
	}
}
