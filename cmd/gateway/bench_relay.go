package main

import (
	"fmt"

	"mulleinmux/internal/benchmark"
)

// runRelay measures the cost of a request that an instance of one site relays to an instance of another site.
func (c *benchCmd) runRelay(e *environment, self string) error {
	const progress = "%-8s %8.0f requests/s, %6.1f us CPU and %5.1f allocations a request, " +
		"p50 %.0f us, p99 %.0f us, %d other answers\n"
	var results []benchmark.Result
	record := func(r benchmark.Result) {
		results = append(results, r)
		fmt.Fprintf(e.stderr, progress, r.Front, r.RequestsPerSecond, r.CPUMicrosPerRequest, r.AllocsPerRequest,
			r.P50Micros, r.P99Micros, r.OtherResponses)
	}
	if err := benchmark.MeasureRelay(e.ctx, c.benchmarkOptions(self), record); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, results)
	}
	const summary = "a relayed request costs %.2f times the CPU time of a direct one (median of %d, from %.2f to %.2f)\n"
	ratios := summarizeRatios(results, cpuPerRequest)
	fmt.Fprintf(e.stdout, summary, ratios.median, ratios.count, ratios.lowest, ratios.highest)
	return nil
}
