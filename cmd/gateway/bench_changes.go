package main

import (
	"fmt"
	"slices"
	"time"

	"mulleinmux/internal/benchmark"
)

// runChanges measures what changes of the agreed configuration cost.
func (c *benchCmd) runChanges(e *environment, self string) error {
	if c.Changes < time.Millisecond {
		return usageError{fmt.Errorf("--changes: %v is below 1ms", c.Changes)}
	}
	var all []benchmark.Result
	if err := benchmark.Changes(e.ctx, c.benchmarkOptions(self), c.Changes, func(r benchmark.Result, changes int) {
		all = append(all, r)
		fmt.Fprintf(e.stderr, "%-8s %8.0f requests/s, %6.1f us CPU a request, p50 %.0f us, p99 %.0f us, %d other answers, %d changes\n", r.Front, r.PerS, r.CPU, r.P50, r.P99, r.Other, changes)
	}); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, all)
	}
	ratios := pairRatios(all, func(r benchmark.Result) float64 { return r.PerS })
	fmt.Fprintf(e.stdout, "with a change every %v: %.3f of the requests/s without (median of %d, from %.3f to %.3f)\n", c.Changes, ratios[len(ratios)/2], len(ratios), ratios[0], ratios[len(ratios)-1])
	return nil
}

// pairRatios are the ratios of each second measurement to the one before it, sorted.
func pairRatios(all []benchmark.Result, f func(benchmark.Result) float64) (ratios []float64) {
	for i := 0; i+1 < len(all); i += 2 {
		ratios = append(ratios, f(all[i+1])/f(all[i]))
	}
	slices.Sort(ratios)
	return ratios
}
