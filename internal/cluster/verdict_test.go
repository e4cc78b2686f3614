package cluster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// addrsOfNewMember are those of a new member, in the cases of TestMembershipChangeCheck.
var addrsOfNewMember = &clusterconfig.Member{RaftAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:2"}

var membershipChangeCases = []struct {
	name     string
	change   MembershipChange
	voters   []uint64
	learners []uint64
	want     string // a part of the rejection; empty: none
}{
	{"add", MembershipChange{Op: "add", MemberID: 4, Addrs: addrsOfNewMember}, []uint64{1, 2, 3}, nil, ""},
	{"add without a number", MembershipChange{Op: "add", Addrs: addrsOfNewMember}, []uint64{1}, nil, "member and at"},
	{"add without addresses", MembershipChange{Op: "add", MemberID: 4}, []uint64{1}, nil, "member and at"},
	{"remove a voter", MembershipChange{Op: "remove", MemberID: 1}, []uint64{1, 2}, nil, ""},
	{"remove a learner", MembershipChange{Op: "remove", MemberID: 2}, []uint64{1}, []uint64{2}, ""},
	{"remove the only voter", MembershipChange{Op: "remove", MemberID: 1}, []uint64{1}, []uint64{2}, "only voter"},
	{"remove a stranger", MembershipChange{Op: "remove", MemberID: 9}, []uint64{1}, nil, "is none of voters [1]"},
	{
		"replace", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 4, Addrs: addrsOfNewMember},
		[]uint64{1, 2, 3}, nil, "",
	},
	{
		"replace by itself", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 1, Addrs: addrsOfNewMember},
		[]uint64{1, 2, 3}, nil, "a new number is wanted",
	},
	{
		"replace without addresses", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 4},
		[]uint64{1, 2, 3}, nil, "member and at",
	},
	{"transfer to a voter", MembershipChange{Op: "transfer", MemberID: 2}, []uint64{1, 2}, nil, ""},
	{
		"transfer to a learner", MembershipChange{Op: "transfer", MemberID: 2}, []uint64{1}, []uint64{2},
		"2 is no voter",
	},
	{"unknown operation", MembershipChange{Op: "move", MemberID: 1}, []uint64{1}, nil, "op: add, remove"},
}

// Which changes of the members are rejected, whoever asks, and why.
func TestMembershipChangeCheck(t *testing.T) {
	t.Parallel()
	for _, test := range membershipChangeCases {
		t.Run(test.name, func(t *testing.T) {
			err := test.change.check(test.voters, test.learners)
			if (err == nil) != (test.want == "") || !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}

// Who may call the admin API of cluster c.
func TestAuthorizeOperator(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		holder raftnode.Identity
		want   string // a part of the rejection; empty: none
	}{
		{"operator", raftnode.Identity{Cluster: "c", Operator: "amina"}, ""},
		{"member", raftnode.Identity{Cluster: "c", Member: 1}, ""},
		{"follower", raftnode.Identity{Cluster: "c", Follower: "north"}, `"north" is no operator`},
		{"another cluster", raftnode.Identity{Cluster: "d", Operator: "amina"}, `of cluster "d"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := authorizeOperator(test.holder, "c")
			if (err == nil) != (test.want == "") || !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}

// When an unconfirmed version is logged.
func TestStaleLog(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name       string
		age        time.Duration
		sinceStart time.Duration
		want       bool
	}{
		{"young", staleAge, time.Hour, false},
		{"old, right after the start", staleAge + 1, staleLogInterval, false},
		{"old, later", staleAge + 1, staleLogInterval + 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := staleLog{loggedAt: start}
			if got := log.isDue(test.age, start.Add(test.sinceStart)); got != test.want {
				t.Errorf("due %v, want %v", got, test.want)
			}
			if again := log.isDue(test.age, start.Add(test.sinceStart)); again {
				t.Error("due twice at a time")
			}
		})
	}
}

// A version that was never confirmed counts as unconfirmed since the start.
func TestUnconfirmedSinceStart(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	for _, test := range []struct {
		name      string
		age       time.Duration
		isServing bool
		want      time.Duration
	}{
		{"never confirmed", 0, false, time.Minute},
		{"just confirmed", 0, true, 0},
		{"confirmed", time.Second, true, time.Second},
		{"stale, rejects", 3 * time.Second, false, 3 * time.Second},
	} {
		log := newStaleLog(start)
		if got := log.unconfirmedFor(test.age, test.isServing, now); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Which version has to be put in force.
func TestNeedsInstall(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name             string
		version, inForce uint64
		hasInstalled     bool
		want             bool
	}{
		{"empty, at the start", 0, 0, false, true},
		{"empty, installed", 0, 0, true, false},
		{"newer", 3, 2, true, true},
		{"same", 2, 2, true, false},
		{"older", 1, 2, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			installer := &versionInstaller{hasInstalled: test.hasInstalled}
			if got := installer.needsInstall(test.version, test.inForce); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// Which sites own keys.
func TestOwnsKeys(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name             string
		isClosed, isLost bool
		recoveredEighths int
		want             bool
	}{
		{"open", false, false, 0, true},
		{"closed", true, false, 0, false},
		{"lost", false, true, 0, false},
		{"recovering", false, true, 1, true},
		{"recovering and closed", true, true, 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ownsKeys(test.isClosed, test.isLost, test.recoveredEighths); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// A follower leaves a silent member after five heartbeats, and not later than a member would leave it.
func TestSilenceTimeout(t *testing.T) {
	t.Parallel()
	for heartbeat, want := range map[time.Duration]time.Duration{
		keyHeartbeatInterval:    1500 * time.Millisecond,
		streamHeartbeatInterval: 4 * time.Second,
	} {
		t.Run(heartbeat.String(), func(t *testing.T) {
			if got := silenceTimeout(heartbeat); got != want {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}
