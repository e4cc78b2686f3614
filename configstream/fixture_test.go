package configstream

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

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/fixture"
)

// fixtureMessages returns the recorded values by name. Version two was made from version one.
func fixtureMessages(one, two *Version) map[string]any {
	problems := []Problem{{"plan/kati", "rate", "out of range"}}
	ref := one.Ref
	status := ObservedStatus{
		Name:            "edge-1",
		State:           "running",
		Running:         &ref,
		StateAge:        time.Minute,
		Offered:         &two.Ref,
		LatestRejection: &Rejection{Ref: two.Ref, Problems: problems},
		LastMember:      3,
		IsBehind:        true,
		PinnedVersion:   4,
		NameConflict:    "another",
	}
	return map[string]any{
		"body, whole":              one.Body(nil),
		"body, of a base":          two.Body(one),
		"ref":                      two.Ref,
		"no ref":                   Ref{},
		"refusal":                  Rejection{Ref: two.Ref, Problems: problems, IsUnsupportedFormat: true},
		"refusal without problems": Rejection{Ref: two.Ref},
		"word": GossipMessage{
			Member: 2,
			Followers: []ObservedStream{
				{},
				{
					Name:            "edge-1",
					ProcessID:       1,
					StartCount:      2,
					StreamNumber:    3,
					StreamAge:       time.Second,
					SilentFor:       time.Millisecond,
					Running:         &ref,
					RunningFor:      time.Minute,
					Offered:         &two.Ref,
					LatestRejection: &Rejection{Ref: two.Ref, Problems: problems},
				},
			},
		},
		"standing, empty":     ObservedStatus{},
		"standing":            status,
		"standing, plain":     status.Summary(),
		"standing, explained": status.Explain(2),
		"results": []string{
			ResultStatusOnly.String(), ResultApplied.String(), ResultRejected.String(), ResultNeedsFull.String(),
			ResultNotNewer.String(), ResultUnconfirmed.String(), ResultDiverged.String(),
		},
		"problem": problems[0].String(),
		"refs":    ref.String() + " " + Ref{}.String(),
	}
}

// fixtureVersions returns the versions in the recorded values. Version two was made from version one.
func fixtureVersions(t *testing.T) (one, two *Version) {
	t.Helper()
	s := clusterconfig.New(nil)
	version := func(before *Version, id string, changes ...clusterconfig.Change) *Version {
		if err := applyProposal(s, &clusterconfig.Proposal{ID: id, Changes: changes}); err != nil {
			t.Fatal(err)
		}
		return NewVersion(s, before)
	}
	epoch := clusterconfig.Epoch{Number: 2, ID: "one"}
	one = version(
		nil, "p1", clusterconfig.NewPutChange(clusterconfig.KindEpoch, "epoch", epoch),
		clusterconfig.NewPutChange("plan", "kati", clusterconfig.Plan{PriorityFactor: 1}),
		clusterconfig.NewPutChange("licensee", "a", clusterconfig.Licensee{Plan: "kati"}),
		clusterconfig.NewPutChange(clusterconfig.KindSite, "hall-a", clusterconfig.Site{DiscoveryAddress: "127.0.0.1:1"}),
	)
	two = version(
		one, "p2", clusterconfig.NewPutChange("plan", "kubwa", clusterconfig.Plan{PriorityFactor: 2}),
		clusterconfig.NewPutChange("licensee", "b", clusterconfig.Licensee{Plan: "kubwa"}),
		clusterconfig.Change{Op: "remove", Kind: "licensee", Name: "a"},
	)
	return one, two
}

// Gossip messages and persisted state are encoded as recorded, including digests, JSON keys and the names of results.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./configstream -run Fixture
func TestFixtureMessagesEncoded(t *testing.T) {
	one, two := fixtureVersions(t)
	messages := fixtureMessages(one, two)
	var out bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		text, err := json.Marshal(messages[name])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\t%s\n", name, text)
	}
	fixture.Compare(t, "words.txt", out.Bytes())
}

// Recorded gossip messages and bodies are decoded to the original values.
func TestFixtureMessagesDecoded(t *testing.T) {
	one, two := fixtureVersions(t)
	recorded := map[string][]byte{}
	for line := range bytes.Lines(fixture.Read(t, "words.txt")) {
		name, text, _ := bytes.Cut(line, []byte("\t"))
		recorded[string(name)] = text
	}
	var complete, difference Body
	if err := json.Unmarshal(recorded["body, whole"], &complete); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(recorded["body, of a base"], &difference); err != nil {
		t.Fatal(err)
	}
	first, err := complete.Build(nil)
	if err != nil || first.Ref != one.Ref {
		t.Fatal(err)
	}
	if second, err := difference.Build(first); err != nil || second.Ref != two.Ref || second.Hash != two.Hash {
		t.Errorf("version built from the recorded difference: got %v, error %v", second, err)
	}
	var message GossipMessage
	want := fixtureMessages(one, two)["word"]
	if err := json.Unmarshal(recorded["word"], &message); err != nil || !reflect.DeepEqual(message, want) {
		t.Errorf("decoded gossip message: got %+v, error %v", message, err)
	}
}

// Each follower's order of members, and its backoffs for fixed random numbers, are as recorded.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./configstream -run Fixture
func TestFixtureMemberSelection(t *testing.T) {
	var out bytes.Buffer
	for i := range 16 {
		s := NewMemberSelector(
			MemberSelectorConfig{
				Name:           fmt.Sprintf("edge-%d", i),
				Members:        []uint64{1, 2, 3, 4, 5, 300},
				InitialBackoff: 100 * time.Millisecond,
				MaxBackoff:     10 * time.Second,
			},
			rand.New(rand.NewPCG(uint64(i), 1)),
		)
		for n := range 8 {
			fmt.Fprint(&out, s.Member(), " ", s.StreamEnded(n == 4), "; ")
		}
		fmt.Fprintln(&out)
	}
	fixture.Compare(t, "seats.txt", out.Bytes())
}
