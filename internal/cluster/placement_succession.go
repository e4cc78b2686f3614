package cluster

import (
	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/raftnode"
)

// memberPlacement is the placement of keys and the membership that a member has installed last. By them it recognizes
// whether it has skipped any: it installs the newest state alone, and several entries may be applied in one step.
type memberPlacement struct {
	isInstalled      bool
	placementVersion uint64
	membershipIndex  uint64 // see [raftnode.Membership]
}

// record records the state and the membership that are being installed. It reports whether they directly succeed the
// ones installed before, so that at most one change of each lies between.
func (p *memberPlacement) record(state *clusterconfig.State, membership *raftnode.Membership) (isDirectSuccessor bool) {
	versionBefore, isKnown := state.PlacementBefore()
	isSamePlacement := state.PlacementVersion() == p.placementVersion
	isNextPlacement := isKnown && versionBefore == p.placementVersion
	isSameMembership := membership.ChangeIndex == p.membershipIndex
	isNextMembership := membership.IndexBefore != 0 && membership.IndexBefore == p.membershipIndex
	isDirectSuccessor = p.isInstalled && (isSamePlacement || isNextPlacement) && (isSameMembership || isNextMembership)
	*p = memberPlacement{
		isInstalled:      true,
		placementVersion: state.PlacementVersion(),
		membershipIndex:  membership.ChangeIndex,
	}
	return isDirectSuccessor
}

// followerPlacement is the version that a follower has installed last. Members push the newest version alone, so that a
// follower skips versions.
type followerPlacement struct {
	installed *configstream.Version // nil if there is none
}

// record records the version that is being installed. It reports whether its placement directly succeeds that of the
// version installed before: the two are the same, or the first version after the installed one has made it. Versions of
// different control services can't be compared.
func (p *followerPlacement) record(version *configstream.Version) (isDirectSuccessor bool) {
	before := p.installed
	if before != nil && version.Compare(before.Ref) != configstream.OrderNewer {
		return false // package multisite ignores it as well
	}
	p.installed = version
	if before == nil || before.Epoch != version.Epoch {
		return false
	}
	isSame := version.PlacementVersion == before.PlacementVersion
	isNext := version.PlacementVersion == before.Number+1
	return isSame || isNext
}
