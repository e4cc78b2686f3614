package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"mulleinmux/internal/cluster"
)

// streamStatusCmd shows the status of each follower.
type streamStatusCmd struct {
	Watch bool          `help:"Show it again and again until interrupted."`
	Every time.Duration `help:"How often." default:"1s"`
}

// minWatchInterval is the least time between two statuses of a watch.
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
	return sc.withClient(e, func(ctx context.Context, client *cluster.Client) error {
		fs, err := client.Followers(ctx)
		if err != nil {
			return err
		}
		if sc.JSON {
			return printJSON(e.stdout, fs)
		}
		w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintf(w, "newest version %d, by member %d\nfollower\tmember\tstands\n", fs.NewestVersion, fs.MemberID)
		for _, s := range fs.Followers {
			fmt.Fprintf(w, "%s\t%d\t%s\n", s.Name, s.LastMember, s.Summary())
		}
		return w.Flush()
	})
}
