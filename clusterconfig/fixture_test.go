package clusterconfig

import (
	"bytes"
	"encoding/json"
	"testing"

	"mulleinmux/internal/fixture"
)

// fixtureProposals returns the recorded proposals, in the order of the log.
func fixtureProposals() []Proposal {
	base := func(v uint64) *uint64 { return &v }
	full := Plan{
		Rate:              5,
		Burst:             10,
		HardLimitRate:     20.5,
		HardLimitBurst:    40,
		HardLimitSlack:    0.25,
		MaxInFlight:       7,
		PriorityFactor:    1.5,
		OverQuotaFraction: 2,
		OverQuotaCost:     3,
	}
	return []Proposal{
		{
			ID:           "p1",
			Author:       "asha",
			Reason:       "first",
			ProposedAtMs: 1_700_000_000_000,
			Changes: []Change{
				NewPutChange("plan", "kati", Plan{Rate: 5, Burst: 10, PriorityFactor: 1}),
				NewPutChange("plan", "kubwa", full),
				NewPutChange("licensee", "a", Licensee{"kati"}),
				NewPutChange("licensee", "b", Licensee{"kubwa"}),
			},
		},
		{
			ID:          "p2",
			BaseVersion: base(1),
			Changes: []Change{
				NewPutChange(KindSite, "hall-a", Site{DiscoveryAddress: "127.0.0.1:1"}),
				NewPutChange(KindSite, "hall-b", Site{DiscoveryAddress: "127.0.0.1:2"}),
				NewPutChange(KindSite, "hall-c", Site{"[::1]:3", true}),
				NewPutChange(KindLostSite, "hall-b", LostSite{Reason: "silent"}),
			},
		},
		{ID: "p3", BaseVersion: base(0), Author: "juma", Changes: []Change{NewPutChange("limit", "units", Limit{9})}},
		{
			ID: "p4",
			Changes: []Change{
				NewPutChange("class", "book", Class{
					PriorityWeight:     3,
					LateFraction:       0.5,
					LatencyObjectiveMs: 400,
					DeadlineMs:         2000,
				}),
				NewPutChange("class", "look", Class{PriorityWeight: 1, LatencyObjectiveMs: 100, DeadlineMs: 200}),
				NewPutChange("limit", "units", Limit{60}),
				NewPutChange("description", "booking", Description{"booking.yaml", "openapi: <&>"}),
			},
		},
		{
			ID: "p5",
			Changes: []Change{
				NewPutChange("member", "1", Member{"127.0.0.1:11", "127.0.0.1:21"}),
				NewPutChange("member", "2", Member{"127.0.0.1:12", "127.0.0.1:22"}),
			},
		},
		{
			ID: "p6",
			Changes: []Change{
				NewPutChange("follower", "edge-1", Follower{"a note", 3}),
				NewPutChange("follower", "edge-2", Follower{}),
				NewPutChange("epoch", "epoch", Epoch{2, "one"}),
			},
		},
		{ID: "p7", Changes: []Change{NewPutChange(KindLostSite, "hall-b", LostSite{"warm", 3})}},
		{
			ID:     "p8",
			Reason: "goes",
			Changes: []Change{
				{Op: "remove", Kind: "licensee", Name: "a"},
				{Op: "remove", Kind: "plan", Name: "kati"},
				{Op: "remove", Kind: KindSite, Name: "hall-c"},
			},
		},
		{ID: "p9", Changes: []Change{NewPutChange("licensee", "c", Licensee{"none"})}},
		{ID: "p1", Changes: []Change{NewPutChange("licensee", "c", Licensee{"kubwa"})}}, // repeated
		{ID: "p10", Changes: []Change{NewPutChange("plan", "kati", Plan{})}},
	}
}

// Log entries are encoded as recorded, and decoding and encoding a recorded entry returns the same bytes.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./clusterconfig -run Fixture
func TestFixtureEntries(t *testing.T) {
	var entries bytes.Buffer
	for _, p := range fixtureProposals() {
		entry, err := EncodeProposal(&p)
		if err != nil {
			t.Fatal(err)
		}
		entries.Write(append(entry, '\n'))
	}
	fixture.Compare(t, "entries.txt", entries.Bytes())
	for _, entry := range recordedEntries(t) {
		p, err := decodeProposal(entry)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := EncodeProposal(p); err != nil || !bytes.Equal(again, entry) {
			t.Errorf("entry %q: got %q after decoding and encoding, error %v", entry, again, err)
		}
	}
}

