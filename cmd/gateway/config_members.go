package main

import (
	"context"
	"fmt"
	"io"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/cluster"
)

// membersCmd changes the members of a cluster.
type membersCmd struct {
	Add      addMemberCmd      `cmd:"" help:"Add a member, which votes once it has caught up. Its instance must be running: see gateway init --join. Example: gateway config members add 4 --raft 10.0.0.4:7101 --admin 10.0.0.4:7201"`
	Replace  replaceMemberCmd  `cmd:"" help:"Replace a member, such as one that has failed, by a new one in a single step."`
	Remove   removeMemberCmd   `cmd:"" help:"Remove a member. Its number is never used again."`
	Transfer transferMemberCmd `cmd:"" help:"Make a member the leader."`
}

// addMemberCmd adds a member.
type addMemberCmd struct {
	Member uint64 `arg:"" help:"Number of the member."`
	Raft   string `help:"Address for the other members." required:""`
	Admin  string `help:"Address for operators." required:""`
}

// replaceMemberCmd replaces a member by a new one in one step.
type replaceMemberCmd struct {
	Member uint64 `arg:"" help:"Number of the member to remove."`
	With   uint64 `help:"Number of the new member." required:""`
	Raft   string `help:"Address of the new member for the other members." required:""`
	Admin  string `help:"Address of the new member for operators." required:""`
}

// removeMemberCmd removes a member.
type removeMemberCmd struct {
	Member uint64 `arg:"" help:"Number of the member."`
}

// transferMemberCmd makes a member the leader.
type transferMemberCmd struct {
	Member uint64 `arg:"" help:"Number of the member."`
}

func (c *addMemberCmd) Run(e *environment, cc *configCmd) error {
	return cc.changeMembership(e, &cluster.MembershipChange{
		Op:       "add",
		MemberID: c.Member,
		Addrs:    &clusterconfig.Member{RaftAddress: c.Raft, AdminAddress: c.Admin},
	})
}

func (c *replaceMemberCmd) Run(e *environment, cc *configCmd) error {
	return cc.changeMembership(e, &cluster.MembershipChange{
		Op:            "replace",
		MemberID:      c.Member,
		ReplacementID: c.With,
		Addrs:         &clusterconfig.Member{RaftAddress: c.Raft, AdminAddress: c.Admin},
	})
}

func (c *removeMemberCmd) Run(e *environment, cc *configCmd) error {
	return cc.changeMembership(e, &cluster.MembershipChange{Op: "remove", MemberID: c.Member})
}

func (c *transferMemberCmd) Run(e *environment, cc *configCmd) error {
	return cc.changeMembership(e, &cluster.MembershipChange{Op: "transfer", MemberID: c.Member})
}

// changeMembership requests a change of the members and prints the resulting members.
func (c *configCmd) changeMembership(e *environment, change *cluster.MembershipChange) error {
	request := func(ctx context.Context, client *cluster.Client) (cluster.Status, error) {
		return client.ChangeMembers(ctx, change)
	}
	return showResult(&c.clusterFlags, e, request, printMembership)
}

// printMembership prints the voters, the learners and the leader as text.
func printMembership(out io.Writer, status cluster.Status) error {
	fmt.Fprintf(out, "voters %v, learners %v, leader %d\n", status.Voters, status.Learners, status.Leader)
	return nil
}
