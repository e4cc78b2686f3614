package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
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
	Pin     streamPinCmd     `cmd:"" help:"Have a follower stay at a version, or go up to it and stay there. Example: mulleingate stream pin edge-7 41"`
	Unpin   streamUnpinCmd   `cmd:"" help:"Have it take the newest again."`
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

type streamPinCmd struct {
	Follower string `arg:"" help:"Its name."`
	Version  uint64 `arg:"" help:"The version."`
	Why      string `help:"Why, for the history."`
}

func (c *streamPinCmd) Run(e *env, sc *streamCmd) error {
	if c.Version == 0 {
		return usage{errors.New("version: from 1 is wanted")}
	}
	return sc.pin(e, c.Follower, c.Version, c.Why)
}

type streamUnpinCmd struct {
	Follower string `arg:"" help:"Its name."`
	Why      string `help:"Why, for the history."`
}

func (c *streamUnpinCmd) Run(e *env, sc *streamCmd) error { return sc.pin(e, c.Follower, 0, c.Why) }

// pin agrees on the version that a follower stays at.
func (sc *streamCmd) pin(e *env, name string, version uint64, why string) error {
	return sc.ask(e, func(ctx context.Context, cl *fleet.Client) error {
		o, err := cl.Objects(ctx, false)
		if err != nil {
			return err
		}
		var f fleetconfig.Follower
		text, ok := o.Objects["follower"][name]
		if !ok {
			return fmt.Errorf("no follower is called %q: those agreed on are in mulleingate config get follower", name)
		}
		if err := json.Unmarshal(text, &f); err != nil {
			return err
		}
		if version > o.Version {
			return usage{fmt.Errorf("version: %d is the newest", o.Version)}
		}
		f.Pin = version
		out, err := cl.Propose(ctx, &fleetconfig.Proposal{ID: rand.Text(), Base: &o.Version, Why: why, Changes: []fleetconfig.Change{fleetconfig.Put("follower", name, f)}})
		if err != nil {
			return err
		}
		if sc.JSON {
			return printJSON(e.stdout, out)
		}
		fmt.Fprintf(e.stdout, "version %d: %s is pinned to %d (0: to none)\n", out.Version, name, version)
		return nil
	})
}