// recordedEntries returns the recorded log entries.
func recordedEntries(t *testing.T) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSuffix(fixture.Read(t, "entries.txt"), []byte("\n")), []byte("\n"))
}

// The outcomes of recorded entries, and the snapshots of the state after them, are as recorded. Restoring a recorded
// snapshot gives the same state.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./clusterconfig -run Fixture
func TestFixtureOutcomesAndSnapshot(t *testing.T) {
	s := New(nil)
	var outcomes bytes.Buffer
	for _, entry := range recordedEntries(t) {
		id, o, err := s.Apply(entry)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.NewEncoder(&outcomes).Encode([]any{id, o, ChangesPlacement(entry), s.Hash()}); err != nil {
			t.Fatal(err)
		}
	}
	fixture.Compare(t, "outcomes.txt", outcomes.Bytes())
	fixture.Compare(t, "snapshot.json", encodeSnapshot(t, s))
	restored := New(nil)
	if err := restored.Restore(fixture.Read(t, "snapshot.json")); err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "snapshot.json", encodeSnapshot(t, restored))
	fixture.Compare(t, "snapshot-empty.json", encodeSnapshot(t, New(nil)))
	fixture.Compare(t, "snapshot-frozen.json", encodeSnapshot(t, s.Freeze()))
}

// encodeSnapshot returns the snapshot of a state.
func encodeSnapshot(t *testing.T, s *State) []byte {
	t.Helper()
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The texts of rejections are as recorded. Each member stores them, so that a change would make members' states differ.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./clusterconfig -run Fixture
func TestFixtureRejections(t *testing.T) {
	raw := func(op, kind, name, value string) []Change {
		return []Change{{Op: op, Kind: kind, Name: name, Value: json.RawMessage(value)}}
	}
	s := New(nil)
	var out bytes.Buffer
	for _, changes := range [][]Change{
		nil, raw("move", "plan", "a", "{}"), raw("put", "room", "a", "{}"), raw("put", "plan", "a/b", "{}"),
		raw("remove", "plan", "a", ""),
		raw("put", "plan", "a", `{"rat":1}`), raw("put", "plan", "a", `{"rate":1}`),
		raw("put", "plan", "a", `{"price":-1}`),
		raw("put", "plan", "a", `{"rate":2,"burst":1,"ceiling_rate":1}`), raw("put", "licensee", "a", "{}"),
		raw("put", "licensee", "a", `{"plan":"x"}`),
		raw("put", KindSite, "a", "{}"), raw("put", KindLostSite, "a", "{}"),
		raw("put", KindLostSite, "a", `{"why":"x","part":8}`),
		raw("put", KindLostSite, "a", `{"why":"x"}`),
		raw("put", "member", "1", "{}"), raw("put", "member", "1", `{"raft":"127.0.0.1:1"}`),
		raw("put", "member", "01", `{"raft":"127.0.0.1:1","admin":"127.0.0.1:1"}`),
		raw("put", "epoch", "epoch", "{}"), raw("put", "epoch", "other", `{"number":1,"id":"x"}`),
		raw("put", "limit", "units", "{}"),
		raw("put", "limit", "other", `{"most":1}`), raw("put", "class", "a", `{"name":"a"}`),
		raw("put", "class", "a", "{}"), raw("put", "class", "a", `{"worth":1,"late":2}`),
		raw("put", "class", "a", `{"worth":1}`), raw("put", "description", "a", "{}"),
	} {
		p := &Proposal{ID: "p", Changes: changes}
		err := s.Check(p)
		if err == nil {
			t.Fatalf("proposal %+v: got no rejection, want one", p)
		}
		out.WriteString(err.Error() + "\n")
	}
	fixture.Compare(t, "refusals.txt", out.Bytes())
}
