package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"mulleinmux/internal/benchmark"
)

type benchCmd struct {
	For     time.Duration `help:"Length of each measurement." default:"3s"`
	Conns   int           `help:"Connections of clients, each with one request at a time." default:"32"`
	Rate    float64       `help:"Requests a second; 0 is as many as go through."`
	Procs   []int         `help:"Processors of the front, one measurement each." default:"1"`
	Rounds  int           `help:"Measurements of each; the medians count." default:"3"`
	Profile string        `help:"File for a CPU profile of the gateway's last measurement." type:"path"`
	Changes time.Duration `help:"Measure instead what a change of the agreed configuration at each such gap costs an instance."`
	Link    bool          `help:"Measure instead what a request costs that crosses the link between two sites."`
	JSON    bool          `help:"Print all results as JSON."`

	Parts     bool   `help:"Compare instead the ways to share out a fleet's servers among its nodes, by balance, movement and connections."`
	Size      int    `help:"With --parts: servers in a part." default:"16"`
	Seed      uint64 `help:"With --parts: seed of the fleets." default:"1"`
	Followers int    `help:"Measure instead how soon so many followers have a change, and what they cost a member, by deltas and by whole versions."`
}

func (c *benchCmd) Run(e *environment) error {
	if c.Parts {
		return c.runParts(e)
	}
	if c.For <= 0 || !(c.Rate >= 0) || c.Conns < 1 || c.Conns > 10000 || c.Rounds < 1 || len(c.Procs) == 0 || slices.Min(c.Procs) < 1 {
		return usageError{fmt.Errorf("--for, --conns, --procs and --rounds must be above 0")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Changes != 0 {
		return c.runChanges(e, self)
	}
	if c.Followers > 0 {
		return c.runFollowers(e, self)
	}
	if c.Link {
		return c.runRelay(e, self)
	}
	var all []benchmark.Result
	err = benchmark.Run(e.ctx, c.benchmarkOptions(self), func(r benchmark.Result) {
		all = append(all, r)
		fmt.Fprintf(e.stderr, "%-12s %d procs: %8.0f requests/s, %6.1f us CPU and %5.1f allocations a request, p50 %.0f us, p99 %.0f us, %d other answers\n",
			r.Front, r.Procs, r.PerS, r.CPU, r.Allocs, r.P50, r.P99, r.Other)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	median := func(front string, procs int, f func(benchmark.Result) float64) float64 {
		var xs []float64
		for _, r := range all {
			if r.Front == front && r.Procs == procs {
				xs = append(xs, f(r))
			}
		}
		slices.Sort(xs)
		return xs[len(xs)/2]
	}
	perS := func(r benchmark.Result) float64 { return r.PerS }
	cpu := func(r benchmark.Result) float64 { return r.CPU }
	fmt.Fprintf(e.stdout, "direct: %.0f requests/s\n", median("direct", 0, perS))
	for _, p := range c.Procs {
		g, rp := median("gateway", p, cpu), median("reverseproxy", p, cpu)
		fmt.Fprintf(e.stdout, "%d procs: gateway %.1f us CPU a request, ReverseProxy %.1f, ratio %.2f; %.0f and %.0f requests/s\n",
			p, g, rp, g/rp, median("gateway", p, perS), median("reverseproxy", p, perS))
	}
	return nil
}

func (c *benchCmd) benchmarkOptions(self string) benchmark.Options {
	return benchmark.Options{Self: self, For: c.For, Conns: c.Conns, Rate: c.Rate, Procs: c.Procs, Rounds: c.Rounds, Profile: c.Profile}
}
