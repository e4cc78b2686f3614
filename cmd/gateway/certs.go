package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"mulleinmux/internal/raftnode"
)

type certsCmd struct {
	Dir       string   `help:"Folder to write to; it is made where it is not there." required:"" type:"path"`
	Cluster   string   `help:"Name of a new cluster. Without it the folder's authority issues for further members."`
	Members   []uint64 `help:"Numbers of the members."`
	Operators []string `help:"Names of operators, who may then use gateway config."`
	Followers []string `help:"Names of instances that are no members and follow."`
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
	var a *raftnode.Authority
	var err error
	if c.Cluster != "" {
		if a, err = raftnode.NewAuthority(c.Cluster); err == nil {
			err = a.Write(c.Dir)
		}
	} else {
		a, err = raftnode.LoadAuthority(c.Dir)
	}
	if err == nil {
		err = a.WriteMembers(c.Dir, c.Members)
	}
	for _, name := range c.Operators {
		if err == nil {
			err = a.WriteOperator(c.Dir, name)
		}
	}
	for _, name := range c.Followers {
		if err == nil {
			err = a.WriteFollower(c.Dir, name)
		}
	}
	if errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) {
		return usageError{err} // nothing is written over
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "certificates of cluster %s for members %v, operators %v and followers %v are in %s; keep authority-key.pem away from the instances\n", a.Cluster, c.Members, c.Operators, c.Followers, c.Dir)
	return nil
}
