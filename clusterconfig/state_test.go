package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func put(kind, name, value string) Change {
	return Change{Op: "put", Kind: kind, Name: name, Value: json.RawMessage(value)}
}

func remove(kind, name string) Change { return Change{Op: "remove", Kind: kind, Name: name} }

const (
	planText  = `{"rate":5,"burst":10,"price":1}`
	classText = `{"worth":3,"aim_ms":400,"deadline_ms":2000}`
)

// validator knows the word "bad", and wants the class that a text names.
func validator(file, text string, classes []Class, _ int) error {
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

func apply(t *testing.T, s *State, p Proposal) Outcome {
	t.Helper()
	entry, err := EncodeProposal(&p)
	if err != nil {
		t.Fatal(err)
	}
	checked := s.Check(&p)
	_, o, err := s.Apply(entry)
	if err != nil {
		t.Fatal(err)
	}
	if o.IsApplied != (checked == nil) {
		t.Errorf("%s: checked as %v, came to %+v", p.ID, checked, o)
	}
	return o
}

// Each applied proposal makes the next version, as a whole or not at all; what can't be is
// refused with the field.
func TestProposals(t *testing.T) {
	s := New(validator)
	base := func(v uint64) *uint64 { return &v }
	for i, c := range []struct {
		base    *uint64
		changes []Change
		refused string // empty: applied
	}{
		{nil, []Change{put("plan", "kati", planText)}, ""},
		{nil, []Change{put("licensee", "a", `{"plan":"kati"}`)}, ""},
		{nil, []Change{put("licensee", "b", `{"plan":"kubwa"}`)}, `plan "kubwa" is not there`},
		{nil, []Change{put("licensee", "b", `{"plan":"kubwa"}`), put("plan", "kubwa", planText)}, ""},
		{nil, []Change{remove("plan", "kati")}, `licensee a: plan "kati"`},
		{nil, []Change{remove("licensee", "a"), remove("plan", "kati")}, ""},
		{nil, []Change{remove("plan", "kati")}, "there is none"},
		{base(4), []Change{put("hall", "a", `{"register":"127.0.0.1:1"}`)}, ""},
		{base(4), []Change{put("hall", "b", `{"register":"127.0.0.1:1"}`)}, "version 5 is in force, not 4"},
		{nil, []Change{put("hall", "b", `{"register":"here"}`)}, "register"},
		{nil, []Change{put("lost", "a", `{"why":"silent"}`)}, "no other hall takes keys"},
		{nil, []Change{put("lost", "c", `{"why":"silent"}`)}, "there is no such hall"},
		{nil, []Change{put("hall", "c", `{"register":"127.0.0.1:1","closed":true}`), put("lost", "a", `{"why":"silent"}`)}, "no other hall takes keys"},
		{nil, []Change{put("hall", "c", `{"register":"127.0.0.1:1"}`), put("lost", "a", `{"why":"silent"}`)}, ""},
		{nil, []Change{put("lost", "a", `{"why":"silent"}`)}, "it is so already"},
		{nil, []Change{put("lost", "a", `{"why":"warm","part":9}`)}, "part"},
		{nil, []Change{put("lost", "a", `{"why":"warm","part":2}`)}, ""},
		{nil, []Change{put("lost", "c", `{"why":"silent"}`)}, ""},
		{nil, []Change{remove("lost", "c"), put("lost", "a", `{"why":"silent"}`)}, ""},
		{nil, []Change{put("lost", "c", `{"why":"silent"}`)}, "no other hall takes keys"},
		{nil, []Change{put("lost", "c", `{"why":""}`)}, "why"},
		{nil, []Change{remove("lost", "a")}, ""},
		{nil, []Change{remove("lost", "a")}, "there is none"},
		{nil, []Change{put("plan", "x", `{"rate":5,"price":1}`)}, "burst"},
		{nil, []Change{put("plan", "x", `{"rate":-5,"burst":1,"price":1}`)}, "rate: out of range"},
		{nil, []Change{put("plan", "x", `{"rate":5,"burst":10,"ceiling_rate":1,"ceiling_burst":9,"price":1}`)}, "ceiling_rate"},
		{nil, []Change{put("plan", "x", `{"rat":5}`)}, "unknown field"},
		{nil, []Change{put("plan", "x", ``)}, "value"},
		{nil, []Change{put("plan", "x/y", planText)}, "name"},
		{nil, []Change{put("tariff", "x", planText)}, "kind"},
		{nil, []Change{{Op: "set", Kind: "plan", Name: "x"}}, "op"},
		{nil, nil, "changes: none"},
		{nil, []Change{put("class", "c", classText), put("description", "d", `{"file":"d.yaml","text":"c"}`)}, ""},
		{nil, []Change{put("description", "d", `{"file":"d.yaml","text":"bad"}`)}, "d.yaml: bad"},
		{nil, []Change{remove("class", "c")}, "no class c"},
	} {
		before, hash := s.Version(), s.Hash()
		o := apply(t, s, Proposal{ID: fmt.Sprint("p", i), BaseVersion: c.base, Changes: c.changes})
		if c.refused == "" && (!o.IsApplied || o.Version != before+1) || c.refused != "" && (o.IsApplied || o.Version != before || !strings.Contains(o.RejectionReason, c.refused)) {
			t.Errorf("proposal %d: %+v, want %q", i, o, c.refused)
		}
		if s.Hash() == hash {
			t.Errorf("proposal %d left no mark on the chain", i)
		}
	}
	if h := s.History(); len(h) != int(s.Version()) || h[3].Changes[1] != "remove plan kati" || h[len(h)-1].Version != s.Version() {
		t.Errorf("%+v", h)
	}
	if _, ok := s.Get("plan", "kati"); ok {
		t.Error("a removed plan is still there")
	}
}

// A repeated proposal, whose answer was lost, comes to what it came to: applied once, or
// refused though it would pass by now.
func TestRepeated(t *testing.T) {
	s := New(nil)
	p := Proposal{ID: "p", Changes: []Change{put("licensee", "a", `{"plan":"kati"}`)}}
	first := apply(t, s, p)
	apply(t, s, Proposal{ID: "q", Changes: []Change{put("plan", "kati", planText)}})
	entry, _ := EncodeProposal(&p)
	if _, o, _ := s.Apply(entry); o != first || o.IsApplied || s.Version() != 1 {
		t.Errorf("%+v, first %+v", o, first)
	}
	hash := s.Hash()
	q := Proposal{ID: "q", Changes: []Change{put("plan", "kati", planText)}}
	entry, _ = EncodeProposal(&q)
	if _, o, _ := s.Apply(entry); !o.IsApplied || o.Version != 1 || s.Version() != 1 || s.Hash() != hash {
		t.Errorf("%+v", o)
	}
}

// A snapshot gives the state back, with what it remembers, and the same bytes everywhere.
func TestSnapshots(t *testing.T) {
	s := New(validator)
	for i := range 50 {
		apply(t, s, Proposal{ID: fmt.Sprint("p", i), Changes: []Change{put("plan", fmt.Sprint("plan-", i*7%50), planText)}})
	}
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := New(validator)
	if err := r.Restore(text); err != nil {
		t.Fatal(err)
	}
	again, err := r.Snapshot()
	if err != nil || string(again) != string(text) || r.Hash() != s.Hash() || r.Version() != 50 {
		t.Errorf("version %d, error %v", r.Version(), err)
	}
	for _, st := range []*State{s, r} {
		apply2 := Proposal{ID: "p3", Changes: []Change{put("plan", "other", planText)}}
		entry, _ := EncodeProposal(&apply2)
		if _, o, _ := st.Apply(entry); o.Version != 4 || st.Version() != 50 {
			t.Errorf("repeated after a snapshot: %+v", o)
		}
		apply(t, st, Proposal{ID: "n", Changes: []Change{remove("plan", "plan-7")}})
	}
	if s.Hash() != r.Hash() {
		t.Error("the chains part behind a snapshot")
	}
}

// What a newer program wrote stops this one; nothing of it is taken.
// Homes move when a hall is lost and when it is back, and a hall that is removed is no longer lost.
func TestLostHalls(t *testing.T) {
	s := New(nil)
	n := 0
	do := func(want uint64, cs ...Change) {
		t.Helper()
		n++
		if o := apply(t, s, Proposal{ID: fmt.Sprint(n), Changes: cs}); !o.IsApplied {
			t.Fatalf("%+v", o)
		}
		if s.PlacementVersion() != want {
			t.Errorf("homes of version %d, want %d", s.PlacementVersion(), want)
		}
	}
	do(1, NewPutChange("hall", "a", Site{DiscoveryAddress: "127.0.0.1:1"}), NewPutChange("hall", "b", Site{DiscoveryAddress: "127.0.0.1:2"}))
	do(2, NewPutChange("lost", "a", LostSite{Reason: "silent"}))
	text, err := s.Snapshot()
	if err != nil || !strings.Contains(string(text), `"format":2`) {
		t.Errorf("%v: %.40s", err, text)
	}
	do(3, Change{Op: "remove", Kind: "lost", Name: "a"})
	if text, _ := s.Snapshot(); !strings.Contains(string(text), `"format":1`) {
		t.Errorf("a snapshot that an older program could read says %.40s", text)
	}
	do(4, NewPutChange("lost", "a", LostSite{Reason: "silent"}))
	do(5, Change{Op: "remove", Kind: "hall", Name: "a"})
	if _, ok := s.Get("lost", "a"); ok {
		t.Error("a hall that is gone is lost")
	}
}

func TestNewerFormats(t *testing.T) {
	s := New(nil)
	apply(t, s, Proposal{ID: "p", Changes: []Change{put("plan", "kati", planText)}})
	hash := s.Hash()
	entry, _ := EncodeProposal(&Proposal{ID: "q", Changes: []Change{put("plan", "kubwa", planText)}})
	if lost, _ := EncodeProposal(&Proposal{ID: "l", Changes: []Change{NewPutChange("lost", "a", LostSite{Reason: "x"})}}); entry[0] != 1 || lost[0] != 2 {
		t.Errorf("formats %d and %d: a program that knows no lost halls must stop at those alone", entry[0], lost[0])
	}
	newer := append([]byte{Format + 1}, entry[1:]...)
	if _, _, err := s.Apply(newer); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("%v", err)
	}
	for name, text := range map[string]string{"nothing": "", "no JSON": "\x01{", "an unknown field": "\x01" + `{"id":"x","changes":[],"canary":1}`, "two values": "\x01{}{}", "format 0": "\x00{}"} {
		if _, _, err := s.Apply([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, text := range map[string]string{"newer": fmt.Sprintf(`{"format":%d,"new":1}`, Format+1), "malformed": `{`, "an unknown field": `{"format":1,"new":1}`, "a bad hash": `{"format":1,"hash":"zz"}`} {
		if err := s.Restore([]byte(text)); err == nil || name == "newer" != errors.Is(err, ErrNewerFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if s.Hash() != hash || s.Version() != 1 {
		t.Error("something was taken")
	}
}

// What is remembered is bounded.
func TestBounded(t *testing.T) {
	s := New(nil)
	for i := range keptIDs + 50 {
		entry, _ := EncodeProposal(&Proposal{ID: fmt.Sprint("p", i), Changes: []Change{put("plan", "x", planText)}})
		if _, _, err := s.Apply(entry); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.outcomes) != keptIDs || len(s.ids) != keptIDs || len(s.history) >= 2*keptHistory || len(s.History()) != keptHistory || s.History()[keptHistory-1].Version != keptIDs+50 {
		t.Errorf("%d outcomes, %d ids, %d records", len(s.outcomes), len(s.ids), len(s.history))
	}
	if _, err := EncodeProposal(&Proposal{ID: "big", Reason: strings.Repeat("x", MaxProposalBytes)}); err == nil {
		t.Error("a proposal without end is taken")
	}
}

// Any entry and any snapshot is applied or refused, by two states alike.
func FuzzApply(f *testing.F) {
	entry, _ := EncodeProposal(&Proposal{ID: "q", Changes: []Change{put("plan", "kubwa", planText), remove("plan", "x")}})
	f.Add(entry)
	f.Fuzz(func(t *testing.T, entry []byte) {
		a, b := New(validator), New(validator)
		_, oa, ea := a.Apply(entry)
		_, ob, eb := b.Apply(entry)
		if oa != ob || (ea == nil) != (eb == nil) || a.Hash() != b.Hash() {
			t.Errorf("%+v %v, %+v %v", oa, ea, ob, eb)
		}
		_ = a.Restore(entry)
	})
}

// A proposer's clock decides nothing: one that jumps back an hour changes neither order nor
// outcome, and stands in the history as it was told.
func TestClockDecidesNothing(t *testing.T) {
	run := func(ms ...int64) *State {
		s := New(nil)
		for i, at := range ms {
			entry, err := EncodeProposal(&Proposal{ID: fmt.Sprint(i), ProposedAtMs: at, Changes: []Change{{Op: "put", Kind: "plan", Name: fmt.Sprint("p", i), Value: json.RawMessage(`{"rate":1,"burst":1,"price":1}`)}}})
			if err != nil {
				t.Fatal(err)
			}
			if _, o, err := s.Apply(entry); err != nil || !o.IsApplied || o.Version != uint64(i+1) {
				t.Fatalf("%+v, %v", o, err)
			}
		}
		return s
	}
	a, b := run(1_000, 2_000, 3_000), run(3_600_000, 0, 7_200_000)
	if fmt.Sprint(a.PlanOrder()) != fmt.Sprint(b.PlanOrder()) || a.Version() != b.Version() {
		t.Errorf("%v, %v", a.PlanOrder(), b.PlanOrder())
	}
	if h := b.History(); h[0].ProposedAtMs != 3_600_000 || h[1].ProposedAtMs != 0 {
		t.Errorf("%+v", h)
	}
}

// Places of plans are the same for all that applied the same entries, survive a snapshot, and
// are never given up.
func TestPlaces(t *testing.T) {
	s := New(nil)
	apply := func(id, op, name string) Outcome {
		c := Change{Op: op, Kind: "plan", Name: name}
		if op == "put" {
			c.Value = json.RawMessage(`{"rate":1,"burst":1,"price":1}`)
		}
		entry, err := EncodeProposal(&Proposal{ID: id, Changes: []Change{c}})
		if err != nil {
			t.Fatal(err)
		}
		_, o, err := s.Apply(entry)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	apply("1", "put", "z")
	apply("2", "put", "a")
	frozen := s.Freeze()
	apply("3", "remove", "z")
	apply("4", "put", "m")
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s = New(nil)
	if err := s.Restore(text); err != nil {
		t.Fatal(err)
	}
	apply("5", "put", "z")
	if got := fmt.Sprint(s.PlanOrder()); got != "[z a m]" {
		t.Errorf("places %s", got)
	}
	if _, ok := frozen.Get("plan", "z"); !ok || frozen.Version() != 2 || fmt.Sprint(frozen.PlanOrder()) != "[z a]" {
		t.Errorf("what was frozen has changed: %v", frozen.PlanOrder())
	}
	for i := range maxPlaces {
		if o := apply(fmt.Sprint("p", i), "put", fmt.Sprint("p", i)); o.IsApplied != (i < maxPlaces-3) {
			t.Fatalf("place %d: %+v", i+4, o)
		}
	}
	if o := apply("again", "put", "a"); !o.IsApplied {
		t.Errorf("a plan that has its place: %+v", o)
	}
}
