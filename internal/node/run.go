package node

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/netip"
	"os"
	"sync"

	"mulleinmux/internal/peers"
	"mulleinmux/internal/register"
)

// Run runs an edge node until ctx ends, then drains it. At each signal on reload it
// reads its configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *log.Logger) error {
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return runOn(ctx, cfg, reload, logger, ln)
}

// runOn is Run on a listener that is open.
func runOn(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *log.Logger, ln net.Listener) error {
	defer ln.Close()
	life, stop := context.WithCancel(context.Background())
	defer stop()
	n, err := newNode(life, cfg, logger)
	if err != nil {
		return err
	}
	var side sync.WaitGroup
	defer side.Wait()
	if cfg.PeerListen.IsValid() {
		if n.peers, err = peers.Listen(cfg.PeerListen, cfg.Settings.Me, cfg.Peers, cfg.PeersAll); err != nil {
			return err
		}
		defer n.peers.Close()
	}
	if len(cfg.left) > 0 {
		logger.Printf("known: %d entries left out, the first: %v", len(cfg.left), cfg.left[0])
	}
	n.boot()
	if n.peers != nil {
		side.Go(func() { n.peers.Receive(n.whisper) })
	}
	watch := startWatch(life, n, cfg.Discovery, cfg.Known.Generation)
	defer func() { watch.end() }()
	side.Go(func() { n.up.reap(life) })
	defer stop() // before the wait for what life owns

	f := newFront(n)
	failed := make(chan error, 1)
	side.Go(func() { failed <- f.serve(ln) })
	f.ready.Store(true)
	logger.Printf("%s: ready on %s, %d app servers known", cfg.Name, cfg.Listen, len(cfg.Known.Servers))
	for draining := false; !draining; {
		select {
		case err := <-failed:
			return err
		case <-reload:
			watch = watch.reload(life, n)
		case <-ctx.Done():
			draining = true
		}
	}
	logger.Printf("%s: draining", cfg.Name)
	f.drain()
	stop()
	n.close()
	logger.Printf("%s: drained", cfg.Name)
	return nil
}

// watch is the following of one discovery agent.
type watch struct {
	addr netip.AddrPort
	stop context.CancelFunc
	done chan struct{}
}

// startWatch follows an agent from a version of the list that came from it; from 0 it
// tells the whole list.
func startWatch(ctx context.Context, n *Node, addr netip.AddrPort, from uint64) *watch {
	ctx, stop := context.WithCancel(ctx)
	w := &watch{addr: addr, stop: stop, done: make(chan struct{})}
	reg := &register.Follower{Addr: addr, Silent: register.Silent, Last: from, Apply: n.heard, Logf: n.log.Printf}
	go func() {
		defer close(w.done)
		reg.Run(ctx)
	}()
	return w
}

// end ends the watch; nothing is heard from its agent afterwards.
func (w *watch) end() {
	w.stop()
	<-w.done
}

// reload reads the configuration again and moves the watch if it names another
// discovery agent. What else it says holds from the next start. A configuration that
// can't be is logged, and the one in force stays.
func (w *watch) reload(ctx context.Context, n *Node) *watch {
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
	w.end()
	// Another agent may count its versions in another way.
	return startWatch(ctx, n, cfg.Discovery, 0)
}
