package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

type applyCmd struct {
	File  string `arg:"" help:"The file: all that is to be agreed on. What it lacks is removed; members stay." type:"path"`
	Why   string `help:"Why, for the history."`
	ID    string `help:"Id of the request: one that is asked for again takes place once."`
	Check bool   `help:"Only tell whether it would be taken."`
	Wait  string `help:"What to wait for: 'agreed', 'applied-everywhere' (at members and followers) or 'all-but-N', which leaves out up to N followers." default:"agreed"`
}

// maxMissingFollowers is how many followers need not have the version; -1: nothing is waited for.
func (c *applyCmd) maxMissingFollowers() (n int, err error) {
	if c.Wait == "agreed" {
		return -1, nil
	}
	if c.Wait == "applied-everywhere" {
		return 0, nil
	}
	text, ok := strings.CutPrefix(c.Wait, "all-but-")
	if n, err = strconv.Atoi(text); !ok || err != nil || n < 0 {
		return 0, fmt.Errorf("--wait: %q is unknown: agreed, applied-everywhere or all-but-N is wanted", c.Wait)
	}
	return n, nil
}

func (c *applyCmd) Run(e *environment, cc *configCmd) error {
	but, err := c.maxMissingFollowers()
	if err != nil {
		return usageError{err}
	}
	want, err := readDesiredObjects(c.File)
	if err != nil {
		return usageError{err}
	}
	return cc.withClient(e, func(ctx context.Context, cl *cluster.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		cs, _ := diffObjects(o, want)
		out := clusterconfig.Outcome{Version: o.Version, IsApplied: true}
		if len(cs) > 0 {
			p := &clusterconfig.Proposal{ID: c.ID, BaseVersion: &o.Version, Reason: c.Why, Changes: cs}
			if p.ID == "" {
				p.ID = rand.Text()
			}
			if c.Check {
				out, err = cl.Check(ctx, p)
			} else {
				out, err = cl.Propose(ctx, p)
			}
			if err != nil {
				return err
			}
		}
		if but >= 0 && !c.Check {
			if err := cl.AwaitInstalled(ctx, out.Version, but); err != nil {
				return err
			}
		}
		if cc.JSON {
			return printJSON(e.stdout, out)
		}
		switch {
		case len(cs) == 0:
			fmt.Fprintf(e.stdout, "version %d says so already\n", out.Version)
		case c.Check:
			fmt.Fprintf(e.stdout, "%d changes would be taken on version %d\n", len(cs), out.Version)
		default:
			fmt.Fprintf(e.stdout, "version %d: %d changes\n", out.Version, len(cs))
		}
		return nil
	})
}
