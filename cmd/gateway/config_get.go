package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// getCmd shows the agreed objects.
type getCmd struct {
	Kind  string `arg:"" optional:"" help:"Kind of objects. Without it, all objects are shown."`
	Name  string `arg:"" optional:"" help:"Name of one object of the kind."`
	Local bool   `help:"Show the objects that the contacted member has applied, without confirmation by a quorum: they may be stale."`
}

func (c *getCmd) Run(e *environment, cc *configCmd) error {
	return showResult(&cc.clusterFlags, e, c.request, printObjects)
}

// request returns the objects that the command line names.
func (c *getCmd) request(ctx context.Context, client *cluster.Client) (cluster.Objects, error) {
	agreed, err := client.Objects(ctx, c.Local)
	if err != nil {
		return agreed, err
	}
	err = c.selectObjects(&agreed)
	return agreed, err
}

// selectObjects removes all objects but those that the command line names.
func (c *getCmd) selectObjects(o *cluster.Objects) error {
	if c.Kind == "" {
		return nil
	}
	ofKind := o.Objects[c.Kind]
	if c.Name != "" {
		value, ok := ofKind[c.Name]
		if !ok {
			return fmt.Errorf("version %d has no %s %s", o.Version, c.Kind, c.Name)
		}
		ofKind = map[string]json.RawMessage{c.Name: value}
	}
	o.Objects = objectsByKind{c.Kind: ofKind}
	return nil
}

// printObjects prints objects as text, one line each.
func printObjects(out io.Writer, o cluster.Objects) error {
	fmt.Fprintf(out, "version %d\n", o.Version)
	for _, kind := range slices.Sorted(maps.Keys(o.Objects)) {
		for _, name := range slices.Sorted(maps.Keys(o.Objects[kind])) {
			fmt.Fprintf(out, "%s %s %s\n", kind, name, formatValue(o.Objects[kind][name]))
		}
	}
	return nil
}

// formatValue formats an object's value for one line. A description is shortened to its file name and size.
func formatValue(value json.RawMessage) string {
	var d clusterconfig.Description
	if json.Unmarshal(value, &d) == nil && d.Text != "" {
		return fmt.Sprintf("{\"file\":%q, %d bytes}", d.File, len(d.Text))
	}
	return string(value)
}
