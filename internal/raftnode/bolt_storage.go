package raftnode

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is the longest wait for a file that another process has open.
const lockTimeout = time.Second

// BoltStorage is a [Storage] in one bbolt file. The package comment describes the file format. It is safe for
// concurrent use.
type BoltStorage struct {
	db          *bbolt.DB
	incarnation uint64
}

// OpenBoltStorage opens or creates a member's file. The error of a file that cannot be trusted
// wraps [ErrCorruptFile], [ErrForeignFile] or [ErrRestoredFile].
func OpenBoltStorage(path, cluster string, member uint64) (*BoltStorage, error) {
	return openBoltStorage(path, cluster, member, rejectRestored)
}

// AdoptFile accepts a file that was moved to path as the newest file of its member, so that [OpenBoltStorage] opens it.
// Only an operator can know that the file is not an old copy.
func AdoptFile(path, cluster string, member uint64) error {
	storage, err := openBoltStorage(path, cluster, member, acceptRestored)
	if err != nil {
		return err
	}
	return storage.Close()
}

// restoredFilePolicy selects how a file is treated that was copied or restored after its member last wrote it.
type restoredFilePolicy int

const (
	rejectRestored restoredFilePolicy = iota
	acceptRestored
)

func openBoltStorage(path, cluster string, member uint64, policy restoredFilePolicy) (storage *BoltStorage, err error) {
	defer recoverCorruption(&err, path)()
	info, statErr := os.Stat(path)
	isNew := errors.Is(statErr, os.ErrNotExist)
	db, err := openDatabase(path, isNew)
	if err != nil {
		return nil, err
	}
	storage = &BoltStorage{db: db}
	if isNew {
		err = storage.initialize(cluster, member)
	} else {
		err = storage.verifyIdentity(cluster, member)
		if err == nil && policy == rejectRestored {
			err = storage.verifyNotRestored(info)
		}
	}
	if err == nil {
		err = storage.beginIncarnation()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return storage, nil
}

// openDatabase opens or creates a bbolt file. The error of an existing file that bbolt cannot open wraps
// [ErrCorruptFile], unless another process has the file open.
func openDatabase(path string, isNew bool) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another process has it open", path)
	case isNew:
		return nil, fmt.Errorf("%s: %w", path, err)
	default:
		return nil, fmt.Errorf("%s: %w: %w", path, ErrCorruptFile, err)
	}
}

// recoverCorruption converts the panics that a corrupt file causes into errors that wrap [ErrCorruptFile]: bbolt panics
// on invalid pages, and an access to the memory map of a truncated file faults. Usage:
//
//	defer recoverCorruption(&err, path)()
func recoverCorruption(err *error, path string) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%s: %w: %v", path, ErrCorruptFile, p)
		}
	}
}

// Incarnation returns the number of times that the file was opened, including this time.
func (s *BoltStorage) Incarnation() uint64 { return s.incarnation }

func (s *BoltStorage) Close() error { return s.db.Close() }
