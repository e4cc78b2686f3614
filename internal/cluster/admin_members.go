package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// Operations of a [MembershipChange].
const (
	opAddMember          = "add"
	opRemoveMember       = "remove"
	opReplaceMember      = "replace"
	opTransferLeadership = "transfer"
)

const (
	maxVoterLag        = 64 // committed entries that a learner may lack when it becomes a voter
	ticksPerLagRequest = 2  // between two checks of a learner's lag
)

// MembershipChange is a request to change the members or the leader.
type MembershipChange struct {
	Op            string                `json:"op"` // "add", "remove", "replace" or "transfer"
	MemberID      uint64                `json:"member"`
	ReplacementID uint64                `json:"with,omitempty"` // for replace: the new member
	Addrs         *clusterconfig.Member `json:"at,omitempty"`   // for add and replace: of the new member
}

// voterChange returns the changes of voters and learners that remain to be made. Several at once are a joint change.
type voterChange func(voters, learners []uint64) []*raftpb.ConfChangeSingle

// changeMembers changes the members. A new one is a learner until it has caught up.
func (m *Member) changeMembers(ctx context.Context, r *http.Request, change *MembershipChange) (*Status, error) {
	status, err := m.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	if status.Leader == 0 {
		return nil, raftnode.ErrNoLeader
	}
	if status.Leader != status.ID { // only the leader knows a learner's lag
		return m.forwardToLeader(ctx, r, status.Leader, change)
	}
	isMember := slices.Contains(status.Voters, change.MemberID) || slices.Contains(status.Learners, change.MemberID)
	if change.Op != opAddMember && !isMember {
		return nil, newBadRequest("member: %d is none of voters %v and learners %v",
			change.MemberID, status.Voters, status.Learners)
	}
	switch change.Op {
	case opTransferLeadership:
		err = m.transferTo(ctx, status, change.MemberID)
	case opRemoveMember:
		err = m.removeMember(ctx, status, change.MemberID)
	case opAddMember:
		err = m.addMember(ctx, change.MemberID, change.Addrs, addVoter(change.MemberID))
	case opReplaceMember:
		err = m.replaceMember(ctx, change)
	default:
		err = newBadRequest("op: add, remove, replace or transfer is wanted")
	}
	if err != nil {
		return nil, err
	}
	return m.status(ctx)
}

func (m *Member) transferTo(ctx context.Context, status raftnode.Status, id uint64) error {
	if !slices.Contains(status.Voters, id) {
		return newBadRequest("member: %d is no voter", id)
	}
	return m.node.TransferLeadership(ctx, id)
}

func (m *Member) removeMember(ctx context.Context, status raftnode.Status, id uint64) error {
	if len(status.Voters) == 1 && status.Voters[0] == id {
		return newBadRequest("member: %d is the only voter", id)
	}
	if err := m.node.ChangeMembership(ctx, removeMember(id)); err != nil {
		return err
	}
	return m.proposeMemberAddrs(ctx, id, nil)
}

// replaceMember adds a member and removes another in one joint change.
func (m *Member) replaceMember(ctx context.Context, change *MembershipChange) error {
	if change.ReplacementID == change.MemberID {
		return newBadRequest("with: a new number is wanted: that of a member is never used again")
	}
	add, remove := addVoter(change.ReplacementID), removeMember(change.MemberID)
	swap := func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
		return append(add(voters, learners), remove(voters, learners)...)
	}
	if err := m.addMember(ctx, change.ReplacementID, change.Addrs, swap); err != nil {
		return err
	}
	return m.proposeMemberAddrs(ctx, change.MemberID, nil)
}

// addMember makes a member a learner, waits until it has caught up, and promotes it by the change.
func (m *Member) addMember(ctx context.Context, id uint64, addrs *clusterconfig.Member, promote voterChange) error {
	if id == 0 || addrs == nil {
		return newBadRequest("member and at: the number and the addresses of the new member are wanted")
	}
	if err := m.proposeMemberAddrs(ctx, id, addrs); err != nil {
		return err
	}
	if err := m.node.ChangeMembership(ctx, addLearner(id)); err != nil {
		return err
	}
	for {
		lag, known, err := m.node.ReplicationLag(ctx, id)
		if err != nil {
			return err
		}
		if known && lag < maxVoterLag {
			return m.node.ChangeMembership(ctx, promote)
		}
		select {
		case <-ctx.Done():
			text := fmt.Sprintf("member %d is a learner and has not caught up yet (does it run?): "+
				"ask again for the same change", id)
			return &statusError{http.StatusServiceUnavailable, errorResponse{text}}
		case <-time.After(ticksPerLagRequest * m.cfg.tickInterval()):
		}
	}
}

func addLearner(id uint64) voterChange {
	return func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
		if slices.Contains(voters, id) || slices.Contains(learners, id) {
			return nil
		}
		return []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, id)}
	}
}

func addVoter(id uint64) voterChange {
	return func(voters, _ []uint64) []*raftpb.ConfChangeSingle {
		if slices.Contains(voters, id) {
			return nil
		}
		return []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddNode, id)}
	}
}

func removeMember(id uint64) voterChange {
	return func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
		if !slices.Contains(voters, id) && !slices.Contains(learners, id) {
			return nil
		}
		return []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeRemoveNode, id)}
	}
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id}
}

// forwardToLeader has the leader make a change. A request that was forwarded to this member is not forwarded again.
func (m *Member) forwardToLeader(ctx context.Context, r *http.Request, leader uint64, change *MembershipChange) (
	*Status, error) {
	m.mu.Lock()
	addr := m.members[leader].AdminAddress
	m.mu.Unlock()
	if r.Header.Get(headerForwarded) != "" || addr == "" {
		return nil, fmt.Errorf("member %d leads, at %q: ask there", leader, addr)
	}
	client := NewClient(m.cfg.Cluster, m.cfg.Credentials, addr)
	defer client.Close()
	status := &Status{}
	err := client.callAt(ctx, addr, adminCall{
		method:      http.MethodPost,
		path:        pathMembers,
		request:     change,
		response:    status,
		isForwarded: true,
	})
	if e, ok := errors.AsType[*ResponseError](err); ok {
		return nil, &statusError{e.Status, errorResponse{e.Message}}
	}
	if err != nil {
		return nil, err
	}
	return status, nil
}
