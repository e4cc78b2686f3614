package clusterconfig

import (
	"bytes"
	"encoding/json"
	"testing"

	"mulleinmux/internal/fixture"
)

// Entries of the log and the snapshot after them are as they were recorded, and recorded ones are read as they were.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./fleetconfig -run Fixture
func TestFixtureEntriesAndSnapshot(t *testing.T) {
	base := func(v uint64) *uint64 { return &v }
	full := Plan{Rate: 5, Burst: 10, CeilingRate: 20.5, CeilingBurst: 40, CeilingSlack: 0.25, Open: 7, Price: 1.5, OverWorth: 2, OverCost: 3}
	proposals := []Proposal{
		{ID: "p1", Author: "asha", Why: "first", AtMs: 1_700_000_000_000, Changes: []Change{Put("plan", "kati", Plan{Rate: 5, Burst: 10, Price: 1}),
			Put("plan", "kubwa", full), Put("licensee", "a", Licensee{"kati"}), Put("licensee", "b", Licensee{"kubwa"})}},
		{ID: "p2", Base: base(1), Changes: []Change{Put("hall", "hall-a", Hall{Register: "127.0.0.1:1"}), Put("hall", "hall-b", Hall{Register: "127.0.0.1:2"}),
			Put("hall", "hall-c", Hall{"[::1]:3", true}), Put("lost", "hall-b", LostHall{Why: "silent"})}},
		{ID: "p3", Base: base(0), Author: "juma", Changes: []Change{Put("limit", "units", Limit{9})}},
		{ID: "p4", Changes: []Change{Put("class", "book", Class{Worth: 3, Late: 0.5, AimMs: 400, DeadlineMs: 2000}),
			Put("class", "look", Class{Worth: 1, AimMs: 100, DeadlineMs: 200}), Put("limit", "units", Limit{60}), Put("description", "booking", Description{"booking.yaml", "openapi: <&>"})}},
		{ID: "p5", Changes: []Change{Put("member", "1", Member{"127.0.0.1:11", "127.0.0.1:21"}), Put("member", "2", Member{"127.0.0.1:12", "127.0.0.1:22"})}},
		{ID: "p6", Changes: []Change{Put("follower", "edge-1", Follower{"a note", 3}), Put("follower", "edge-2", Follower{}), Put("epoch", "epoch", Epoch{2, "one"})}},
		{ID: "p7", Changes: []Change{Put("lost", "hall-b", LostHall{"warm", 3})}},
		{ID: "p8", Why: "goes", Changes: []Change{{Op: "remove", Kind: "licensee", Name: "a"}, {Op: "remove", Kind: "plan", Name: "kati"}, {Op: "remove", Kind: "hall", Name: "hall-c"}}},
		{ID: "p9", Changes: []Change{Put("licensee", "c", Licensee{"none"})}},
		{ID: "p1", Changes: []Change{Put("licensee", "c", Licensee{"kubwa"})}}, // repeated
		{ID: "p10", Changes: []Change{Put("plan", "kati", Plan{})}},
	}
	var entries bytes.Buffer
	for _, p := range proposals {
		entry, err := Encode(&p)
		if err != nil {
			t.Fatal(err)
		}
		entries.Write(append(entry, '\n'))
	}
	fixture.Compare(t, "entries.txt", entries.Bytes())

	s := New(nil)
	var outcomes bytes.Buffer
	for _, entry := range bytes.Split(bytes.TrimSuffix(fixture.Read(t, "entries.txt"), []byte("\n")), []byte("\n")) {
		id, o, err := s.Apply(entry)
		if err != nil {
			t.Fatal(err)
		}
		p, err := decode(entry)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Encode(p); err != nil || !bytes.Equal(again, entry) {
			t.Errorf("%q is worded again as %q, %v", entry, again, err)
		}
		if err := json.NewEncoder(&outcomes).Encode([]any{id, o, MovesHomes(entry), s.Hash()}); err != nil {
			t.Fatal(err)
		}
	}
	fixture.Compare(t, "outcomes.txt", outcomes.Bytes())

	snapshot := func(s *State) []byte {
		text, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	fixture.Compare(t, "snapshot.json", snapshot(s))
	restored := New(nil)
	if err := restored.Restore(fixture.Read(t, "snapshot.json")); err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "snapshot.json", snapshot(restored))
	fixture.Compare(t, "snapshot-empty.json", snapshot(New(nil)))
	fixture.Compare(t, "snapshot-frozen.json", snapshot(s.Freeze()))
}

// What refuses a proposal is agreed on, so that its words are stored at each member.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./fleetconfig -run Fixture
func TestFixtureRefusals(t *testing.T) {
	raw := func(op, kind, name, value string) []Change {
		return []Change{{Op: op, Kind: kind, Name: name, Value: json.RawMessage(value)}}
	}
	s := New(nil)
	var out bytes.Buffer
	for _, changes := range [][]Change{
		nil, raw("move", "plan", "a", "{}"), raw("put", "room", "a", "{}"), raw("put", "plan", "a/b", "{}"), raw("remove", "plan", "a", ""),
		raw("put", "plan", "a", `{"rat":1}`), raw("put", "plan", "a", `{"rate":1}`), raw("put", "plan", "a", `{"price":-1}`),
		raw("put", "plan", "a", `{"rate":2,"burst":1,"ceiling_rate":1}`), raw("put", "licensee", "a", "{}"), raw("put", "licensee", "a", `{"plan":"x"}`),
		raw("put", "hall", "a", "{}"), raw("put", "lost", "a", "{}"), raw("put", "lost", "a", `{"why":"x","part":8}`), raw("put", "lost", "a", `{"why":"x"}`),
		raw("put", "member", "1", "{}"), raw("put", "member", "1", `{"raft":"127.0.0.1:1"}`), raw("put", "member", "01", `{"raft":"127.0.0.1:1","admin":"127.0.0.1:1"}`),
		raw("put", "epoch", "epoch", "{}"), raw("put", "epoch", "other", `{"number":1,"id":"x"}`), raw("put", "limit", "units", "{}"),
		raw("put", "limit", "other", `{"most":1}`), raw("put", "class", "a", `{"name":"a"}`), raw("put", "class", "a", "{}"), raw("put", "class", "a", `{"worth":1,"late":2}`),
		raw("put", "class", "a", `{"worth":1}`), raw("put", "description", "a", "{}"),
	} {
		p := &Proposal{ID: "p", Changes: changes}
		err := s.Check(p)
		if err == nil {
			t.Fatalf("%+v is not refused", p)
		}
		out.WriteString(err.Error() + "\n")
	}
	fixture.Compare(t, "refusals.txt", out.Bytes())
}
