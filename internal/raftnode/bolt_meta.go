package raftnode

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
)

// maxStatusChangeDelay is the longest time between the last write recorded in a file and the file's status change time
// (ctime, which cannot be set by a program). A longer time means that the file was copied or restored.
const maxStatusChangeDelay = 30 * time.Second

// initialize creates the buckets of a new file and records its cluster and member.
func (s *BoltStorage) initialize(cluster string, member uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketState, bucketLog} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		return errors.Join(
			meta.Put(keyFormat, binary.BigEndian.AppendUint32(nil, formatVersion)),
			meta.Put(keyCluster, []byte(cluster)),
			meta.Put(keyMember, encodeUint64(member)),
		)
	})
}

// verifyIdentity verifies the file's format, member and cluster. It does not use bbolt's own check, which runs in a
// goroutine of its own: a fault there would end the process. [BoltStorage.Load] verifies the checksums instead. Its
// errors wrap [ErrCorruptFile] or [ErrForeignFile], except for the error of a newer format.
func (s *BoltStorage) verifyIdentity(cluster string, member uint64) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil || tx.Bucket(bucketState) == nil || tx.Bucket(bucketLog) == nil {
			return ErrCorruptFile
		}
		format := meta.Get(keyFormat)
		storedMember := meta.Get(keyMember)
		if len(format) != uint32Bytes || len(storedMember) != uint64Bytes {
			return ErrCorruptFile
		}
		if version := binary.BigEndian.Uint32(format); version > formatVersion {
			return fmt.Errorf("file format %d is newer than this program supports: update the program", version)
		}
		fileCluster := string(meta.Get(keyCluster))
		fileMember := binary.BigEndian.Uint64(storedMember)
		if fileCluster != cluster || fileMember != member {
			return fmt.Errorf("%w: it is of member %d of cluster %q, want member %d of cluster %q",
				ErrForeignFile, fileMember, fileCluster, member, cluster)
		}
		return nil
	})
}

// verifyNotRestored verifies that a file was not copied or restored after its member last wrote it. Copying or
// restoring sets the file's status change time to a time after the last recorded write. The error then wraps
// [ErrRestoredFile].
func (s *BoltStorage) verifyNotRestored(info os.FileInfo) error {
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return nil // no ctime on this system: an old copy is detected only by the peers' records of the incarnation
	}
	writtenAt, err := s.writtenAt()
	if err != nil {
		return err
	}
	changedAt := time.Unix(stat.Ctim.Unix())
	if changedAt.Sub(writtenAt) > maxStatusChangeDelay {
		return fmt.Errorf("last written at %s, status changed at %s: %w",
			writtenAt.UTC().Format(time.RFC3339), changedAt.UTC().Format(time.RFC3339), ErrRestoredFile)
	}
	return nil
}

// writtenAt returns the recorded time of the file's last transaction.
func (s *BoltStorage) writtenAt() (time.Time, error) {
	var encoded []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		encoded = slices.Clone(tx.Bucket(bucketMeta).Get(keyWrittenAt))
		return nil
	})
	if err != nil {
		return time.Time{}, err
	}
	if len(encoded) != uint64Bytes {
		return time.Time{}, ErrCorruptFile
	}
	return time.Unix(0, int64(binary.BigEndian.Uint64(encoded))), nil
}

// beginIncarnation increments the stored incarnation, the number of times that the file was opened.
func (s *BoltStorage) beginIncarnation() error {
	return s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if encoded := meta.Get(keyIncarnation); len(encoded) == uint64Bytes {
			s.incarnation = binary.BigEndian.Uint64(encoded)
		}
		s.incarnation++
		return meta.Put(keyIncarnation, encodeUint64(s.incarnation))
	})
}

// update runs a read-write transaction and records its time in the file.
func (s *BoltStorage) update(change func(tx *bbolt.Tx) error) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := change(tx); err != nil {
			return err
		}
		now := uint64(time.Now().UnixNano())
		return tx.Bucket(bucketMeta).Put(keyWrittenAt, encodeUint64(now))
	})
}
