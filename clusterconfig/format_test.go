package clusterconfig

import (
	"errors"
	"fmt"
	"testing"
)

// Entries and snapshots of a newer program, and malformed ones, are errors; nothing of them is applied.
func TestNewerAndMalformedFormats(t *testing.T) {
	s := New(nil)
	apply(t, s, Proposal{ID: "p", Changes: []Change{put("plan", "kati", planText)}})
	hash := s.Hash()
	entry, _ := EncodeProposal(&Proposal{ID: "q", Changes: []Change{put("plan", "kubwa", planText)}})
	loss := Proposal{ID: "l", Changes: []Change{NewPutChange("lost", "a", LostSite{Reason: "x"})}}
	if lost, _ := EncodeProposal(&loss); entry[0] != 1 || lost[0] != 2 {
		t.Errorf("formats %d and %d: a program that knows no lost sites must stop at those alone", entry[0], lost[0])
	}
	newer := append([]byte{Format + 1}, entry[1:]...)
	if _, _, err := s.Apply(newer); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("%v", err)
	}
	for name, text := range map[string]string{
		"nothing":          "",
		"no JSON":          "\x01{",
		"an unknown field": "\x01" + `{"id":"x","changes":[],"canary":1}`,
		"two values":       "\x01{}{}",
		"format 0":         "\x00{}",
	} {
		if _, _, err := s.Apply([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, text := range map[string]string{
		"newer":            fmt.Sprintf(`{"format":%d,"new":1}`, Format+1),
		"malformed":        `{`,
		"an unknown field": `{"format":1,"new":1}`,
		"a bad hash":       `{"format":1,"hash":"zz"}`,
	} {
		if err := s.Restore([]byte(text)); err == nil || name == "newer" != errors.Is(err, ErrNewerFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if s.Hash() != hash || s.Version() != 1 {
		t.Error("something was applied")
	}
}
