package main

import (
	"errors"
	"fmt"

	"mulleinmux/clusterconfig"
)

// streamPinCmd pins a follower to a version.
type streamPinCmd struct {
	Follower string `arg:"" help:"Name of the follower."`
	Version  uint64 `arg:"" help:"Version to pin it to."`
	Why      string `help:"Reason, for the history."`
}

// streamUnpinCmd removes a follower's pin, so that it installs the newest version again.
type streamUnpinCmd struct {
	Follower string `arg:"" help:"Name of the follower."`
	Why      string `help:"Reason, for the history."`
}

func (c *streamPinCmd) Run(e *environment, sc *streamCmd) error {
	if c.Version == 0 {
		return usageError{errors.New("version: from 1 is wanted")}
	}
	return sc.pin(e, c.Follower, c.Version, c.Why)
}

func (c *streamUnpinCmd) Run(e *environment, sc *streamCmd) error {
	return sc.pin(e, c.Follower, noPinnedVersion, c.Why)
}

// noPinnedVersion is the pinned version of a follower that takes the newest version.
const noPinnedVersion = 0

// pin proposes the version that a follower is pinned to.
func (sc *streamCmd) pin(e *environment, name string, version uint64, reason string) error {
	setVersion := func(follower *clusterconfig.Follower, newest uint64, exists bool) (string, error) {
		switch {
		case !exists:
			return "", unknownFollowerError(name)
		case version > newest:
			return "", usageError{fmt.Errorf("version: %d is the newest", newest)}
		}
		follower.PinnedVersion = version
		return fmt.Sprintf("%s is pinned to %d (0: to none)", name, version), nil
	}
	return updateObject(&sc.clusterFlags, e, clusterconfig.KindFollower, name, reason, setVersion)
}
