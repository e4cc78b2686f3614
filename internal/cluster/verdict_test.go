package cluster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// newMemberAddrs are the addresses of a new member in the cases of TestMembershipChangeCheck.
var newMemberAddrs = &clusterconfig.Member{RaftAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:2"}

var membershipChangeCases = []struct {
	name     string
	change   MembershipChange
	voters   []uint64
	learners []uint64
	want     string // part of the error; empty if the change is valid
}{
	{"add", MembershipChange{Op: "add", MemberID: 4, Addrs: newMemberAddrs}, []uint64{1, 2, 3}, nil, ""},
	{"add without a number", MembershipChange{Op: "add", Addrs: newMemberAddrs}, []uint64{1}, nil, "needs a number"},
	{"add without addresses", MembershipChange{Op: "add", MemberID: 4}, []uint64{1}, nil, "needs a number"},
	{"remove a voter", MembershipChange{Op: "remove", MemberID: 1}, []uint64{1, 2}, nil, ""},
	{"remove a learner", MembershipChange{Op: "remove", MemberID: 2}, []uint64{1}, []uint64{2}, ""},
	{"remove the only voter", MembershipChange{Op: "remove", MemberID: 1}, []uint64{1}, []uint64{2}, "only voter"},
	{"remove a stranger", MembershipChange{Op: "remove", MemberID: 9}, []uint64{1}, nil, "not in the cluster (voters [1]"},
	{
		"replace", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 4, Addrs: newMemberAddrs},
		[]uint64{1, 2, 3}, nil, "",
	},
	{
		"replace by itself", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 1, Addrs: newMemberAddrs},
		[]uint64{1, 2, 3}, nil, "with: must differ from member",
	},
	{
		"replace by a voter", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 2, Addrs: newMemberAddrs},
		[]uint64{1, 2, 3}, nil, "with: 2 is a voter already",
	},
	{
		"replace by a learner", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 4, Addrs: newMemberAddrs},
		[]uint64{1, 2, 3}, []uint64{4}, "",
	},
	{
		"replace without addresses", MembershipChange{Op: "replace", MemberID: 1, ReplacementID: 4},
		[]uint64{1, 2, 3}, nil, "needs a number",
	},
	{"transfer to a voter", MembershipChange{Op: "transfer", MemberID: 2}, []uint64{1, 2}, nil, ""},
	{
		"transfer to a learner", MembershipChange{Op: "transfer", MemberID: 2}, []uint64{1}, []uint64{2},
		"2 is not a voter",
	},
	{"unknown operation", MembershipChange{Op: "move", MemberID: 1}, []uint64{1}, nil, "op: must be add, remove"},
}

// Invalid membership changes are rejected with the reason.
func TestMembershipChangeCheck(t *testing.T) {
	t.Parallel()
	for _, test := range membershipChangeCases {
		t.Run(test.name, func(t *testing.T) {
			err := test.change.check(test.voters, test.learners)
			if (err == nil) != (test.want == "") || !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("check: got error %v, want %q", err, test.want)
			}
		})
	}
}

// Only operators and members of cluster c may call its admin API.
func TestAuthorizeOperator(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		holder raftnode.Identity
		want   string // part of the error; empty if the holder is authorized
	}{
		{"operator", raftnode.Identity{Cluster: "c", Operator: "amina"}, ""},
		{"member", raftnode.Identity{Cluster: "c", Member: 1}, ""},
		{"follower", raftnode.Identity{Cluster: "c", Follower: "north"}, `"north" is not authorized`},
		{"another cluster", raftnode.Identity{Cluster: "d", Operator: "amina"}, `belongs to cluster "d"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := authorizeOperator(test.holder, "c")
			if (err == nil) != (test.want == "") || !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("authorizeOperator: got error %v, want %q", err, test.want)
			}
		})
	}
}

// An unconfirmed version is logged only if its confirmation is old, and at most once per interval.
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
				t.Errorf("isDue: got %v, want %v", got, test.want)
			}
			if again := log.isDue(test.age, start.Add(test.sinceStart)); again {
				t.Error("isDue: got true twice at the same time, want false")
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
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// A version has to be put in force if it is newer than the one in force, or the first since the start.
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
				t.Errorf("needsInstall: got %v, want %v", got, test.want)
			}
		})
	}
}

// A site owns keys if it is open, and not lost or partly recovered.
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
				t.Errorf("ownsKeys: got %v, want %v", got, test.want)
			}
		})
	}
}

// A follower closes the stream to a silent member after five heartbeat intervals, but no later than a member would
// close the stream to a silent follower.
func TestSilenceTimeout(t *testing.T) {
	t.Parallel()
	for heartbeat, want := range map[time.Duration]time.Duration{
		keyHeartbeatInterval:    1500 * time.Millisecond,
		streamHeartbeatInterval: 4 * time.Second,
	} {
		t.Run(heartbeat.String(), func(t *testing.T) {
			if got := silenceTimeout(heartbeat); got != want {
				t.Errorf("silenceTimeout: got %v, want %v", got, want)
			}
		})
	}
}

// A certificate that identifies another member or follower is rejected with an error that names both.
func TestCheckIdentity(t *testing.T) {
	t.Parallel()
	const memberTwo = `certificate: issued to member 2 of cluster "test", want `
	credentials := memberCredentials(t, newTestAuthority(t, testClusterName), 2)
	for _, test := range []struct {
		name   string
		config interface{ checkIdentity() error }
		want   string // the error's text; empty if the certificate is accepted
	}{
		{"own", &MemberConfig{Cluster: "test", MemberID: 2}, ""},
		{"another member", &MemberConfig{Cluster: "test", MemberID: 1}, memberTwo + `member 1 of cluster "test"`},
		{"another cluster", &MemberConfig{Cluster: "d", MemberID: 2}, memberTwo + `member 2 of cluster "d"`},
		{
			"a follower", &FollowerConfig{Cluster: "test", Name: "north"},
			memberTwo + `follower "north" of cluster "test"`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			switch config := test.config.(type) {
			case *MemberConfig:
				config.Credentials, config.DataFile = credentials, t.TempDir()
			case *FollowerConfig:
				config.Credentials = credentials
			}
			err := test.config.checkIdentity()
			if (err == nil) != (test.want == "") || err != nil && err.Error() != test.want {
				t.Errorf("checkIdentity: got error %v, want %q", err, test.want)
			}
		})
	}
}
