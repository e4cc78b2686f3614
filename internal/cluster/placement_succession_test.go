package cluster

import (
	"encoding/json"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/raftnode"
)

// newStateWithSite returns a state at version 1, which has put a site, and a function that puts or closes the site.
func newStateWithSite(t *testing.T) (state *clusterconfig.State, putSite func(isClosed bool)) {
	t.Helper()
	state = clusterconfig.New(nil)
	putSite = func(isClosed bool) {
		t.Helper()
		applyPut(t, state, clusterconfig.KindSite, "a",
			clusterconfig.Site{DiscoveryAddress: "127.0.0.1:1", IsClosed: isClosed})
	}
	putSite(false)
	return state, putSite
}

// applyPut applies a proposal that puts one object.
func applyPut(t *testing.T, state *clusterconfig.State, kind, name string, object any) {
	t.Helper()
	value, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	proposal := &clusterconfig.Proposal{
		ID:      name + state.Hash(),
		Changes: []clusterconfig.Change{{Op: clusterconfig.OpPut, Kind: kind, Name: name, Value: value}},
	}
	entry, err := clusterconfig.EncodeProposal(proposal)
	if err != nil {
		t.Fatal(err)
	}
	if _, outcome, err := state.Apply(entry); err != nil || !outcome.IsApplied {
		t.Fatalf("put of %s %s: %+v, %v", kind, name, outcome, err)
	}
}

// Guards against a member that books a visit twice after it has applied two changes of sites in one step, or restored
// a snapshot that hides them: it must not report that the second directly succeeds what it had installed.
func TestMemberPlacementRecognizesSkippedChanges(t *testing.T) {
	state, putSite := newStateWithSite(t)
	var placement memberPlacement
	membership := raftnode.Membership{ChangeIndex: 1}
	expect := func(step string, want bool) {
		t.Helper()
		if got := placement.record(state, &membership); got != want {
			t.Errorf("%s: is direct successor: got %v, want %v", step, got, want)
		}
	}
	expect("first state", false)
	expect("same state", true)
	putSite(true)
	expect("one change of a site", true)
	applyPut(t, state, clusterconfig.KindLimit, "units", clusterconfig.Limit{Max: 7})
	applyPut(t, state, clusterconfig.KindLimit, "units", clusterconfig.Limit{Max: 8})
	putSite(false)
	expect("other changes, then one of a site", true)
	putSite(true)
	putSite(false)
	expect("two changes of a site in one step", false)

	membership = raftnode.Membership{ChangeIndex: 9, IndexBefore: 1}
	expect("one change of the members", true)
	membership = raftnode.Membership{ChangeIndex: 12, IndexBefore: 11}
	expect("two changes of the members in one step", false)
	membership = raftnode.Membership{ChangeIndex: 15}
	expect("members restored from a snapshot", false)

	putSite(true)
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	expect("state restored from a snapshot", false)
}

// Guards against a follower that books a visit twice after its stream was silent while a site was closed and opened
// (review/1), or after the control service was replaced.
func TestFollowerPlacementRecognizesSkippedVersions(t *testing.T) {
	var placement followerPlacement
	version := func(service, number, placementVersion uint64) *configstream.Version {
		state, err := clusterconfig.NewFrozenState(number, placementVersion, clusterconfig.New(nil).Hash(), nil,
			iradix.New[json.RawMessage]())
		if err != nil {
			t.Fatal(err)
		}
		v := configstream.NewVersion(state, nil)
		v.Epoch.Number = service
		return v
	}
	for _, step := range []struct {
		text    string
		version *configstream.Version
		want    bool
	}{
		{"first version", version(0, 5, 3), false},
		{"later version of the same placement", version(0, 7, 3), true},
		{"the next version is a placement", version(0, 8, 8), true},
		{"the next version was a placement, others were skipped", version(0, 12, 9), true},
		{"a version between may have been a placement", version(0, 14, 14), false},
		{"an older version", version(0, 13, 9), false},
		{"the next version after the older one was ignored", version(0, 15, 15), true},
		{"another service", version(1, 16, 15), false},
	} {
		if got := placement.record(step.version); got != step.want {
			t.Errorf("%s: is direct successor: got %v, want %v", step.text, got, step.want)
		}
	}
}
