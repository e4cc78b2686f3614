package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinmux/internal/cluster"
)

// historyCmd shows the agreed versions.
type historyCmd struct {
	Last int `help:"So many of the latest versions; 0: all that are kept." default:"20"`
}

func (c *historyCmd) Run(e *environment, cc *configCmd) error {
	return cc.withClient(e, func(ctx context.Context, client *cluster.Client) error {
		history, err := client.History(ctx)
		if err != nil {
			return err
		}
		if c.Last > 0 && len(history) > c.Last {
			history = history[len(history)-c.Last:]
		}
		if cc.JSON {
			return printJSON(e.stdout, history)
		}
		w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
		for _, r := range history {
			proposedAt := time.UnixMilli(r.ProposedAtMs).UTC().Format(time.RFC3339)
			changes := strings.Join(r.Changes, ", ")
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Version, proposedAt, r.Author, changes, r.Reason)
		}
		return w.Flush()
	})
}
