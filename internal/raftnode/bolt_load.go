package raftnode

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Load returns all that is stored. It verifies every checksum, and that no entry is missing:
// its errors wrap [ErrCorruptFile].
func (s *BoltStorage) Load() (persisted PersistedState, err error) {
	defer recoverCorruption(&err, s.db.Path())()
	err = s.db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(bucketState)
		lastIndex, err := loadLastIndex(state)
		if err != nil {
			return err
		}
		if err := loadState(state, &persisted); err != nil {
			return err
		}
		next := persisted.Snapshot.GetMetadata().GetIndex() + 1
		persisted.Entries, err = loadEntries(tx.Bucket(bucketLog), next)
		if err != nil {
			return err
		}
		return verifyComplete(&persisted, lastIndex)
	})
	return persisted, err
}

// loadLastIndex returns the index of the log's last entry, or 0. A key of the state bucket
// that is not known is an error.
func loadLastIndex(state *bbolt.Bucket) (uint64, error) {
	last := &pb.Entry{}
	err := state.ForEach(func(key, value []byte) error {
		switch {
		case bytes.Equal(key, keyLastEntry):
			return decodeChecksummed(value, last)
		case bytes.Equal(key, keyHardState), bytes.Equal(key, keySnapshot):
			return nil
		default:
			return fmt.Errorf("state %q: %w", key, ErrCorruptFile)
		}
	})
	return last.GetIndex(), err
}

// loadState reads the hard state and the snapshot, where they are stored.
func loadState(state *bbolt.Bucket, persisted *PersistedState) error {
	if value := state.Get(keyHardState); value != nil {
		persisted.HardState = &pb.HardState{}
		if err := decodeChecksummed(value, persisted.HardState); err != nil {
			return fmt.Errorf("hard state: %w", err)
		}
	}
	if value := state.Get(keySnapshot); value != nil {
		persisted.Snapshot = &pb.Snapshot{}
		if err := decodeChecksummed(value, persisted.Snapshot); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	return nil
}

// loadEntries reads the log from an index on.
func loadEntries(log *bbolt.Bucket, next uint64) ([]*pb.Entry, error) {
	var entries []*pb.Entry
	cursor := log.Cursor()
	for key, value := cursor.Seek(encodeUint64(next)); key != nil; key, value = cursor.Next() {
		entry := &pb.Entry{}
		if err := decodeChecksummed(value, entry); err != nil {
			return nil, fmt.Errorf("entry %x: %w", key, err)
		}
		if entry.GetIndex() != next || binary.BigEndian.Uint64(key) != next {
			return nil, fmt.Errorf("entry %d is missing: %w", next, ErrCorruptFile)
		}
		entries = append(entries, entry)
		next++
	}
	return entries, nil
}

// verifyComplete verifies that no part of the stored state is missing. lastIndex is the index
// of the log's last entry as recorded in the state bucket.
func verifyComplete(persisted *PersistedState, lastIndex uint64) error {
	hasOtherState := persisted.Snapshot != nil || len(persisted.Entries) > 0 || lastIndex > 0
	if persisted.HardState == nil && hasOtherState {
		return fmt.Errorf("the hard state is missing: %w", ErrCorruptFile)
	}
	end := persisted.Snapshot.GetMetadata().GetIndex() + uint64(len(persisted.Entries))
	if end < lastIndex {
		return fmt.Errorf("the log ends at %d, not at %d: %w", end, lastIndex, ErrCorruptFile)
	}
	if commit := persisted.HardState.GetCommit(); commit > end {
		return fmt.Errorf("entries up to %d were committed, and %d is missing: %w", commit, end+1, ErrCorruptFile)
	}
	return nil
}
