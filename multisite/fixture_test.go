package multisite

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"mulleinmux/internal/fixture"
)

// The home of each key, by the halls that are open and what they take, is as it was recorded; so are the texts of
// states and of fates, which sites send each other.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./multisite -run Fixture
func TestFixtureHomes(t *testing.T) {
	var out bytes.Buffer
	for i, halls := range [][]Site{
		{{Name: "hall-a", IsOpen: true}, {Name: "hall-b", IsOpen: true}},
		{{Name: "hall-b", IsOpen: true}, {Name: "hall-a", IsOpen: true}, {Name: "hall-c", IsOpen: true}},
		{{Name: "hall-a"}, {Name: "hall-b", IsOpen: true}, {Name: "hall-c", IsOpen: true}},
		{
			{Name: "hall-a", IsOpen: true, KeyEighths: 3}, {Name: "hall-b", IsOpen: true},
			{Name: "north", IsOpen: true, KeyEighths: 7},
		},
	} {
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
		k.InstallEpoch(0, OwnershipEpoch{Number: 1, Sites: halls, Instances: []uint64{1}})
		now := time.Hour
		k.ConfirmEpoch(now)
		fmt.Fprintf(&out, "homes %d\n", i)
		for n := range uint64(64) {
			key := n * 0x9e3779b97f4a7c15
			v := k.Route(now, key)
			if v.Site == "" {
				t.Fatalf("%d: %+v", i, v)
			}
			fmt.Fprintf(&out, "%016x %s\n", key, v.Site)
		}
	}
	fixture.Compare(t, "homes.txt", out.Bytes())

	out.Reset()
	for f := NeverExecuted; f <= ExecutionUnknown; f++ {
		fmt.Fprintln(&out, f)
		if ParseExecutionStatus(f.String()) != f {
			t.Errorf("%v is read as %v", f, ParseExecutionStatus(f.String()))
		}
	}
	for s := SiteHealthy; s <= SiteWarmingUp; s++ {
		fmt.Fprintln(&out, s)
	}
	fmt.Fprintln(&out, ParseExecutionStatus("other"), ParseExecutionStatus(""))
	fixture.Compare(t, "texts.txt", out.Bytes())
}
