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

func (c *benchCmd) Run(e *env) error {
	if c.Parts {
		return c.parts(e)
	}
	if c.For <= 0 || !(c.Rate >= 0) || c.Conns < 1 || c.Conns > 10000 || c.Rounds < 1 || len(c.Procs) == 0 || slices.Min(c.Procs) < 1 {
		return usage{fmt.Errorf("--for, --conns, --procs and --rounds must be above 0")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Changes != 0 {
		return c.changes(e, self)
	}
	if c.Followers > 0 {
		return c.followers(e, self)
	}
	if c.Link {
		return c.crossing(e, self)
	}
	var all []benchmark.Result
	err = benchmark.Run(e.ctx, c.options(self), func(r benchmark.Result) {
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

func (c *benchCmd) options(self string) benchmark.Options {
	return benchmark.Options{Self: self, For: c.For, Conns: c.Conns, Rate: c.Rate, Procs: c.Procs, Rounds: c.Rounds, Profile: c.Profile}
}

// parts compares ways to share out servers, on no sockets.
func (c *benchCmd) parts(e *env) error {
	if c.Size < 1 || c.Size > 1000 {
		return usage{fmt.Errorf("--size: %d is not from 1 to 1000", c.Size)}
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

// turns are the ratios of each second measurement to the one before it, sorted.
func turns(all []benchmark.Result, f func(benchmark.Result) float64) (ratios []float64) {
	for i := 0; i+1 < len(all); i += 2 {
		ratios = append(ratios, f(all[i+1])/f(all[i]))
	}
	slices.Sort(ratios)
	return ratios
}

// changes measures what changes of the agreed configuration cost.
func (c *benchCmd) changes(e *env, self string) error {
	if c.Changes < time.Millisecond {
		return usage{fmt.Errorf("--changes: %v is below 1ms", c.Changes)}
	}
	var all []benchmark.Result
	if err := benchmark.Changes(e.ctx, c.options(self), c.Changes, func(r benchmark.Result, changes int) {
		all = append(all, r)
		fmt.Fprintf(e.stderr, "%-8s %8.0f requests/s, %6.1f us CPU a request, p50 %.0f us, p99 %.0f us, %d other answers, %d changes\n", r.Front, r.PerS, r.CPU, r.P50, r.P99, r.Other, changes)
	}); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, all)
	}
	ratios := turns(all, func(r benchmark.Result) float64 { return r.PerS })
	fmt.Fprintf(e.stdout, "with a change every %v: %.3f of the requests/s without (median of %d, from %.3f to %.3f)\n", c.Changes, ratios[len(ratios)/2], len(ratios), ratios[0], ratios[len(ratios)-1])
	return nil
}

// crossing measures what the link between sites costs.
func (c *benchCmd) crossing(e *env, self string) error {
	var all []benchmark.Result
	if err := benchmark.Crossing(e.ctx, c.options(self), func(r benchmark.Result) {
		all = append(all, r)
		fmt.Fprintf(e.stderr, "%-8s %8.0f requests/s, %6.1f us CPU and %5.1f allocations a request, p50 %.0f us, p99 %.0f us, %d other answers\n", r.Front, r.PerS, r.CPU, r.Allocs, r.P50, r.P99, r.Other)
	}); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e.stdout, all)
	}
	ratios := turns(all, func(r benchmark.Result) float64 { return r.CPU })
	fmt.Fprintf(e.stdout, "a crossing costs %.2f times the CPU of a direct request (median of %d, from %.2f to %.2f)\n", ratios[len(ratios)/2], len(ratios), ratios[0], ratios[len(ratios)-1])
	return nil
}

// followers measures what followers cost.
func (c *benchCmd) followers(e *env, self string) error {
	var all []benchmark.FollowersResult
	for _, full := range []bool{false, true} {
		r, err := benchmark.Followers(e.ctx, c.options(self), c.Followers, followersChanges, full)
		if err != nil {
			return err
		}
		all = append(all, r)
		if !c.JSON {
			fmt.Fprintf(e.stdout, "%d followers, %s: all there after %.1f s; a change in force after %.0f ms (p50), %.0f ms (p99), at all after %.0f ms; %.0f KB a follower; %.2f processors at ten changes a second; a member killed: all have the next version after %.1f s\n",
				r.Followers, map[bool]string{false: "deltas", true: "whole versions"}[full], r.JoinS, r.P50Ms, r.P99Ms, r.AllMs, r.MemoryKB, r.MemberCores, r.BackS)
		}
	}
	if c.JSON {
		return printJSON(e.stdout, all)
	}
	return nil
}

const followersChanges = 10

type partCmd struct {
	Part string `arg:""`
}

func (c *partCmd) Run(e *env) error { return benchmark.Play(e.ctx, c.Part, os.Stdin, e.stdout) }
