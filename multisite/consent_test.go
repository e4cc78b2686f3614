package multisite

import (
	"testing"
	"time"
)

// Who must consent so that homes are confirmed, and what a voter's word is worth.
func TestConsent(t *testing.T) {
	five := []uint64{1, 2, 3, 4, 5}
	for _, c := range []struct {
		name   string
		voters []uint64
		joint  bool
		fence  uint64            // of this instance
		heard  map[uint64]uint64 // fences of those that answer
		late   bool              // they answer the process before this one
		ok     bool
	}{
		{name: "one of one", voters: five[:1], ok: true},
		{name: "one of two", voters: five[:2], ok: true},
		{name: "one of three", voters: five[:3]},
		{name: "two of three", voters: five[:3], heard: map[uint64]uint64{2: 7}, ok: true},
		{name: "one of four", voters: five[:4]},
		{name: "two of four", voters: five[:4], heard: map[uint64]uint64{3: 3}, ok: true},
		{name: "two of five", voters: five, heard: map[uint64]uint64{3: 3}},
		{name: "three of five", voters: five, heard: map[uint64]uint64{3: 3, 4: 7}, ok: true},
		{name: "one has an entry behind", voters: five[:4], heard: map[uint64]uint64{3: 8}},
		{name: "this one has, and another not", voters: five[:4], fence: 8, heard: map[uint64]uint64{3: 3}},
		{name: "this one has, and two not", voters: five[:4], fence: 8, heard: map[uint64]uint64{2: 0, 3: 3}, ok: true},
		{name: "voters change", voters: five[:4], joint: true, heard: map[uint64]uint64{2: 0, 3: 3, 4: 0}},
		{name: "a stranger", voters: five[:4], heard: map[uint64]uint64{5: 0}},
		{name: "not a voter itself", voters: five[1:], heard: map[uint64]uint64{2: 0, 3: 0, 4: 0, 5: 0}},
		{name: "answers to the process before", voters: five[:4], heard: map[uint64]uint64{2: 0, 3: 0, 4: 0}, late: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := func(incarnation uint64) *QuorumConfirmation {
				s, err := NewQuorumConfirmation(ConfirmationConfig{InstanceID: 1, Incarnation: incarnation})
				if err != nil {
					t.Fatal(err)
				}
				s.ApplyAgreed(7, c.voters, c.joint)
				return s
			}
			s, old := start(2), start(1)
			ask := s.NextBroadcast(time.Second, c.fence).RequestID
			if c.late {
				ask = old.NextBroadcast(time.Second, c.fence).RequestID
			}
			s.NextBroadcast(2*time.Second, c.fence)
			for id, fence := range c.heard {
				s.Receive(id, ConfirmationMessage{RequestID: 9, Fence: fence, Answers: []ConfirmationAnswer{{1, ask}}})
			}
			at, ok := s.ConfirmedAt()
			if want := min(time.Duration(len(c.heard)), 1) * time.Second; ok != c.ok || ok && want > 0 && at != want {
				t.Errorf("confirmed as of %v: %v", at, ok)
			}
			// An older state of the log takes nothing back.
			s.ApplyAgreed(6, five[:1], false)
			if at2, ok2 := s.ConfirmedAt(); at2 != at || ok2 != ok {
				t.Errorf("after an older state: %v, %v", at2, ok2)
			}
		})
	}
}
