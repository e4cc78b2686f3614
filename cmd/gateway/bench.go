package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"mulleinmux/internal/benchmark"
)

// benchCmd measures the cost of requests, configuration changes, relayed requests and followers.
type benchCmd struct {
	For     time.Duration `help:"Length of each measurement." default:"3s"`
	Conns   int           `help:"Client connections, each with one request at a time." default:"32"`
	Rate    float64       `help:"Requests per second over all connections; 0 means no limit."`
	Procs   []int         `help:"Values of GOMAXPROCS of the measured proxy, one measurement each." default:"1"`
	Rounds  int           `help:"Repetitions of each measurement; the medians are reported." default:"3"`
	Profile string        `help:"File for a CPU profile of the gateway's last measurement." type:"path"`
	Changes time.Duration `help:"Measure instead what changes of the agreed configuration cost an instance, with one change in each such interval."`
	Link    bool          `help:"Measure instead what a request costs that is relayed to another site."`
	JSON    bool          `help:"Print all results as JSON."`

	Parts     bool   `help:"Compute instead the balance, movement and connections of subsets of servers, for fleets of several sizes."`
	Size      int    `help:"With --parts: target number of servers in a subset." default:"16"`
	Seed      uint64 `help:"With --parts: seed of the fleets." default:"1"`
	Followers int    `help:"Measure instead how soon this many followers install a change and what they cost a member, with deltas and with full versions."`
}

func (c *benchCmd) Run(e *environment) error {
	if c.Parts {
		return c.runSubsets(e)
	}
	if c.For <= 0 || !(c.Rate >= 0) || c.Conns < 1 || c.Conns > maxBenchConns || c.Rounds < 1 ||
		len(c.Procs) == 0 || slices.Min(c.Procs) < 1 {
		return usageError{fmt.Errorf("--for, --conns, --procs and --rounds must be above 0")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	switch {
	case c.Changes != 0:
		return c.runChanges(e, self)
	case c.Followers > 0:
		return c.runFollowers(e, self)
	case c.Link:
		return c.runRelay(e, self)
	default:
		return c.runFronts(e, self)
	}
}

// maxBenchConns is the largest --conns.
const maxBenchConns = 10000

// runFronts measures the gateway, httputil.ReverseProxy and direct requests for comparison.
func (c *benchCmd) runFronts(e *environment, self string) error {
	const progress = "%-12s %d procs: %8.0f requests/s, %6.1f us CPU and %5.1f allocations a request, " +
		"p50 %.0f us, p99 %.0f us, %d other answers\n"
	var results []benchmark.Result
	err := benchmark.MeasureFronts(e.ctx, c.benchmarkOptions(self), func(r benchmark.Result) {
		results = append(results, r)
		fmt.Fprintf(e.stderr, progress, r.Front, r.Procs, r.RequestsPerSecond, r.CPUMicrosPerRequest,
			r.AllocsPerRequest, r.P50Micros, r.P99Micros, r.OtherResponses)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, results)
	}
	const summary = "%d procs: gateway %.1f us CPU a request, ReverseProxy %.1f, ratio %.2f; %.0f and %.0f requests/s\n"
	fmt.Fprintf(e.stdout, "direct: %.0f requests/s\n", medianOf(results, "direct", 0, requestsPerSecond))
	for _, procs := range c.Procs {
		gatewayCPU := medianOf(results, "gateway", procs, cpuPerRequest)
		proxyCPU := medianOf(results, "reverseproxy", procs, cpuPerRequest)
		fmt.Fprintf(e.stdout, summary, procs, gatewayCPU, proxyCPU, gatewayCPU/proxyCPU,
			medianOf(results, "gateway", procs, requestsPerSecond),
			medianOf(results, "reverseproxy", procs, requestsPerSecond))
	}
	return nil
}

// benchmarkOptions returns the options of a measurement; self is the path of this program.
func (c *benchCmd) benchmarkOptions(self string) benchmark.Options {
	return benchmark.Options{
		Program:  self,
		Duration: c.For,
		Conns:    c.Conns,
		Rate:     c.Rate,
		Procs:    c.Procs,
		Rounds:   c.Rounds,
		Profile:  c.Profile,
	}
}

func requestsPerSecond(r benchmark.Result) float64 { return r.RequestsPerSecond }

func cpuPerRequest(r benchmark.Result) float64 { return r.CPUMicrosPerRequest }

// medianOf returns the median of a figure over the measurements of one front.
func medianOf(results []benchmark.Result, front string, procs int, figure func(benchmark.Result) float64) float64 {
	var values []float64
	for _, r := range results {
		if r.Front == front && r.Procs == procs {
			values = append(values, figure(r))
		}
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// ratioSummary is the median and the range of the ratios of pairs of measurements.
type ratioSummary struct {
	median, lowest, highest float64
	count                   int
}

// summarizeRatios summarizes the ratios of a figure in pairs of successive measurements, the second divided by the
// first.
func summarizeRatios(results []benchmark.Result, figure func(benchmark.Result) float64) ratioSummary {
	ratios := pairRatios(results, figure)
	count := len(ratios)
	return ratioSummary{median: ratios[count/2], lowest: ratios[0], highest: ratios[count-1], count: count}
}

// pairRatios returns the ratio of the second to the first measurement of each pair, sorted.
func pairRatios(results []benchmark.Result, figure func(benchmark.Result) float64) (ratios []float64) {
	for i := 0; i+1 < len(results); i += 2 {
		ratios = append(ratios, figure(results[i+1])/figure(results[i]))
	}
	slices.Sort(ratios)
	return ratios
}
