package raftnode

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// transport sends messages to the other members and receives their messages. The memory for each peer is bounded by the
// queues of its [peerSender], and by one frame and one snapshot for each of its connections. All goroutines of the
// transport end with the context of start; wait waits for them.
type transport struct {
	cluster      string
	memberID     uint64
	credentials  Credentials
	hello        hello // identifies this process to the peers
	listener     net.Listener
	onMessage    func(*pb.Message)            // called with each message of a verified member
	onSendResult func(m *pb.Message, ok bool) // called for each snapshot, and for each message that could not be sent
	logger       *slog.Logger

	ctx        context.Context // set by start
	goroutines sync.WaitGroup

	// mu guards the fields below. It is not held during I/O or while a callback runs.
	mu            sync.Mutex
	senders       map[uint64]*peerSender // by member id
	acceptedConns map[net.Conn]struct{}
	newestHello   helloTable
	onBroadcast   func(from uint64, text []byte) // called with each broadcast of a verified member; nil: drops it
}

// start accepts connections until ctx ends. It must be called before any other method.
func (t *transport) start(ctx context.Context) {
	t.ctx = ctx
	t.senders = map[uint64]*peerSender{}
	t.acceptedConns = map[net.Conn]struct{}{}
	t.newestHello = helloTable{}
	t.goroutines.Go(t.acceptConnections)
	t.goroutines.Go(func() {
		<-ctx.Done()
		t.closeAccepted()
	})
}

// closeAccepted closes the listener and all accepted connections.
func (t *transport) closeAccepted() {
	t.listener.Close()
	t.mu.Lock()
	conns := slices.Collect(maps.Keys(t.acceptedConns))
	t.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// wait returns when all goroutines of the transport have ended.
func (t *transport) wait() { t.goroutines.Wait() }

// setPeers sets the addresses of all members. It stops the senders to removed members and to old addresses, and starts
// senders to new members and addresses.
func (t *transport) setPeers(addresses map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, sender := range t.senders {
		if addresses[id] != sender.address {
			sender.cancel()
			delete(t.senders, id)
		}
	}
	for id, address := range addresses {
		if id == t.memberID || t.senders[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.ctx)
		sender := newPeerSender(id, address, cancel)
		t.senders[id] = sender
		t.goroutines.Go(func() { t.runSender(ctx, sender) })
	}
}

// broadcast queues a text for all other members. It is dropped for a member whose queue is full.
func (t *transport) broadcast(text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sender := range t.senders {
		select {
		case sender.broadcasts <- text:
		default:
		}
	}
}

// send queues a message for its receiver. If the queue is full or there is no sender to the receiver, it drops the
// message, as Raft allows, and reports that to onSendResult.
func (t *transport) send(m *pb.Message) {
	t.mu.Lock()
	sender := t.senders[m.GetTo()]
	t.mu.Unlock()
	if sender == nil || !sender.enqueue(m, proto.Size(m)) {
		t.onSendResult(m, false)
	}
}
