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

// Run runs an instance until ctx ends, then drains it: the instance is not ready from then on, accepts requests for
// another DrainTimeout, answers the accepted ones by the time that [graceful.AnswerTimeout] gives, and returns.
// onListening is called once the instance listens. With Config.Agreement the instance is ready when a setup with a table
// has been installed and confirmed, otherwise at once.
func Run(ctx context.Context, config *Config, setup Setup, logger *slog.Logger, onListening func(*Instance)) error {
	instanceCtx, stop := context.WithCancel(context.Background())
	defer stop()
	logger = logger.With(slog.String(logging.KeyInstance, config.Name))
	in, err := newInstance(instanceCtx, config, setup, logger)
	if err != nil {
		return err
	}
	defer func() {
		stop()
		in.close()
	}()
	if in.relay != nil {
		if in.disconnects, err = graceful.NewDisconnectMonitor(); err != nil {
			return err
		}
	}
	if config.listener == nil && ctx.Err() != nil {
		return nil // the process is to end, and no client has connected yet
	}
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
	background.Go(func() { in.servers.pruneIdle(instanceCtx) })

	return in.serve(ctx, ln, stop, func() {
		logListening(logger, ln.Addr(), setup.Table)
		onListening(in)
	})
}

// serve serves clients and other sites' instances until ctx ends or a listener fails. When ctx ends it drains the
// instance, then stops the instance's background work.
func (in *Instance) serve(ctx context.Context, ln net.Listener, stop, onListening func()) error {
	server := newClientServer(in)
	clientListener := graceful.NewListener(ln)
	server.listeners = []*graceful.Listener{clientListener}
	serveErrors := make(chan error, 2)
	server.acceptors.Go(func() { serveErrors <- server.serve(clientListener) })
	defer server.acceptors.Wait()
	defer ln.Close()
	if in.relay != nil {
		relayLn, err := in.relay.config.listen()
		if err != nil {
			ln.Close()
			return err
		}
		defer relayLn.Close()
		in.relay.listeningSince = time.Now()
		instanceListener := graceful.NewListener(relayLn)
		server.listeners = append(server.listeners, instanceListener)
		server.acceptors.Go(func() { serveErrors <- server.serve(relayListener{instanceListener, in.relay}) })
	}
	server.drainState.isReady.Store(true)
	onListening()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	server.drain(time.Now())
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

// openGossip returns the gossip socket, or nil if the configuration has none.
func (c *Config) openGossip() (*gossip.Socket, error) {
	switch {
	case c.peerConn != nil:
		return gossip.NewSocket(c.peerConn, c.Settings.InstanceIndex, c.Peers, c.PeerListen), nil
	case c.PeerListen.IsValid():
		return gossip.Listen(c.PeerListen, c.Settings.InstanceIndex, c.Peers, c.PeerListen)
	}
	return nil, nil
}

// logListening logs that the instance listens, and that it is ready if it has a table.
func logListening(logger *slog.Logger, addr net.Addr, table *routing.Table) {
	if table == nil {
		logger.Info("listening", slog.Any(logging.KeyAddress, addr))
		return
	}
	logger.Info("ready", slog.Any(logging.KeyAddress, addr), slog.Int("operations", len(table.Operations)))
}
