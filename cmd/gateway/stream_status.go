package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"mulleinmux/internal/cluster"
)

// streamStatusCmd shows the status of each follower.
type streamStatusCmd struct {
	Watch bool          `help:"Show the status repeatedly until interrupted."`
	Every time.Duration `help:"Interval of --watch." default:"1s"`
}

// minWatchInterval is the lower bound of --every.
const minWatchInterval = 100 * time.Millisecond

func (c *streamStatusCmd) Run(e *environment, sc *streamCmd) error {
	for {
		if err := c.show(e, sc); err != nil || !c.Watch {
			return err
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(max(c.Every, minWatchInterval)):
		}
	}
}

// show prints the status of each follower once.
func (c *streamStatusCmd) show(e *environment, sc *streamCmd) error {
	request := func(ctx context.Context, client *cluster.Client) (cluster.FollowerList, error) {
		return client.Followers(ctx)
	}
	return showResult(&sc.clusterFlags, e, request, printFollowers)
}

// printFollowers prints the status of each follower as text, one line each.
func printFollowers(out io.Writer, list cluster.FollowerList) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "newest version %d, by member %d\nfollower\tmember\tstands\n", list.NewestVersion, list.MemberID)
	for _, status := range list.Followers {
		fmt.Fprintf(w, "%s\t%d\t%s\n", status.Name, status.LastMember, status.Summary())
	}
	return w.Flush()
}
