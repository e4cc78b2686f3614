package node

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
)

// Run runs an edge node until ctx ends, then drains it.
func Run(ctx context.Context, cfg *Config, logger *log.Logger) error {
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return runOn(ctx, cfg, logger, ln)
}

// runOn is Run on a listener that is open.
func runOn(ctx context.Context, cfg *Config, logger *log.Logger, ln net.Listener) error {
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
		if n.peers, err = listenPeers(cfg); err != nil {
			return err
		}
		defer n.peers.conn.Close()
	}
	n.boot()
	if n.peers != nil {
		side.Go(func() { n.peers.receive(n.whisper) })
	}
	reg := &registry{addr: cfg.Discovery, silent: watchSilent, last: cfg.Known.Generation, apply: n.heard, logf: logger.Printf}
	side.Go(func() { reg.run(life) })
	side.Go(func() { n.up.reap(life) })
	defer stop() // before the wait for what life owns

	f := newFront(n)
	failed := make(chan error, 1)
	side.Go(func() { failed <- f.serve(ln) })
	f.ready.Store(true)
	logger.Printf("%s: ready on %s, %d app servers known", cfg.Name, cfg.Listen, len(cfg.Known.Servers))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Printf("%s: draining", cfg.Name)
	f.drain()
	stop()
	n.close()
	logger.Printf("%s: drained", cfg.Name)
	return nil
}
