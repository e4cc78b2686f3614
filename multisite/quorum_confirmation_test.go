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

// confirmationCase lists the voters that answer the first request of instance 1.
type confirmationCase struct {
	name          string
	voters        []uint64
	isJoint       bool
	fence         uint64            // fence of this instance
	answers       map[uint64]uint64 // by answering voter: its fence
	toPredecessor bool              // the voters answer a request of the previous process
	isConfirmed   bool              // the epoch is confirmed
}

var fiveVoters = []uint64{1, 2, 3, 4, 5}

var confirmationCases = []confirmationCase{
	{name: "one of one", voters: fiveVoters[:1], isConfirmed: true},
	{name: "one of two", voters: fiveVoters[:2], isConfirmed: true},
	{name: "one of three", voters: fiveVoters[:3]},
	{name: "two of three", voters: fiveVoters[:3], answers: map[uint64]uint64{2: 7}, isConfirmed: true},
	{name: "one of four", voters: fiveVoters[:4]},
	{name: "two of four", voters: fiveVoters[:4], answers: map[uint64]uint64{3: 3}, isConfirmed: true},
	{name: "two of five", voters: fiveVoters, answers: map[uint64]uint64{3: 3}},
	{name: "three of five", voters: fiveVoters, answers: map[uint64]uint64{3: 3, 4: 7}, isConfirmed: true},
	{name: "one has a later entry", voters: fiveVoters[:4], answers: map[uint64]uint64{3: 8}},
	{name: "this one has, and another not", voters: fiveVoters[:4], fence: 8, answers: map[uint64]uint64{3: 3}},
	{
		name: "this one has, and two not", voters: fiveVoters[:4], fence: 8,
		answers: map[uint64]uint64{2: 0, 3: 3}, isConfirmed: true,
	},
	{
		name: "voters change", voters: fiveVoters[:4], isJoint: true,
		answers: map[uint64]uint64{2: 0, 3: 3, 4: 0},
	},
	{name: "a stranger", voters: fiveVoters[:4], answers: map[uint64]uint64{5: 0}},
	{name: "not a voter itself", voters: fiveVoters[1:], answers: map[uint64]uint64{2: 0, 3: 0, 4: 0, 5: 0}},
	{
		name: "answers to the process before", voters: fiveVoters[:4],
		answers: map[uint64]uint64{2: 0, 3: 0, 4: 0}, toPredecessor: true,
	},
}

// Checks which voters must answer for an epoch to be confirmed, and as of which time a voter's report is valid.
func TestConfirmedAt(t *testing.T) {
	for _, c := range confirmationCases {
		t.Run(c.name, func(t *testing.T) {
			current := newTestConfirmation(t, 2, c.voters, c.isJoint)
			c.answerFirstRequest(t, current)
			at, ok := current.ConfirmedAt()
			if want := min(time.Duration(len(c.answers)), 1) * time.Second; ok != c.isConfirmed || ok && want > 0 && at != want {
				t.Errorf("wrong confirmation: confirmed as of %v (ok %v)", at, ok)
			}
			// An older log entry does not change the confirmation.
			current.ApplyAgreed(6, fiveVoters[:1], false)
			if at2, ok2 := current.ConfirmedAt(); at2 != at || ok2 != ok {
				t.Errorf("confirmation changed by an older log entry: confirmed as of %v (ok %v)", at2, ok2)
			}
		})
	}
}

// answerFirstRequest delivers the case's answers to the request made at one second, after a second request was made.
func (c *confirmationCase) answerFirstRequest(t *testing.T, current *QuorumConfirmation) {
	t.Helper()
	before := newTestConfirmation(t, 1, c.voters, c.isJoint)
	requestID := current.NextBroadcast(time.Second, c.fence).RequestID
	if c.toPredecessor {
		requestID = before.NextBroadcast(time.Second, c.fence).RequestID
	}
	current.NextBroadcast(2*time.Second, c.fence)
	for id, fence := range c.answers {
		answers := []ConfirmationAnswer{{Requester: 1, RequestID: requestID}}
		current.Receive(id, ConfirmationMessage{RequestID: 9, Fence: fence, Answers: answers})
	}
}
