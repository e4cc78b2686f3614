package raftnode

import pb "go.etcd.io/raft/v3/raftpb"

// Storage persists a member's log, hard state and snapshot. After an error of any method the
// member stops: nothing that depends on the failed write may be sent.
type Storage interface {
	// Load returns all that is stored.
	Load() (PersistedState, error)
	// Save stores those arguments that are not nil. If sync is true, they are durable when it
	// returns; otherwise they may be lost in a crash. Entries replace those stored from the
	// first one's index on. The snapshot is one received from the leader: it replaces the
	// complete log, of which nothing may reappear.
	Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error
	// SaveSnapshot stores a snapshot that the member has taken itself, and keeps its log.
	SaveSnapshot(snap *pb.Snapshot) error
	// Compact removes the entries up to and including index, which a stored snapshot covers.
	Compact(index uint64) error
}

// PersistedState is the content of a [Storage].
type PersistedState struct {
	HardState *pb.HardState // nil: nothing was ever saved
	Snapshot  *pb.Snapshot  // nil: none
	Entries   []*pb.Entry   // of the log, after the snapshot
}
