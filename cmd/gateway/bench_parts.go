package main

import (
	"fmt"
	"os"

	"mulleinmux/internal/benchmark"
)

// runParts compares ways to share out servers, on no sockets.
func (c *benchCmd) runParts(e *environment) error {
	if c.Size < 1 || c.Size > 1000 {
		return usageError{fmt.Errorf("--size: %d is not from 1 to 1000", c.Size)}
	}
	var all []benchmark.PartsResult
	for _, nodes := range []int{10, 300, 1000} {
		for _, servers := range []int{10, 30, 170, 1000} {
			rows, err := benchmark.Parts(nodes, servers, c.Size, c.Seed)
			if err != nil {
				return err
			}
			all = append(all, rows...)
		}
	}
	if c.JSON {
		return printJSON(e.stdout, all)
	}
	fmt.Fprintf(e.stdout, "%5s %7s  %-15s %7s %6s %5s %6s %6s %6s %6s %6s %6s %6s\n", "nodes", "servers", "way", "members", "fewest", "held", "spread", "most", "uneven", "zone", "gone", "came", "miscut")
	for _, r := range all {
		fmt.Fprintf(e.stdout, "%5d %7d  %-15s %7.1f %6d %5d %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f\n", r.Nodes, r.Servers, r.Way, r.Members, r.Fewest, r.Held, r.Spread, r.Most, r.Uneven, r.Zone, r.Gone, r.Came, r.Miscut)
	}
	return nil
}

type partCmd struct {
	Part string `arg:""`
}

func (c *partCmd) Run(e *environment) error { return benchmark.Play(e.ctx, c.Part, os.Stdin, e.stdout) }
