package raftnode

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/logging"
)

// NodeConfig configures a [Node].
type NodeConfig struct {
	Config
	Cluster       string // name of the cluster; peers with a certificate of another cluster are rejected
	Credentials   Credentials
	Incarnation   uint64            // incarnation of the member's file, see [BoltStorage.Incarnation]; 0: unknown
	TickInterval  time.Duration     // the unit of [Config.ElectionTicks]; 0: defaultTickInterval
	PeerAddresses map[uint64]string // addresses of all members, by id
	Logger        *slog.Logger

	// OnChange, if set, is called on the event loop after the state has changed. It must not block.
	OnChange func()
	// OnBroadcast, if set, is called with each received [Node.Broadcast] of another member. It must not retain text.
	OnBroadcast func(from uint64, text []byte)
	// WrapSend, if set, wraps the sending of messages, to inject faults in tests and scenarios.
	WrapSend func(send func(*pb.Message)) func(*pb.Message)
}

// defaultTickInterval, with defaultElectionTicks, starts an election after 0.5 to 1 s without a message from the
// leader.
const defaultTickInterval = 50 * time.Millisecond

// Node is a member that runs with a ticker, network connections and a storage. It is safe for concurrent use. Only its
// event loop, one goroutine that runs from [Start] until [Node.Done] is closed, uses the Core.
type Node struct {
	cfg       NodeConfig
	loop      *eventLoop
	core      *Core // used only by the event loop
	transport *transport
	send      func(*pb.Message)
	cancel    context.CancelFunc // stops the event loop and the transport
}

// Start starts a member. The member closes the listener when it stops, but not the storage.
func Start(cfg NodeConfig, storage Storage, listener net.Listener) (*Node, error) {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = defaultTickInterval
	}
	core, err := NewCore(cfg.Config, storage)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:    cfg,
		core:   core,
		loop:   newEventLoop(),
		cancel: cancel,
	}
	n.transport = n.newTransport(ctx, listener)
	n.send = n.transport.send
	if cfg.WrapSend != nil {
		n.send = cfg.WrapSend(n.transport.send)
	}
	if cfg.OnChange != nil {
		core.OnApplied = func(uint64, string, clusterconfig.Outcome) { cfg.OnChange() }
	}
	n.transport.start(ctx)
	n.transport.setPeers(cfg.PeerAddresses)
	go n.runEventLoop(ctx)
	return n, nil
}

// newTransport returns a transport that passes messages and send results to the event loop. OnBroadcast is called
// directly by the transport.
func (n *Node) newTransport(ctx context.Context, listener net.Listener) *transport {
	return &transport{
		cluster:     n.cfg.Cluster,
		memberID:    n.cfg.ID,
		credentials: n.cfg.Credentials,
		hello:       hello{incarnation: n.cfg.Incarnation, processID: rand.Uint64()},
		listener:    listener,
		onBroadcast: n.cfg.OnBroadcast,
		logger:      n.cfg.Logger,
		onMessage: func(m *pb.Message) {
			n.loop.enqueue(ctx, func() { n.core.Step(m) })
		},
		onSendResult: func(m *pb.Message, ok bool) {
			// The event loop may call this while it sends a message, and must not block on its own queue.
			n.transport.goroutines.Go(func() {
				n.loop.enqueue(ctx, func() { n.reportSendResult(m, ok) })
			})
		},
	}
}

// reportSendResult reports to the Core that a snapshot was sent or not, or that another message could not be sent. It
// must run on the event loop.
func (n *Node) reportSendResult(m *pb.Message, ok bool) {
	if m.GetType() == pb.MsgSnap {
		n.core.ReportSnapshot(m.GetTo(), ok)
	} else if !ok {
		n.core.ReportUnreachable(m.GetTo())
	}
}

// runEventLoop runs the Core until ctx ends or the Core has stopped with an error.
func (n *Node) runEventLoop(ctx context.Context) {
	defer close(n.loop.done)
	defer n.transport.wait()
	defer n.cancel()
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.core.fail(ErrStopped)
			n.loop.err = ErrStopped
			return
		case <-ticker.C:
			n.core.Tick()
		case event := <-n.loop.events:
			event()
		}
		n.loop.runQueued()
		if err := n.core.ProcessReady(n.send); err != nil {
			n.cfg.Logger.Error("raft node stopped", slog.Uint64(logging.KeyMember, n.cfg.ID), logging.Error(err))
			n.loop.err = err
			return
		}
	}
}

// Stop stops the node and waits until all its goroutines have ended.
func (n *Node) Stop() {
	n.cancel()
	<-n.loop.done
}

// Done returns a channel that is closed when the node has stopped. [Node.Err] then returns the reason.
func (n *Node) Done() <-chan struct{} { return n.loop.done }

// Err returns the reason why the node has stopped, or nil while it runs.
func (n *Node) Err() error {
	select {
	case <-n.loop.done:
		return n.loop.err
	default:
		return nil
	}
}

// SetPeers replaces the addresses of all members, by member id.
func (n *Node) SetPeers(addresses map[uint64]string) { n.transport.setPeers(addresses) }
