package raftnode

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memoryStorage is a [Storage] in memory. It holds encoded copies, so that later changes to a stored message do not
// affect it.
type memoryStorage struct {
	hardState []byte
	snapshot  []byte
	log       map[uint64][]byte // by index
	failsSync func() bool       // reports whether the next fsync fails; nil: no fsync fails
}

var errSyncFailed = errors.New("injected fsync failure")

// Load decodes and returns the stored state.
func (d *memoryStorage) Load() (persisted PersistedState, err error) {
	if d.hardState != nil {
		persisted.HardState = &pb.HardState{}
		err = proto.Unmarshal(d.hardState, persisted.HardState)
	}
	next := uint64(1)
	if d.snapshot != nil {
		persisted.Snapshot = &pb.Snapshot{}
		err = errors.Join(err, proto.Unmarshal(d.snapshot, persisted.Snapshot))
		next = persisted.Snapshot.GetMetadata().GetIndex() + 1
	}
	for ; d.log[next] != nil; next++ {
		entry := &pb.Entry{}
		err = errors.Join(err, proto.Unmarshal(d.log[next], entry))
		persisted.Entries = append(persisted.Entries, entry)
	}
	return persisted, err
}

// Save stores all of its arguments, or none of them if the fsync fails. It discards arguments that need no sync, as a
// crash may.
func (d *memoryStorage) Save(hardState *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot, sync bool) error {
	if !sync {
		return nil
	}
	if d.failsSync != nil && d.failsSync() {
		return errSyncFailed
	}
	if snapshot != nil {
		d.snapshot = mustMarshal(snapshot)
		d.log = map[uint64][]byte{}
	}
	if hardState != nil {
		d.hardState = mustMarshal(hardState)
	}
	if d.log == nil {
		d.log = map[uint64][]byte{}
	}
	if len(entries) > 0 {
		for index := entries[0].GetIndex(); d.log[index] != nil; index++ {
			delete(d.log, index)
		}
	}
	for _, entry := range entries {
		d.log[entry.GetIndex()] = mustMarshal(entry)
	}
	return nil
}

// SaveSnapshot stores a snapshot, unless the fsync fails.
func (d *memoryStorage) SaveSnapshot(snapshot *pb.Snapshot) error {
	if d.failsSync != nil && d.failsSync() {
		return errSyncFailed
	}
	d.snapshot = mustMarshal(snapshot)
	return nil
}

// Compact removes the entries up to and including index.
func (d *memoryStorage) Compact(index uint64) error {
	for ; d.log[index] != nil; index-- {
		delete(d.log, index)
	}
	return nil
}

func mustMarshal(m proto.Message) []byte {
	encoded, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return encoded
}
