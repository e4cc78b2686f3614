package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"mulleinmux/confstream"
	"mulleinmux/fleetconfig"
	"mulleinmux/internal/fleet"
)

// streamCmd asks members about the instances that follow.
type streamCmd struct {
	configAt
	Status  streamStatusCmd  `cmd:"" help:"Show which version each follower runs. Example: mulleingate stream status --watch"`
	Explain streamExplainCmd `cmd:"" help:"Show why a follower does not run the newest version. Example: mulleingate stream explain edge-7"`
}

type streamStatusCmd struct {
	Watch bool          `help:"Show it again and again until interrupted."`
	Every time.Duration `help:"How often." default:"1s"`
}

func (c *streamStatusCmd) Run(e *env, sc *streamCmd) error {
	for {
		if err := sc.ask(e, func(ctx context.Context, cl *fleet.Client) error {
			fs, err := cl.Followers(ctx)
			if err != nil {
				return err
			}
			if sc.JSON {
				return printJSON(e.stdout, fs)
			}
			w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
			fmt.Fprintf(w, "newest version %d, by member %d\nfollower\tmember\tstands\n", fs.Newest, fs.Member)
			for _, s := range fs.Followers {
				fmt.Fprintf(w, "%s\t%d\t%s\n", s.Name, s.Member, s.Plain())
			}
			return w.Flush()
		}); err != nil || !c.Watch {
			return err
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(max(c.Every, 100*time.Millisecond)):
		}
	}
}

type streamExplainCmd struct {
	Follower string `arg:"" help:"Its name."`
}

func (c *streamExplainCmd) Run(e *env, sc *streamCmd) error {
	return sc.ask(e, func(ctx context.Context, cl *fleet.Client) error {
		fs, err := cl.Followers(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(fs.Followers, func(s confstream.Standing) bool { return s.Name == c.Follower })
		if i < 0 {
			return fmt.Errorf("no follower is called %q: those agreed on are in mulleingate config get follower", c.Follower)
		}
		if sc.JSON {
			return printJSON(e.stdout, fs.Followers[i])
		}
		fmt.Fprintln(e.stdout, fs.Followers[i].Explain(fs.Newest))
		return nil
	})
}

// epochCmd begins a new epoch.
type epochCmd struct {
	Why string `help:"Why, for the history."`
}

func (c *epochCmd) Run(e *env, cc *configCmd) error {
	return cc.ask(e, func(ctx context.Context, cl *fleet.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		var epoch fleetconfig.Epoch
		if text, ok := o.Objects["epoch"]["epoch"]; ok {
			if err := json.Unmarshal(text, &epoch); err != nil {
				return err
			}
		}
		epoch.Number++
		epoch.ID = rand.Text()
		out, err := cl.Propose(ctx, &fleetconfig.Proposal{ID: epoch.ID, Base: &o.Version, Why: c.Why, Changes: []fleetconfig.Change{fleetconfig.Put("epoch", "epoch", epoch)}})
		if err != nil {
			return err
		}
		if cc.JSON {
			return printJSON(e.stdout, out)
		}
		fmt.Fprintf(e.stdout, "version %d begins epoch %d\n", out.Version, epoch.Number)
		return nil
	})
}
