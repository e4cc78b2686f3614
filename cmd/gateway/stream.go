package main

import (
	"fmt"
)

// streamCmd asks members about the instances that follow.
type streamCmd struct {
	clusterFlags
	Status  streamStatusCmd  `cmd:"" help:"${stream_status}"`
	Pin     streamPinCmd     `cmd:"" help:"${stream_pin}"`
	Unpin   streamUnpinCmd   `cmd:"" help:"Have it take the newest again."`
	Explain streamExplainCmd `cmd:"" help:"${stream_explain}"`
}

// unknownFollowerError returns the error for a follower that is not agreed on.
func unknownFollowerError(name string) error {
	return fmt.Errorf("no follower is called %q: those agreed on are in gateway config get follower", name)
}
