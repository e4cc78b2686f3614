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

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/cluster"
)

// streamCmd asks members about the instances that follow.
type streamCmd struct {
	configAt
	Status  streamStatusCmd  `cmd:"" help:"Show which version each follower runs. Example: gateway stream status --watch"`
	Pin     streamPinCmd     `cmd:"" help:"Have a follower stay at a version, or go up to it and stay there. Example: gateway stream pin edge-7 41"`
	Unpin   streamUnpinCmd   `cmd:"" help:"Have it take the newest again."`
	Explain streamExplainCmd `cmd:"" help:"Show why a follower does not run the newest version. Example: gateway stream explain edge-7"`
}

type streamStatusCmd struct {
	Watch bool          `help:"Show it again and again until interrupted."`
	Every time.Duration `help:"How often." default:"1s"`
}

func (c *streamStatusCmd) Run(e *env, sc *streamCmd) error {
	for {
		if err := sc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
			fs, err := cl.Followers(ctx)
			if err != nil {
				return err
			}
			if sc.JSON {
				return printJSON(e.stdout, fs)
			}
			w := tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)
			fmt.Fprintf(w, "newest version %d, by member %d\nfollower\tmember\tstands\n", fs.NewestVersion, fs.MemberID)
			for _, s := range fs.Followers {
				fmt.Fprintf(w, "%s\t%d\t%s\n", s.Name, s.LastMember, s.Summary())
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
	return sc.ask(e, func(ctx context.Context, cl *cluster.Client) error {
		fs, err := cl.Followers(ctx)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(fs.Followers, func(s configstream.StreamStatus) bool { return s.Name == c.Follower })
		if i < 0 {
			return unknownFollower(c.Follower)
		}
		if sc.JSON {
			return printJSON(e.stdout, fs.Followers[i])
		}
		fmt.Fprintln(e.stdout, fs.Followers[i].Explain(fs.NewestVersion))
		return nil
	})
}

// epochCmd begins a new epoch.
type epochCmd struct {
	Why string `help:"Why, for the history."`
}

func (c *epochCmd) Run(e *env, cc *configCmd) error {
	return amend(&cc.configAt, e, "epoch", "epoch", c.Why, func(epoch *clusterconfig.Epoch, _ uint64, _ bool) (string, error) {
		epoch.Number++
		epoch.ID = rand.Text()
		return fmt.Sprintf("begins epoch %d", epoch.Number), nil
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
	return amend(&sc.configAt, e, "follower", name, why, func(f *clusterconfig.Follower, newest uint64, there bool) (string, error) {
		switch {
		case !there:
			return "", unknownFollower(name)
		case version > newest:
			return "", usage{fmt.Errorf("version: %d is the newest", newest)}
		}
		f.PinnedVersion = version
		return fmt.Sprintf("%s is pinned to %d (0: to none)", name, version), nil
	})
}

func unknownFollower(name string) error {
	return fmt.Errorf("no follower is called %q: those agreed on are in gateway config get follower", name)
}

// amend has the instances agree on one object as change leaves it, on the version that it was read at. change is told the
// version and whether the object is there, and words what the new version does.
func amend[T any](at *configAt, e *env, kind, name, why string, change func(v *T, version uint64, there bool) (string, error)) error {
	return at.ask(e, func(ctx context.Context, cl *cluster.Client) error {
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
