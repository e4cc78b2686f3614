package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
)

// join starts a new member, which has not been added to the cluster.
func (c *testCluster) join(id uint64) {
	c.t.Helper()
	c.addrs[id] = clusterconfig.Member{RaftAddress: freeAddr(c.t), AdminAddress: freeAddr(c.t)}
	m := c.newMember(id)
	m.cfg.Members = maps.Clone(c.addrs)
	if err := InitMember(m.cfg, true); err != nil {
		c.t.Fatal(err)
	}
	c.start(id)
}

func (c *testCluster) addrsOf(id uint64) *clusterconfig.Member {
	addrs := c.addrs[id]
	return &addrs
}

// Members are added, replaced and removed while the cluster serves. A learner votes only once it has caught up,
// leadership is transferred on request, and a removed member stops. Not parallel: a leader that loses its leadership
// under load, while its removal is being agreed on, does not learn that it was removed.
func TestMembershipChanges(t *testing.T) {
	c := newTestCluster(t, 3)
	c.propose(c.initialProposal())
	c.awaitInstalled(1)
	c.join(4)
	s, err := c.admin.ChangeMembers(c.ctx(), &MembershipChange{Op: "add", MemberID: 4, Addrs: c.addrsOf(4)})
	if err != nil || len(s.Voters) != 4 || len(s.Learners) != 0 {
		t.Fatalf("add member 4: got status %+v, error %v, want 4 voters and no learner", s, err)
	}
	c.await("member 4 serves", func() bool { return c.isReady(4) })
	// A transfer makes the requested member the leader, whichever member receives the request.
	for _, id := range []uint64{4, 2} {
		s, err := c.admin.ChangeMembers(c.ctx(), &MembershipChange{Op: "transfer", MemberID: id})
		if err != nil || s.Leader != id {
			t.Errorf("transfer leadership to member %d: got status %+v, error %v", id, s, err)
		}
		c.awaitAllStatuses("all members report the leader", 4, func(s Status) bool { return s.Leader == id })
	}
	// A stopped member is replaced in one step.
	c.stop(3)
	c.join(5)
	replace := &MembershipChange{Op: "replace", MemberID: 3, ReplacementID: 5, Addrs: c.addrsOf(5)}
	if s, err = c.admin.ChangeMembers(c.ctx(), replace); err != nil || fmt.Sprint(s.Voters) != "[1 2 4 5]" {
		t.Fatalf("replace member 3: got status %+v, error %v, want voters 1, 2, 4 and 5", s, err)
	}
	c.checkRemovalOfLeader(2)
	for _, change := range []*MembershipChange{
		{Op: "remove", MemberID: 77},
		{Op: "shrink", MemberID: 1},
		{Op: "add"},
		{Op: "replace", MemberID: 1, ReplacementID: 1},
	} {
		if _, err := c.admin.ChangeMembers(c.ctx(), change); !hasStatus(err, http.StatusBadRequest, "") {
			t.Errorf("change %+v: got error %v, want status 400", change, err)
		}
	}
}

// A member cannot be replaced by a present voter, which would leave one voter fewer. Nothing of such a change is
// applied.
func TestReplacementIsNotAVoter(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	c.propose(c.initialProposal())
	c.awaitInstalled(1)
	addrs := &clusterconfig.Member{RaftAddress: freeAddr(t), AdminAddress: freeAddr(t)}
	replace := &MembershipChange{Op: "replace", MemberID: 3, ReplacementID: 2, Addrs: addrs}
	if _, err := c.admin.ChangeMembers(c.ctx(), replace); !hasStatus(err, http.StatusBadRequest, "2 is a voter already") {
		t.Errorf("replace member 3 by voter 2: got error %v, want status 400 and the reason", err)
	}
	c.checkMembersUnchanged()
}

// A member can be given new addresses only if it responds there: otherwise nothing is applied.
func TestAddOfPresentMember(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	c.propose(c.initialProposal())
	c.awaitInstalled(1)
	first, second, unused := c.addrs[1], c.addrs[2], freeAddr(t)
	for _, test := range []struct {
		name        string
		raft, admin string
		status      int
		want        string // part of the error
	}{
		{"no raft listener", unused, second.AdminAddress, http.StatusServiceUnavailable, "raft address " + unused},
		{"no admin listener", second.RaftAddress, unused, http.StatusServiceUnavailable, "admin address " + unused},
		{"another raft", first.RaftAddress, second.AdminAddress, http.StatusServiceUnavailable, "peer is member 1"},
		{"another admin", second.RaftAddress, first.AdminAddress, http.StatusServiceUnavailable, "peer is member 1"},
		{"invalid", "nowhere", second.AdminAddress, http.StatusBadRequest, "raft"},
	} {
		addrs := &clusterconfig.Member{RaftAddress: test.raft, AdminAddress: test.admin}
		_, err := c.admin.ChangeMembers(c.ctx(), &MembershipChange{Op: "add", MemberID: 2, Addrs: addrs})
		if !hasStatus(err, test.status, test.want) {
			t.Errorf("add member 2 again, %s: got error %v, want status %d with %q", test.name, err, test.status, test.want)
		}
	}
	c.checkMembersUnchanged()
	_, port, err := net.SplitHostPort(second.RaftAddress)
	if err != nil {
		t.Fatal(err)
	}
	moved := &clusterconfig.Member{
		RaftAddress:  net.JoinHostPort("::ffff:127.0.0.1", port), // reaches the listener on 127.0.0.1
		AdminAddress: second.AdminAddress,
	}
	status, err := c.admin.ChangeMembers(c.ctx(), &MembershipChange{Op: "add", MemberID: 2, Addrs: moved})
	if err != nil || fmt.Sprint(status.Voters) != "[1 2 3]" {
		t.Errorf("add member 2 again where it responds: got status %+v, error %v, want voters 1, 2 and 3", status, err)
	}
	c.awaitAllStatuses("all members have the new address", 3, func(s Status) bool { return s.Members[2] == *moved })
}

