package clusterconfig

import (
	"fmt"
	"testing"
)

// A restored snapshot gives the state with its retained outcomes, and encodes to the same bytes.
func TestSnapshotRestoresState(t *testing.T) {
	s := New(checkText)
	for i := range 50 {
		name := fmt.Sprint("plan-", i*7%50)
		apply(t, s, Proposal{ID: fmt.Sprint("p", i), Changes: []Change{put("plan", name, planText)}})
	}
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := New(checkText)
	if err := r.Restore(text); err != nil {
		t.Fatal(err)
	}
	again, err := r.Snapshot()
	if err != nil || string(again) != string(text) || r.Hash() != s.Hash() || r.Version() != 50 {
		t.Errorf("version %d, error %v", r.Version(), err)
	}
	for _, st := range []*State{s, r} {
		repeated := Proposal{ID: "p3", Changes: []Change{put("plan", "other", planText)}}
		entry, _ := EncodeProposal(&repeated)
		if _, o, _ := st.Apply(entry); o.Version != 4 || st.Version() != 50 {
			t.Errorf("repeated after a snapshot: %+v", o)
		}
		apply(t, st, Proposal{ID: "n", Changes: []Change{remove("plan", "plan-7")}})
	}
	if s.Hash() != r.Hash() {
		t.Error("the hash chains differ after a snapshot")
	}
}
