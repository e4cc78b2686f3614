package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"mulleinmux/internal/raftnode"
)

// certsCmd issues certificates for members, operators and followers.
type certsCmd struct {
	Dir       string   `help:"Folder to write to; created if it is missing." required:"" type:"path"`
	Cluster   string   `help:"Name of a new cluster. Without it, the authority in the folder issues the certificates."`
	Members   []uint64 `help:"Numbers of the members."`
	Operators []string `help:"Names of operators, who may then use gateway config."`
	Followers []string `help:"Names of followers: instances that are not members and receive the agreed configuration."`
}

func (c *certsCmd) Run(e *environment) error {
	if len(c.Members)+len(c.Operators)+len(c.Followers) == 0 {
		return usageError{errors.New("--members, --operators, --followers: none is named")}
	}
	for _, m := range c.Members {
		if m == 0 {
			return usageError{errors.New("--members: numbers from 1 are wanted")}
		}
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return usageError{fmt.Errorf("--dir: %w", err)}
	}
	authority, err := c.openAuthority()
	if err == nil {
		err = c.writeCertificates(authority)
	}
	if errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) {
		return usageError{err} // existing files are never overwritten
	}
	if err != nil {
		return err
	}
	const format = "certificates of cluster %s for members %v, operators %v and followers %v are in %s; " +
		"keep authority-key.pem away from the instances\n"
	fmt.Fprintf(e.stdout, format, authority.Cluster, c.Members, c.Operators, c.Followers, c.Dir)
	return nil
}

// openAuthority creates the authority of a new cluster, or loads the one in the folder.
func (c *certsCmd) openAuthority() (*raftnode.Authority, error) {
	if c.Cluster == "" {
		return raftnode.LoadAuthority(c.Dir)
	}
	authority, err := raftnode.NewAuthority(c.Cluster)
	if err != nil {
		return nil, err
	}
	return authority, authority.Write(c.Dir)
}

// writeCertificates issues the certificates that the command line names. It stops at the first error.
func (c *certsCmd) writeCertificates(authority *raftnode.Authority) error {
	if err := authority.WriteMembers(c.Dir, c.Members); err != nil {
		return err
	}
	for _, name := range c.Operators {
		if err := authority.WriteOperator(c.Dir, name); err != nil {
			return err
		}
	}
	for _, name := range c.Followers {
		if err := authority.WriteFollower(c.Dir, name); err != nil {
			return err
		}
	}
	return nil
}
