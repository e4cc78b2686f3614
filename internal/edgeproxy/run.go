package edgeproxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"mulleinmux/internal/gossip"
	"mulleinmux/internal/logging"
)

// Run runs an edge node until ctx ends, then drains it, or hands over to the process that
// waits to take its place. At each signal on reload it reads its configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger) error {
	var ln net.Listener
	var err error
	if cfg.AcceptFD != 0 {
		ln, err = inheritedListener(cfg.AcceptFD)
	} else {
		ln, err = net.Listen("tcp", cfg.Listen.String())
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return runOn(ctx, cfg, reload, logger, ln)
}

// msgNoInheritedState is logged where a process starts without a predecessor's state, and says why.
const msgNoInheritedState = "starting without inherited state"

// errStoppedBeforeServing says that a process was told to end while it waited for its predecessor.
var errStoppedBeforeServing = errors.New("stopped before serving")

// maxServeErrors is how many goroutines may report that they can't serve: calls, clients, and clients after a hot
// restart that failed.
const maxServeErrors = 3

// process is one run of an edge node: what its start-up steps make and its end takes down.
type process struct {
	cfg        *Config
	logger     *slog.Logger
	reload     <-chan os.Signal
	lifetime   context.Context // of what runs in the background
	background sync.WaitGroup  // its goroutines, which end with lifetime or with what they serve
	failed     chan error      // takes the error of one that can't go on serving

	node    *Node
	clients *clientServer
	watch   *discoveryWatch

	predecessor          *predecessor // nil: there is none
	isPredecessorAwaited atomic.Bool
	successors           *successorListener // nil: no successor can take over
}

// newProcess returns a process whose background ends with lifetime, and of which nothing runs yet.
func newProcess(
	lifetime context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger,
) (*process, error) {
	logger = logger.With(slog.String("node", cfg.Name))
	n, err := newNode(lifetime, cfg, logger)
	if err != nil {
		return nil, err
	}
	return &process{
		cfg:      cfg,
		logger:   logger,
		reload:   reload,
		lifetime: lifetime,
		failed:   make(chan error, maxServeErrors),
		node:     n,
	}, nil
}

// runOn is Run on a listener that is open.
func runOn(
	ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger, ln net.Listener,
) error {
	defer ln.Close()
	lifetime, stop := context.WithCancel(context.Background())
	defer stop()
	p, err := newProcess(lifetime, cfg, reload, logger)
	if err != nil {
		return err
	}
	defer p.background.Wait()
	if err := p.joinGossip(); err != nil {
		return err
	}
	defer p.leaveGossip()
	p.startDecisions()
	defer func() { p.watch.stop() }()
	p.background.Go(func() { p.node.pool.RunPruning(lifetime) })
	defer stop() // before the wait for what lifetime owns

	p.clients = newClientServer(p.node)
	admin, err := p.startAdmin()
	if err != nil {
		return err
	}
	if admin != nil {
		defer admin.close()
	}
	// What the agent has counts as told from the first moment, and the saved list may be old. With the agent
	// down the saved list serves.
	p.watch.awaitFirst(ctx, cfg.firstListTimeout)
	if err := p.takeOver(ctx); errors.Is(err, errStoppedBeforeServing) {
		return nil
	} else if err != nil {
		return err
	}
	p.listenForSuccessor()
	if p.successors != nil {
		defer p.successors.close()
	}
	p.servePredecessorClients()
	if p.predecessor != nil {
		defer p.predecessor.Close()
	}
	p.startServing(ln)
	if isStopped, err := p.awaitEnd(ctx); !isStopped {
		return err
	}
	p.shutDown(ln)
	stop()
	p.node.close()
	p.logger.Info("drained", p.node.metricsAttr())
	return nil
}

// joinGossip looks for a predecessor, and opens the gossip socket where there is none that holds it.
func (p *process) joinGossip() error {
	if p.cfg.HandoverSocket != "" {
		var err error
		if p.predecessor, err = findPredecessor(p.cfg.HandoverSocket); err != nil {
			p.logger.Warn(msgNoInheritedState, logging.Error(err))
		}
	}
	if p.predecessor != nil {
		return nil
	}
	return p.startGossip(nil)
}

// startGossip opens the gossip socket, or takes the one that was handed over, and receives on it until it is closed.
func (p *process) startGossip(conn *net.UDPConn) error {
	cfg := p.cfg
	if !cfg.GossipListen.IsValid() {
		if conn != nil {
			conn.Close()
		}
		return nil
	}
	index := cfg.Settings.InstanceIndex
	var socket *gossip.Socket
	if conn != nil {
		socket = gossip.NewSocket(conn, index, cfg.GossipPeers, cfg.GossipBroadcast)
	} else {
		var err error
		socket, err = gossip.Listen(cfg.GossipListen, index, cfg.GossipPeers, cfg.GossipBroadcast)
		if err != nil {
			return err
		}
	}
	p.node.setGossipSocket(socket)
	p.background.Go(func() { socket.Receive(p.node.gossipReceived) })
	return nil
}

// leaveGossip closes the gossip socket, unless it was handed over.
func (p *process) leaveGossip() {
	if socket := p.node.takeGossipSocket(); socket != nil {
		socket.Close()
	}
}

