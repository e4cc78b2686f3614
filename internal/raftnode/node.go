package raftnode

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
)

// NodeConfig is what a [Node] is told.
type NodeConfig struct {
	Config
	Cluster       string // its name; a member of another one is never taken in
	Credentials   Credentials
	Incarnation   uint64            // of its file: see [BoltStorage.Incarnation]; 0: not known
	TickInterval  time.Duration     // 50 ms where 0: an election comes after 10 to 20 ticks without a leader
	PeerAddresses map[uint64]string // addresses of all members
	Logger        *log.Logger

	// Changed, if set, is called after the state has changed. It must not block.
	OnChange func()
	// Word, if set, is called with what another member's [Node.Broadcast] told. It must not keep text.
	OnBroadcast func(from uint64, text []byte)
	// Outgoing, if set, stands between the member and its network: what it does not hand on is lost.
	WrapSend func(send func(*pb.Message)) func(*pb.Message)
}

// Node is a member on real time, sockets and disk. Its methods may be called from any
// goroutine; the member itself is touched by one.
type Node struct {
	cfg    NodeConfig
	core   *Core
	net    *transport
	send   func(*pb.Message)
	events chan func()
	stop   context.CancelFunc
	ended  chan struct{}
	err    error // why it ended, once it has
}

const (
	defaultTick = 50 * time.Millisecond
	eventQueue  = 1024
	batchMost   = 256 // events between two turns of the member's work: what they propose is synced together
)

// Start starts a member on a listener, which it closes at its end.
func Start(cfg NodeConfig, disk Storage, ln net.Listener) (*Node, error) {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = defaultTick
	}
	core, err := NewCore(cfg.Config, disk)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{cfg: cfg, core: core, events: make(chan func(), eventQueue), stop: stop, ended: make(chan struct{})}
	n.net = &transport{cluster: cfg.Cluster, me: cfg.ID, creds: cfg.Credentials, hello: hello{cfg.Incarnation, rand.Uint64()}, ln: ln, word: cfg.OnBroadcast, logf: cfg.Logger.Printf,
		heard: func(m *pb.Message) { n.do(ctx, func() { core.Step(m) }) },
		sent: func(m *pb.Message, ok bool) {
			// Told from the transport's goroutines, and from the member's own while it sends.
			n.net.all.Go(func() {
				n.do(ctx, func() {
					if m.GetType() == pb.MsgSnap {
						core.ReportSnapshot(m.GetTo(), ok)
					} else if !ok {
						core.ReportUnreachable(m.GetTo())
					}
				})
			})
		}}
	if n.send = n.net.send; cfg.WrapSend != nil {
		n.send = cfg.WrapSend(n.net.send)
	}
	if cfg.OnChange != nil {
		core.OnApplied = func(uint64, string, clusterconfig.Outcome) { cfg.OnChange() }
	}
	n.net.start(ctx)
	n.net.peers(cfg.PeerAddresses)
	go n.run(ctx)
	return n, nil
}

// do has the member's goroutine run f; it is false once the node ends.
func (n *Node) do(ctx context.Context, f func()) bool {
	select {
	case n.events <- f:
		return true
	case <-ctx.Done():
	case <-n.ended:
	}
	return false
}

func (n *Node) run(ctx context.Context) {
	defer close(n.ended)
	defer n.net.wait()
	defer n.stop()
	tick := time.NewTicker(n.cfg.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			n.core.fail(ErrStopped)
			n.err = ErrStopped
			return
		case <-tick.C:
			n.core.Tick()
		case f := <-n.events:
			f()
		}
		for i := 0; i < batchMost && len(n.events) > 0; i++ {
			(<-n.events)()
		}
		if err := n.core.ProcessReady(n.send); err != nil {
			n.cfg.Logger.Printf("member %d stops: %v", n.cfg.ID, err)
			n.err = err
			return
		}
	}
}

// Stop ends the node and waits until it has ended.
func (n *Node) Stop() {
	n.stop()
	<-n.ended
}

// Done is closed when the node has ended; Err tells why.
func (n *Node) Done() <-chan struct{} { return n.ended }

