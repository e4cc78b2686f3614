package main

import (
	"fmt"

	"mulleinmux/internal/benchmark"
)

// maxSubsetSize is the largest --size.
const maxSubsetSize = 1000

// runSubsets computes figures of the subsets of servers in fleets of several sizes, without sending requests.
func (c *benchCmd) runSubsets(e *environment) error {
	if c.Size < 1 || c.Size > maxSubsetSize {
		return usageError{fmt.Errorf("--size: %d is not from 1 to %d", c.Size, maxSubsetSize)}
	}
	var results []benchmark.SubsetFigures
	for _, nodes := range []int{10, 300, 1000} {
		for _, servers := range []int{10, 30, 170, 1000} {
			figures, err := benchmark.MeasureSubsets(nodes, servers, c.Size, c.Seed)
			if err != nil {
				return err
			}
			results = append(results, figures)
		}
	}
	if c.JSON {
		return printJSON(e.stdout, results)
	}
	const (
		header = "%5s %7s  %-15s %7s %6s %5s %6s %6s %6s %6s %6s %6s %6s\n"
		row    = "%5d %7d  %-15s %7.1f %6d %5d %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f\n"
	)
	fmt.Fprintf(e.stdout, header, "nodes", "servers", "way", "members", "fewest", "held", "spread", "most", "uneven",
		"zone", "gone", "came", "miscut")
	for _, r := range results {
		fmt.Fprintf(e.stdout, row, r.Nodes, r.Servers, r.Method, r.MeanSize, r.MinSize, r.MaxSubsets,
			r.LoadDeviation, r.MaxLoad, r.UnevenNodes, r.MaxLoadZoneOut, r.ServerGone, r.ServerCame, r.WrongNodeCount)
	}
	return nil
}
