package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// historyCmd shows the agreed versions.
type historyCmd struct {
	Last int `help:"Number of the latest versions to show; 0 means all that are kept." default:"20"`
}

func (c *historyCmd) Run(e *environment, cc *configCmd) error {
	return showResult(&cc.clusterFlags, e, c.request, printHistory)
}

// request returns the latest versions.
func (c *historyCmd) request(ctx context.Context, client *cluster.Client) ([]clusterconfig.HistoryRecord, error) {
	history, err := client.History(ctx)
	if c.Last > 0 && len(history) > c.Last {
		history = history[len(history)-c.Last:]
	}
	return history, err
}

// printHistory prints versions as text, one line each.
func printHistory(out io.Writer, history []clusterconfig.HistoryRecord) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range history {
		proposedAt := time.UnixMilli(r.ProposedAtMs).UTC().Format(time.RFC3339)
		changes := strings.Join(r.Changes, ", ")
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Version, proposedAt, r.Author, changes, r.Reason)
	}
	return w.Flush()
}
