package main

import (
	"context"
	"fmt"
	"slices"

	"mulleinmux/configstream"
	"mulleinmux/internal/cluster"
)

// streamExplainCmd shows why a follower does not run the newest version.
type streamExplainCmd struct {
	Follower string `arg:"" help:"Its name."`
}

func (c *streamExplainCmd) Run(e *environment, sc *streamCmd) error {
	return sc.withClient(e, func(ctx context.Context, cl *cluster.Client) error {
		fs, err := cl.Followers(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(fs.Followers, func(s configstream.StreamStatus) bool {
			return s.Name == c.Follower
		})
		if i < 0 {
			return unknownFollowerError(c.Follower)
		}
		if sc.JSON {
			return printJSON(e.stdout, fs.Followers[i])
		}
		fmt.Fprintln(e.stdout, fs.Followers[i].Explain(fs.NewestVersion))
		return nil
	})
}
