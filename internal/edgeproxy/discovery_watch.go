package edgeproxy

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/reload"
)

// discoveryWatch follows the endpoint list of one discovery agent.
type discoveryWatch struct {
	addr    netip.AddrPort
	isLocal bool // the agent runs on this machine and has lists pushed to it
	cancel  context.CancelFunc
	done    chan struct{}

	// firstListDone is closed once a list was received, the first request for it has failed, or the watch has ended.
	firstListDone <-chan struct{}
}

// defaultFirstListTimeout is how long a node waits for the list of a local agent, which answers at once, before it
// becomes ready.
const defaultFirstListTimeout = 300 * time.Millisecond

// awaitFirstList waits until the first list was received from a local agent or the request for it has failed, for the
// timeout at most. It returns at once for a discovery service that the whole fleet polls, which may be slow.
func (w *discoveryWatch) awaitFirstList(ctx context.Context, timeout time.Duration) {
	if !w.isLocal {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.firstListDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// firstGeneration returns the generation from which a watch starts; 0 requests the complete list. lastGeneration is the
// generation of the list that the node has. A local agent sends the complete list at no cost, and may have restarted
// its generations since.
func firstGeneration(isLocalAgent bool, lastGeneration uint64) uint64 {
	if isLocalAgent {
		return 0
	}
	return lastGeneration
}

// startWatch starts to watch the endpoint list at addr; lastGeneration is the generation of the list that the node has.
func startWatch(ctx context.Context, n *Node, addr netip.AddrPort, lastGeneration uint64) *discoveryWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &discoveryWatch{addr: addr, isLocal: !n.cfg.Settings.PollsEndpoints, cancel: cancel, done: make(chan struct{})}
	firstListCtx, endFirstListWait := context.WithCancel(ctx)
	w.firstListDone = firstListCtx.Done()
	watcher := &discovery.Watcher{
		Addr:           addr,
		SilenceTimeout: discovery.SilenceTimeout,
		LastGeneration: firstGeneration(w.isLocal, lastGeneration),
		IsLocalAgent:   w.isLocal,
		Logger:         n.logger,
		Backoff:        discovery.NewBackoff(n.cfg.Settings.InstanceCount, n.cfg.Seed),
		OnList: func(l discovery.EndpointList) {
			n.endpointsReceived(l)
			endFirstListWait()
		},
		OnFailure: endFirstListWait,
	}
	go func() { // ends with ctx; stop waits for it
		defer close(w.done)
		defer endFirstListWait()
		watcher.Run(ctx)
	}()
	return w
}

// stop ends the watch. No list is received from its agent afterwards.
func (w *discoveryWatch) stop() {
	w.cancel()
	<-w.done
}

// reload returns the watch of the discovery address in a configuration that was read again. It returns the present watch
// if that address is unchanged or the configuration is invalid, which is logged. Other changes take effect at the next
// start.
func (w *discoveryWatch) reload(ctx context.Context, n *Node, reread reload.Result[*Config]) *discoveryWatch {
	if reread.Err != nil {
		n.logger.Warn("reload failed", logging.Error(reread.Err))
		return w
	}
	addr := reread.Value.Discovery
	n.logger.Info("discovery reloaded", slog.Any(logging.KeyAddress, addr), slog.Any("previous_address", w.addr))
	if addr == w.addr {
		return w
	}
	w.stop()
	// Another agent may number its generations differently.
	return startWatch(ctx, n, addr, 0)
}
