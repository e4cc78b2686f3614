package main

import (
	"fmt"
)

// streamCmd shows the status of the followers of the configuration stream, and pins them to versions.
type streamCmd struct {
	clusterFlags
	Status  streamStatusCmd  `cmd:"" help:"Show which version each follower runs. Example: gateway stream status --watch"`
	Pin     streamPinCmd     `cmd:"" help:"Pin a follower to a version, beyond which it does not update. Example: gateway stream pin edge-7 41"`
	Unpin   streamUnpinCmd   `cmd:"" help:"Remove the pin of a follower, so that it installs the newest version again."`
	Explain streamExplainCmd `cmd:"" help:"Show why a follower does not run the newest version. Example: gateway stream explain edge-7"`
}

// unknownFollowerError returns the error for a follower that the agreed configuration lacks.
func unknownFollowerError(name string) error {
	return fmt.Errorf("no follower is called %q: those agreed on are in gateway config get follower", name)
}
