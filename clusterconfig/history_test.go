package clusterconfig

import (
	"fmt"
	"strings"
	"testing"
)

// The retained outcomes and history records are bounded, and so is the length of a proposal.
func TestRetentionIsBounded(t *testing.T) {
	t.Parallel()
	s := New(nil)
	for i := range maxOutcomes + 50 {
		p := Proposal{ID: fmt.Sprint("p", i), Changes: []Change{put("plan", "x", planText)}}
		entry, _ := EncodeProposal(&p)
		if _, _, err := s.Apply(entry); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.outcomes.byID) != maxOutcomes || len(s.outcomes.order) != maxOutcomes {
		t.Errorf("got %d outcomes and %d ids, want maxOutcomes", len(s.outcomes.byID), len(s.outcomes.order))
	}
	if len(s.history.records) >= 2*maxHistory || len(s.History()) != maxHistory {
		t.Errorf("got %d records, %d of them in History", len(s.history.records), len(s.History()))
	}
	if last := s.History()[maxHistory-1].Version; last != maxOutcomes+50 {
		t.Errorf("newest history record: got version %d", last)
	}
	if _, err := EncodeProposal(&Proposal{ID: "big", Reason: strings.Repeat("x", MaxProposalBytes)}); err == nil {
		t.Error("encoding a proposal of more than MaxProposalBytes: got no error")
	}
}
