package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// updateObject has the instances agree on one object as change leaves it, on the version that it was read at. change is told the
// version and whether the object is there, and words what the new version does.
func updateObject[T any](at *clusterFlags, e *environment, kind, name, why string, change func(v *T, version uint64, there bool) (string, error)) error {
	return at.withClient(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		var v T
		text, there := o.Objects[kind][name]
		if there {
			if err := json.Unmarshal(text, &v); err != nil {
				return err
			}
		}
		word, err := change(&v, o.Version, there)
		if err != nil {
			return err
		}
		out, err := cl.Propose(ctx, &clusterconfig.Proposal{ID: rand.Text(), BaseVersion: &o.Version, Reason: why, Changes: []clusterconfig.Change{clusterconfig.NewPutChange(kind, name, v)}})
		if err != nil {
			return err
		}
		if at.JSON {
			return printJSON(e.stdout, out)
		}
		fmt.Fprintf(e.stdout, "version %d: %s\n", out.Version, word)
		return nil
	})
}
