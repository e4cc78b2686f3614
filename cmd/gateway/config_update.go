package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// objectUpdate changes an object that was read at a version; exists is false if that version lacks the object. It
// returns a summary of the change as text.
type objectUpdate[T any] func(object *T, version uint64, exists bool) (summary string, err error)

// updateObject reads an agreed object, changes it with update, and proposes the result on the version that was read. It
// prints the outcome.
func updateObject[T any](flags *clusterFlags, e *environment, kind, name, reason string, update objectUpdate[T]) error {
	var summary string
	request := func(ctx context.Context, client *cluster.Client) (outcome clusterconfig.Outcome, err error) {
		agreed, err := client.Objects(ctx, false)
		if err != nil {
			return outcome, err
		}
		var object T
		text, exists := agreed.Objects[kind][name]
		if exists {
			if err := json.Unmarshal(text, &object); err != nil {
				return outcome, err
			}
		}
		if summary, err = update(&object, agreed.Version, exists); err != nil {
			return outcome, err
		}
		return client.Propose(ctx, &clusterconfig.Proposal{
			ID:          rand.Text(),
			BaseVersion: &agreed.Version,
			Reason:      reason,
			Changes:     []clusterconfig.Change{clusterconfig.NewPutChange(kind, name, object)},
		})
	}
	return showResult(flags, e, request, func(out io.Writer, outcome clusterconfig.Outcome) error {
		fmt.Fprintf(out, "version %d: %s\n", outcome.Version, summary)
		return nil
	})
}
