package raftnode

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// Settings of the protocol engine; sizes are in bytes.
const (
	heartbeatTicks      = 1
	maxMessageBytes     = 1 << 20 // size of the entries in one message; a single entry may be longer
	maxCommittedBytes   = 16 << 20
	maxInflightMessages = 64 // messages with entries that a member has not yet acknowledged
	maxInflightBytes    = 32 << 20
	maxUncommittedBytes = 64 << 20 // size of the proposals that are not yet committed
)

// All members of a new cluster start from the same empty snapshot, at this index and term.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// NewCore starts a member from its storage. It returns the storage's errors, and those of a state that cannot be
// restored (see [clusterconfig.State.Restore]).
func NewCore(cfg Config, storage Storage) (*Core, error) {
	persisted, err := storage.Load()
	if err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:               cfg,
		log:               durableLog{storage: storage, memory: raft.NewMemoryStorage()},
		state:             clusterconfig.New(cfg.Validate),
		membership:        membership{confState: &pb.ConfState{}},
		reads:             newPendingReads(),
		proposals:         proposalWaiters{},
		membershipChanges: membershipWaiters{},
		transfers:         snapshotTransfers{},
	}
	if persisted.HardState == nil && persisted.Snapshot == nil && len(cfg.Voters) > 0 {
		if err := c.bootstrap(&persisted); err != nil {
			return nil, err
		}
	}
	if err := c.restorePersisted(&persisted); err != nil {
		return nil, err
	}
	c.rawNode, err = raft.NewRawNode(c.engineConfig())
	if err != nil {
		return nil, err
	}
	return c, nil
}

// bootstrap stores the initial snapshot of a new cluster.
func (c *Core) bootstrap(persisted *PersistedState) error {
	data, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	persisted.Snapshot = &pb.Snapshot{
		Data: data,
		Metadata: &pb.SnapshotMetadata{
			ConfState: &pb.ConfState{Voters: c.cfg.Voters},
			Index:     proto.Uint64(bootstrapIndex),
			Term:      proto.Uint64(bootstrapTerm),
		},
	}
	persisted.HardState = &pb.HardState{Term: proto.Uint64(bootstrapTerm), Commit: proto.Uint64(bootstrapIndex)}
	return c.log.storage.Save(persisted.HardState, nil, persisted.Snapshot, true)
}

// restorePersisted restores the configuration state and the engine's log from the persisted state.
func (c *Core) restorePersisted(persisted *PersistedState) error {
	if persisted.Snapshot != nil {
		if err := c.restoreSnapshot(persisted.Snapshot); err != nil {
			return err
		}
	}
	if err := c.log.restore(persisted); err != nil {
		return err
	}
	c.fence.record(persisted.Entries, c.appliedIndex)
	return nil
}

// engineConfig returns the configuration of the protocol engine.
func (c *Core) engineConfig() *raft.Config {
	return &raft.Config{
		ID:                        c.cfg.ID,
		ElectionTick:              c.cfg.ElectionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   c.log.memory,
		Applied:                   c.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxCommittedBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		StepDownOnRemoval:         true,
		Logger:                    c.cfg.Logger,
	}
}
