package clusterconfig

import (
	"errors"
	"fmt"
	"testing"
)

// encode encodes a proposal as a log entry.
func encode(t *testing.T, p Proposal) []byte {
	t.Helper()
	entry, err := EncodeProposal(&p)
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

// Entries are written in the oldest possible format, so that an older program fails only at entries with objects that
// it does not support.
func TestEntryFormats(t *testing.T) {
	for _, test := range []struct {
		name   string
		change Change
		want   byte
	}{
		{"plan", put(KindPlan, "kubwa", planText), 1},
		{"lost site", NewPutChange(KindLostSite, "a", LostSite{Reason: "x"}), 2},
		{"follower", NewPutChange(KindFollower, "a", Follower{}), 3},
		{"epoch", NewPutChange(KindEpoch, "epoch", Epoch{Number: 1, ID: "x"}), 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			if entry := encode(t, Proposal{ID: "q", Changes: []Change{test.change}}); entry[0] != test.want {
				t.Errorf("got format %d, want %d", entry[0], test.want)
			}
		})
	}
}

// Entries of a newer program and malformed entries are rejected with an error and leave the state unchanged.
func TestNewerAndMalformedEntries(t *testing.T) {
	s := New(nil)
	apply(t, s, Proposal{ID: "p", Changes: []Change{put(KindPlan, "kati", planText)}})
	hash := s.Hash()
	entry := encode(t, Proposal{ID: "q", Changes: []Change{put(KindPlan, "kubwa", planText)}})
	for _, test := range []struct {
		name, entry string
		want        error
	}{
		{"newer", string(append([]byte{Format + 1}, entry[1:]...)), ErrNewerFormat},
		{"nothing", "", ErrMalformed},
		{"no JSON", "\x01{", ErrMalformed},
		{"an unknown field", "\x01" + `{"id":"x","changes":[],"canary":1}`, ErrMalformed},
		{"two values", "\x01{}{}", ErrMalformed},
		{"format 0", "\x00{}", ErrMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := s.Apply([]byte(test.entry)); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			if s.Hash() != hash || s.Version() != 1 {
				t.Error("the entry changed the state")
			}
		})
	}
}

// Snapshots of a newer program and malformed snapshots are rejected with an error and leave the state unchanged.
func TestNewerAndMalformedSnapshots(t *testing.T) {
	s := New(nil)
	apply(t, s, Proposal{ID: "p", Changes: []Change{put(KindPlan, "kati", planText)}})
	hash := s.Hash()
	for _, test := range []struct {
		name, snapshot string
		isNewer        bool
	}{
		{"newer", fmt.Sprintf(`{"format":%d,"new":1}`, Format+1), true},
		{"malformed", `{`, false},
		{"an unknown field", `{"format":1,"new":1}`, false},
		{"a bad hash", `{"format":1,"hash":"zz"}`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := s.Restore([]byte(test.snapshot)); err == nil || errors.Is(err, ErrNewerFormat) != test.isNewer {
				t.Error(err)
			}
			if s.Hash() != hash || s.Version() != 1 {
				t.Error("the snapshot changed the state")
			}
		})
	}
}