// Err is why the node has ended, once it has.
func (n *Node) Err() error {
	select {
	case <-n.ended:
		return n.err
	default:
		return nil
	}
}

// Propose has a proposal applied and returns its outcome. Where the answer is lost (a
// leader that changed), it asks again under the same id until ctx ends: it is applied once.
func (n *Node) Propose(ctx context.Context, p *clusterconfig.Proposal) (clusterconfig.Outcome, error) {
	type result struct {
		o   clusterconfig.Outcome
		err error
	}
	pause := 4 * n.cfg.TickInterval
	last, away := error(ErrNoLeader), false // away: it may have reached a leader
	// A long one takes its time; repeated too soon it would add to what holds it up.
	size := 0
	for _, c := range p.Changes {
		size += len(c.Value)
	}
	patience := time.Duration((3+size>>20)*n.core.cfg.ElectionTicks) * n.cfg.TickInterval
	for {
		got := make(chan result, 1)
		var once sync.Once
		if !n.do(ctx, func() {
			n.core.Propose(p, func(o clusterconfig.Outcome, err error) { once.Do(func() { got <- result{o, err} }) })
		}) {
			return clusterconfig.Outcome{}, errors.Join(ErrStopped, last, ctx.Err())
		}
		again := time.NewTimer(patience)
		select {
		case r := <-got:
			again.Stop()
			if r.err == nil {
				return r.o, nil
			}
			if !errors.Is(r.err, ErrNoLeader) && !errors.Is(r.err, ErrOutcomeUnknown) {
				return clusterconfig.Outcome{}, r.err
			}
			last, away = r.err, away || errors.Is(r.err, ErrOutcomeUnknown)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		case <-again.C:
			last, away = ErrOutcomeUnknown, true
			patience *= 2
		case <-ctx.Done():
			again.Stop()
			away = true
		}
		if ctx.Err() != nil {
			n.do(context.Background(), func() { n.core.AbandonProposal(p.ID) })
			if away {
				last = ErrOutcomeUnknown
			}
			return clusterconfig.Outcome{}, fmt.Errorf("%w: %w", last, ctx.Err())
		}
	}
}

// LinearizableRead calls f with the state once all that was committed anywhere when it was asked is
// applied here. f must not keep the state.
func (n *Node) LinearizableRead(ctx context.Context, f func(*clusterconfig.State)) error {
	got := make(chan error, 1)
	var mu sync.Mutex
	over := false // f must not be called once Read has returned
	defer func() {
		mu.Lock()
		over = true
		mu.Unlock()
	}()
	if !n.do(ctx, func() {
		n.core.ReadIndex(func(err error) {
			mu.Lock()
			defer mu.Unlock()
			if err == nil && !over {
				f(n.core.State())
			}
			got <- err
		})
	}) {
		return errors.Join(ErrStopped, ctx.Err())
	}
	select {
	case err := <-got:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoLeader, ctx.Err())
	}
}

// Status is a member's view.
type Status struct {
	ID           uint64   `json:"id"`
	Leader       uint64   `json:"leader"` // 0: none is known
	Ready        bool     `json:"ready"`
	Version      uint64   `json:"version"`
	AppliedIndex uint64   `json:"index"`
	Hash         string   `json:"hash"`
	Voters       []uint64 `json:"voters"`
	Learners     []uint64 `json:"learners"`
}

// Status tells how the member stands, without asking others.
func (n *Node) Status(ctx context.Context) (s Status, err error) {
	got := make(chan Status, 1)
	if !n.do(ctx, func() {
		v, l := n.core.Members()
		got <- Status{n.cfg.ID, n.core.Leader(), n.core.IsReady(), n.core.State().Version(), n.core.AppliedIndex(), n.core.State().Hash(), v, l}
	}) {
		return s, errors.Join(ErrStopped, ctx.Err())
	}
	select {
	case s = <-got:
		return s, nil
	case <-ctx.Done():
		return s, ctx.Err()
	case <-n.ended:
		return s, ErrStopped
	}
}

// AppliedState returns the configuration as applied here, without asking others.
func (n *Node) AppliedState(ctx context.Context) (*clusterconfig.State, error) {
	var s *clusterconfig.State
	err := n.ask(ctx, func() { s = n.core.State().Freeze() })
	return s, err
}

