package main

import (
	"crypto/rand"
	"fmt"

	"mulleinmux/clusterconfig"
)

// epochCmd begins a new epoch of versions.
type epochCmd struct {
	Why string `help:"Reason, for the history."`
}

// epochName is the name of the only object of kind [clusterconfig.KindEpoch].
const epochName = "epoch"

func (c *epochCmd) Run(e *environment, cc *configCmd) error {
	begin := func(epoch *clusterconfig.Epoch, _ uint64, _ bool) (string, error) {
		epoch.Number++
		epoch.ID = rand.Text()
		return fmt.Sprintf("begins epoch %d", epoch.Number), nil
	}
	return updateObject(&cc.clusterFlags, e, clusterconfig.KindEpoch, epochName, c.Why, begin)
}
