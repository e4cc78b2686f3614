package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gatewayconfig"
)

// errDiffers is a file that would change something: what has been printed.
var errDiffers = errors.New("the file differs from what is agreed on")

type diffCmd struct {
	File string `arg:"" help:"The file." type:"path"`
}

func (c *diffCmd) Run(e *environment, cc *configCmd) error {
	want, err := readDesiredObjects(c.File)
	if err != nil {
		return usageError{err}
	}
	return cc.withClient(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		cs, lines := diffObjects(o, want)
		if cc.JSON {
			err = printJSON(e.stdout, map[string]any{"version": o.Version, "changes": cs})
		} else {
			fmt.Fprintf(e.stdout, "against version %d: %d changes\n", o.Version, len(cs))
			for _, l := range lines {
				fmt.Fprintln(e.stdout, l)
			}
		}
		if err == nil && len(cs) > 0 {
			err = errDiffers
		}
		return err
	})
}

// diffObjects are what makes what is agreed into what is wanted. Members are left alone.
func diffObjects(agreed cluster.Objects, want map[string]map[string]json.RawMessage) (cs []clusterconfig.Change, lines []string) {
	for _, kind := range gatewayconfig.ClusterFileKinds {
		have := agreed.Objects[kind]
		for _, name := range slices.Sorted(maps.Keys(want[kind])) {
			before, ok := have[name]
			if ok && sameJSON(before, want[kind][name]) {
				continue
			}
			cs = append(cs, clusterconfig.Change{Op: "put", Kind: kind, Name: name, Value: want[kind][name]})
			if !ok {
				lines = append(lines, fmt.Sprintf("+ %s %s %s", kind, name, formatValue(want[kind][name])))
			} else {
				lines = append(lines, fmt.Sprintf("- %s %s %s", kind, name, formatValue(before)), fmt.Sprintf("+ %s %s %s", kind, name, formatValue(want[kind][name])))
			}
		}
		for _, name := range slices.Sorted(maps.Keys(have)) {
			if _, ok := want[kind][name]; !ok {
				cs = append(cs, clusterconfig.Change{Op: "remove", Kind: kind, Name: name})
				lines = append(lines, fmt.Sprintf("- %s %s %s", kind, name, formatValue(have[name])))
			}
		}
	}
	return cs, lines
}

// sameJSON tells whether two values say the same, whatever their spaces and order.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	p, err := json.Marshal(x)
	q, err2 := json.Marshal(y)
	return err == nil && err2 == nil && bytes.Equal(p, q)
}
