package parts

import (
	"bytes"
	"fmt"
	"testing"

	"mulleinmux/internal/fixture"
)

// The part of each node, with shares, is as it was recorded for fixed servers and seeds: a tier whose nodes draw other parts
// while it is updated would not fit together.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./parts -run Fixture
func TestFixtureParts(t *testing.T) {
	var servers []Server
	for i := range 60 {
		servers = append(servers, Server{ID: fmt.Sprintf("server-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Size: float64(i % 4)})
	}
	var out bytes.Buffer
	for i, f := range []Fleet{{Nodes: 10, Seed: 1, Rule: Rule{Servers: 12, Holders: 3, Spare: 2}}, {Nodes: 10, Seed: 2, Rule: Rule{Servers: 12, Holders: 3, Spare: 2}},
		{Nodes: 3, Seed: 1, Rule: Rule{Servers: 8, Holders: 2}}, {Nodes: 2}} {
		for node := range min(f.Nodes, 4) {
			for _, wide := range []float64{1, 1.5} {
				fmt.Fprintf(&out, "fleet %d, node %d, wide %v: size %d\n", i, node, wide, f.Size(len(servers)))
				for _, m := range f.Form(servers, node, wide) {
					fmt.Fprintf(&out, "%d %.9g %d\n", m.Index, m.Share, m.Held)
				}
			}
		}
	}
	fixture.Compare(t, "parts.txt", out.Bytes())
}
