package clusterconfig

import (
	"fmt"
	"strings"
	"testing"
)

// The placement version changes when a site is lost and when the loss is removed. Removing a site also removes its
// loss.
func TestLostSites(t *testing.T) {
	s := New(nil)
	n := 0
	applyChanges := func(want uint64, cs ...Change) {
		t.Helper()
		n++
		if o := apply(t, s, Proposal{ID: fmt.Sprint(n), Changes: cs}); !o.IsApplied {
			t.Fatalf("got outcome %+v, want it applied", o)
		}
		if s.PlacementVersion() != want {
			t.Errorf("got placement version %d, want %d", s.PlacementVersion(), want)
		}
	}
	applyChanges(1,
		NewPutChange(KindSite, "a", Site{DiscoveryAddress: "127.0.0.1:1"}),
		NewPutChange(KindSite, "b", Site{DiscoveryAddress: "127.0.0.1:2"}))
	applyChanges(2, NewPutChange(KindLostSite, "a", LostSite{Reason: "silent"}))
	text, err := s.Snapshot()
	if err != nil || !strings.Contains(string(text), `"format":2`) {
		t.Errorf("snapshot with a lost site, want format 2: got error %v, snapshot %.40s", err, text)
	}
	applyChanges(3, Change{Op: "remove", Kind: KindLostSite, Name: "a"})
	if text, _ := s.Snapshot(); !strings.Contains(string(text), `"format":1`) {
		t.Errorf("snapshot without lost sites: got %.40s, want format 1", text)
	}
	applyChanges(4, NewPutChange(KindLostSite, "a", LostSite{Reason: "silent"}))
	applyChanges(5, Change{Op: "remove", Kind: KindSite, Name: "a"})
	if _, ok := s.Get(KindLostSite, "a"); ok {
		t.Error("a removed site is still recorded as lost")
	}
}
