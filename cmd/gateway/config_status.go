package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"mulleinmux/internal/cluster"
)

// statusCmd shows the status of each member.
type statusCmd struct{}

// statusResult is what config status --json prints.
type statusResult struct {
	Failed  map[uint64]string         `json:"failed"` // errors of the members that did not respond
	Members map[uint64]cluster.Status `json:"members"`
}

func (c *statusCmd) Run(e *environment, cc *configCmd) error {
	return cc.withClient(e, func(ctx context.Context, client *cluster.Client) error {
		statuses, failed, err := client.AllStatuses(ctx)
		if err != nil {
			return err
		}
		if !cc.JSON {
			return printStatuses(e.stdout, statuses, failed)
		}
		result := statusResult{Failed: map[uint64]string{}, Members: statuses}
		for id, err := range failed {
			result.Failed[id] = err.Error()
		}
		return printJSON(e.stdout, result)
	})
}

// printStatuses prints the status of each member as text, one line each.
func printStatuses(out io.Writer, statuses map[uint64]cluster.Status, failed map[uint64]error) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "member\tleader\tversion\tin force\tconfirmed\tserves\thalls\tnote")
	for _, id := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[id]
		confirmed := "not since its start"
		if s.ConfirmedAgeMs >= 0 {
			confirmed = fmt.Sprintf("%.1f s ago", float64(s.ConfirmedAgeMs)/1000)
		}
		var sites []string
		for _, name := range slices.Sorted(maps.Keys(s.SiteStates)) {
			sites = append(sites, name+" "+s.SiteStates[name])
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%v\t%s\t%s\n", id, s.Leader, s.Version, s.InstalledVersion,
			confirmed, s.IsServing, strings.Join(sites, ", "), s.InstallError)
	}
	for _, id := range slices.Sorted(maps.Keys(failed)) {
		fmt.Fprintf(w, "%d\tdoes not answer: %v\n", id, failed[id])
	}
	return w.Flush()
}
