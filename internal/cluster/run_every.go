package cluster

import (
	"context"
	"time"
)

// runEvery calls f at each interval until ctx ends. It drops ticks if f takes longer than an interval.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}
