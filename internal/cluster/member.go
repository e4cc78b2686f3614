package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/raftnode"
)

// How long a stopping leader tries to make another member the leader.
const (
	maxLeaderTransferTime = 2 * time.Second
	minLeaderTransferTime = 500 * time.Millisecond // also if its instance has drained sooner
)

// Member is a member of the cluster and its gateway instance. It connects the Raft node to versionInstaller,
// which puts versions in force, adminServer, followerServer and siteMonitor.
type Member struct {
	cfg            *MemberConfig
	instanceConfig *gateway.Config
	logger         *slog.Logger
	node           *raftnode.Node
	stateChanged   chan struct{}   // holds a token while a change has not been applied to the instance
	followers      *followerServer // nil if no followers are served
	placement      memberPlacement // used only by the goroutine of versionInstaller

	mu           sync.Mutex        // guards the fields below
	instance     *gateway.Instance // nil until it has started, set once
	members      map[uint64]clusterconfig.Member
	installError string // why the agreed version is not in force at the instance; empty if it is
}

// RunMember runs a member and its instance until ctx ends. Then the instance drains; meanwhile a leader transfers its
// leadership, which no request waits for. The member stops last. If the member fails (its storage failed, or it was
// removed), both end with its error. instanceConfig is a configuration without sites, plans, licensees and classes;
// started is called once the instance has started.
func RunMember(ctx context.Context, cfg *MemberConfig, instanceConfig *gateway.Config, logger *slog.Logger,
	started func(*Member)) (err error) {
	if err := cfg.checkIdentity(); err != nil {
		return err
	}
	storage, err := raftnode.OpenBoltStorage(cfg.DataFile, cfg.Cluster, cfg.MemberID)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, storage.Close()) }()
	cfg.configureInstance(instanceConfig, storage.Incarnation())
	listeners, err := cfg.listen()
	if err != nil {
		return err
	}
	m, err := startMember(cfg, instanceConfig, logger, storage, listeners)
	if err != nil {
		listeners.close()
		return err
	}
	defer m.node.Stop()
	return m.run(ctx, listeners, started)
}

// startMember starts the member's Raft node, without its instance.
func startMember(cfg *MemberConfig, instanceConfig *gateway.Config, logger *slog.Logger, bolt *raftnode.BoltStorage,
	listeners *memberListeners) (*Member, error) {
	m := &Member{
		cfg:            cfg,
		instanceConfig: instanceConfig,
		logger:         logger,
		stateChanged:   make(chan struct{}, 1),
		members:        maps.Clone(cfg.Members),
	}
	if listeners.stream != nil {
		m.followers = newFollowerServer(m)
	}
	var storage raftnode.Storage = bolt
	if cfg.WrapStorage != nil {
		storage = cfg.WrapStorage(bolt)
	}
	node, err := raftnode.Start(raftnode.NodeConfig{
		Config:        raftnode.Config{ID: cfg.MemberID, Validate: ValidateDescription},
		Cluster:       cfg.Cluster,
		Credentials:   cfg.Credentials,
		TickInterval:  cfg.TickInterval,
		PeerAddresses: raftAddrs(cfg.Members),
		Incarnation:   bolt.Incarnation(),
		Logger:        logger,
		WrapSend:      cfg.WrapSend,
		OnChange:      m.notifyStateChanged,
		OnBroadcast:   m.receiveMessage,
	}, storage, listeners.raft)
	if err != nil {
		return nil, err
	}
	m.node = node
	return m, nil
}