// Membership is what was in force at one moment.
type Membership struct {
	AppliedIndex uint64 // of the last entry applied
	Members      []uint64
	Voters       []uint64
	IsJoint      bool // voters are changing, in two steps
}

// AppliedStateAndMembership is Freeze with the members of the same moment.
func (n *Node) AppliedStateAndMembership(ctx context.Context) (s *clusterconfig.State, m Membership, err error) {
	err = n.ask(ctx, func() {
		v, _ := n.core.Members()
		s, m = n.core.State().Freeze(), Membership{n.core.AppliedIndex(), n.core.all(), slices.Clone(v), len(n.core.conf.GetVotersOutgoing()) > 0}
	})
	return s, m, err
}

// FenceIndex is [Core.FenceIndex].
func (n *Node) FenceIndex() uint64 { return n.core.FenceIndex() }

// ask runs f on the member's goroutine and waits for its end.
func (n *Node) ask(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if !n.do(ctx, func() {
		f()
		close(done)
	}) {
		return errors.Join(ErrStopped, ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-n.ended:
		return ErrStopped
	}
}

// Broadcast tells all other members a word of up to 64 KiB, which may be lost and is told in order.
func (n *Node) Broadcast(text []byte) error {
	if len(text) > maxWord {
		return fmt.Errorf("a word of %d bytes: %d are the most", len(text), maxWord)
	}
	n.net.tell(text)
	return nil
}

// SetPeers sets the addresses of all members.
func (n *Node) SetPeers(addrs map[uint64]string) { n.net.peers(addrs) }

// ChangeMembership changes the members: change is asked for what is still to be done, given voters
// and learners, until it has nothing left. Several at once are a joint change. It is safe
// to ask again for a change whose answer was lost.
func (n *Node) ChangeMembership(ctx context.Context, change func(voters, learners []uint64) []*pb.ConfChangeSingle) error {
	for round := 0; ; round++ {
		var left []*pb.ConfChangeSingle
		got := make(chan error, 1)
		id := fmt.Sprintf("%d-%d-%d", n.cfg.ID, time.Now().UnixNano(), round)
		if err := n.ask(ctx, func() {
			v, l := n.core.Members()
			if left = change(v, l); len(left) > 0 {
				var once sync.Once
				n.core.ProposeMembershipChange(id, left, func(err error) { once.Do(func() { got <- err }) })
			}
		}); err != nil {
			return err
		}
		if len(left) == 0 {
			return nil
		}
		// One that was lost, or that another change was under way for, is asked for again.
		again := time.NewTimer(time.Duration(n.core.cfg.ElectionTicks) * n.cfg.TickInterval)
		var err error
		select {
		case err = <-got:
			if err != nil && !errors.Is(err, ErrNoLeader) {
				again.Stop()
				return err
			}
			if err != nil {
				<-again.C
			}
		case <-again.C:
		case <-ctx.Done():
		}
		again.Stop()
		n.do(context.Background(), func() { n.core.AbandonMembershipChange(id) })
		if ctx.Err() != nil {
			if err != nil {
				return fmt.Errorf("%w: %w", err, ctx.Err())
			}
			return fmt.Errorf("no quorum has taken the change so far: %w", ctx.Err())
		}
	}
}

// ReplicationLag is [Core.ReplicationLag].
func (n *Node) ReplicationLag(ctx context.Context, member uint64) (entries uint64, known bool, err error) {
	err = n.ask(ctx, func() { entries, known = n.core.ReplicationLag(member) })
	return entries, known, err
}

// TransferLeadership has the leader hand its lead to a voter and waits until it has, as seen here.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) error {
	for {
		var leader uint64
		if err := n.ask(ctx, func() {
			if leader = n.core.Leader(); leader != to && leader != 0 {
				n.core.TransferLeadership(to)
			}
		}); err != nil {
			return err
		}
		if leader == to {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("member %d does not lead yet: %w", to, ctx.Err())
		case <-time.After(2 * n.cfg.TickInterval):
		}
	}
}
