package raftnode

import (
	"cmp"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// membership is the cluster's membership as of the last applied entry that changes it.
type membership struct {
	confState *pb.ConfState
	index     uint64 // of the entry, or of the snapshot that the membership was restored from
	before    uint64 // index of the membership that directly preceded it; 0 if this process has not applied the entry
}

// ids returns the ids of all members in ascending order: voters and learners and, in a joint configuration, also the
// outgoing voters and the next learners.
func (m membership) ids() []uint64 {
	ids := slices.Concat(
		m.confState.GetVoters(),
		m.confState.GetVotersOutgoing(),
		m.confState.GetLearners(),
		m.confState.GetLearnersNext(),
	)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// contains reports whether a member belongs to the membership in any role.
func (m membership) contains(id uint64) bool { return slices.Contains(m.ids(), id) }

// isJoint reports whether the membership is a joint configuration, that is, whether a change of the voters is in
// progress.
func (m membership) isJoint() bool { return len(m.confState.GetVotersOutgoing()) > 0 }

// membershipWaiters holds the callbacks of pending membership changes, by the change's id, which is the context of its
// entry.
type membershipWaiters map[string]func(error)

// complete calls and removes the callback of a change that was applied.
func (w membershipWaiters) complete(id string) {
	done := w[id]
	if done == nil {
		return
	}
	delete(w, id)
	done(nil)
}

// fail calls and removes all callbacks, with an error.
func (w membershipWaiters) fail(err error) {
	for id, done := range w {
		delete(w, id)
		done(err)
	}
}

// Members returns the ids of the voters and learners of the membership in force.
func (c *Core) Members() (voters, learners []uint64) {
	return c.membership.confState.GetVoters(), c.membership.confState.GetLearners()
}

// ProposeConfChange proposes a change of the membership. Several changes at once use a joint configuration. done is
// called with nil when this member has applied the change, or with an error. id must be unique.
func (c *Core) ProposeConfChange(id string, changes []*pb.ConfChangeSingle, done func(error)) {
	if c.stopErr != nil {
		done(c.stopErr)
		return
	}
	err := c.rawNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: []byte(id)})
	if err != nil {
		done(ErrNoLeader)
		return
	}
	c.membershipChanges[id] = done
}

// AbandonMembershipChange stops waiting for a membership change; its done is not called. The change may still be
// applied.
func (c *Core) AbandonMembershipChange(id string) { delete(c.membershipChanges, id) }

// TransferCandidates returns the voters that may take over the leadership from this member: first those that have
// responded recently, and of these first those that lack the fewest entries. It returns none unless this member leads.
func (c *Core) TransferCandidates() []uint64 {
	progress := c.rawNode.Status().Progress // empty unless this member leads
	voters, _ := c.Members()
	candidates := slices.DeleteFunc(slices.Clone(voters), func(id uint64) bool {
		_, isKnown := progress[id]
		return id == c.cfg.ID || !isKnown
	})
	slices.SortStableFunc(candidates, func(a, b uint64) int {
		switch first, second := progress[a], progress[b]; {
		case first.RecentActive != second.RecentActive && first.RecentActive:
			return -1
		case first.RecentActive != second.RecentActive:
			return 1
		default:
			return cmp.Compare(second.Match, first.Match)
		}
	})
	return candidates
}

// TransferLeadership requests that the leader transfer its leadership to another member.
func (c *Core) TransferLeadership(to uint64) { c.rawNode.TransferLeader(to) }