// checkMembersUnchanged checks that the members are voters 1, 2 and 3 and that no addresses of members were agreed on.
func (c *testCluster) checkMembersUnchanged() {
	c.t.Helper()
	status, err := c.admin.Status(c.ctx())
	if err != nil || fmt.Sprint(status.Voters, status.Learners) != "[1 2 3] []" {
		c.t.Errorf("got status %+v, error %v, want voters 1, 2 and 3 and no learner", status, err)
	}
	objects, err := c.admin.Objects(c.ctx(), false)
	if agreed := objects.Objects[clusterconfig.KindMember]; err != nil || len(agreed) != 0 {
		c.t.Errorf("got agreed addresses %s, error %v, want none", agreed, err)
	}
}

// A new member that does not run stays a learner, does not count for the quorum, and can be removed. Not parallel: the
// response is due 100 ms before the caller's timeout, and other clusters would delay it.
func TestLearnerThatDoesNotRun(t *testing.T) {
	c := newTestCluster(t, 3)
	c.propose(c.initialProposal())
	c.awaitInstalled(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	addrs := &clusterconfig.Member{RaftAddress: freeAddr(t), AdminAddress: freeAddr(t)}
	_, err := c.admin.ChangeMembers(ctx, &MembershipChange{Op: "add", MemberID: 9, Addrs: addrs})
	if err == nil || !strings.Contains(err.Error(), "learner") {
		t.Errorf("add a member that does not run: got error %v, want one that calls it a learner", err)
	}
	if s, err := c.admin.Status(c.ctx()); err != nil || len(s.Voters) != 3 || len(s.Learners) != 1 {
		t.Errorf("got status %+v, error %v, want 3 voters and 1 learner", s, err)
	}
	if _, err := c.admin.ChangeMembers(c.ctx(), &MembershipChange{Op: "remove", MemberID: 9}); err != nil {
		t.Fatal(err)
	}
}

// checkRemovalOfLeader checks that a removed leader stops, and that the other three members apply changes without it.
func (c *testCluster) checkRemovalOfLeader(id uint64) {
	c.t.Helper()
	_, err := c.admin.ChangeMembers(c.ctx(), &MembershipChange{Op: "remove", MemberID: id})
	if err != nil && !strings.Contains(err.Error(), "stopped") {
		c.t.Logf("the leader's response to its own removal: %v", err)
	}
	if err := c.awaitEnd(id); !errors.Is(err, raftnode.ErrRemoved) {
		c.t.Errorf("removed member stopped with error %v, want ErrRemoved", err)
	}
	var outcome clusterconfig.Outcome
	c.await("a change without the removed leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		p := &clusterconfig.Proposal{ID: "after", Changes: []clusterconfig.Change{putDescription(2)}}
		outcome, err = c.admin.Propose(ctx, p)
		return err == nil
	})
	c.awaitAllStatuses("all remaining members have the change in force", 3, func(s Status) bool {
		return s.InstalledVersion >= outcome.Version
	})
}

// A member without its data file does not start under its ID, and neither does one with the certificate of another
// member.
func TestStartNeedsOwnDataFile(t *testing.T) {
	t.Parallel()
	cfg := &MemberConfig{
		Cluster:     testClusterName,
		MemberID:    1,
		DataFile:    filepath.Join(t.TempDir(), "1.db"),
		Credentials: memberCredentials(t, newTestAuthority(t, testClusterName), 1),
		Members:     map[uint64]clusterconfig.Member{1: {RaftAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"}},
	}
	run := func() error {
		return RunMember(context.Background(), cfg, &gateway.Config{}, slog.New(slog.DiscardHandler), nil)
	}
	if err := run(); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("start without a data file: got error %v, want ErrNotInitialized", err)
	}
	if err := InitMember(cfg, false); err != nil {
		t.Fatal(err)
	}
	if err := InitMember(cfg, false); err == nil {
		t.Error("InitMember succeeded although the data file exists, want an error")
	}
	cfg.MemberID = 2
	if err := run(); err == nil || !strings.Contains(err.Error(), "certificate") {
		t.Errorf("start with another member's certificate: got error %v, want one about the certificate", err)
	}
}
