package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"strconv"
	"strings"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// applyCmd proposes the configuration in a file to the cluster.
type applyCmd struct {
	File  string `arg:"" help:"File with the whole configuration. Objects that it lacks are removed; members stay." type:"path"`
	Why   string `help:"Reason, for the history."`
	ID    string `help:"ID of the proposal. A proposal that is repeated with the same ID is applied once."`
	Check bool   `help:"Only report whether the proposal would be accepted."`
	Wait  string `help:"What to wait for: 'agreed', 'applied-everywhere' (at members and followers) or 'all-but-N', which allows up to N followers to be missing." default:"agreed"`
}

// noWait is the result of maxMissingFollowers if the command does not wait for instances to install the version.
const noWait = -1

// maxMissingFollowers returns how many followers --wait allows to lack the version when the command ends.
func (c *applyCmd) maxMissingFollowers() (count int, err error) {
	switch c.Wait {
	case "agreed":
		return noWait, nil
	case "applied-everywhere":
		return 0, nil
	}
	text, ok := strings.CutPrefix(c.Wait, "all-but-")
	if count, err = strconv.Atoi(text); !ok || err != nil || count < 0 {
		return 0, fmt.Errorf("--wait: %q is unknown: agreed, applied-everywhere or all-but-N is wanted", c.Wait)
	}
	return count, nil
}

func (c *applyCmd) Run(e *environment, cc *configCmd) error {
	maxMissing, err := c.maxMissingFollowers()
	if err != nil {
		return usageError{err}
	}
	return cc.withDiff(e, c.File, func(ctx context.Context, client *cluster.Client, diff *objectsDiff) error {
		outcome, err := c.propose(ctx, client, diff.version, diff.changes)
		if err != nil {
			return err
		}
		if maxMissing != noWait && !c.Check {
			if err := client.AwaitInstalled(ctx, outcome.Version, maxMissing); err != nil {
				return err
			}
		}
		if cc.JSON {
			return printJSON(e.stdout, outcome)
		}
		c.print(e.stdout, outcome.Version, len(diff.changes))
		return nil
	})
}

// propose proposes changes on top of the version base, or only has the cluster check them with --check. Without changes
// it sends no proposal.
func (c *applyCmd) propose(
	ctx context.Context, client *cluster.Client, base uint64, changes []clusterconfig.Change,
) (clusterconfig.Outcome, error) {
	if len(changes) == 0 {
		return clusterconfig.Outcome{Version: base, IsApplied: true}, nil
	}
	p := &clusterconfig.Proposal{ID: c.ID, BaseVersion: &base, Reason: c.Why, Changes: changes}
	if p.ID == "" {
		p.ID = rand.Text()
	}
	if c.Check {
		return client.Check(ctx, p)
	}
	return client.Propose(ctx, p)
}

// print prints the outcome as text.
func (c *applyCmd) print(out io.Writer, version uint64, changeCount int) {
	switch {
	case changeCount == 0:
		fmt.Fprintf(out, "version %d says so already\n", version)
	case c.Check:
		fmt.Fprintf(out, "%d changes would be taken on version %d\n", changeCount, version)
	default:
		fmt.Fprintf(out, "version %d: %d changes\n", version, changeCount)
	}
}
