package edgeproxy

import (
	"context"
	"net/netip"
	"time"

	"mulleinmux/internal/discovery"
)

// discoveryWatch is the following of one discovery agent.
type discoveryWatch struct {
	addr    netip.AddrPort
	isLocal bool // an agent on this machine, to which lists are pushed
	cancel  context.CancelFunc
	done    chan struct{}

	firstCall <-chan struct{} // closed once a list has come, the first call for it has failed, or the watch has ended
}

// defaultFirstListTimeout is how long a node waits for its agent's list before it is ready: an agent answers at once.
const defaultFirstListTimeout = 300 * time.Millisecond

// awaitFirst waits until a list has come from an agent or is known not to, for a time at most. A register that a fleet asks may be slow: it
// is not waited for.
func (w *discoveryWatch) awaitFirst(ctx context.Context, most time.Duration) {
	if !w.isLocal {
		return
	}
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-w.firstCall:
	case <-late.C:
	case <-ctx.Done():
	}
}

// startWatch follows an agent from a version of the list that came from it; from 0 it
// tells the whole list. An agent on this machine always does, at no cost: it may have begun its versions anew since.
func startWatch(ctx context.Context, n *Node, addr netip.AddrPort, from uint64) *discoveryWatch {
	ctx, stop := context.WithCancel(ctx)
	w := &discoveryWatch{addr: addr, isLocal: !n.cfg.Settings.PollsEndpoints, cancel: stop, done: make(chan struct{})}
	if w.isLocal {
		from = 0
	}
	first, came := context.WithCancel(ctx)
	w.firstCall = first.Done()
	reg := &discovery.Follower{Addr: addr, Silent: discovery.Silent, Last: from, Near: w.isLocal, Logf: n.log.Printf,
		Pace: discovery.NewPace(n.cfg.Settings.InstanceCount, n.cfg.Seed),
		Apply: func(l discovery.List) {
			n.endpointsReceived(l)
			came()
		},
		Failed: came}
	go func() {
		defer close(w.done)
		defer came()
		reg.Run(ctx)
	}()
	return w
}

// stop ends the watch; nothing is heard from its agent afterwards.
func (w *discoveryWatch) stop() {
	w.cancel()
	<-w.done
}

// reload reads the configuration again and moves the watch if it names another
// discovery agent. What else it says holds from the next start. A configuration that
// can't be is logged, and the one in force stays.
func (w *discoveryWatch) reload(ctx context.Context, n *Node) *discoveryWatch {
	cfg, err := n.cfg.reread()
	if err != nil {
		n.log.Printf("reload: the configuration in force stays: %v", err)
		return w
	}
	if cfg.Discovery == w.addr {
		n.log.Printf("reload: discovery stays at %s", w.addr)
		return w
	}
	n.log.Printf("reload: discovery moves from %s to %s", w.addr, cfg.Discovery)
	w.stop()
	// Another agent may count its versions in another way.
	return startWatch(ctx, n, cfg.Discovery, 0)
}
