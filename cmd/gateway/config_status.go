package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"mulleinmux/internal/cluster"
)

type statusCmd struct{}

func (c *statusCmd) Run(e *environment, cc *configCmd) error {
	return cc.withClient(e, func(ctx context.Context, cl *cluster.Client) error {
		all, failed, err := cl.AllStatuses(ctx)
		if err != nil {
			return err
		}
		if cc.JSON {
			errs := map[uint64]string{}
			for id, err := range failed {
				errs[id] = err.Error()
			}
			return printJSON(e.stdout, map[string]any{"members": all, "failed": errs})
		}
		w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "member\tleader\tversion\tin force\tconfirmed\tserves\thalls\tnote")
		for _, id := range slices.Sorted(maps.Keys(all)) {
			s := all[id]
			age := "not since its start"
			if s.ConfirmedAgeMs >= 0 {
				age = fmt.Sprintf("%.1f s ago", float64(s.ConfirmedAgeMs)/1000)
			}
			var halls []string
			for _, name := range slices.Sorted(maps.Keys(s.SiteStates)) {
				halls = append(halls, name+" "+s.SiteStates[name])
			}
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%v\t%s\t%s\n", id, s.Leader, s.Version, s.InstalledVersion, age, s.IsServing, strings.Join(halls, ", "), s.InstallError)
		}
		for _, id := range slices.Sorted(maps.Keys(failed)) {
			fmt.Fprintf(w, "%d\tdoes not answer: %v\n", id, failed[id])
		}
		return w.Flush()
	})
}
