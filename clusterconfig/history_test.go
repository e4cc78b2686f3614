package clusterconfig

import (
	"fmt"
	"strings"
	"testing"
)

// What is retained of past proposals is bounded, and so is a proposal.
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
		t.Errorf("%d outcomes, %d ids", len(s.outcomes.byID), len(s.outcomes.order))
	}
	if len(s.history.records) >= 2*maxHistory || len(s.History()) != maxHistory {
		t.Errorf("%d records, %d of them count", len(s.history.records), len(s.History()))
	}
	if last := s.History()[maxHistory-1].Version; last != maxOutcomes+50 {
		t.Errorf("the newest record is of version %d", last)
	}
	if _, err := EncodeProposal(&Proposal{ID: "big", Reason: strings.Repeat("x", MaxProposalBytes)}); err == nil {
		t.Error("a proposal of more than MaxProposalBytes is encoded")
	}
}
