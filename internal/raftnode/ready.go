package raftnode

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// ProcessReady persists, sends and applies the engine's pending output. It passes each message to send as soon as the
// state that the message acknowledges is saved. A leader's entries are sent at once, while it saves them itself
// (section 10.2.1 of Ongaro's dissertation). After an error the member has stopped; [NewCore] may restart it from its
// storage.
func (c *Core) ProcessReady(send func(*pb.Message)) error {
	for c.stopErr == nil && c.rawNode.HasReady() {
		ready := c.rawNode.Ready()
		if err := c.processReady(&ready, send); err != nil {
			return c.fail(err)
		}
	}
	return c.stopErr
}

// processReady handles one Ready of the engine.
func (c *Core) processReady(ready *raft.Ready, send func(*pb.Message)) error {
	for _, m := range ready.Messages {
		if isSendableBeforePersist(m) {
			send(m)
		}
	}
	if err := c.log.save(ready); err != nil {
		return err
	}
	c.fence.record(ready.Entries, c.appliedIndex)
	c.sendAfterPersist(ready.Messages, send)
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := c.applyEntry(entry); err != nil {
			return err
		}
	}
	c.fence.advance(c.appliedIndex)
	c.reads.confirm(ready.ReadStates)
	c.rawNode.Advance(*ready)
	c.reads.complete(c.appliedIndex)
	return c.snapshotIfDue()
}

// isSendableBeforePersist reports whether a message acknowledges nothing that its sender has to save first. This holds
// for the messages by which a leader replicates entries and sends heartbeats.
func isSendableBeforePersist(m *pb.Message) bool {
	return m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat
}

// sendAfterPersist sends the messages that were held back until the Ready's state was persisted. It also starts the
// timeouts of snapshots that are sent.
func (c *Core) sendAfterPersist(messages []*pb.Message, send func(*pb.Message)) {
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap {
			c.transfers[m.GetTo()] = 0
		}
		if !isSendableBeforePersist(m) {
			send(m)
		}
	}
}

// applyEntry applies one committed entry, unless it was applied before.
func (c *Core) applyEntry(entry *pb.Entry) error {
	if entry.GetIndex() <= c.appliedIndex {
		return nil
	}
	c.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		return c.applyConfChange(entry)
	default:
		return c.applyProposal(entry)
	}
}

// applyProposal applies an entry that holds a proposal to the configuration state.
func (c *Core) applyProposal(entry *pb.Entry) error {
	if len(entry.GetData()) == 0 {
		return nil // the empty entry at the start of a new leader's term
	}
	id, outcome, err := c.state.Apply(entry.GetData())
	if err != nil {
		return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	if c.OnApplied != nil {
		c.OnApplied(entry.GetIndex(), id, outcome)
	}
	c.proposals.complete(id, outcome, nil)
	return nil
}

// applyConfChange applies an entry that changes the membership.
func (c *Core) applyConfChange(entry *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
		return fmt.Errorf("entry %d: decode membership change: %w", entry.GetIndex(), err)
	}
	wasMember := c.membership.contains(c.cfg.ID)
	c.membership = membership{
		confState: c.rawNode.ApplyConfChange(&change),
		index:     entry.GetIndex(),
		before:    c.membership.index,
	}
	c.snapshots.membershipChanged = true
	if wasMember && !c.membership.contains(c.cfg.ID) {
		return ErrRemoved
	}
	c.membershipChanges.complete(string(change.GetContext()))
	return nil
}
