package subset

import (
	"bytes"
	"fmt"
	"testing"

	"mulleinmux/internal/fixture"
)

// The subset of each node, with its traffic fractions, must be the recorded one for fixed servers and seeds. Otherwise
// nodes of different versions would select subsets that do not match while the tier is updated.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./subset -run Fixture
func TestFixtureParts(t *testing.T) {
	var servers []Server
	for i := range 60 {
		servers = append(servers, Server{
			ID:     fmt.Sprintf("server-%d", i),
			Zone:   fmt.Sprintf("zone-%d", i%3),
			Weight: float64(i % 4),
		})
	}
	var out bytes.Buffer
	for i, tier := range []Tier{
		{Nodes: 10, Seed: 1, Sizing: Sizing{TargetServers: 12, MinHolders: 3, MaxOmitted: 2}},
		{Nodes: 10, Seed: 2, Sizing: Sizing{TargetServers: 12, MinHolders: 3, MaxOmitted: 2}},
		{Nodes: 3, Seed: 1, Sizing: Sizing{TargetServers: 8, MinHolders: 2}},
		{Nodes: 2},
	} {
		for node := range min(tier.Nodes, 4) {
			for _, wide := range []float64{1, 1.5} {
				fmt.Fprintf(&out, "fleet %d, node %d, wide %v: size %d\n", i, node, wide, tier.SubsetSize(len(servers)))
				for _, m := range tier.Select(servers, node, wide) {
					fmt.Fprintf(&out, "%d %.9g %d\n", m.Index, m.TrafficFraction, m.HolderCount)
				}
			}
		}
	}
	fixture.Compare(t, "parts.txt", out.Bytes())
}
