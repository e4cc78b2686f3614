package main

import (
	"fmt"

	"mulleinmux/internal/benchmark"
)

// followerChangeCount is the number of changes that a measurement of followers makes one by one.
const followerChangeCount = 10

// runFollowers measures the cost of followers, first with deltas and then with full versions.
func (c *benchCmd) runFollowers(e *environment, self string) error {
	const line = "%d followers, %s: all ready after %.1f s; a change installed after %.0f ms (p50), %.0f ms (p99), " +
		"by all after %.0f ms; %.0f KB per follower; %.2f processors at ten changes per second; " +
		"with a member killed, the next version installed by all after %.1f s\n"
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
			sent = "full versions"
		}
		fmt.Fprintf(e.stdout, line, r.Followers, sent, r.JoinS, r.P50Ms, r.P99Ms, r.AllMs,
			r.MemoryKB, r.MemberCores, r.BackS)
	}
	if c.JSON {
		return printJSON(e.stdout, results)
	}
	return nil
}
