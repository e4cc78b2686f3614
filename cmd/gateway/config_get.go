package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

type getCmd struct {
	Kind  string `arg:"" optional:"" help:"Kind of objects; all otherwise."`
	Name  string `arg:"" optional:"" help:"Name of one."`
	Local bool   `help:"As applied at the instance asked, without asking the others: it may be old."`
}

func (c *getCmd) Run(e *environment, cc *configCmd) error {
	return cc.withClient(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, c.Local)
		if err != nil {
			return err
		}
		if c.Kind != "" {
			of := o.Objects[c.Kind]
			if c.Name != "" {
				v, ok := of[c.Name]
				if !ok {
					return fmt.Errorf("version %d has no %s %s", o.Version, c.Kind, c.Name)
				}
				of = map[string]json.RawMessage{c.Name: v}
			}
			o.Objects = map[string]map[string]json.RawMessage{c.Kind: of}
		}
		if cc.JSON {
			return printJSON(e.stdout, o)
		}
		fmt.Fprintf(e.stdout, "version %d\n", o.Version)
		for _, kind := range slices.Sorted(maps.Keys(o.Objects)) {
			for _, name := range slices.Sorted(maps.Keys(o.Objects[kind])) {
				fmt.Fprintf(e.stdout, "%s %s %s\n", kind, name, formatValue(o.Objects[kind][name]))
			}
		}
		return nil
	})
}

// formatValue words a value for a line.
func formatValue(v json.RawMessage) string {
	var d clusterconfig.Description
	if json.Unmarshal(v, &d) == nil && d.Text != "" {
		return fmt.Sprintf("{\"file\":%q, %d bytes}", d.File, len(d.Text))
	}
	return string(v)
}
