package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gatewayconfig"
	"mulleinmux/internal/raftnode"
)

// initCmd creates the data file of a member, or adopts one that was moved.
type initCmd struct {
	Config     string `help:"Configuration file of the instance." required:"" type:"path"`
	NewCluster bool   `help:"Begin a new cluster with the members that the file lists." xor:"how" required:""`
	Join       bool   `help:"Join a running cluster: see gateway config members add." xor:"how" required:""`
	Adopt      bool   `help:"Accept a data file that was moved here. It must be the newest of its member, never an old copy." xor:"how" required:""`
}

func (c *initCmd) Run(e *environment) error {
	f, err := readMemberFile(c.Config)
	if err != nil {
		return usageError{err}
	}
	cfg := memberConfig(c.Config, f)
	if c.Adopt {
		if err := raftnode.AdoptFile(cfg.DataFile, cfg.Cluster, cfg.MemberID); err != nil {
			return usageError{err}
		}
		fmt.Fprintf(e.stdout, "%s: is taken for the newest of member %d\n", cfg.DataFile, cfg.MemberID)
		return nil
	}
	if err := cluster.InitMember(cfg, c.Join); errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) {
		return usageError{err}
	} else if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s: member %d of cluster %s\n", cfg.DataFile, cfg.MemberID, cfg.Cluster)
	return nil
}

// readMemberFile reads the configuration of an instance that is a member of a cluster.
func readMemberFile(config string) (*gatewayconfig.File, error) {
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

// memberConfig returns the configuration of a cluster member from its file, without credentials.
func memberConfig(config string, f *gatewayconfig.File) *cluster.MemberConfig {
	c := f.Member
	return &cluster.MemberConfig{
		Cluster:             c.Cluster,
		MemberID:            c.MemberID,
		DataFile:            resolvePath(config, c.DataFile),
		Members:             c.Members,
		TickInterval:        c.TickInterval,
		StreamListenAddr:    c.StreamListenAddr,
		DisableKeyOwnership: c.DisableKeyOwnership,
	}
}
