package clusterconfig

import (
	"fmt"
	"strings"
	"testing"
)

// proposalCases are proposals that are applied in this order.
var proposalCases = []struct {
	name      string
	base      *uint64
	changes   []Change
	rejection string // part of the rejection's text; empty if the proposal is applied
}{
	{name: "first plan", changes: []Change{put("plan", "kati", planText)}},
	{name: "licensee of a plan", changes: []Change{put("licensee", "a", `{"plan":"kati"}`)}},
	{
		name:      "licensee of a missing plan",
		changes:   []Change{put("licensee", "b", `{"plan":"kubwa"}`)},
		rejection: `plan "kubwa" is not there`,
	},
	{
		name: "licensee before its plan in one proposal",
		changes: []Change{
			put("licensee", "b", `{"plan":"kubwa"}`),
			put("plan", "kubwa", planText),
		},
	},
	{
		name:      "plan in use removed",
		changes:   []Change{remove("plan", "kati")},
		rejection: `licensee a: plan "kati"`,
	},
	{
		name: "licensee and its plan removed",
		changes: []Change{
			remove("licensee", "a"),
			remove("plan", "kati"),
		},
	},
	{
		name:      "missing plan removed",
		changes:   []Change{remove("plan", "kati")},
		rejection: "there is none",
	},
	{
		name:    "current base version",
		base:    new(uint64(4)),
		changes: []Change{put(KindSite, "a", `{"register":"127.0.0.1:1"}`)},
	},
	{
		name:      "outdated base version",
		base:      new(uint64(4)),
		changes:   []Change{put(KindSite, "b", `{"register":"127.0.0.1:1"}`)},
		rejection: "version 5 is in force, not 4",
	},
	{
		name:      "bad discovery address",
		changes:   []Change{put(KindSite, "b", `{"register":"here"}`)},
		rejection: "register",
	},
	{
		name:      "only site lost",
		changes:   []Change{put(KindLostSite, "a", `{"why":"silent"}`)},
		rejection: "no other hall takes keys",
	},
	{
		name:      "unknown site lost",
		changes:   []Change{put(KindLostSite, "c", `{"why":"silent"}`)},
		rejection: "there is no such hall",
	},
	{
		name: "other site closed",
		changes: []Change{
			put(KindSite, "c", `{"register":"127.0.0.1:1","closed":true}`),
			put(KindLostSite, "a", `{"why":"silent"}`),
		},
		rejection: "no other hall takes keys",
	},
	{
		name: "site added with the loss",
		changes: []Change{
			put(KindSite, "c", `{"register":"127.0.0.1:1"}`),
			put(KindLostSite, "a", `{"why":"silent"}`),
		},
	},
	{
		name:      "same loss again",
		changes:   []Change{put(KindLostSite, "a", `{"why":"silent"}`)},
		rejection: "it is so already",
	},
	{
		name:      "recovered part out of range",
		changes:   []Change{put(KindLostSite, "a", `{"why":"warm","part":9}`)},
		rejection: "part",
	},
	{name: "site recovering", changes: []Change{put(KindLostSite, "a", `{"why":"warm","part":2}`)}},
	{
		name:    "second site lost while the first recovers",
		changes: []Change{put(KindLostSite, "c", `{"why":"silent"}`)},
	},
	{
		name: "losses exchanged",
		changes: []Change{
			remove(KindLostSite, "c"),
			put(KindLostSite, "a", `{"why":"silent"}`),
		},
	},
	{
		name:      "last site that takes keys lost",
		changes:   []Change{put(KindLostSite, "c", `{"why":"silent"}`)},
		rejection: "no other hall takes keys",
	},
	{
		name:      "loss without a reason",
		changes:   []Change{put(KindLostSite, "c", `{"why":""}`)},
		rejection: "why",
	},
	{name: "loss removed", changes: []Change{remove(KindLostSite, "a")}},
	{
		name:      "missing loss removed",
		changes:   []Change{remove(KindLostSite, "a")},
		rejection: "there is none",
	},
	{
		name:      "rate without burst",
		changes:   []Change{put("plan", "x", `{"rate":5,"price":1}`)},
		rejection: "burst",
	},
	{
		name:      "negative rate",
		changes:   []Change{put("plan", "x", `{"rate":-5,"burst":1,"price":1}`)},
		rejection: "rate: out of range",
	},
	{
		name:      "hard limit below the rate",
		changes:   []Change{put("plan", "x", `{"rate":5,"burst":10,"ceiling_rate":1,"ceiling_burst":9,"price":1}`)},
		rejection: "ceiling_rate",
	},
	{
		name:      "unknown field",
		changes:   []Change{put("plan", "x", `{"rat":5}`)},
		rejection: "unknown field",
	},
	{name: "empty value", changes: []Change{put("plan", "x", ``)}, rejection: "value"},
	{name: "name with a slash", changes: []Change{put("plan", "x/y", planText)}, rejection: "name"},
	{name: "unknown kind", changes: []Change{put("tariff", "x", planText)}, rejection: "kind"},
	{
		name:      "unknown operation",
		changes:   []Change{{Op: "set", Kind: "plan", Name: "x"}},
		rejection: "op",
	},
	{name: "no changes", rejection: "changes: none"},
	{
		name: "class and its description",
		changes: []Change{
			put("class", "c", classText),
			put("description", "d", `{"file":"d.yaml","text":"c"}`),
		},
	},
	{
		name:      "description that the validator rejects",
		changes:   []Change{put("description", "d", `{"file":"d.yaml","text":"bad"}`)},
		rejection: "d.yaml: bad",
	},
	{name: "class in use removed", changes: []Change{remove("class", "c")}, rejection: "no class c"},
}

