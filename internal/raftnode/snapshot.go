package raftnode

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// snapshotTimeoutElections is the number of election timeouts after which a snapshot without a
// reported result counts as lost.
const snapshotTimeoutElections = 10

// restoreSnapshot replaces the state by that of a snapshot.
func (c *Core) restoreSnapshot(snapshot *pb.Snapshot) error {
	if err := c.state.Restore(snapshot.GetData()); err != nil {
		return err
	}
	metadata := snapshot.GetMetadata()
	c.appliedIndex = metadata.GetIndex()
	c.snapshotIndex = metadata.GetIndex()
	c.confState = metadata.GetConfState()
	c.appliedFence = max(c.appliedFence, c.snapshotIndex) // the index of the entry itself is not known any more
	c.updateFence()
	return nil
}

// snapshotIfDue takes a snapshot when enough entries were applied since the last one, or the
// membership has changed, and compacts the log behind it.
func (c *Core) snapshotIfDue() error {
	isLogLong := c.appliedIndex-c.snapshotIndex >= c.cfg.EntriesPerSnapshot
	hasNewMembership := c.snapshotDue && c.appliedIndex > c.snapshotIndex
	if !isLogLong && !hasNewMembership {
		return nil
	}
	c.snapshotDue = false
	data, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := c.raftLog.CreateSnapshot(c.appliedIndex, c.confState, data)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := c.storage.SaveSnapshot(snapshot); err != nil {
		return fmt.Errorf("saving a snapshot: %w", err)
	}
	c.snapshotIndex = c.appliedIndex
	return c.compactLog()
}

// compactLog drops the entries that the snapshot covers, except for the last CatchUpEntries.
func (c *Core) compactLog() error {
	if c.appliedIndex <= c.cfg.CatchUpEntries {
		return nil
	}
	index := c.appliedIndex - c.cfg.CatchUpEntries
	if err := c.raftLog.Compact(index); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("log: %w", err)
	}
	return c.storage.Compact(index)
}

// ReportSnapshot reports whether a snapshot was delivered to a member.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	delete(c.snapshotsInFlight, id)
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.rawNode.ReportSnapshot(id, status)
}

// expireSnapshots counts a tick for the snapshots in flight and reports those as failed that
// have timed out. The engine sends a member nothing else until the result of its snapshot is
// reported: if both were lost, the member would stall for good.
func (c *Core) expireSnapshots() {
	timeoutTicks := snapshotTimeoutElections * c.cfg.ElectionTicks
	for _, id := range slices.Sorted(maps.Keys(c.snapshotsInFlight)) {
		c.snapshotsInFlight[id]++
		if c.snapshotsInFlight[id] > timeoutTicks {
			c.ReportSnapshot(id, false)
		}
	}
}
