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
	"mulleinmux/internal/reload"
)

// Run runs an edge node until ctx ends, then hands over to a waiting successor process, or else drains the node. At
// each signal on reloads it reads its configuration again.
func Run(ctx context.Context, cfg *Config, reloads <-chan os.Signal, logger *slog.Logger) error {
	var ln net.Listener
	var err error
	if cfg.AcceptFD != 0 {
		ln, err = inheritedListener(cfg.AcceptFD)
	} else {
		ln, err = listenTCP(cfg.Listen)
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return runOn(ctx, cfg, reloads, logger, ln)
}

// msgNoInheritedState is logged, with the reason, if a process can't use the state of a predecessor.
const msgNoInheritedState = "starting without inherited state"

// errStoppedBeforeServing means that the context ended while the process waited for its predecessor.
var errStoppedBeforeServing = errors.New("stopped before serving")

// maxServeErrors is how many goroutines may report that they can't continue to serve: those for administration calls,
// for clients, and for clients after a failed handover.
const maxServeErrors = 3

// process is one process of an edge node: what its start-up creates and its shutdown closes.
type process struct {
	cfg         *Config
	logger      *slog.Logger
	reloads     <-chan os.Signal
	configFile  *reload.Reader[*Config]
	lifetime    context.Context // of the background goroutines
	background  sync.WaitGroup  // goroutines that end with lifetime or with the listener or socket that they serve
	serveErrors chan error      // errors of goroutines that can't continue to serve

	node    *Node
	clients *clientServer
	watch   *discoveryWatch

	predecessor          *predecessor       // nil if there is none
	isPredecessorAwaited atomic.Bool        // waiting for its state; the administration server then reports ready
	successors           *successorListener // nil if no successor can take over
}

// newProcess returns a process whose background goroutines will end with lifetime. It starts none yet.
func newProcess(
	lifetime context.Context, cfg *Config, reloads <-chan os.Signal, logger *slog.Logger,
) (*process, error) {
	logger = logger.With(slog.String("node", cfg.Name))
	n, err := newNode(lifetime, cfg, logger)
	if err != nil {
		return nil, err
	}
	return &process{
		cfg:         cfg,
		logger:      logger,
		reloads:     reloads,
		configFile:  reload.NewReader(cfg.reread),
		lifetime:    lifetime,
		serveErrors: make(chan error, maxServeErrors),
		node:        n,
	}, nil
}

// runOn is Run on an open listener, which it closes.
func runOn(
	ctx context.Context, cfg *Config, reloads <-chan os.Signal, logger *slog.Logger, ln net.Listener,
) error {
	defer ln.Close()
	lifetime, stop := context.WithCancel(context.Background())
	defer stop()
	p, err := newProcess(lifetime, cfg, reloads, logger)
	if err != nil {
		return err
	}
	defer p.background.Wait()
	if err := p.findPredecessorOrStartGossip(); err != nil {
		return err
	}
	defer p.leaveGossip()
	p.startEngineAndWatch()
	defer func() { p.watch.stop() }()
	p.background.Go(func() { p.node.pool.RunPruning(lifetime) })
	defer stop() // runs before the deferred waits for the watch and the background goroutines

	p.clients = newClientServer(p.node)
	admin, err := p.startAdmin()
	if err != nil {
		return err
	}
	if admin != nil {
		defer admin.close()
	}
	// The node is expected to use the agent's list from its first request on, and the saved list may be old. The saved
	// list is used while the agent is down.
	p.watch.awaitFirstList(ctx, cfg.firstListTimeout)
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
	if isStopped, err := p.awaitStopOrFailure(ctx); !isStopped {
		return err
	}
	p.shutDown(ln)
	stop()
	p.node.close()
	p.logger.Info("drained", p.node.metricsAttr())
	return nil
}

// findPredecessorOrStartGossip connects to the predecessor, if there is one, whose clock this process continues and
// whose gossip socket it will inherit. Otherwise it opens the gossip socket.
func (p *process) findPredecessorOrStartGossip() error {
	if p.cfg.HandoverSocket != "" {
		var err error
		if p.predecessor, err = findPredecessor(p.cfg.HandoverSocket); err != nil {
			p.logger.Warn(msgNoInheritedState, logging.Error(err))
		}
	}
	if p.predecessor == nil {
		return p.startGossip(nil)
	}
	if offset, isKnown := p.predecessor.awaitClock(); isKnown {
		p.node.continueClock(offset)
	}
	return nil
}

// startGossip opens the gossip socket, or uses conn if one was handed over, and receives messages until it is closed.
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

// leaveGossip closes the gossip socket, unless it was handed over to a successor.
func (p *process) leaveGossip() {
	if socket := p.node.takeGossipSocket(); socket != nil {
		socket.Close()
	}
}

// startEngineAndWatch starts the engine on the saved list, and the watch of the endpoint list.
func (p *process) startEngineAndWatch() {
	if skipped := p.cfg.skippedEndpoints; len(skipped) > 0 {
		p.logger.Warn("saved endpoints skipped", slog.Int(logging.KeyCount, len(skipped)), logging.Error(skipped[0]))
	}
	p.node.startEngine()
	p.watch = startWatch(p.lifetime, p.node, p.cfg.Discovery, p.cfg.SavedEndpoints.Generation)
}

// startAdmin starts the administration server, which the caller closes. It returns nil if the configuration has no
// address for it.
func (p *process) startAdmin() (*adminServer, error) {
	if !p.cfg.AdminListen.IsValid() {
		return nil, nil
	}
	ln, err := listenTCP(p.cfg.AdminListen)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	admin := newAdminServer(p.clients, func() bool { return p.isPredecessorAwaited.Load() || p.clients.isAvailable() })
	p.background.Go(func() {
		if err := admin.serve(ln); err != nil {
			p.serveErrors <- err
		}
	})
	return admin, nil
}

// takeOver waits until the predecessor, if there is one, has sent its state and gossip socket, confirms the takeover and
// starts to use them. If the handover fails the node starts without inherited state. It returns errStoppedBeforeServing
// if ctx ends first.
func (p *process) takeOver(ctx context.Context) error {
	if p.predecessor == nil {
		return nil
	}
	p.logger.Info("waiting for predecessor")
	p.isPredecessorAwaited.Store(true)
	inherited, err := p.awaitPredecessorState(ctx)
	hasTakenOver := false
	if err == nil && ctx.Err() == nil {
		err = p.predecessor.confirmTakeover(ctx)
		hasTakenOver = err == nil
	}
	if ctx.Err() != nil && !hasTakenOver {
		if inherited.gossipConn != nil {
			inherited.gossipConn.Close()
		}
		p.predecessor.Close()
		return errStoppedBeforeServing
	}
	if err == nil {
		p.node.importState(inherited)
	} else {
		p.logger.Warn(msgNoInheritedState, logging.Error(err))
		p.predecessor.Close()
		p.predecessor = nil
	}
	return p.startGossip(inherited.gossipConn)
}

// awaitPredecessorState waits for the complete state of the predecessor. It handles reloads in the meantime.
func (p *process) awaitPredecessorState(ctx context.Context) (inheritedState, error) {
	type result struct {
		state inheritedState
		err   error
	}
	received := make(chan result, 1)
	go func() { // ends with ctx, or when the predecessor disconnects
		state, err := p.predecessor.awaitState(ctx)
		received <- result{state, err}
	}()
	for {
		select {
		case <-p.reloads:
			p.configFile.Start()
		case reread := <-p.configFile.Results():
			p.applyReload(reread)
		case r := <-received:
			return r.state, r.err
		}
	}
}

// listenForSuccessor starts to accept successors. If that fails the node serves all the same; only the next upgrade
// will be a planned restart instead of a hot restart.
func (p *process) listenForSuccessor() {
	if p.cfg.HandoverSocket == "" {
		return
	}
	successors, err := listenForSuccessor(p.cfg.HandoverSocket, p.logger)
	if err != nil {
		p.logger.Warn("hot restart unavailable", logging.Error(err))
		return
	}
	successors.clockOffset = p.node.clockOffset
	p.successors = successors
	p.background.Go(successors.acceptSuccessors)
}

// servePredecessorClients starts to serve the clients that the predecessor, if there is one, hands over.
func (p *process) servePredecessorClients() {
	predecessorConn := p.predecessor
	if predecessorConn == nil {
		return
	}
	p.node.takeOverQuotas()
	predecessorConn.sentIDReceived = p.node.ids.receive
	p.node.ids.setPeer(predecessorConn.sendSentID)
	p.clients.hasPredecessor.Store(true)
	p.background.Go(func() { p.clients.servePredecessor(predecessorConn) })
}

// startServing starts to serve clients on ln and makes the node ready.
func (p *process) startServing(ln net.Listener) {
	p.background.Go(func() { p.serveErrors <- p.clients.serve(ln) })
	p.clients.phase.Store(phaseServing)
	p.isPredecessorAwaited.Store(false)
	p.logger.Info("ready",
		slog.Any(logging.KeyAddress, p.cfg.Listen), slog.Int("servers", len(p.cfg.SavedEndpoints.Servers)))
}

// awaitStopOrFailure handles reloads until ctx ends, after which the process is to be shut down, or until a goroutine
// can't continue to serve, whose error it returns.
func (p *process) awaitStopOrFailure(ctx context.Context) (isStopped bool, err error) {
	for {
		select {
		case err := <-p.serveErrors:
			p.clients.httpServer.Close()
			return false, err
		case <-p.reloads:
			p.configFile.Start()
		case reread := <-p.configFile.Results():
			p.applyReload(reread)
		case <-ctx.Done():
			return true, nil
		}
	}
}

// applyReload uses a configuration that was read again.
func (p *process) applyReload(reread reload.Result[*Config]) {
	p.watch = p.watch.reload(p.lifetime, p.node, reread)
	p.configFile.Finish()
}

// shutDown hands over to a waiting successor, or else accepts clients for the drain delay and answers every request
// that was received. ln is the listener for clients.
func (p *process) shutDown(ln net.Listener) {
	p.clients.startShutdownTimer()
	if !p.successors.hasSuccessor() {
		p.clients.drain(p.cfg.drainDelay, nil)
		return
	}
	p.logger.Info("handing over")
	if err := p.clients.handOver(p.successors, ln); err != nil {
		p.logger.Warn("handover failed", logging.Error(err))
		p.clients.drain(p.cfg.drainDelay, p.successors.close) // a successor that lives may accept clients from then on
		return
	}
	p.clients.drain(immediateDrainDelay, nil)
}
