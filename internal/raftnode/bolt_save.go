package raftnode

import (
	"encoding/binary"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Save writes its arguments in one transaction, which bbolt syncs before Save returns. A hard state that needs no sync
// (only its commit index has changed) is not written: after a restart the leader sends the commit index again.
func (s *BoltStorage) Save(hardState *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot, sync bool) error {
	if !sync {
		return nil
	}
	return s.update(func(tx *bbolt.Tx) error {
		if snapshot != nil {
			if err := replaceLogBySnapshot(tx, snapshot); err != nil {
				return err
			}
		}
		if hardState != nil {
			if err := putChecksummed(tx.Bucket(bucketState), keyHardState, hardState); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		return replaceLogTail(tx, entries)
	})
}

// SaveSnapshot stores a snapshot that the member has taken itself.
func (s *BoltStorage) SaveSnapshot(snapshot *pb.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		return putChecksummed(tx.Bucket(bucketState), keySnapshot, snapshot)
	})
}

// Compact removes the entries up to and including index.
func (s *BoltStorage) Compact(index uint64) error {
	return s.update(func(tx *bbolt.Tx) error {
		return deletePrefix(tx.Bucket(bucketLog), func(i uint64) bool { return i <= index })
	})
}

// replaceLogBySnapshot stores a snapshot that the leader has sent and removes all entries.
func replaceLogBySnapshot(tx *bbolt.Tx, snapshot *pb.Snapshot) error {
	if err := putChecksummed(tx.Bucket(bucketState), keySnapshot, snapshot); err != nil {
		return err
	}
	all := func(uint64) bool { return true }
	if err := deletePrefix(tx.Bucket(bucketLog), all); err != nil {
		return err
	}
	return putLastIndex(tx, snapshot.GetMetadata().GetIndex())
}

// replaceLogTail stores entries. They replace all stored entries from the first one's index on.
func replaceLogTail(tx *bbolt.Tx, entries []*pb.Entry) error {
	log := tx.Bucket(bucketLog)
	if err := deleteFrom(log, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putChecksummed(log, encodeUint64(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return putLastIndex(tx, entries[len(entries)-1].GetIndex())
}

// putLastIndex records the index of the log's last entry.
func putLastIndex(tx *bbolt.Tx, index uint64) error {
	return putChecksummed(tx.Bucket(bucketState), keyLastEntry, &pb.Entry{Index: proto.Uint64(index)})
}

// deletePrefix removes entries from the beginning of the log, up to the first one for which shouldDelete returns false.
func deletePrefix(log *bbolt.Bucket, shouldDelete func(index uint64) bool) error {
	cursor := log.Cursor()
	for key, _ := cursor.First(); key != nil && shouldDelete(binary.BigEndian.Uint64(key)); key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteFrom removes the entries from an index on.
func deleteFrom(log *bbolt.Bucket, index uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeUint64(index)); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}
