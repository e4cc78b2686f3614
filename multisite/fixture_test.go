package multisite

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"mulleinmux/internal/fixture"
)

// fixtureSites are the sites of the epochs whose key owners are recorded. The owners depend on the sites' names, so the
// names must not change.
var fixtureSites = [][]Site{
	openSites("hall-a", "hall-b"),
	openSites("hall-b", "hall-a", "hall-c"),
	{{Name: "hall-a"}, {Name: "hall-b", IsOpen: true}, {Name: "hall-c", IsOpen: true}},
	{
		{Name: "hall-a", IsOpen: true, KeyEighths: 3}, {Name: "hall-b", IsOpen: true},
		{Name: "north", IsOpen: true, KeyEighths: 7},
	},
}

// The owner of each key must be the recorded one, given the open sites and the part of their keys that they accept.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./multisite -run Fixture
func TestFixtureKeyOwners(t *testing.T) {
	var out bytes.Buffer
	for i, sites := range fixtureSites {
		fmt.Fprintf(&out, "homes %d\n", i)
		k := newFixtureKeyTable(t, sites)
		for n := range uint64(64) {
			key := n * 0x9e3779b97f4a7c15
			d := k.Route(time.Hour, key)
			if d.Site == "" {
				t.Fatalf("epoch %d: no site for a key: %+v", i, d)
			}
			fmt.Fprintf(&out, "%016x %s\n", key, d.Site)
		}
	}
	fixture.Compare(t, "homes.txt", out.Bytes())
}

// newFixtureKeyTable returns the table of the only instance of an epoch that is confirmed at one hour.
func newFixtureKeyTable(t *testing.T, sites []Site) *KeyTable {
	t.Helper()
	k, err := NewKeyTable(
		KeyConfig{
			InstanceID:          1,
			Incarnation:         1,
			LeaseTTL:            time.Second,
			KeyTTL:              time.Second,
			DeduplicationWindow: 10 * time.Second,
			MaxKeys:             1000,
		},
		0,
	)
	if err != nil {
		t.Fatal(err)
	}
	k.InstallEpoch(0, OwnershipEpoch{Number: 1, Sites: sites, Instances: []uint64{1}}, true)
	k.ConfirmEpoch(time.Hour)
	return k
}

// The texts of execution statuses, which sites send to each other, and of site states must be the recorded ones.
func TestFixtureTexts(t *testing.T) {
	var out bytes.Buffer
	for status := NeverExecuted; status <= ExecutionUnknown; status++ {
		fmt.Fprintln(&out, status)
		if got := ParseExecutionStatus(status.String()); got != status {
			t.Errorf("text of status %v: parsed as %v, want the same status", status, got)
		}
	}
	for state := SiteHealthy; state <= SiteWarmingUp; state++ {
		fmt.Fprintln(&out, state)
	}
	fmt.Fprintln(&out, ParseExecutionStatus("other"), ParseExecutionStatus(""))
	fixture.Compare(t, "texts.txt", out.Bytes())
}
