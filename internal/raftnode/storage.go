package raftnode

import pb "go.etcd.io/raft/v3/raftpb"

// Storage persists a member's log, hard state and snapshot. The member stops after an error of any method, since
// nothing that depends on the failed write may be sent.
type Storage interface {
	// Load returns the stored state.
	Load() (PersistedState, error)
	// Save stores those arguments that are not nil. If sync is true, they are durable when Save returns; otherwise they
	// may be lost in a crash. The entries replace all stored entries from the first one's index on. The snapshot was
	// received from the leader: it replaces the complete log, no entry of which may reappear.
	Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error
	// SaveSnapshot stores a snapshot that the member has taken of its own state, and keeps the log.
	SaveSnapshot(snap *pb.Snapshot) error
	// Compact removes the entries up to and including index. A stored snapshot must cover them.
	Compact(index uint64) error
}

// PersistedState is the state that a [Storage] holds.
type PersistedState struct {
	HardState *pb.HardState // nil if nothing was saved yet
	Snapshot  *pb.Snapshot  // nil if there is no snapshot
	Entries   []*pb.Entry   // the log's entries after the snapshot
}
