package cluster

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"mulleinmux/configstream"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// followerTest is a cluster of three members with two followers, whose instances have the IDs northID and southID.
type followerTest struct {
	*testCluster
	north, south *testFollower
}

const (
	northID       = 101
	southID       = 102
	secondSouthID = 103 // another process with the name of south
	rejectedID    = 104
)

func newFollowerTest(t *testing.T) *followerTest {
	t.Helper()
	c := &followerTest{testCluster: newTestClusterWith(t, 3, func(_ uint64, m *testMember) {
		m.cfg.StreamListenAddr = freeAddr(t)
	})}
	c.north, c.south = c.newFollower(northID, "north"), c.newFollower(southID, "south")
	for _, f := range []*testFollower{c.north, c.south} {
		if err := c.startFollower(f); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// A version is pushed to followers, which acknowledge it and serve with it, or reject it with the reason. A follower
// serves without any member, even after a restart. A removed follower receives no further version.
func TestFollowersServeAgreedVersions(t *testing.T) {
	t.Parallel()
	c := newFollowerTest(t)
	c.checkFirstVersions()
	c.checkRejectedVersion()
	c.checkRestartWithoutMembers()
	c.checkRemovedFollower()
	c.checkCleanStop()
}

// A name that two processes use is reported by the remaining members and by both processes.
func TestFollowerNameConflict(t *testing.T) {
	t.Parallel()
	c := newFollowerTest(t)
	c.checkFirstVersions()
	c.stop(1)
	c.checkNameConflict()
}

// Only a follower's certificate gives access to the stream, and a follower does not start with another follower's
// certificate or file.
func TestFollowerIdentity(t *testing.T) {
	t.Parallel()
	c := newFollowerTest(t)
	c.checkFirstVersions()
	c.stop(1)
	c.checkFollowerCertificates()
	c.checkOtherFollowersIdentity()
}

// checkCleanStop checks that follower north stops without an error.
func (c *followerTest) checkCleanStop() {
	c.t.Helper()
	if err := c.stop(northID); err != nil {
		c.t.Errorf("follower north stopped with error %v, want nil", err)
	}
}

// checkFirstVersions checks that followers reject requests before version 1, and then serve with versions 1 and 2.
func (c *followerTest) checkFirstVersions() {
	c.t.Helper()
	if r := c.get(northID, "/slots"); r.status != 503 {
		c.t.Errorf("request before version 1: got %+v, want status 503", r)
	}
	p := c.initialProposal()
	p.Changes = append(p.Changes,
		newChange("put", "follower", "north", `{}`),
		newChange("put", "follower", "south", `{"note":"Kigoma"}`))
	c.propose(p)
	c.awaitInstalled(1)
	for _, id := range []uint64{northID, southID} {
		c.awaitServing(id)
		if r := c.get(id, "/slots"); r.body != "1" || r.header.Get("X-Mulleinmux-Version") != "1" {
			c.t.Errorf("request to follower: got %+v, want version 1", r)
		}
	}
	c.proposeChanges("two", putDescription(7))
	c.awaitInstalled(2)
	if r := c.get(southID, "/slots"); r.body != "2" || r.header.Get("X-Mulleinmux-Units") != "7" {
		c.t.Errorf("request to south: got %+v, want version 2 and 7 units", r)
	}
}

// checkRejectedVersion proposes version 3, which can't be served because it has two descriptions. It checks that the
// followers report the reason and continue to serve with version 2.
func (c *followerTest) checkRejectedVersion() {
	c.t.Helper()
	second := putDescription(8)
	second.Name = "e"
	c.proposeChanges("three", second)
	c.awaitFollower("north", "refused 3")
	c.awaitFollower("south", "2 descriptions are agreed on")
	if r := c.get(northID, "/slots"); r.body != "2" {
		c.t.Errorf("request after a rejected version: got %+v, want version 2", r)
	}
	list, err := c.admin.Followers(c.ctx())
	if err != nil || len(list.Followers) != 2 ||
		!strings.Contains(list.Followers[0].Explain(list.NewestVersion), "corrects this") {
		c.t.Errorf("got followers %+v, error %v, want 2 and an explanation of the rejection", list, err)
	}
}

// checkRestartWithoutMembers checks that a restarted follower serves with its stored version while no member runs, and
// does not install the rejected version. Both followers run version 4 once two members are back; member 1 stays
// stopped.
func (c *followerTest) checkRestartWithoutMembers() {
	c.t.Helper()
	c.stopAll(northID, 1, 2, 3)
	if err := c.startFollower(c.north); err != nil {
		c.t.Fatal(err)
	}
	c.awaitServing(northID)
	if r := c.get(northID, "/slots"); r.body != "2" {
		c.t.Errorf("request while no member runs: got %+v, want version 2", r)
	}
	if s := c.north.follower.Status(); s.ConfirmedAgeMs != -1 || len(s.Rejected) != 1 || s.MemberID != 0 {
		c.t.Errorf("got status %+v, want one rejection, no member and no confirmation", s)
	}
	for id := uint64(2); id <= 3; id++ {
		c.start(id)
	}
	c.proposeChanges("four", newChange("remove", "description", "e", ""))
	c.awaitFollower("north", "has run version 4")
	c.awaitFollower("south", "has run version 4")
	s := c.north.follower.Status()
	if len(s.Rejected) != 1 || c.north.logs.HasLine("version installed", "version=3") ||
		!c.north.logs.HasLine("version installed", "version=4") {
		c.t.Errorf("got status %+v, want one rejection, and version 4 but not 3 installed", s)
	}
	c.await("confirmed", func() bool {
		s := c.north.follower.Status()
		return s.ConfirmedAgeMs >= 0 && s.IsServing
	})
}

// checkNameConflict checks that the members and both processes report two processes of one name.
func (c *followerTest) checkNameConflict() {
	c.t.Helper()
	cfg := *c.south.cfg
	cfg.DataFile = filepath.Join(c.dir, "copy.db")
	second := c.addFollower(secondSouthID, &cfg)
	if err := c.startFollower(second); err != nil {
		c.t.Fatal(err)
	}
	c.awaitFollower("south", "are both called south")
	const msgWarning = "configuration stream warning"
	c.await("both processes report the name conflict", func() bool {
		return c.south.logs.HasLine(msgWarning, "both called") && second.logs.HasLine(msgWarning, "both called")
	})
	c.stop(secondSouthID)
	c.awaitFollower("south", "has run version 2")
}

// checkRemovedFollower checks that a removed follower receives no further version and continues to serve.
func (c *followerTest) checkRemovedFollower() {
	c.t.Helper()
	c.proposeChanges("five", newChange("remove", "follower", "south", ""))
	c.await("the removed follower is rejected", func() bool {
		return c.south.logs.HasLine("configuration stream ended", "is not a configured follower")
	})
	if r := c.get(southID, "/slots"); r.status != 200 || r.body != "4" {
		c.t.Errorf("request to the removed follower: got %+v, want version 4", r)
	}
	c.awaitFollower("north", "has run version 5")
}

// checkFollowerCertificates checks that a follower's certificate gives no access to the admin API, and that a member's
// or an operator's certificate gives no access to the stream.
func (c *followerTest) checkFollowerCertificates() {
	c.t.Helper()
	client := NewClient(testClusterName, c.south.cfg.Credentials, c.addrs[2].AdminAddress)
	defer client.Close()
	if _, err := client.Status(c.ctx()); err == nil || !strings.Contains(err.Error(), "is not authorized") {
		c.t.Errorf("admin API call with a follower's certificate: got error %v, want a rejection", err)
	}
	for name, creds := range map[string]raftnode.Credentials{
		"a member":    c.members[2].cfg.Credentials,
		"an operator": c.operatorCredentials(),
	} {
		cfg := *c.north.cfg
		cfg.Credentials = creds
		var logs testserver.Log
		ctx, stop := context.WithCancel(c.ctx())
		stream := NewStreamClient(&cfg, configstream.DurableState{StartCount: 1}, StreamHandlers{}, logs.Logger())
		done := make(chan struct{})
		go func() {
			defer close(done)
			stream.Run(ctx)
		}()
		c.await(name+" is rejected as a follower", func() bool {
			return logs.HasLine("configuration stream ended", "does not belong to a follower")
		})
		stop()
		<-done
	}
}

// checkOtherFollowersIdentity checks that a follower does not start with the certificate or the file of another
// follower. It stops south.
func (c *followerTest) checkOtherFollowersIdentity() {
	c.t.Helper()
	cfg := *c.north.cfg
	cfg.Name, cfg.DataFile = "west", filepath.Join(c.dir, "w.db")
	err := c.startFollower(c.addFollower(rejectedID, &cfg))
	if err == nil || !strings.Contains(err.Error(), `"north"`) {
		c.t.Errorf("start with another follower's certificate: got error %v, want one that names it", err)
	}
	c.stop(southID)
	cfg = *c.north.cfg
	cfg.DataFile = c.south.cfg.DataFile
	if err := c.startFollower(c.addFollower(rejectedID, &cfg)); !errors.Is(err, ErrInvalidFollowerFile) {
		c.t.Errorf("start with another follower's file: got error %v, want ErrInvalidFollowerFile", err)
	}
}
