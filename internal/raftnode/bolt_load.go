package raftnode

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Load returns the stored state. It verifies every checksum, and that no entry is missing. The error of a failed
// verification wraps [ErrCorruptFile].
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
		return verifyNothingMissing(&persisted, lastIndex)
	})
	return persisted, err
}

// loadLastIndex returns the recorded index of the log's last entry, or 0 if none is recorded. An unknown key in the
// state bucket is an error.
func loadLastIndex(state *bbolt.Bucket) (uint64, error) {
	last := &pb.Entry{}
	err := state.ForEach(func(key, value []byte) error {
		switch {
		case bytes.Equal(key, keyLastEntry):
			return decodeChecksummed(value, last)
		case bytes.Equal(key, keyHardState), bytes.Equal(key, keySnapshot):
			return nil
		default:
			return fmt.Errorf("state bucket: unknown key %q: %w", key, ErrCorruptFile)
		}
	})
	return last.GetIndex(), err
}

// loadState reads the hard state and the snapshot, if they are stored.
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

// loadEntries reads the log's entries from index next to the end.
func loadEntries(log *bbolt.Bucket, next uint64) ([]*pb.Entry, error) {
	var entries []*pb.Entry
	cursor := log.Cursor()
	for key, value := cursor.Seek(encodeUint64(next)); key != nil; key, value = cursor.Next() {
		entry := &pb.Entry{}
		if err := decodeChecksummed(value, entry); err != nil {
			return nil, fmt.Errorf("log entry with key %x: %w", key, err)
		}
		if entry.GetIndex() != next || binary.BigEndian.Uint64(key) != next {
			return nil, fmt.Errorf("log entry %d is missing: %w", next, ErrCorruptFile)
		}
		entries = append(entries, entry)
		next++
	}
	return entries, nil
}

// verifyNothingMissing verifies that no part of the stored state is missing. lastIndex is the index
// of the log's last entry as recorded in the state bucket.
func verifyNothingMissing(persisted *PersistedState, lastIndex uint64) error {
	hasOtherState := persisted.Snapshot != nil || len(persisted.Entries) > 0 || lastIndex > 0
	if persisted.HardState == nil && hasOtherState {
		return fmt.Errorf("the hard state is missing: %w", ErrCorruptFile)
	}
	end := persisted.Snapshot.GetMetadata().GetIndex() + uint64(len(persisted.Entries))
	if end < lastIndex {
		return fmt.Errorf("the log ends at entry %d, but entry %d was written: %w", end, lastIndex, ErrCorruptFile)
	}
	if commit := persisted.HardState.GetCommit(); commit > end {
		return fmt.Errorf("entries up to %d were committed, but entry %d is missing: %w", commit, end+1, ErrCorruptFile)
	}
	return nil
}
