package subset

import (
	"bytes"
	"fmt"
	"testing"

	"mulleinmux/internal/fixture"
)

// The part of each node, with shares, is as it was recorded for fixed servers and seeds: a tier whose nodes draw other
// parts while it is updated would not fit together.
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
	for i, f := range []Tier{
		{Nodes: 10, Seed: 1, Sizing: Sizing{TargetServers: 12, MinHolders: 3, MaxOmitted: 2}},
		{Nodes: 10, Seed: 2, Sizing: Sizing{TargetServers: 12, MinHolders: 3, MaxOmitted: 2}},
		{Nodes: 3, Seed: 1, Sizing: Sizing{TargetServers: 8, MinHolders: 2}},
		{Nodes: 2},
	} {
		for node := range min(f.Nodes, 4) {
			for _, wide := range []float64{1, 1.5} {
				fmt.Fprintf(&out, "fleet %d, node %d, wide %v: size %d\n", i, node, wide, f.SubsetSize(len(servers)))
				for _, m := range f.Select(servers, node, wide) {
					fmt.Fprintf(&out, "%d %.9g %d\n", m.Index, m.TrafficFraction, m.HolderCount)
				}
			}
		}
	}
	fixture.Compare(t, "parts.txt", out.Bytes())
}
