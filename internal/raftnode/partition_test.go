package raftnode

import (
	"fmt"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// newFaultlessCluster returns a simulated cluster of three members without random faults, and its leader.
func newFaultlessCluster(t *testing.T, seed uint64) (c *simCluster, leader *simMember) {
	c = newSimCluster(t, seed, 3)
	c.faultsEnded = true
	return c, c.awaitLeader()
}

// awaitNewLeader steps until member m knows a leader other than old.
func (c *simCluster) awaitNewLeader(m, old *simMember) {
	for range 400 {
		c.step()
		if leader := m.core.Leader(); leader != old.id && leader != 0 {
			return
		}
	}
}

// awaitSameState steps until member m is up and has the same state as reference.
func (c *simCluster) awaitSameState(m, reference *simMember) {
	c.t.Helper()
	for i := 0; m.core == nil || m.core.State().Hash() != reference.core.State().Hash(); i++ {
		c.step()
		if i <= 500 {
			continue
		}
		if m.core == nil {
			c.fatalf("member %d is still down", m.id)
		}
		c.fatalf("member %d did not converge: got version %d, want %d",
			m.id, m.core.State().Version(), reference.core.State().Version())
	}
}

// Tests that a member that was removed while it was isolated cannot disrupt the cluster. It has not received its
// removal and starts elections when it is reachable again: the leader must keep its term, and changes must still be
// applied.
func TestRemovedMemberCannotDisrupt(t *testing.T) {
	t.Parallel()
	c, leader := newFaultlessCluster(t, 11)
	removed := c.otherMember(leader)
	c.isolate(removed)
	isRemoved := false
	change := []*pb.ConfChangeSingle{{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(removed.id)}}
	leader.core.ProposeConfChange("remove", change, func(err error) {
		if err != nil {
			c.fatalf("%v", err)
		}
		isRemoved = true
	})
	c.processReady(leader)
	for range 200 {
		c.step()
	}
	if !isRemoved {
		c.fatalf("the removal of the member was not applied")
	}
	term := leader.core.rawNode.BasicStatus().GetTerm()
	c.reconnect(removed)
	for i := range 10 {
		for range 60 {
			c.step()
		}
		c.propose(leader, fmt.Sprint("a", i))
	}
	if now := leader.core.rawNode.BasicStatus().GetTerm(); now != term || leader.core.Leader() != leader.id {
		c.fatalf("the removed member disrupted the leader: term was %d, is %d, leader %d", term, now, leader.core.Leader())
	}
	if voters, _ := removed.core.Members(); len(voters) != 3 {
		c.fatalf("the removed member has received its removal, which the test assumes it cannot")
	}
}

// Tests that a member that was isolated until the leader's log was compacted past the member's last entry receives a
// snapshot after it is reconnected, and can propose changes then.
func TestSnapshotAfterCompaction(t *testing.T) {
	t.Parallel()
	c, leader := newFaultlessCluster(t, 12)
	lagging := c.otherMember(leader)
	c.isolate(lagging)
	laggingIndex := lagging.core.AppliedIndex()
	for i := range 60 {
		c.propose(leader, fmt.Sprint("a", i))
	}
	if first, err := leader.core.log.memory.FirstIndex(); err != nil || first <= laggingIndex+1 {
		c.fatalf("the leader's log is not compacted far enough: it begins at %d, the lagging member has applied %d",
			first, laggingIndex)
	}
	if lagging.core.AppliedIndex() > laggingIndex+1 {
		c.fatalf("the isolated member has applied entries up to %d", lagging.core.AppliedIndex())
	}
	c.reconnect(lagging)
	c.awaitSameState(lagging, leader)
	c.propose(lagging, "through the late one")
}

// Tests that an isolated leader, which does not know that another one was elected, confirms no read and commits no
// change, and that the changes that the others have committed meanwhile are kept.
func TestDeposedLeader(t *testing.T) {
	t.Parallel()
	c, old := newFaultlessCluster(t, 13)
	c.propose(old, "before")
	c.isolate(old)
	var isReadConfirmed, isProposalApplied bool
	old.core.ReadIndex(func(err error) { isReadConfirmed = err == nil })
	old.core.Propose(putPlanProposal("lost", 9), func(o clusterconfig.Outcome, err error) {
		isProposalApplied = err == nil && o.Version == 2
	})
	c.processReady(old)
	next := c.otherMember(old)
	c.awaitNewLeader(next, old)
	c.propose(next, "after")
	if isReadConfirmed || isProposalApplied {
		c.fatalf("the old leader confirmed a read (%v) or committed a change (%v)", isReadConfirmed, isProposalApplied)
	}
	c.reconnect(old)
	c.awaitSameState(old, next)
	// Its read may be confirmed now, on a state with all committed changes.
	if version := old.core.State().Version(); version < 2 || isProposalApplied {
		c.fatalf("reconnected old leader: got version %d (want at least 2), its change applied: %v",
			version, isProposalApplied)
	}
}

// Tests a leader that fails after it has saved a proposal and before any other member has received it. The proposal
// must not be committed from the old leader's log, must be applied once when its client repeats it, and the restarted
// old leader must replace its entry by the committed ones.
func TestUncommittedProposalIsRetried(t *testing.T) {
	t.Parallel()
	c, old := newFaultlessCluster(t, 14)
	c.propose(old, "before")
	c.isolate(old)
	old.core.Propose(putPlanProposal("once", 7), func(o clusterconfig.Outcome, err error) {
		if err == nil {
			c.fatalf("proposal completed without a quorum: %+v", o)
		}
	})
	c.processReady(old)
	last, err := old.core.log.memory.LastIndex()
	if err != nil || old.storage.log[last] == nil {
		c.fatalf("proposal not saved by the leader: no entry %d in its storage, error %v", last, err)
	}
	c.kill(old)
	next := c.otherMember(old)
	c.awaitNewLeader(next, old)
	c.propose(next, "meanwhile")
	c.propose(next, "once")
	c.propose(next, "once")
	c.reconnect(old)
	old.restartTick = c.tick
	c.awaitSameState(old, next)
	history := old.core.State().History()
	if len(history) != 3 || history[1].ID != "meanwhile" || history[2].ID != "once" {
		c.fatalf("history of the old leader: got %+v, want 3 changes that end with \"meanwhile\" and \"once\"", history)
	}
}
