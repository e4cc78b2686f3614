package benchmark

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// MeasureChanges measures a member of a cluster of three, alternately without configuration changes and with one change
// in each interval. It calls report with the results, named "still" and "changing", and the number of changes that were
// committed during the measurement.
func MeasureChanges(
	ctx context.Context, opt Options, interval time.Duration, report func(result Result, changes int),
) (err error) {
	c, err := startCluster(ctx, opt, noFollowers)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.stop()) }()
	front := c.members[0]
	for range opt.Rounds {
		result, err := measure(opt, "still", opt.Procs[0], front.addrs, front)
		if err != nil {
			return err
		}
		report(result, 0)
		changing, stop := context.WithCancel(ctx)
		changeCount := make(chan int, 1)
		go func() { changeCount <- changeRepeatedly(changing, c.client, interval) }()
		result, err = measure(opt, "changing", opt.Procs[0], front.addrs, front)
		stop()
		changes := <-changeCount
		if err != nil {
			return err
		}
		report(result, changes)
	}
	return nil
}

// changedLicensees is the number of licensees that changeRepeatedly changes in turn.
const changedLicensees = 50

// changeRepeatedly changes a licensee in each interval until ctx ends, and returns the number of committed changes.
func changeRepeatedly(ctx context.Context, client *cluster.Client, interval time.Duration) (count int) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return count
		case <-ticker.C:
		}
		name := fmt.Sprint("other-", i%changedLicensees)
		change := clusterconfig.NewPutChange(clusterconfig.KindLicensee, name, clusterconfig.Licensee{Plan: "kubwa"})
		proposal := &clusterconfig.Proposal{
			ID:      fmt.Sprint(time.Now().UnixNano()),
			Changes: []clusterconfig.Change{change},
		}
		if _, err := client.Propose(ctx, proposal); err == nil {
			count++
		}
	}
}