// run runs the servers, the instance and the background tasks, and returns once all of them have ended.
func (m *Member) run(ctx context.Context, listeners *memberListeners, started func(*Member)) error {
	background, stopTasks := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopTasks()
	admin := newAdminServer(m).serve(listeners.admin, &tasks)
	defer admin.Close()
	if m.followers != nil {
		stream := m.followers.serve(background, listeners.stream, &tasks)
		defer stream.Close()
	}

	if ctx.Err() != nil {
		return nil
	}
	serving, drain := context.WithCancel(context.Background())
	defer drain()
	instance, instanceEnded, err := startInstance(serving, m.instanceConfig, m.logger)
	if instance == nil {
		return err
	}
	m.mu.Lock()
	m.instance = instance
	m.mu.Unlock()
	tasks.Go(func() { newVersionInstaller(m).run(background) })
	if m.instanceConfig.Keys != nil {
		tasks.Go(func() { m.broadcastKeys(background) })
		tasks.Go(func() { newSiteMonitor(m).run(background) })
	}
	started(m)

	select {
	case err := <-instanceEnded:
		return err
	case <-m.node.Done():
		drain()
		m.logger.Error("member failed, draining instance",
			slog.Uint64(logging.KeyMember, m.cfg.MemberID), logging.Error(m.node.Err()))
		return errors.Join(fmt.Errorf("member %d: %w", m.cfg.MemberID, m.node.Err()), <-instanceEnded)
	case <-ctx.Done():
	}
	drain() // first: whatever follows may have to wait for other members
	transfer := m.startLeaderTransfer()
	err = <-instanceEnded
	transfer.finish()
	return err
}

// startInstance starts a gateway instance without a version in force. The instance runs until ctx ends, and its result
// is sent on the channel. If it fails to start, the returned instance and channel are nil and the result is returned.
func startInstance(ctx context.Context, cfg *gateway.Config, logger *slog.Logger) (
	*gateway.Instance, <-chan error, error) {
	ended := make(chan error, 1)
	started := make(chan *gateway.Instance, 1)
	go func() {
		ended <- gateway.Run(ctx, cfg, gateway.Setup{}, logger, func(in *gateway.Instance) { started <- in })
	}()
	select {
	case instance := <-started:
		return instance, ended, nil
	case err := <-ended:
		return nil, nil, err
	}
}

// leaderTransfer is the attempt of a stopping member to make another one the leader, beside the drain of its instance.
type leaderTransfer struct {
	startedAt time.Time
	cancel    context.CancelFunc
	done      chan struct{} // closed when the attempt has ended
}

// startLeaderTransfer makes another member the leader if this one is, so that a planned stop causes no election
// timeout. It returns at once.
func (m *Member) startLeaderTransfer() *leaderTransfer {
	ctx, cancel := context.WithTimeout(context.Background(), maxLeaderTransferTime)
	t := &leaderTransfer{startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		if err := m.node.ResignLeadership(ctx); err != nil {
			m.logger.Warn("leadership transfer failed", logging.Error(err))
		}
	}()
	return t
}

// finish ends the attempt and waits until it has ended. It lets the attempt go on for minLeaderTransferTime since it
// started.
func (t *leaderTransfer) finish() {
	defer t.cancel()
	timer := time.NewTimer(time.Until(t.startedAt.Add(minLeaderTransferTime)))
	defer timer.Stop()
	select {
	case <-t.done:
		return
	case <-timer.C:
	}
	t.cancel()
	<-t.done
}

// notifyStateChanged wakes the goroutine that applies versions. The Raft node calls it; it does not block.
func (m *Member) notifyStateChanged() {
	select {
	case m.stateChanged <- struct{}{}:
	default:
	}
}

// addrsOf returns the addresses of a member, which are empty if the member is unknown.
func (m *Member) addrsOf(id uint64) clusterconfig.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[id]
}

// setInstallError records the error because of which the agreed version is not in force, or nil if it is in force. It
// reports whether the error's text has changed.
func (m *Member) setInstallError(err error) (changed bool) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.installError != text
	m.installError = text
	return changed
}

// updateMemberAddrs sets the agreed addresses of the members.
func (m *Member) updateMemberAddrs(state *clusterconfig.State) {
	agreed := clusterconfig.ObjectsByName[clusterconfig.Member](state, clusterconfig.KindMember)
	if len(agreed) == 0 {
		return
	}
	m.mu.Lock()
	for name, member := range agreed {
		if id, err := strconv.ParseUint(name, 10, 64); err == nil {
			m.members[id] = member
		}
	}
	addrs := raftAddrs(m.members)
	m.mu.Unlock()
	m.node.SetPeers(addrs)
}

// startedInstance returns the instance, or nil before it has started.
func (m *Member) startedInstance() *gateway.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

// Instance returns the member's gateway instance.
func (m *Member) Instance() *gateway.Instance { return m.startedInstance() }
