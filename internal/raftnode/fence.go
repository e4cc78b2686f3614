package raftnode

import (
	"slices"
	"sync/atomic"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
)

// fence tracks the index of the last entry saved by this member that changes key owners or the membership, committed or
// not. A member sends this index when it confirms key owners to another member, so that the other one never misses a
// change that may have been committed.
type fence struct {
	applied   uint64        // index of the last applied such entry, or a later index
	unapplied []uint64      // indexes of the saved such entries that are not applied, ascending
	published atomic.Uint64 // the largest of these indexes; read by other goroutines
}

// index returns the tracked index. It is safe for concurrent use.
func (f *fence) index() uint64 { return f.published.Load() }

// record records which of the newly saved entries change key owners or the membership. The new entries replace all
// earlier saved ones from the first one's index on.
func (f *fence) record(entries []*pb.Entry, appliedIndex uint64) {
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		f.unapplied = slices.DeleteFunc(f.unapplied, func(index uint64) bool { return index >= first })
	}
	for _, entry := range entries {
		if isFence(entry) {
			f.unapplied = append(f.unapplied, entry.GetIndex())
		}
	}
	f.advance(appliedIndex)
}

// restore advances the fence to a snapshot's index, since the index of the last such entry that the snapshot covers is
// no longer known.
func (f *fence) restore(snapshotIndex uint64) {
	f.applied = max(f.applied, snapshotIndex)
	f.advance(snapshotIndex)
}

// advance records that the entries up to an index were applied, and publishes the new fence index.
func (f *fence) advance(appliedIndex uint64) {
	count := 0
	for ; count < len(f.unapplied) && f.unapplied[count] <= appliedIndex; count++ {
		f.applied = max(f.applied, f.unapplied[count])
	}
	f.unapplied = f.unapplied[count:]
	last := f.applied
	if n := len(f.unapplied); n > 0 {
		last = max(last, f.unapplied[n-1])
	}
	f.published.Store(last)
}

// isFence reports whether an entry changes key owners or the membership.
func isFence(entry *pb.Entry) bool {
	if entry.GetType() != pb.EntryNormal {
		return true
	}
	return len(entry.GetData()) > 0 && clusterconfig.ChangesPlacement(entry.GetData())
}
