package clusterconfig

import (
	"fmt"
	"testing"
)

// Restoring a snapshot gives the same state, including the retained outcomes, and encoding it again the same bytes.
func TestSnapshotRestoresState(t *testing.T) {
	s := New(validateText)
	for i := range 50 {
		name := fmt.Sprint("plan-", i*7%50)
		apply(t, s, Proposal{ID: fmt.Sprint("p", i), Changes: []Change{put("plan", name, planText)}})
	}
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := New(validateText)
	if err := r.Restore(text); err != nil {
		t.Fatal(err)
	}
	again, err := r.Snapshot()
	if err != nil || string(again) != string(text) || r.Hash() != s.Hash() || r.Version() != 50 {
		t.Errorf("snapshot of the restored state differs: version %d, error %v", r.Version(), err)
	}
	for _, st := range []*State{s, r} {
		repeated := Proposal{ID: "p3", Changes: []Change{put("plan", "other", planText)}}
		entry, _ := EncodeProposal(&repeated)
		if _, o, _ := st.Apply(entry); o.Version != 4 || st.Version() != 50 {
			t.Errorf("repeated proposal after a snapshot: got outcome %+v, want version 4 and an unchanged state", o)
		}
		apply(t, st, Proposal{ID: "n", Changes: []Change{remove("plan", "plan-7")}})
	}
	if s.Hash() != r.Hash() {
		t.Error("the hash chains differ after a snapshot")
	}
}
