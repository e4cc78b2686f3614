package clusterconfig

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// put returns a change whose value may be invalid.
func put(kind, name, value string) Change {
	return Change{Op: "put", Kind: kind, Name: name, Value: json.RawMessage(value)}
}

func remove(kind, name string) Change { return Change{Op: "remove", Kind: kind, Name: name} }

const (
	planText  = `{"rate":5,"burst":10,"price":1}`
	classText = `{"worth":3,"aim_ms":400,"deadline_ms":2000}`
)

// validateText is a [Validator] that rejects texts that contain "bad" and texts that are not the name of a class.
func validateText(file, text string, classes []Class, _ int) error {
	if strings.Contains(text, "bad") {
		return fmt.Errorf("%s: bad", file)
	}
	for _, c := range classes {
		if c.Name == text {
			return nil
		}
	}
	return fmt.Errorf("%s: no class %s", file, text)
}

// apply encodes and applies a proposal, and fails the test if Check disagrees with the outcome.
func apply(t *testing.T, s *State, p Proposal) Outcome {
	t.Helper()
	entry, err := EncodeProposal(&p)
	if err != nil {
		t.Fatal(err)
	}
	rejection := s.Check(&p)
	_, o, err := s.Apply(entry)
	if err != nil {
		t.Fatal(err)
	}
	if o.IsApplied != (rejection == nil) {
		t.Errorf("proposal %s: Check returned %v, but the outcome is %+v", p.ID, rejection, o)
	}
	return o
}
