package sites

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"mulleinmux/internal/fixture"
)

// The home of each key, by the halls that are open and what they take, is as it was recorded; so are the texts of states and
// of fates, which sites send each other.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./sites -run Fixture
func TestFixtureHomes(t *testing.T) {
	var out bytes.Buffer
	for i, halls := range [][]Hall{{{Name: "hall-a", Open: true}, {Name: "hall-b", Open: true}}, {{Name: "hall-b", Open: true}, {Name: "hall-a", Open: true}, {Name: "hall-c", Open: true}},
		{{Name: "hall-a"}, {Name: "hall-b", Open: true}, {Name: "hall-c", Open: true}}, {{Name: "hall-a", Open: true, Part: 3}, {Name: "hall-b", Open: true}, {Name: "north", Open: true, Part: 7}}} {
		k, err := New(Config{Me: 1, Incarnation: 1, Lease: time.Second, Life: time.Second, Memory: 10 * time.Second, Most: 1000}, 0)
		if err != nil {
			t.Fatal(err)
		}
		k.Install(0, Homes{Epoch: 1, Halls: halls, Instances: []uint64{1}})
		now := time.Hour
		k.Confirm(now)
		fmt.Fprintf(&out, "homes %d\n", i)
		for n := range uint64(64) {
			key := n * 0x9e3779b97f4a7c15
			v := k.Route(now, key)
			if v.Hall == "" {
				t.Fatalf("%d: %+v", i, v)
			}
			fmt.Fprintf(&out, "%016x %s\n", key, v.Hall)
		}
	}
	fixture.Compare(t, "homes.txt", out.Bytes())

	out.Reset()
	for f := Never; f <= Unknown; f++ {
		fmt.Fprintln(&out, f)
		if ParseFate(f.String()) != f {
			t.Errorf("%v is read as %v", f, ParseFate(f.String()))
		}
	}
	for s := Well; s <= Cold; s++ {
		fmt.Fprintln(&out, s)
	}
	fmt.Fprintln(&out, ParseFate("other"), ParseFate(""))
	fixture.Compare(t, "texts.txt", out.Bytes())
}
