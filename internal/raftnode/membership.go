package raftnode

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Members returns the ids of the voters and learners of the membership in force.
func (c *Core) Members() (voters, learners []uint64) {
	return c.confState.GetVoters(), c.confState.GetLearners()
}

// memberIDs returns the ids of all members in ascending order: voters, outgoing voters and
// learners of a joint configuration among them.
func (c *Core) memberIDs() []uint64 {
	ids := slices.Concat(
		c.confState.GetVoters(),
		c.confState.GetVotersOutgoing(),
		c.confState.GetLearners(),
		c.confState.GetLearnersNext(),
	)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// isMember reports whether the membership in force has a member.
func (c *Core) isMember(id uint64) bool {
	return slices.Contains(c.memberIDs(), id)
}

// isJoint reports whether the membership in force is a joint configuration.
func (c *Core) isJoint() bool { return len(c.confState.GetVotersOutgoing()) > 0 }

// ProposeMembershipChange proposes a change of the membership; several changes at once use a
// joint configuration. done is called when the change is applied here, or with an error. id
// must be unique.
func (c *Core) ProposeMembershipChange(id string, changes []*pb.ConfChangeSingle, done func(error)) {
	if c.stopErr != nil {
		done(c.stopErr)
		return
	}
	err := c.rawNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: []byte(id)})
	if err != nil {
		done(ErrNoLeader)
		return
	}
	c.membershipWaiters[id] = done
}

// AbandonMembershipChange stops waiting for a membership change, without calling done. The
// change may still be applied.
func (c *Core) AbandonMembershipChange(id string) { delete(c.membershipWaiters, id) }

// completeMembershipChange calls done for a membership change that was applied.
func (c *Core) completeMembershipChange(id string) {
	done := c.membershipWaiters[id]
	if done == nil {
		return
	}
	delete(c.membershipWaiters, id)
	done(nil)
}

// failMembershipChanges calls done with an error for all membership changes.
func (c *Core) failMembershipChanges(err error) {
	for id, done := range c.membershipWaiters {
		delete(c.membershipWaiters, id)
		done(err)
	}
}

// TransferLeadership requests the leader to transfer its leadership to another member.
func (c *Core) TransferLeadership(to uint64) { c.rawNode.TransferLeader(to) }
