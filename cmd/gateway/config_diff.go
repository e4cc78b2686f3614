package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gatewayconfig"
)

// errDiffers is returned for a file that would change something, after the difference has been printed.
var errDiffers = errors.New("the file differs from the agreed configuration")

// diffCmd shows what a file would change.
type diffCmd struct {
	File string `arg:"" help:"File with the whole configuration." type:"path"`
}

// diffResult is what config diff --json prints.
type diffResult struct {
	Changes []clusterconfig.Change `json:"changes"`
	Version uint64                 `json:"version"` // version that the file was compared with
}

func (c *diffCmd) Run(e *environment, cc *configCmd) error {
	return cc.withDiff(e, c.File, func(_ context.Context, _ *cluster.Client, diff *objectsDiff) error {
		if err := diff.print(e.stdout, cc.JSON); err != nil {
			return err
		}
		if len(diff.changes) > 0 {
			return errDiffers
		}
		return nil
	})
}

// withDiff runs f by withClient, with the difference between the agreed objects and those that a file describes.
func (c *configCmd) withDiff(
	e *environment, file string, f func(context.Context, *cluster.Client, *objectsDiff) error,
) error {
	desired, err := readDesiredObjects(file)
	if err != nil {
		return usageError{err}
	}
	return c.withClient(e, func(ctx context.Context, client *cluster.Client) error {
		agreed, err := client.Objects(ctx, false)
		if err != nil {
			return err
		}
		diff := diffObjects(agreed.Objects, desired)
		diff.version = agreed.Version
		return f(ctx, client, diff)
	})
}

// objectsDiff holds the changes that turn the agreed objects into the desired ones.
type objectsDiff struct {
	version uint64 // of the agreed objects
	changes []clusterconfig.Change
	lines   []string // as text: "-" before an agreed value, "+" before a desired one
}

// print prints the changes as JSON or as text.
func (d *objectsDiff) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return printJSON(out, diffResult{Changes: d.changes, Version: d.version})
	}
	fmt.Fprintf(out, "against version %d: %d changes\n", d.version, len(d.changes))
	for _, line := range d.lines {
		fmt.Fprintln(out, line)
	}
	return nil
}

// diffObjects compares the objects of the kinds that a cluster's file holds. Members are not among them.
func diffObjects(agreed, desired objectsByKind) *objectsDiff {
	diff := &objectsDiff{}
	for _, kind := range gatewayconfig.ClusterFileKinds {
		for _, name := range slices.Sorted(maps.Keys(desired[kind])) {
			diff.put(kind, name, agreed[kind], desired[kind][name])
		}
		for _, name := range slices.Sorted(maps.Keys(agreed[kind])) {
			if _, ok := desired[kind][name]; !ok {
				diff.remove(kind, name, agreed[kind][name])
			}
		}
	}
	return diff
}

// put adds the change that sets a desired value, unless the agreed value is equal.
func (d *objectsDiff) put(kind, name string, agreed map[string]json.RawMessage, value json.RawMessage) {
	before, ok := agreed[name]
	if ok && equalJSON(before, value) {
		return
	}
	d.changes = append(d.changes, clusterconfig.Change{Op: clusterconfig.OpPut, Kind: kind, Name: name, Value: value})
	if ok {
		d.lines = append(d.lines, fmt.Sprintf("- %s %s %s", kind, name, formatValue(before)))
	}
	d.lines = append(d.lines, fmt.Sprintf("+ %s %s %s", kind, name, formatValue(value)))
}

// remove adds the removal of an agreed value.
func (d *objectsDiff) remove(kind, name string, before json.RawMessage) {
	d.changes = append(d.changes, clusterconfig.Change{Op: clusterconfig.OpRemove, Kind: kind, Name: name})
	d.lines = append(d.lines, fmt.Sprintf("- %s %s %s", kind, name, formatValue(before)))
}

// equalJSON reports whether two values are equal, regardless of white space and the order of keys.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	canonicalA, errP := json.Marshal(x)
	canonicalB, errQ := json.Marshal(y)
	return errP == nil && errQ == nil && bytes.Equal(canonicalA, canonicalB)
}
