package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/gatewayconfig"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/scenario"
	"mulleinmux/routing"
)

type runCmd struct {
	Config string `help:"The instance's file." required:"" type:"path"`
	Chaos  uint64 `help:"Seed of faults of the network between members and of the disk (the lab's)." hidden:""`
}

func (c *runCmd) Run(e *env) (err error) {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return usage{fmt.Errorf("--config: %w", err)}
	}
	f, err := gatewayconfig.Parse(c.Config, text)
	if err != nil {
		return usage{err}
	}
	cfg := &f.Config
	if f.AccessLog != "" {
		out, err := os.OpenFile(beside(c.Config, f.AccessLog), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
		if err != nil {
			return usage{fmt.Errorf("access_log: %w", err)}
		}
		defer out.Close()
		access := gateway.NewAccessLog(out)
		defer func() { err = errors.Join(err, access.Close()) }()
		cfg.Observe = access.Record
	}
	logger := log.New(e.stderr, "", log.LstdFlags|log.Lmicroseconds)
	if f.Member != nil {
		return c.member(e, f, logger)
	}
	if f.Follower != nil {
		return c.follower(e, f, logger)
	}
	description := beside(c.Config, f.Description)
	table, check, err := load(description, cfg)
	if err != nil {
		return usage{err}
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ready, ended := make(chan *gateway.Instance, 1), make(chan error, 1)
	go func() {
		ended <- gateway.Run(e.ctx, cfg, cfg.Setup(1, table, check), logger, func(in *gateway.Instance) { ready <- in })
	}()
	var in *gateway.Instance
	for number := uint64(1); ; {
		select {
		case err := <-ended:
			return err
		case in = <-ready:
		case <-reload:
			if in == nil {
				continue
			}
			table, check, err := load(description, cfg)
			if err == nil {
				err = in.Install(cfg.Setup(number+1, table, check))
			}
			if err != nil {
				logger.Printf("reload: the description in force stays, version %d:\n%v", number, err)
				continue
			}
			number++
			logger.Printf("reload: version %d is in force, %d operations", number, len(table.Operations))
		}
	}
}

// load reads and compiles the description.
func load(file string, cfg *gateway.Config) (*routing.Table, gateway.Checker, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("description: %w", err)
	}
	table, d, err := openapi.Compile(file, text, cfg.Options())
	if err != nil {
		return nil, nil, err
	}
	if !cfg.FullValidation {
		return table, nil, nil
	}
	return table, d.Checker(), nil
}

// member runs an instance as a member of a cluster.
func (c *runCmd) member(e *env, f *gatewayconfig.File, logger *log.Logger) error {
	cfg := fleetConfig(c.Config, f)
	creds, err := raftnode.LoadMemberCredentials(beside(c.Config, f.Member.CertDir), cfg.MemberID)
	if err != nil {
		return usage{fmt.Errorf("cluster.certs: %w", err)}
	}
	cfg.Credentials = creds
	if c.Chaos != 0 {
		scenario.Chaos(cfg, c.Chaos, logger)
	}
	err = cluster.RunMember(e.ctx, cfg, &f.Config, logger, func(*cluster.Member) {})
	if errors.Is(err, cluster.ErrNotInitialized) || errors.Is(err, raftnode.ErrForeignFile) || errors.Is(err, raftnode.ErrCorruptFile) || errors.Is(err, raftnode.ErrRestoredFile) {
		return usage{err}
	}
	return err
}

// follower runs an instance that is told what a cluster's members agree on.
func (c *runCmd) follower(e *env, f *gatewayconfig.File, logger *log.Logger) error {
	k := f.Follower
	creds, err := raftnode.LoadCredentialFiles(beside(c.Config, k.CertDir), raftnode.FollowerFilePrefix(k.Name))
	if err != nil {
		return usage{fmt.Errorf("follow.certs: %w (made by gateway certs --followers %s)", err, k.Name)}
	}
	cfg := &cluster.FollowerConfig{Cluster: k.Cluster, Name: k.Name, DataFile: beside(c.Config, k.DataFile), Credentials: creds, MemberStreamAddrs: k.MemberStreamAddrs, DisableKeyOwnership: k.DisableKeyOwnership}
	err = cluster.RunFollower(e.ctx, cfg, &f.Config, logger, func(*cluster.Follower) {})
	if errors.Is(err, cluster.ErrInvalidFollowerFile) {
		return usage{err}
	}
	return err
}
