package cluster

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// checkNewAddrs returns an error if a change would give a present member addresses at which it does not respond: the
// others would lose it. A new member needs no such check, since it has to catch up before it votes.
func (a *adminServer) checkNewAddrs(ctx context.Context, change *MembershipChange, status *raftnode.Status) error {
	id, isAdded := change.addedMember()
	if !isAdded || !slices.Contains(slices.Concat(status.Voters, status.Learners), id) {
		return nil
	}
	state, err := a.member.node.AppliedState(ctx)
	if err != nil {
		return err
	}
	if *change.Addrs == a.knownAddrs(state, id) {
		return nil
	}
	if outcome := dryRun(state, a.newAddrsProposal(id, change.Addrs)); !outcome.IsApplied {
		return newBadRequest("%s", outcome.RejectionReason)
	}
	if err := a.member.node.CheckPeerAddress(ctx, id, change.Addrs.RaftAddress); err != nil {
		return newUnreachableMember(id, "raft", change.Addrs.RaftAddress, err)
	}
	if err := a.checkAdminAddr(ctx, id, change.Addrs.AdminAddress); err != nil {
		return newUnreachableMember(id, "admin", change.Addrs.AdminAddress, err)
	}
	return nil
}

// newUnreachableMember returns the error of a change that gives a present member an address of a kind ("raft" or
// "admin") at which it does not respond.
func newUnreachableMember(id uint64, kind, addr string, cause error) error {
	text := fmt.Sprintf("member %d is a member already and does not respond at its new %s address %s: %v: "+
		"nothing was changed; check that it runs there, or choose the number of a new member", id, kind, addr, cause)
	return &statusError{http.StatusServiceUnavailable, errorResponse{text}}
}

// knownAddrs returns the agreed addresses of a member or, if none were agreed on, those in this member's configuration.
func (a *adminServer) knownAddrs(state *clusterconfig.State, id uint64) clusterconfig.Member {
	agreed := clusterconfig.ObjectsByName[clusterconfig.Member](state, clusterconfig.KindMember)
	if addrs, isAgreed := agreed[fmt.Sprint(id)]; isAgreed {
		return addrs
	}
	return a.member.addrsOf(id)
}

// checkAdminAddr returns an error if a member does not serve its admin API at an address.
func (a *adminServer) checkAdminAddr(ctx context.Context, id uint64, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, memberStatusTimeout)
	defer cancel()
	client := NewClient(a.member.cfg.Cluster, a.member.cfg.Credentials, addr)
	defer client.Close()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if status.ID != id {
		return fmt.Errorf("peer is member %d, want member %d", status.ID, id)
	}
	return nil
}

// newAddrsProposal returns a proposal of the addresses of a member, or of their removal if addrs is nil.
func (a *adminServer) newAddrsProposal(id uint64, addrs *clusterconfig.Member) *clusterconfig.Proposal {
	name := fmt.Sprint(id)
	change := clusterconfig.Change{Op: clusterconfig.OpRemove, Kind: clusterconfig.KindMember, Name: name}
	if addrs != nil {
		change = clusterconfig.NewPutChange(clusterconfig.KindMember, name, addrs)
	}
	now := time.Now()
	return &clusterconfig.Proposal{
		ID:           fmt.Sprintf("member-%d-%d", id, now.UnixNano()),
		Author:       memberAuthor(a.member.cfg.MemberID),
		Reason:       "change of members",
		ProposedAtMs: now.UnixMilli(),
		Changes:      []clusterconfig.Change{change},
	}
}

// proposeMemberAddrs proposes the addresses of a member, or their removal if addrs is nil, unless that changes nothing.
func (a *adminServer) proposeMemberAddrs(ctx context.Context, id uint64, addrs *clusterconfig.Member) error {
	state, err := a.member.node.AppliedState(ctx)
	if err != nil {
		return err
	}
	proposal := a.newAddrsProposal(id, addrs)
	change := proposal.Changes[0]
	recorded, isRecorded := state.Get(clusterconfig.KindMember, change.Name)
	isRemoved := addrs == nil && !isRecorded
	isUnchanged := addrs != nil && isRecorded && string(recorded) == string(change.Value)
	if isRemoved || isUnchanged {
		return nil
	}
	outcome, err := a.member.node.Propose(ctx, proposal)
	if err == nil && !outcome.IsApplied {
		err = newBadRequest("%s", outcome.RejectionReason)
	}
	return err
}
