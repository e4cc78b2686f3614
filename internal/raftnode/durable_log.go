package raftnode

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// durableLog holds a member's log, hard state and snapshot twice: in its storage, and in memory, where the engine reads
// them.
//
// Invariant: whatever memory holds was saved in storage before.
type durableLog struct {
	storage Storage
	memory  *raft.MemoryStorage
}

// restore adds the persisted state to the memory.
func (l *durableLog) restore(persisted *PersistedState) error {
	if persisted.Snapshot != nil {
		if err := l.memory.ApplySnapshot(persisted.Snapshot); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if hs := persisted.HardState; hs != nil {
		// A hard state of which only the commit index has changed is not saved. The entries that a snapshot covers are
		// committed, so that the commit index is at least the snapshot's.
		snapshotIndex := persisted.Snapshot.GetMetadata().GetIndex()
		if hs.GetCommit() < snapshotIndex {
			hs.Commit = proto.Uint64(snapshotIndex)
		}
		if err := l.memory.SetHardState(hs); err != nil {
			return err
		}
	}
	if err := l.memory.Append(persisted.Entries); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// save writes the hard state, entries and snapshot of a Ready to the storage, and then adds them to the memory.
func (l *durableLog) save(ready *raft.Ready) error {
	var snapshot *pb.Snapshot
	if !raft.IsEmptySnap(ready.Snapshot) {
		snapshot = ready.Snapshot
	}
	if ready.HardState == nil && len(ready.Entries) == 0 && snapshot == nil {
		return nil
	}
	sync := ready.MustSync || snapshot != nil
	hardState := ready.HardState
	if hardState == nil && sync {
		hardState = l.hardState()
	}
	if err := l.storage.Save(hardState, ready.Entries, snapshot, sync); err != nil {
		return fmt.Errorf("storage: save hard state and entries: %w", err)
	}
	if snapshot != nil {
		if err := l.memory.ApplySnapshot(snapshot); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if ready.HardState != nil {
		if err := l.memory.SetHardState(ready.HardState); err != nil {
			return err
		}
	}
	return l.memory.Append(ready.Entries)
}

// hardState returns the hard state in memory, or nil if it is empty. It is saved together with entries, so that a
// commit index that was received without entries, and was therefore not saved, survives a restart.
func (l *durableLog) hardState() *pb.HardState {
	hardState, _, err := l.memory.InitialState()
	if err != nil || raft.IsEmptyHardState(hardState) {
		return nil
	}
	return hardState
}

// saveSnapshot saves a snapshot, data, that the member has taken of its state at an index.
func (l *durableLog) saveSnapshot(index uint64, m membership, data []byte) error {
	snapshot, err := l.memory.CreateSnapshot(index, m.confState, data)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := l.storage.SaveSnapshot(snapshot); err != nil {
		return fmt.Errorf("storage: save snapshot: %w", err)
	}
	return nil
}

// compact removes the entries that the snapshot at snapshotIndex covers, but keeps the last ones, retained in number.
func (l *durableLog) compact(snapshotIndex, retained uint64) error {
	if snapshotIndex <= retained {
		return nil
	}
	index := snapshotIndex - retained
	if err := l.memory.Compact(index); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("log: %w", err)
	}
	return l.storage.Compact(index)
}
