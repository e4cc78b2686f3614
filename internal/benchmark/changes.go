package benchmark

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// Changes measures one of three instances that agree, by turns without changes of what is
// agreed on and with one at each gap. tell gets the results, "still" and "changing", and how
// many changes took place during the latter.
func Changes(ctx context.Context, opt Options, gap time.Duration, tell func(r Result, changes int)) (err error) {
	c, err := startCluster(ctx, opt, false, false)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.end()) }()
	front, cl := c.members[0], c.client
	for range opt.Rounds {
		r, err := measure(opt, "still", opt.Procs[0], front.addrs, front)
		if err != nil {
			return err
		}
		tell(r, 0)
		changing, stop := context.WithCancel(ctx)
		done := make(chan int, 1)
		go func() { done <- change(changing, cl, gap) }()
		r, err = measure(opt, "changing", opt.Procs[0], front.addrs, front)
		stop()
		n := <-done
		if err != nil {
			return err
		}
		tell(r, n)
	}
	return nil
}

// change changes a licensee at each gap until ctx ends, and counts.
func change(ctx context.Context, cl *cluster.Client, gap time.Duration) (n int) {
	tick := time.NewTicker(gap)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return n
		case <-tick.C:
		}
		p := &clusterconfig.Proposal{
			ID: fmt.Sprint(time.Now().UnixNano()),
			Changes: []clusterconfig.Change{
				clusterconfig.NewPutChange("licensee", fmt.Sprint("other-", i%50), clusterconfig.Licensee{Plan: "kubwa"}),
			},
		}
		if _, err := cl.Propose(ctx, p); err == nil {
			n++
		}
	}
}
