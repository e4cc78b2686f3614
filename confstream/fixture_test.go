package confstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"mulleinmux/fleetconfig"
	"mulleinmux/internal/fixture"
)

// What members tell each other and what followers keep is as it was recorded: digests, keys of JSON, texts of results and
// orders.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./confstream -run Fixture
func TestFixtureWords(t *testing.T) {
	s := fleetconfig.New(nil)
	version := func(before *Version, id string, changes ...fleetconfig.Change) *Version {
		entry, err := fleetconfig.Encode(&fleetconfig.Proposal{ID: id, Changes: changes})
		if err != nil {
			t.Fatal(err)
		}
		if _, o, err := s.Apply(entry); err != nil || !o.Applied {
			t.Fatal(o, err)
		}
		return Of(s, before)
	}
	one := version(nil, "p1", fleetconfig.Put("epoch", "epoch", fleetconfig.Epoch{Number: 2, ID: "one"}), fleetconfig.Put("plan", "kati", fleetconfig.Plan{Price: 1}),
		fleetconfig.Put("licensee", "a", fleetconfig.Licensee{Plan: "kati"}), fleetconfig.Put("hall", "hall-a", fleetconfig.Hall{Register: "127.0.0.1:1"}))
	two := version(one, "p2", fleetconfig.Put("plan", "kubwa", fleetconfig.Plan{Price: 2}), fleetconfig.Put("licensee", "b", fleetconfig.Licensee{Plan: "kubwa"}),
		fleetconfig.Change{Op: "remove", Kind: "licensee", Name: "a"})
	problems := []Problem{{"plan/kati", "rate", "out of range"}}
	ref := one.Ref
	standing := Standing{Name: "edge-1", State: "running", Running: &ref, Since: time.Minute, Offered: &two.Ref, Refused: &Refusal{Ref: two.Ref, Problems: problems},
		Member: 3, Behind: true, Pinned: 4, Twin: "another"}
	words := map[string]any{
		"body, whole": one.Body(nil), "body, of a base": two.Body(one), "ref": two.Ref, "no ref": Ref{},
		"refusal": Refusal{Ref: two.Ref, Problems: problems, Unread: true}, "refusal without problems": Refusal{Ref: two.Ref},
		"word": Word{Member: 2, Followers: []Served{{}, {Name: "edge-1", Process: 1, Start: 2, Dial: 3, Began: time.Second, Heard: time.Millisecond, Running: &ref,
			Since: time.Minute, Offered: &two.Ref, Refused: &Refusal{Ref: two.Ref, Problems: problems}}}},
		"standing, empty": Standing{}, "standing": standing, "standing, plain": standing.Plain(), "standing, explained": standing.Explain(2),
		"results": []string{Stated.String(), Applied.String(), Refused.String(), NeedsFull.String(), NotNewer.String(), Unconfirmed.String(), Foreign.String()},
		"problem": problems[0].String(), "refs": ref.String() + " " + Ref{}.String(),
	}
	var out bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(words)) {
		text, err := json.Marshal(words[name])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\t%s\n", name, text)
	}
	fixture.Compare(t, "words.txt", out.Bytes())

	read := map[string][]byte{}
	for line := range bytes.Lines(fixture.Read(t, "words.txt")) {
		name, text, _ := bytes.Cut(line, []byte("\t"))
		read[string(name)] = text
	}
	var whole, part Body
	if err := json.Unmarshal(read["body, whole"], &whole); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(read["body, of a base"], &part); err != nil {
		t.Fatal(err)
	}
	first, err := whole.Make(nil)
	if err != nil || first.Ref != one.Ref {
		t.Fatal(err)
	}
	var word Word
	if err := json.Unmarshal(read["word"], &word); err != nil || !reflect.DeepEqual(word, words["word"]) {
		t.Errorf("%+v, %v", word, err)
	}
	if second, err := part.Make(first); err != nil || second.Ref != two.Ref || second.Hash != two.Hash {
		t.Errorf("%v, %v", second, err)
	}
}

// Each follower's order of members, and its waits for fixed draws, are as they were recorded.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./confstream -run Fixture
func TestFixtureSeats(t *testing.T) {
	var out bytes.Buffer
	for i := range 16 {
		s := NewSeat(SeatConfig{Name: fmt.Sprintf("edge-%d", i), Members: []uint64{1, 2, 3, 4, 5, 300}, Least: 100 * time.Millisecond, Most: 10 * time.Second}, rand.New(rand.NewPCG(uint64(i), 1)))
		for n := range 8 {
			fmt.Fprint(&out, s.Next(), " ", s.Lost(n == 4), "; ")
		}
		fmt.Fprintln(&out)
	}
	fixture.Compare(t, "seats.txt", out.Bytes())
}
