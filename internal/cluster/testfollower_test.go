package cluster

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"time"

	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// testFollower is a follower in this process.
type testFollower struct {
	*testInstance
	cfg      *FollowerConfig
	follower *Follower
	logs     *testserver.Log
}

// newFollower adds a follower to the test cluster without starting it. Its ID, which no member has, is for get and
// stop.
func (c *testCluster) newFollower(id uint64, name string) *testFollower {
	c.t.Helper()
	if err := c.authority.WriteFollower(c.dir, name); err != nil {
		c.t.Fatal(err)
	}
	creds, err := raftnode.LoadCredentialFiles(c.dir, raftnode.FollowerFilePrefix(name))
	if err != nil {
		c.t.Fatal(err)
	}
	cfg := &FollowerConfig{
		Cluster:           testClusterName,
		Name:              name,
		Credentials:       creds,
		DataFile:          filepath.Join(c.dir, name+".db"),
		MemberStreamAddrs: map[uint64]string{},
	}
	for member, m := range c.members {
		if m.cfg.StreamListenAddr != "" {
			cfg.MemberStreamAddrs[member] = m.cfg.StreamListenAddr
		}
	}
	return c.addFollower(id, cfg)
}

// addFollower adds a follower with the given configuration to the test cluster without starting it.
func (c *testCluster) addFollower(id uint64, cfg *FollowerConfig) *testFollower {
	c.t.Helper()
	f := &testFollower{testInstance: &testInstance{listenAddr: freeAddr(c.t)}, cfg: cfg}
	c.instances[id] = f.testInstance
	return f
}

// startFollower starts a follower and waits until its instance has started. It returns the error if it
// does not start.
func (c *testCluster) startFollower(f *testFollower) error {
	c.t.Helper()
	instanceConfig := testInstanceConfig(f.cfg.Name, 9)
	ln := f.listen(c.t, instanceConfig)
	f.logs = &testserver.Log{}
	ctx, cancel := context.WithCancel(context.Background())
	f.done, f.cancel = make(chan error, 1), cancel
	started := make(chan *Follower, 1)
	logger := f.logs.Logger()
	done := f.done
	go func() {
		done <- RunFollower(ctx, f.cfg, instanceConfig, logger, func(follower *Follower) { started <- follower })
	}()
	select {
	case f.follower = <-started:
		return nil
	case err := <-done:
		ln.Close()
		cancel()
		f.cancel = nil
		return err
	case <-time.After(testTimeout):
		return errors.New("timeout waiting for the follower to start")
	}
}

// awaitFollower waits until a member's summary of a follower contains a text.
func (c *testCluster) awaitFollower(name, want string) {
	c.t.Helper()
	last := ""
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(testPollInterval) {
		list, err := c.admin.Followers(c.ctx())
		if err != nil {
			last = err.Error()
			continue
		}
		for _, s := range list.Followers {
			if s.Name != name {
				continue
			}
			if last = s.Summary(); strings.Contains(last, want) {
				return
			}
		}
	}
	c.t.Fatalf("summary of follower %s: got %q, want one that contains %q", name, last, want)
}