// startDecisions starts the engine on the saved list, and the watch of the endpoint list.
func (p *process) startDecisions() {
	if skipped := p.cfg.skippedEndpoints; len(skipped) > 0 {
		p.logger.Warn("saved endpoints skipped", slog.Int(logging.KeyCount, len(skipped)), logging.Error(skipped[0]))
	}
	p.node.startEngine()
	p.watch = startWatch(p.lifetime, p.node, p.cfg.Discovery, p.cfg.SavedEndpoints.Generation)
}

// startAdmin answers operators' calls until the server that it returns is closed; nil where the configuration names no
// address for them.
func (p *process) startAdmin() (*adminServer, error) {
	if !p.cfg.AdminListen.IsValid() {
		return nil, nil
	}
	ln, err := net.Listen("tcp", p.cfg.AdminListen.String())
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	admin := newAdminServer(p.clients, func() bool { return p.isPredecessorAwaited.Load() || p.clients.isAvailable() })
	p.background.Go(func() {
		if err := admin.serve(ln); err != nil {
			p.failed <- err
		}
	})
	return admin, nil
}

// takeOver waits until the predecessor, if there is one, has sent its state and gossip socket, and goes on from these. Without a
// predecessor that hands over the node begins from nothing. It returns errStoppedBeforeServing where ctx ends before.
func (p *process) takeOver(ctx context.Context) error {
	if p.predecessor == nil {
		return nil
	}
	p.logger.Info("waiting for predecessor")
	p.isPredecessorAwaited.Store(true)
	in, err := p.awaitPredecessorState(ctx)
	if ctx.Err() != nil {
		if in.gossipConn != nil {
			in.gossipConn.Close()
		}
		p.predecessor.Close()
		return errStoppedBeforeServing
	}
	if err != nil {
		p.logger.Warn(msgNoInheritedState, logging.Error(err))
		p.predecessor.Close()
		p.predecessor = nil
	}
	return p.startGossip(in.gossipConn)
}

// awaitPredecessorState waits for the predecessor's state until this process may go on, and imports its engine's
// state. A reload in the meantime counts.
func (p *process) awaitPredecessorState(ctx context.Context) (inheritedState, error) {
	type result struct {
		state inheritedState
		err   error
	}
	received := make(chan result, 1)
	go func() { // ends with ctx, or with the predecessor
		state, err := p.predecessor.awaitState(ctx)
		received <- result{state, err}
	}()
	for {
		select {
		case <-p.reload:
			p.watch = p.watch.reload(p.lifetime, p.node)
		case r := <-received:
			if r.err == nil {
				p.node.importState(r.state.engineState)
			}
			return r.state, r.err
		}
	}
}

// listenForSuccessor lets a successor take over. Without that the node serves all the same; only the next upgrade
// would be a restart.
func (p *process) listenForSuccessor() {
	if p.cfg.HandoverSocket == "" {
		return
	}
	successors, err := listenForSuccessor(p.cfg.HandoverSocket, p.logger)
	if err != nil {
		p.logger.Warn("hot restart unavailable", logging.Error(err))
		return
	}
	p.successors = successors
	p.background.Go(successors.acceptSuccessors)
}

// servePredecessorClients tells the predecessor, if there is one, that its place is taken, and serves the clients
// that it hands over.
func (p *process) servePredecessorClients() {
	before := p.predecessor
	if before == nil {
		return
	}
	before.confirmTakeover()
	p.clients.hasPredecessor.Store(true)
	p.background.Go(func() { p.clients.servePredecessor(before) })
}

// startServing answers clients on a listener, and says that the node is ready.
func (p *process) startServing(ln net.Listener) {
	p.background.Go(func() { p.failed <- p.clients.serve(ln) })
	p.clients.phase.Store(phaseServing)
	p.isPredecessorAwaited.Store(false)
	p.logger.Info("ready",
		slog.Any(logging.KeyAddress, p.cfg.Listen), slog.Int("servers", len(p.cfg.SavedEndpoints.Servers)))
}

// awaitEnd serves until ctx ends, which stops the process in order, or until something can't go on serving, whose
// error it returns.
func (p *process) awaitEnd(ctx context.Context) (isStopped bool, err error) {
	for {
		select {
		case err := <-p.failed:
			p.clients.httpServer.Close()
			return false, err
		case <-p.reload:
			p.watch = p.watch.reload(p.lifetime, p.node)
		case <-ctx.Done():
			return true, nil
		}
	}
}

// shutDown hands over to a successor that waits, or else lets clients come for a while, and answers all that has
// come. ln is the listener on which clients are accepted.
func (p *process) shutDown(ln net.Listener) {
	p.clients.startShutdownTimer()
	drainDelay := p.cfg.drainDelay
	if p.successors.hasSuccessor() {
		p.logger.Info("handing over")
		again, err := p.clients.handOver(p.successors, ln)
		if err != nil {
			p.logger.Warn("handover failed", logging.Error(err))
		} else {
			drainDelay = immediateDrainDelay
		}
		if again != nil {
			p.background.Go(func() { p.failed <- p.clients.serve(again) })
		}
	}
	p.logger.Info("draining")
	p.clients.drain(drainDelay)
}
