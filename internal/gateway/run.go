package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"mulleinmux/internal/gossip"
	"mulleinmux/internal/graceful"
	"mulleinmux/internal/logging"
	"mulleinmux/routing"
)

// Run runs an instance until ctx ends, then drains it: it takes requests for DrainTimeout more, finishes what it has
// taken, within the longest deadline, and returns. onListening is called once the instance listens. With
// Config.Agreement it is ready when a setup with a table has been installed and confirmed, else at once.
func Run(ctx context.Context, config *Config, setup Setup, logger *slog.Logger, onListening func(*Instance)) error {
	life, stop := context.WithCancel(context.Background())
	defer stop()
	logger = logger.With(slog.String(logging.KeyInstance, config.Name))
	in, err := newInstance(life, config, setup, logger)
	if err != nil {
		return err
	}
	defer func() {
		stop()
		in.close()
	}()
	ln, err := config.listen()
	if err != nil {
		return err
	}
	defer ln.Close()
	if in.peers, err = config.openGossip(); err != nil {
		return err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	in.host.handleEvent(in.host.engine.Start)
	if in.peers != nil {
		defer in.peers.Close()
		background.Go(func() { in.peers.Receive(in.gossipReceived) })
	}
	background.Go(func() { in.servers.pruneIdle(life) })

	return in.serve(ctx, ln, stop, func() {
		logListening(logger, ln.Addr(), setup.Table)
		onListening(in)
	})
}

// serve serves until ctx ends or a listener fails. When ctx ends it drains, then stops what the instance does by
// itself.
func (in *Instance) serve(ctx context.Context, ln net.Listener, stop, onListening func()) error {
	server := newClientServer(in)
	clients := graceful.NewListener(ln)
	server.listeners = []*graceful.Listener{clients}
	failed := make(chan error, 2)
	server.acceptors.Go(func() { failed <- server.serve(clients) })
	defer server.acceptors.Wait()
	defer ln.Close()
	if in.relay != nil {
		relayLn, err := in.relay.config.listen()
		if err != nil {
			ln.Close()
			return err
		}
		defer relayLn.Close()
		in.relay.listensSince = time.Now()
		instances := graceful.NewListener(relayLn)
		server.listeners = append(server.listeners, instances)
		server.acceptors.Go(func() { failed <- server.serve(relayListener{instances, in.relay}) })
	}
	server.drainState.isReady.Store(true)
	onListening()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	in.logger.Info("draining")
	server.drain()
	stop()
	in.close()
	in.logger.Info("drained")
	return nil
}

// listen returns the listener for clients.
func (c *Config) listen() (net.Listener, error) {
	if c.listener != nil {
		return c.listener, nil
	}
	ln, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// openGossip opens the socket for messages between instances; nil: they send none.
func (c *Config) openGossip() (*gossip.Socket, error) {
	switch {
	case c.peerConn != nil:
		return gossip.NewSocket(c.peerConn, c.Settings.InstanceIndex, c.Peers, c.PeerListen), nil
	case c.PeerListen.IsValid():
		return gossip.Listen(c.PeerListen, c.Settings.InstanceIndex, c.Peers, c.PeerListen)
	}
	return nil, nil
}

// logListening tells operators that the instance serves, or what it waits for.
func logListening(logger *slog.Logger, addr net.Addr, table *routing.Table) {
	if table == nil {
		logger.Info("listening", slog.Any(logging.KeyAddress, addr))
		return
	}
	logger.Info("ready", slog.Any(logging.KeyAddress, addr), slog.Int("operations", len(table.Operations)))
}
