package raftnode

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// snapshotTimeoutElections is the number of election timeouts after which a sent snapshot without a reported result is
// treated as lost.
const snapshotTimeoutElections = 10

// snapshotSchedule decides when a member takes a snapshot of its own state.
type snapshotSchedule struct {
	lastIndex         uint64 // index of the newest snapshot
	membershipChanged bool   // since the newest snapshot: new members need a snapshot that includes the change
}

// isDue reports whether a snapshot has to be taken: whether entriesPerSnapshot entries were applied, or the membership
// has changed, since the newest one.
func (s *snapshotSchedule) isDue(appliedIndex, entriesPerSnapshot uint64) bool {
	hasEnoughEntries := appliedIndex-s.lastIndex >= entriesPerSnapshot
	return hasEnoughEntries || s.membershipChanged && appliedIndex > s.lastIndex
}

// snapshotTransfers holds the snapshots in flight: the ticks since each was sent, by the receiver's id.
type snapshotTransfers map[uint64]int

// tick advances the clock by one tick and returns the receivers whose snapshots are treated as lost, in ascending
// order.
func (t snapshotTransfers) tick(timeoutTicks int) (lost []uint64) {
	for _, id := range slices.Sorted(maps.Keys(t)) {
		t[id]++
		if t[id] > timeoutTicks {
			lost = append(lost, id)
		}
	}
	return lost
}

// restoreSnapshot replaces the configuration state and the membership by those of a snapshot.
func (c *Core) restoreSnapshot(snapshot *pb.Snapshot) error {
	if err := c.state.Restore(snapshot.GetData()); err != nil {
		return err
	}
	metadata := snapshot.GetMetadata()
	c.appliedIndex = metadata.GetIndex()
	c.snapshots.lastIndex = metadata.GetIndex()
	c.membership = membership{confState: metadata.GetConfState(), index: metadata.GetIndex()}
	c.fence.restore(metadata.GetIndex())
	return nil
}

// snapshotIfDue takes a snapshot if one is due, and removes the log entries that it makes unnecessary.
func (c *Core) snapshotIfDue() error {
	if !c.snapshots.isDue(c.appliedIndex, c.cfg.EntriesPerSnapshot) {
		return nil
	}
	c.snapshots.membershipChanged = false
	data, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	if err := c.log.saveSnapshot(c.appliedIndex, c.membership, data); err != nil {
		return err
	}
	c.snapshots.lastIndex = c.appliedIndex
	return c.log.compact(c.appliedIndex, c.cfg.CatchUpEntries)
}

// ReportSnapshot reports whether a snapshot was sent to a member successfully.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	delete(c.transfers, id)
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.rawNode.ReportSnapshot(id, status)
}

// expireSnapshots reports to the engine that the snapshots that are treated as lost have failed. The engine sends a
// member nothing else until the result of its snapshot is reported: if the snapshot and its result were both lost, the
// member would stall forever.
func (c *Core) expireSnapshots() {
	for _, id := range c.transfers.tick(snapshotTimeoutElections * c.cfg.ElectionTicks) {
		c.ReportSnapshot(id, false)
	}
}
