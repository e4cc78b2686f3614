package main

import (
	"fmt"

	"mulleinmux/internal/benchmark"
)

const followerChangeCount = 10

// runFollowers measures what followers cost.
func (c *benchCmd) runFollowers(e *environment, self string) error {
	var all []benchmark.FollowersResult
	for _, full := range []bool{false, true} {
		r, err := benchmark.Followers(e.ctx, c.benchmarkOptions(self), c.Followers, followerChangeCount, full)
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
