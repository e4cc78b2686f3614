package main

import (
	"fmt"

	"mulleinmux/internal/benchmark"
)

// followerChangeCount is the number of changes that a measurement of followers makes one by one.
const followerChangeCount = 10

// runFollowers measures the cost of followers, first with deltas and then with whole versions.
func (c *benchCmd) runFollowers(e *environment, self string) error {
	const line = "%d followers, %s: all there after %.1f s; a change in force after %.0f ms (p50), %.0f ms (p99), " +
		"at all after %.0f ms; %.0f KB a follower; %.2f processors at ten changes a second; " +
		"a member killed: all have the next version after %.1f s\n"
	var results []benchmark.FollowersResult
	for _, full := range []bool{false, true} {
		load := benchmark.FollowersLoad{Followers: c.Followers, Changes: followerChangeCount, FullVersions: full}
		r, err := benchmark.MeasureFollowers(e.ctx, c.benchmarkOptions(self), load)
		if err != nil {
			return err
		}
		results = append(results, r)
		if c.JSON {
			continue
		}
		sent := "deltas"
		if full {
			sent = "whole versions"
		}
		fmt.Fprintf(e.stdout, line, r.Followers, sent, r.JoinS, r.P50Ms, r.P99Ms, r.AllMs,
			r.MemoryKB, r.MemberCores, r.BackS)
	}
	if c.JSON {
		return printJSON(e.stdout, results)
	}
	return nil
}
