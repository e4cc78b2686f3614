package raftnode

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
)

// Config configures a [Core].
type Config struct {
	ID                 uint64   // of this member, above 0; never reused after its removal
	Voters             []uint64 // of a new cluster; nil: this member joins a cluster or restarts
	ElectionTicks      int      // least ticks without a leader before an election; 0: defaultElectionTicks
	EntriesPerSnapshot uint64   // entries applied between two snapshots; 0: defaultEntriesPerSnapshot
	CatchUpEntries     uint64   // entries kept in the log before a snapshot, for lagging members; 0: defaultCatchUpEntries
	Validate           clusterconfig.Validator
	Logger             raft.Logger // of the protocol engine; nil: nothing is logged
}

const (
	defaultElectionTicks      = 10   // ticks; the engine chooses a random number from this one to less than twice as many
	defaultEntriesPerSnapshot = 2000 // entries
	defaultCatchUpEntries     = 500  // entries; a member that lacks more is sent a snapshot
)

// withDefaults returns the configuration with its zero values replaced by the defaults.
func (cfg Config) withDefaults() Config {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = defaultElectionTicks
	}
	if cfg.EntriesPerSnapshot == 0 {
		cfg.EntriesPerSnapshot = defaultEntriesPerSnapshot
	}
	if cfg.CatchUpEntries == 0 {
		cfg.CatchUpEntries = defaultCatchUpEntries
	}
	if cfg.Logger == nil {
		cfg.Logger = silentLogger{}
	}
	return cfg
}

// maxPendingRequests limits the number of pending proposals and, separately, of pending reads. It bounds the memory in
// use while no quorum is reachable.
const maxPendingRequests = 10_000

// Core is one member without its clock and its network: the protocol engine, and the types that hold the member's
// state. After its methods are called, [Core.ProcessReady] must be called to persist, send and apply their results. It
// must be used by one goroutine at a time (the event loop of its [Node]); only [Core.FenceIndex] is safe for concurrent
// use.
type Core struct {
	cfg     Config
	rawNode *raft.RawNode
	log     durableLog // read by rawNode
	stopErr error      // the reason why the member has stopped, or nil while it runs

	state           *clusterconfig.State
	appliedIndex    uint64
	membership      membership // in force at appliedIndex
	fence           fence
	quorumConfirmed bool // see IsReady

	reads             pendingReads
	proposals         proposalWaiters
	membershipChanges membershipWaiters
	snapshots         snapshotSchedule
	transfers         snapshotTransfers

	// OnApplied, if set, is called after each applied entry that contains a proposal.
	OnApplied func(index uint64, id string, o clusterconfig.Outcome)
}

// State returns the configuration as applied by this member. The caller must not modify it.
func (c *Core) State() *clusterconfig.State { return c.state }

// IsReady reports whether a quorum has confirmed, since this member's start, that the version applied by this member
// was the newest. Until then the member must not forward requests.
func (c *Core) IsReady() bool { return c.quorumConfirmed }

// Leader returns the id of the leader as known to this member, or 0 if none is known.
func (c *Core) Leader() uint64 { return c.rawNode.BasicStatus().Lead }

// AppliedIndex returns the index of the last applied entry.
func (c *Core) AppliedIndex() uint64 { return c.appliedIndex }

// ReplicationLag returns the number of committed entries that a member lacks. It is known only on the leader, and only
// for members that have acknowledged an entry.
func (c *Core) ReplicationLag(id uint64) (entries uint64, known bool) {
	status := c.rawNode.Status()
	progress, ok := status.Progress[id]
	if !ok || progress.Match == 0 {
		return 0, false
	}
	commit := status.HardState.GetCommit()
	return commit - min(progress.Match, commit), true
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	if c.stopErr != nil {
		return
	}
	c.rawNode.Tick()
	c.expireSnapshots()
	c.confirmQuorum()
	for _, id := range c.reads.tick(c.cfg.ElectionTicks) {
		c.requestReadIndex(id)
	}
}

// confirmQuorum starts a linearizable read, by which a quorum confirms that the version applied by this member is the
// newest. It does nothing if a quorum has confirmed that since the start, or while another read is pending, which has
// the same effect.
func (c *Core) confirmQuorum() {
	if c.quorumConfirmed || len(c.reads.byID) > 0 {
		return
	}
	c.ReadIndex(func(error) {})
}

// Step handles a message from another member.
func (c *Core) Step(m *pb.Message) {
	if c.stopErr != nil || raft.IsLocalMsg(m.GetType()) {
		return
	}
	defer c.recoverEnginePanic()
	// An error means that the message is unexpected (delayed, or from a removed member): it is dropped.
	_ = c.rawNode.Step(m)
}

// recoverEnginePanic stops the member if the engine panics. The engine panics when it detects that its log lacks
// committed entries.
func (c *Core) recoverEnginePanic() {
	if p := recover(); p != nil {
		c.fail(fmt.Errorf("%w (%v)", ErrStaleStorage, p))
	}
}

// FenceIndex returns the index of the last entry saved by this member that changes key owners or the membership,
// committed or not. It is updated before any message that acknowledges the entry is sent. It is safe for concurrent
// use.
func (c *Core) FenceIndex() uint64 { return c.fence.index() }

// ReportUnreachable reports that a message to a member could not be sent.
func (c *Core) ReportUnreachable(id uint64) { c.rawNode.ReportUnreachable(id) }

// fail stops the member. All pending requests end with the error.
func (c *Core) fail(err error) error {
	c.stopErr = err
	reason := errors.Join(ErrStopped, err)
	c.proposals.fail(reason)
	c.reads.fail(reason)
	c.membershipChanges.fail(reason)
	return err
}
