package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"sync"
	"time"

	"mulleinmux/internal/gossip"
	"mulleinmux/internal/logging"
	"mulleinmux/routing"
)

// Licensee is what the configuration says of a licensee.
type Licensee struct {
	Plan     string
	Customer uint64 // the engine's name for it, the same at every instance
}

// CustomerOf gives a licensee its number.
func CustomerOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() >> 1
}

// newTrace makes an id for a request that came without one.
func newTrace() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

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
	ln := config.listener
	if ln == nil {
		if ln, err = net.Listen("tcp", config.Listen.String()); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	defer ln.Close()
	if err := in.openGossip(); err != nil {
		return err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	in.handleEvent(in.engine.Start)
	if in.peers != nil {
		defer in.peers.Close()
		background.Go(func() { in.peers.Receive(in.gossipReceived) })
	}
	background.Go(func() { in.servers.pruneIdle(life) })

	server := &clientServer{instance: in, conns: map[*clientConn]struct{}{}}
	failed := make(chan error, 2)
	server.acceptors.Go(func() { failed <- server.serve(ln) })
	defer server.acceptors.Wait()
	defer ln.Close()
	if config.Relay != nil {
		if server.relayListener, err = config.Relay.listen(); err != nil {
			ln.Close()
			return err
		}
		defer server.relayListener.Close()
		server.acceptors.Go(func() { failed <- server.serve(relayListener{server.relayListener, in.relay}) })
	}
	server.isReady.Store(true)
	in.logListening(ln.Addr(), setup.Table)
	onListening(in)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Info("draining")
	server.drain(ln)
	stop()
	in.close()
	logger.Info("drained")
	return nil
}

// openGossip opens the socket for messages between instances, if they send any.
func (in *Instance) openGossip() (err error) {
	config := in.config
	switch {
	case config.peerConn != nil:
		in.peers = gossip.NewSocket(config.peerConn, config.Settings.InstanceIndex, config.Peers, config.PeerListen)
	case config.PeerListen.IsValid():
		in.peers, err = gossip.Listen(config.PeerListen, config.Settings.InstanceIndex, config.Peers, config.PeerListen)
	}
	return err
}

// logListening tells operators that the instance serves, or what it waits for.
func (in *Instance) logListening(addr net.Addr, table *routing.Table) {
	if table == nil {
		in.logger.Info("listening", slog.Any(logging.KeyAddress, addr))
		return
	}
	in.logger.Info("ready", slog.Any(logging.KeyAddress, addr), slog.Int("operations", len(table.Operations)))
}

// drain ends serving. Clients still come for a while and are answered, on connections that close behind the answer;
// then the listeners close, and what was taken is finished.
func (s *clientServer) drain(ln net.Listener) {
	s.isReady.Store(false)
	s.isDraining.Store(true)
	<-time.After(s.instance.config.DrainTimeout)
	ln.Close()
	if s.relayListener != nil {
		s.relayListener.Close()
	}
	s.acceptors.Wait() // what is accepted in the moment of the close is drained with the others
	s.eachConn(func(c *clientConn) {
		if !c.isBusy.Load() {
			c.nc.SetReadDeadline(pastDeadline)
		}
	})
	ended := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(ended)
	}()
	longest := time.Duration(0)
	for _, c := range s.instance.Table().Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-ended:
		return
	case <-time.After(longest + s.instance.config.Settings.ResponseSlack + requestReadTimeout):
	}
	s.eachConn(func(c *clientConn) { c.nc.Close() })
	<-ended
}

// eachConn calls do with each connection of a client, under the mutex.
func (s *clientServer) eachConn(do func(*clientConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		do(c)
	}
}
