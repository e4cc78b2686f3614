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
	return sc.withClient(e, func(ctx context.Context, client *cluster.Client) error {
		list, err := client.Followers(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(list.Followers, func(status configstream.StreamStatus) bool {
			return status.Name == c.Follower
		})
		if i < 0 {
			return unknownFollowerError(c.Follower)
		}
		if sc.JSON {
			return printJSON(e.stdout, list.Followers[i])
		}
		fmt.Fprintln(e.stdout, list.Followers[i].Explain(list.NewestVersion))
		return nil
	})
}
