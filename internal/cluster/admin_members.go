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
	maxVoterLag        = 64 // committed entries that a learner may be behind when it becomes a voter
	ticksPerLagRequest = 2  // Raft ticks between two checks of a learner's replication lag
)

// MembershipChange is a request to change the members or the leader.
type MembershipChange struct {
	Op            string                `json:"op"` // "add", "remove", "replace" or "transfer"
	MemberID      uint64                `json:"member"`
	ReplacementID uint64                `json:"with,omitempty"` // for replace: ID of the new member
	Addrs         *clusterconfig.Member `json:"at,omitempty"`   // for add and replace: addresses of the new member
}

// check returns an error if a change is invalid for the current voters and learners. Each operation other than add must
// name one of them, only a voter can become the leader, the last voter can't be removed, and a new member needs
// addresses and an ID other than that of the member that it replaces.
func (c *MembershipChange) check(voters, learners []uint64) error {
	isMember := slices.Contains(voters, c.MemberID) || slices.Contains(learners, c.MemberID)
	if c.Op != opAddMember && !isMember {
		return newBadRequest("member: %d is not in the cluster (voters %v, learners %v)", c.MemberID, voters, learners)
	}
	switch c.Op {
	case opTransferLeadership:
		if !slices.Contains(voters, c.MemberID) {
			return newBadRequest("member: %d is not a voter, so it cannot become the leader", c.MemberID)
		}
	case opRemoveMember:
		if len(voters) == 1 && voters[0] == c.MemberID {
			return newBadRequest("member: %d is the only voter, so it cannot be removed", c.MemberID)
		}
	case opAddMember:
		return checkNewMember(c.MemberID, c.Addrs)
	case opReplaceMember:
		if c.ReplacementID == c.MemberID {
			return newBadRequest("with: must differ from member: the number of a removed member is never reused")
		}
		if err := c.checkReplacement(voters, learners); err != nil {
			return err
		}
		return checkNewMember(c.ReplacementID, c.Addrs)
	default:
		return newBadRequest("op: must be add, remove, replace or transfer")
	}
	return nil
}

// addedMember returns the ID of the member that a change adds. ok is false if the change adds none.
func (c *MembershipChange) addedMember() (id uint64, ok bool) {
	switch c.Op {
	case opAddMember:
		return c.MemberID, true
	case opReplaceMember:
		return c.ReplacementID, true
	default:
		return 0, false
	}
}

// checkReplacement returns an error if the replacement is a voter while the member to be replaced is still a member:
// the change would only remove a member. The replacement may be a learner, since a replacement may be repeated.
func (c *MembershipChange) checkReplacement(voters, learners []uint64) error {
	isMember := slices.Contains(voters, c.MemberID) || slices.Contains(learners, c.MemberID)
	if isMember && slices.Contains(voters, c.ReplacementID) {
		return newBadRequest("with: %d is a voter already: use the number of a new member, or remove member %d",
			c.ReplacementID, c.MemberID)
	}
	return nil
}

// checkNewMember returns an error if a new member has no ID or no addresses.
func checkNewMember(id uint64, addrs *clusterconfig.Member) error {
	if id == 0 || addrs == nil {
		return newBadRequest("the new member needs a number (member or, to replace one, with) and addresses (at)")
	}
	return nil
}

// isCaughtUp reports whether a member whose replication lag is known, in committed entries, has enough of the log to
// become a voter or the leader without delaying the other members.
func isCaughtUp(lag uint64, known bool) bool { return known && lag < maxVoterLag }

// voterChange returns the changes that are still needed, given the current voters and learners. Several changes are
// applied as one joint change.
type voterChange func(voters, learners []uint64) []*raftpb.ConfChangeSingle

// changeMembers applies a membership change at the leader. A new member is a learner until it has caught up.
func (a *adminServer) changeMembers(ctx context.Context, r *http.Request, change *MembershipChange) (*Status, error) {
	status, err := a.member.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	if status.Leader == 0 {
		return nil, raftnode.ErrNoLeader
	}
	if status.Leader != status.ID { // only the leader knows a learner's lag
		return a.forwardToLeader(ctx, r, status.Leader, change)
	}
	if err := change.check(status.Voters, status.Learners); err != nil {
		return nil, err
	}
	if err := a.checkNewAddrs(ctx, change, &status); err != nil {
		return nil, err
	}
	switch change.Op {
	case opTransferLeadership:
		err = a.member.node.TransferLeadership(ctx, change.MemberID)
	case opRemoveMember:
		err = a.removeMember(ctx, change.MemberID)
	case opAddMember:
		err = a.addMember(ctx, change.MemberID, change.Addrs, addVoter(change.MemberID))
	case opReplaceMember:
		err = a.replaceMember(ctx, change)
	}
	if err != nil {
		return nil, err
	}
	return a.status(ctx)
}

// removeMember removes a member and its addresses.
func (a *adminServer) removeMember(ctx context.Context, id uint64) error {
	if err := a.member.node.ChangeMembership(ctx, removeMember(id)); err != nil {
		return err
	}
	return a.proposeMemberAddrs(ctx, id, nil)
}

// replaceMember adds a member and removes another in one joint change. It returns an error if another change has made
// the replacement a voter meanwhile.
func (a *adminServer) replaceMember(ctx context.Context, change *MembershipChange) error {
	add, remove := addVoter(change.ReplacementID), removeMember(change.MemberID)
	var conflict error
	swap := func(voters, learners []uint64) []*raftpb.ConfChangeSingle {
		if conflict = change.checkReplacement(voters, learners); conflict != nil {
			return nil
		}
		return append(add(voters, learners), remove(voters, learners)...)
	}
	if err := a.addMember(ctx, change.ReplacementID, change.Addrs, swap); err != nil {
		return err
	}
	if conflict != nil {
		return conflict
	}
	return a.proposeMemberAddrs(ctx, change.MemberID, nil)
}

// addMember adds a member as a learner, waits until it has caught up, and applies promote.
func (a *adminServer) addMember(ctx context.Context, id uint64, addrs *clusterconfig.Member,
	promote voterChange) error {
	if err := a.proposeMemberAddrs(ctx, id, addrs); err != nil {
		return err
	}
	if err := a.member.node.ChangeMembership(ctx, addLearner(id)); err != nil {
		return err
	}
	for {
		lag, known, err := a.member.node.ReplicationLag(ctx, id)
		if err != nil {
			return err
		}
		if isCaughtUp(lag, known) {
			return a.member.node.ChangeMembership(ctx, promote)
		}
		select {
		case <-ctx.Done():
			text := fmt.Sprintf("member %d is a learner and has not caught up yet: check that it runs, "+
				"then repeat the same change", id)
			return &statusError{http.StatusServiceUnavailable, errorResponse{text}}
		case <-time.After(ticksPerLagRequest * a.member.cfg.tickInterval()):
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

// forwardToLeader forwards a membership change to the leader. A request that was forwarded to this member is not
// forwarded again.
func (a *adminServer) forwardToLeader(ctx context.Context, r *http.Request, leader uint64, change *MembershipChange) (
	*Status, error) {
	addr := a.member.addrsOf(leader).AdminAddress
	if r.Header.Get(headerForwarded) != "" || addr == "" {
		return nil, fmt.Errorf("member %d is the leader: send the request to its admin address %q", leader, addr)
	}
	client := NewClient(a.member.cfg.Cluster, a.member.cfg.Credentials, addr)
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