// Each valid proposal makes the next version, with all of its changes. An invalid one has no effect and is rejected
// with the name of the invalid field.
func TestProposals(t *testing.T) {
	s := New(validateText)
	for i, c := range proposalCases {
		t.Run(c.name, func(t *testing.T) {
			before, hash := s.Version(), s.Hash()
			o := apply(t, s, Proposal{ID: fmt.Sprint("p", i), BaseVersion: c.base, Changes: c.changes})
			isExpected := o.IsApplied && o.Version == before+1
			if c.rejection != "" {
				isExpected = !o.IsApplied && o.Version == before && strings.Contains(o.RejectionReason, c.rejection)
			}
			if !isExpected {
				t.Errorf("got outcome %+v, want rejection %q", o, c.rejection)
			}
			if s.Hash() == hash {
				t.Error("the hash chain has not changed")
			}
		})
	}
	h := s.History()
	if len(h) != int(s.Version()) || h[3].Changes[1] != "remove plan kati" || h[len(h)-1].Version != s.Version() {
		t.Errorf("got history %+v", h)
	}
	if _, ok := s.Get("plan", "kati"); ok {
		t.Error("a removed plan is still there")
	}
}

// A proposal that is repeated after its response was lost has the outcome of the first attempt. It is not applied a
// second time, and stays rejected even if it would be valid now.
func TestRepeatedProposal(t *testing.T) {
	s := New(nil)
	p := Proposal{ID: "p", Changes: []Change{put("licensee", "a", `{"plan":"kati"}`)}}
	first := apply(t, s, p)
	apply(t, s, Proposal{ID: "q", Changes: []Change{put("plan", "kati", planText)}})
	entry, _ := EncodeProposal(&p)
	if _, o, _ := s.Apply(entry); o != first || o.IsApplied || s.Version() != 1 {
		t.Errorf("repeated rejected proposal: got outcome %+v, want %+v", o, first)
	}
	hash := s.Hash()
	q := Proposal{ID: "q", Changes: []Change{put("plan", "kati", planText)}}
	entry, _ = EncodeProposal(&q)
	if _, o, _ := s.Apply(entry); !o.IsApplied || o.Version != 1 || s.Version() != 1 || s.Hash() != hash {
		t.Errorf("repeated applied proposal: got outcome %+v, want version 1 and an unchanged state", o)
	}
}

// The proposer's clock has no effect on the order and outcome of proposals, even if it jumps back by an hour. The
// history contains the times as they were proposed.
func TestProposerClockHasNoEffect(t *testing.T) {
	applyAtTimes := func(times ...int64) *State {
		s := New(nil)
		for i, at := range times {
			p := Proposal{
				ID:           fmt.Sprint(i),
				ProposedAtMs: at,
				Changes:      []Change{put("plan", fmt.Sprint("p", i), `{"rate":1,"burst":1,"price":1}`)},
			}
			if o := apply(t, s, p); !o.IsApplied || o.Version != uint64(i+1) {
				t.Fatalf("got outcome %+v, want it applied as the next version", o)
			}
		}
		return s
	}
	a, b := applyAtTimes(1_000, 2_000, 3_000), applyAtTimes(3_600_000, 0, 7_200_000)
	if fmt.Sprint(a.PlanOrder()) != fmt.Sprint(b.PlanOrder()) || a.Version() != b.Version() {
		t.Errorf("states with different clocks: got plan orders %v and %v", a.PlanOrder(), b.PlanOrder())
	}
	if h := b.History(); h[0].ProposedAtMs != 3_600_000 || h[1].ProposedAtMs != 0 {
		t.Errorf("got history %+v, want the proposed times", h)
	}
}

// Two states handle any log entry in the same way, and any snapshot is restored or rejected without a panic.
func FuzzApply(f *testing.F) {
	entry, _ := EncodeProposal(&Proposal{
		ID:      "q",
		Changes: []Change{put("plan", "kubwa", planText), remove("plan", "x")},
	})
	f.Add(entry)
	f.Fuzz(func(t *testing.T, entry []byte) {
		a, b := New(validateText), New(validateText)
		_, oa, ea := a.Apply(entry)
		_, ob, eb := b.Apply(entry)
		if oa != ob || (ea == nil) != (eb == nil) || a.Hash() != b.Hash() {
			t.Errorf("two equal states: got outcome %+v, error %v and outcome %+v, error %v", oa, ea, ob, eb)
		}
		_ = a.Restore(entry)
	})
}
