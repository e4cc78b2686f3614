package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"mulleinmux/configstream"
	"mulleinmux/internal/cluster"
)

// streamExplainCmd shows why a follower does not run the newest version.
type streamExplainCmd struct {
	Follower string `arg:"" help:"Name of the follower."`
}

func (c *streamExplainCmd) Run(e *environment, sc *streamCmd) error {
	var newest uint64
	request := func(ctx context.Context, client *cluster.Client) (status configstream.ObservedStatus, err error) {
		list, err := client.Followers(ctx)
		if err != nil {
			return status, err
		}
		newest = list.NewestVersion
		i := slices.IndexFunc(list.Followers, func(status configstream.ObservedStatus) bool {
			return status.Name == c.Follower
		})
		if i < 0 {
			return status, unknownFollowerError(c.Follower)
		}
		return list.Followers[i], nil
	}
	return showResult(&sc.clusterFlags, e, request, func(out io.Writer, status configstream.ObservedStatus) error {
		fmt.Fprintln(out, status.Explain(newest))
		return nil
	})
}
