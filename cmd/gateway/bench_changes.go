package main

import (
	"fmt"
	"time"

	"mulleinmux/internal/benchmark"
)

// runChanges measures the cost of changes of the agreed configuration.
func (c *benchCmd) runChanges(e *environment, self string) error {
	if c.Changes < time.Millisecond {
		return usageError{fmt.Errorf("--changes: %v is below 1ms", c.Changes)}
	}
	const progress = "%-8s %8.0f requests/s, %6.1f us CPU a request, p50 %.0f us, p99 %.0f us, " +
		"%d other answers, %d changes\n"
	var results []benchmark.Result
	record := func(r benchmark.Result, changes int) {
		results = append(results, r)
		fmt.Fprintf(e.stderr, progress, r.Front, r.RequestsPerSecond, r.CPUMicrosPerRequest, r.P50Micros, r.P99Micros,
			r.OtherResponses, changes)
	}
	if err := benchmark.MeasureChanges(e.ctx, c.benchmarkOptions(self), c.Changes, record); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, results)
	}
	const summary = "with a change every %v: %.3f of the requests/s without changes (median of %d, from %.3f to %.3f)\n"
	ratios := summarizeRatios(results, requestsPerSecond)
	fmt.Fprintf(e.stdout, summary, c.Changes, ratios.median, ratios.count, ratios.lowest, ratios.highest)
	return nil
}
