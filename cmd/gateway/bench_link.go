package main

import (
	"fmt"

	"mulleinmux/internal/benchmark"
)

// runRelay measures what the link between sites costs.
func (c *benchCmd) runRelay(e *environment, self string) error {
	var all []benchmark.Result
	if err := benchmark.Crossing(e.ctx, c.benchmarkOptions(self), func(r benchmark.Result) {
		all = append(all, r)
		fmt.Fprintf(e.stderr, "%-8s %8.0f requests/s, %6.1f us CPU and %5.1f allocations a request, p50 %.0f us, p99 %.0f us, %d other answers\n", r.Front, r.PerS, r.CPU, r.Allocs, r.P50, r.P99, r.Other)
	}); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, all)
	}
	ratios := pairRatios(all, func(r benchmark.Result) float64 { return r.CPU })
	fmt.Fprintf(e.stdout, "a crossing costs %.2f times the CPU of a direct request (median of %d, from %.2f to %.2f)\n", ratios[len(ratios)/2], len(ratios), ratios[0], ratios[len(ratios)-1])
	return nil
}
