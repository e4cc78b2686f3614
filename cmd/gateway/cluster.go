package main

import (
	"errors"
	"fmt"
	"io/fs"
	"log"
	"os"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gatewayconfig"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/scenario"
)

type initCmd struct {
	Config     string `help:"The instance's file." required:"" type:"path"`
	NewCluster bool   `help:"The members that the file has begin a new cluster." xor:"how" required:""`
	Join       bool   `help:"This member joins a cluster that runs: see config members add." xor:"how" required:""`
	Adopt      bool   `help:"The file was moved here and is the newest of its member: never an old copy." xor:"how" required:""`
}

func (c *initCmd) Run(e *env) error {
	f, err := clusterFile(c.Config)
	if err != nil {
		return usage{err}
	}
	cfg := fleetConfig(c.Config, f)
	if c.Adopt {
		if err := raftnode.AdoptFile(cfg.DataFile, cfg.Cluster, cfg.MemberID); err != nil {
			return usage{err}
		}
		fmt.Fprintf(e.stdout, "%s: is taken for the newest of member %d\n", cfg.DataFile, cfg.MemberID)
		return nil
	}
	if err := cluster.InitMember(cfg, c.Join); errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) {
		return usage{err}
	} else if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s: member %d of cluster %s\n", cfg.DataFile, cfg.MemberID, cfg.Cluster)
	return nil
}

func clusterFile(config string) (*gatewayconfig.File, error) {
	text, err := os.ReadFile(config)
	if err != nil {
		return nil, fmt.Errorf("--config: %w", err)
	}
	f, err := gatewayconfig.Parse(config, text)
	if err == nil && f.Member == nil {
		err = fmt.Errorf("%s: cluster: is missing: the instance is no member of one", config)
	}
	return f, err
}

func fleetConfig(config string, f *gatewayconfig.File) *cluster.MemberConfig {
	c := f.Member
	return &cluster.MemberConfig{Cluster: c.Cluster, MemberID: c.MemberID, DataFile: beside(config, c.DataFile), Members: c.Members, TickInterval: c.TickInterval, StreamListenAddr: c.StreamListenAddr, DisableKeyOwnership: c.DisableKeyOwnership}
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
