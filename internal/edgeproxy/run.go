package edgeproxy

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gossip"
)

// Run runs an edge node until ctx ends, then drains it, or hands over to the process that
// waits to take its place. At each signal on reload it reads its configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *log.Logger) error {
	var ln net.Listener
	var err error
	if cfg.AcceptFD != 0 {
		ln, err = inherited(cfg.AcceptFD)
	} else {
		ln, err = net.Listen("tcp", cfg.Listen.String())
	}
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
	var before *legacy
	if cfg.HandoverSocket != "" {
		if before, err = findPredecessor(cfg.HandoverSocket); err != nil {
			logger.Printf("%v: beginning from nothing", err)
		}
	}
	if before == nil {
		if err := n.listenToPeers(&side, nil); err != nil {
			return err
		}
	}
	defer func() {
		if sock := n.leavePeers(); sock != nil {
			sock.Close()
		}
	}()
	if len(cfg.left) > 0 {
		logger.Printf("known: %d entries left out, the first: %v", len(cfg.left), cfg.left[0])
	}
	n.boot()
	watch := startWatch(life, n, cfg.Discovery, cfg.SavedEndpoints.Generation)
	defer func() { watch.end() }()
	side.Go(func() { n.up.reap(life) })
	defer stop() // before the wait for what life owns

	f := newFront(n)
	failed := make(chan error, 3)
	var waits atomic.Bool // for the predecessor's word
	if cfg.AdminListen.IsValid() {
		mln, err := net.Listen("tcp", cfg.AdminListen.String())
		if err != nil {
			return fmt.Errorf("management: %w", err)
		}
		m := newManager(f, func() bool { return waits.Load() || f.takes() })
		side.Go(func() {
			if err := m.serve(mln); err != nil {
				failed <- err
			}
		})
		defer m.close()
	}
	// What the agent has counts as told from the first moment, and the saved list may be old. With the agent
	// down the saved list serves.
	watch.awaitFirst(ctx, cfg.firstList)
	if before != nil {
		logger.Printf("%s: waiting for the predecessor's end", cfg.Name)
		waits.Store(true)
		in, err := n.succeed(ctx, before, reload, &watch)
		if ctx.Err() != nil {
			before.Close()
			return nil // told to end before it served
		}
		if err != nil {
			logger.Printf("%v: beginning from nothing", err)
			before.Close()
			before = nil
		}
		if err := n.listenToPeers(&side, in.peers); err != nil {
			return err
		}
	}
	var h *heir
	if cfg.HandoverSocket != "" {
		// Without it the node serves all the same; only the next upgrade would be a restart.
		if h, err = awaitHeir(cfg.HandoverSocket, logger); err != nil {
			logger.Printf("%v", err)
		} else {
			defer h.close()
			side.Go(h.meet)
		}
	}
	if before != nil {
		defer before.Close()
		before.serves()
		f.inherits.Store(true)
		side.Go(func() { f.serveLegacy(before) })
	}
	side.Go(func() { failed <- f.serve(ln) })
	f.ready.Store(true)
	waits.Store(false)
	logger.Printf("%s: ready on %s, %d app servers known", cfg.Name, cfg.Listen, len(cfg.SavedEndpoints.Servers))
	for draining := false; !draining; {
		select {
		case err := <-failed:
			f.srv.Close()
			return err
		case <-reload:
			watch = watch.reload(life, n)
		case <-ctx.Done():
			draining = true
		}
	}
	f.begin()
	still := cfg.drainFor
	if h.present() {
		logger.Printf("%s: handing over", cfg.Name)
		again, err := f.handOver(h, ln)
		if err != nil {
			logger.Printf("%v: not handed over", err)
		} else {
			still = 0
		}
		if again != nil {
			side.Go(func() { failed <- f.serve(again) })
		}
	}
	logger.Printf("%s: draining", cfg.Name)
	f.drain(still)
	stop()
	n.close()
	logger.Printf("%s: drained, figures at the end: %s", cfg.Name, strings.Join(strings.Fields(n.figures()), " "))
	return nil
}

// listenToPeers opens the peers' socket, or takes the one that was handed over.
func (n *Node) listenToPeers(side *sync.WaitGroup, conn *net.UDPConn) error {
	cfg := n.cfg
	if !cfg.GossipListen.IsValid() {
		if conn != nil {
			conn.Close()
		}
		return nil
	}
	var sock *gossip.Socket
	if conn != nil {
		sock = gossip.NewSocket(conn, cfg.Settings.InstanceIndex, cfg.GossipPeers, cfg.GossipBroadcast)
	} else {
		var err error
		if sock, err = gossip.Listen(cfg.GossipListen, cfg.Settings.InstanceIndex, cfg.GossipPeers, cfg.GossipBroadcast); err != nil {
			return err
		}
	}
	n.join(sock)
	side.Go(func() { sock.Receive(n.whisper) })
	return nil
}

// succeed waits for the predecessor's word to go and takes over what its module knew. A
// reload in the meantime counts.
func (n *Node) succeed(ctx context.Context, before *legacy, reload <-chan os.Signal, w **watch) (inheritance, error) {
	type result struct {
		in  inheritance
		err error
	}
	came := make(chan result, 1)
	go func() {
		in, err := before.await(ctx)
		came <- result{in, err}
	}()
	for {
		select {
		case <-reload:
			*w = (*w).reload(n.ctx, n)
		case r := <-came:
			if r.err == nil {
				n.takeOver(r.in.state)
			}
			return r.in, r.err
		}
	}
}

// watch is the following of one discovery agent.
type watch struct {
	addr netip.AddrPort
	near bool // an agent on this machine, to which lists are pushed
	stop context.CancelFunc
	done chan struct{}

	first <-chan struct{} // closed once a list has come, the first call for it has failed, or the watch has ended
}

// firstList is how long a node waits for its agent's list before it is ready: an agent answers at once.
const firstList = 300 * time.Millisecond

// awaitFirst waits until a list has come from an agent or is known not to, for a time at most. A register that a fleet asks may be slow: it
// is not waited for.
func (w *watch) awaitFirst(ctx context.Context, most time.Duration) {
	if !w.near {
		return
	}
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-w.first:
	case <-late.C:
	case <-ctx.Done():
	}
}

// startWatch follows an agent from a version of the list that came from it; from 0 it
// tells the whole list. An agent on this machine always does, at no cost: it may have begun its versions anew since.
func startWatch(ctx context.Context, n *Node, addr netip.AddrPort, from uint64) *watch {
	ctx, stop := context.WithCancel(ctx)
	w := &watch{addr: addr, near: !n.cfg.Settings.PollsEndpoints, stop: stop, done: make(chan struct{})}
	if w.near {
		from = 0
	}
	first, came := context.WithCancel(ctx)
	w.first = first.Done()
	reg := &discovery.Watcher{Addr: addr, SilenceTimeout: discovery.SilenceTimeout, LastGeneration: from, IsLocalAgent: w.near, Logf: n.log.Printf,
		Backoff: discovery.NewBackoff(n.cfg.Settings.InstanceCount, n.cfg.Seed),
		OnList: func(l discovery.EndpointList) {
			n.heard(l)
			came()
		},
		OnFailure: came}
	go func() {
		defer close(w.done)
		defer came()
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
