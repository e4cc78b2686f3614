package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
)

const (
	testTimeout      = 30 * time.Second // of each wait in a test, far above the expected durations
	testPollInterval = 2 * time.Millisecond
	testClusterName  = "test"
	testOperator     = "amina"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testDescription is the format of a description with one operation, whose units are the argument.
const testDescription = `openapi: 3.1.0
info: {title: t, version: "1"}
servers: [{url: /}]
paths:
  /slots:
    get:
      operationId: slots
      x-mulleinmux: {class: check, effect: safe, units: %d}
      responses: {"200": {description: ok}}
`

// testCluster is a cluster in this process, with one site of one server. The server responds with the version in the
// request that it receives from the gateway.
type testCluster struct {
	t         *testing.T
	dir       string
	authority *raftnode.Authority
	discovery *testserver.Discovery
	instances map[uint64]*testInstance // members and followers
	members   map[uint64]*testMember
	addrs     map[uint64]clusterconfig.Member
	admin     *Client
}

// testInstance is the instance of a member or a follower, which may be stopped.
type testInstance struct {
	listenAddr string
	cancel     context.CancelFunc // nil if the instance is stopped
	done       chan error
}

type testMember struct {
	*testInstance
	cfg       *MemberConfig
	staleness gateway.Agreement
	relay     *gateway.RelayConfig
	member    *Member
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testserver.FreeAddr("tcp")
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func newTestAuthority(t *testing.T, cluster string) *raftnode.Authority {
	t.Helper()
	authority, err := raftnode.NewAuthority(cluster)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func memberCredentials(t *testing.T, authority *raftnode.Authority, id uint64) raftnode.Credentials {
	t.Helper()
	creds, err := authority.IssueCredentials(id)
	if err != nil {
		t.Fatal(err)
	}
	return creds
}

// newTestCluster starts a cluster of memberCount members, without an agreed configuration.
func newTestCluster(t *testing.T, memberCount uint64) *testCluster {
	t.Helper()
	return newTestClusterWith(t, memberCount, nil)
}

// newTestClusterWith is newTestCluster with a function that configures each member before it starts.
func newTestClusterWith(t *testing.T, memberCount uint64, configure func(uint64, *testMember)) *testCluster {
	t.Helper()
	c := &testCluster{
		t:         t,
		dir:       t.TempDir(),
		authority: newTestAuthority(t, testClusterName),
		instances: map[uint64]*testInstance{},
		members:   map[uint64]*testMember{},
		addrs:     map[uint64]clusterconfig.Member{},
	}
	c.startServer()
	if err := c.authority.WriteOperator(c.dir, testOperator); err != nil {
		t.Fatal(err)
	}
	if err := c.authority.Write(c.dir); err != nil {
		t.Fatal(err)
	}
	var adminAddrs []string
	for id := uint64(1); id <= memberCount; id++ {
		c.addrs[id] = clusterconfig.Member{RaftAddress: freeAddr(t), AdminAddress: freeAddr(t)}
		adminAddrs = append(adminAddrs, c.addrs[id].AdminAddress)
	}
	t.Cleanup(func() {
		c.stopCluster()
		http.DefaultClient.CloseIdleConnections()
	})
	for id := uint64(1); id <= memberCount; id++ {
		m := c.newMember(id)
		if configure != nil {
			configure(id, m)
		}
		if err := InitMember(m.cfg, false); err != nil {
			t.Fatal(err)
		}
		c.start(id)
	}
	c.admin = NewClient(testClusterName, c.operatorCredentials(), adminAddrs...)
	t.Cleanup(c.admin.Close)
	return c
}

// startServer starts the site's server and its discovery.
func (c *testCluster) startServer() {
	c.t.Helper()
	var err error
	if c.discovery, err = testserver.NewDiscovery(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(c.discovery.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte(r.Header.Get("X-Mulleinmux-Version")))
	})}
	go server.Serve(ln)
	c.t.Cleanup(func() { server.Close() })
	c.discovery.Put(testserver.Entry{
		InstanceID: "s", HostPort: ln.Addr().String(), Zone: "x", Lifecycle: "up", Weight: 1,
	})
}

func (c *testCluster) operatorCredentials() raftnode.Credentials {
	c.t.Helper()
	creds, err := raftnode.LoadCredentialFiles(c.dir, raftnode.OperatorFilePrefix(testOperator))
	if err != nil {
		c.t.Fatal(err)
	}
	return creds
}

// newMember adds a member to the test cluster without starting it.
func (c *testCluster) newMember(id uint64) *testMember {
	c.t.Helper()
	m := &testMember{
		testInstance: &testInstance{listenAddr: freeAddr(c.t)},
		cfg: &MemberConfig{
			Cluster:      testClusterName,
			MemberID:     id,
			DataFile:     filepath.Join(c.dir, fmt.Sprint(id, ".db")),
			Credentials:  memberCredentials(c.t, c.authority, id),
			Members:      c.addrs,
			TickInterval: 10 * time.Millisecond,
		},
	}
	c.members[id], c.instances[id] = m, m.testInstance
	return m
}

func testInstanceConfig(name string, seed uint64) *gateway.Config {
	return &gateway.Config{
		Name: name, Seed: seed, DrainTimeout: time.Millisecond,
		Settings: policy.Settings{
			InstanceCount: 1, Zone: "hall-a", MaxAttempts: 3, AllowsCancel: true,
			SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MinEventInterval: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond,
			AllowsHealthChecks: true, LoadReports: policy.LoadReportsInHealthChecks,
		},
	}
}

// listen opens the instance's listener for clients.
func (i *testInstance) listen(t *testing.T, cfg *gateway.Config) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", i.listenAddr)
	if err != nil {
		t.Fatal(err)
	}
	cfg.UseSockets(ln, nil)
	return ln
}

// start starts a member and waits until its instance has started.
func (c *testCluster) start(id uint64) {
	c.t.Helper()
	m := c.members[id]
	staleness := m.staleness
	instanceConfig := testInstanceConfig(fmt.Sprint("g", id), id)
	instanceConfig.Agreement = &staleness
	instanceConfig.Relay = m.relay
	m.listen(c.t, instanceConfig)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan error, 1)
	started := make(chan *Member, 1)
	logger := slog.New(slog.DiscardHandler)
	done := m.done
	go func() {
		done <- RunMember(ctx, m.cfg, instanceConfig, logger, func(member *Member) { started <- member })
	}()
	select {
	case m.member = <-started:
	case err := <-m.done:
		c.t.Fatalf("member %d failed to start: %v", id, err)
	case <-time.After(testTimeout):
		c.t.Fatal("timeout waiting for a member to start")
	}
}

// stop stops a member or follower, if it runs, and returns its error.
func (c *testCluster) stop(id uint64) error {
	c.t.Helper()
	i := c.instances[id]
	if i == nil || i.cancel == nil {
		return nil
	}
	i.cancel()
	i.cancel = nil
	select {
	case err := <-i.done:
		return err
	case <-time.After(testTimeout):
		c.t.Errorf("timeout waiting for instance %d to stop", id)
		return nil
	}
}

// stopAll stops members or followers concurrently.
func (c *testCluster) stopAll(ids ...uint64) {
	c.t.Helper()
	var stopping sync.WaitGroup
	for _, id := range ids {
		stopping.Go(func() { c.stop(id) })
	}
	stopping.Wait()
}

// stopCluster stops all instances. It stops the leader once it has lost its leadership, because a leader that stops
// waits for a successor, which would be stopping too. It stops the followers together with the leader, because they
// wait for the member that they are connected to.
func (c *testCluster) stopCluster() {
	c.t.Helper()
	leader := c.leader()
	var otherMembers []uint64
	for id := range c.members {
		if id != leader {
			otherMembers = append(otherMembers, id)
		}
	}
	c.stopAll(otherMembers...)
	c.await("the leader without a quorum steps down", func() bool { return c.leader() == 0 })
	c.stopAll(slices.Collect(maps.Keys(c.instances))...)
}

// leader returns the running member that leads a cluster of several voters, or 0.
func (c *testCluster) leader() uint64 {
	for id, m := range c.members {
		if m.cancel == nil || m.member == nil {
			continue
		}
		status, err := m.member.node.Status(c.ctx())
		if err == nil && status.Leader == id && len(status.Voters) > 1 {
			return id
		}
	}
	return 0
}

// awaitEnd waits until a member stops without a call of stop, and returns its error.
func (c *testCluster) awaitEnd(id uint64) error {
	c.t.Helper()
	i := c.instances[id]
	select {
	case err := <-i.done:
		i.cancel()
		i.cancel = nil
		return err
	case <-time.After(testTimeout):
		c.t.Fatalf("timeout waiting for member %d to stop by itself", id)
		return nil
	}
}

func (c *testCluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

type response struct {
	status int
	body   string
	header http.Header
}

// get sends a client's request to an instance.
func (c *testCluster) get(id uint64, path string) response {
	c.t.Helper()
	url := "http://" + c.instances[id].listenAddr + path
	request, err := http.NewRequestWithContext(c.ctx(), http.MethodGet, url, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	request.Close = true
	request.Header.Set("X-Licensee", "bahari")
	request.Header.Set("X-Mulleinmux-Explain", "1")
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response{httpResponse.StatusCode, string(body), httpResponse.Header}
}

func (c *testCluster) isReady(id uint64) bool {
	return c.get(id, "/health/ready").status == http.StatusOK
}

// await waits until a condition holds.
func (c *testCluster) await(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(testPollInterval) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timeout waiting for condition: %s", what)
		}
	}
}

// awaitInstalled waits until a version is in force at all members and followers.
func (c *testCluster) awaitInstalled(version uint64) {
	c.t.Helper()
	if err := c.admin.AwaitInstalled(c.ctx(), version, 0); err != nil {
		c.t.Fatal(err)
	}
}

// awaitServing waits until an instance has discovered the server and serves a request.
func (c *testCluster) awaitServing(id uint64) {
	c.t.Helper()
	c.await("a request is served", func() bool { return c.get(id, "/slots").status == http.StatusOK })
}

// awaitAllStatuses waits until memberCount members respond, and the condition holds for each.
func (c *testCluster) awaitAllStatuses(what string, memberCount int, condition func(Status) bool) {
	c.t.Helper()
	c.await(what, func() bool {
		statuses, failures, err := c.admin.AllStatuses(c.ctx())
		if err != nil || len(failures) > 0 || len(statuses) != memberCount {
			return false
		}
		for _, status := range statuses {
			if !condition(status) {
				return false
			}
		}
		return true
	})
}

func (c *testCluster) propose(p *clusterconfig.Proposal) clusterconfig.Outcome {
	c.t.Helper()
	outcome, err := c.admin.Propose(c.ctx(), p)
	if err != nil {
		c.t.Fatal(err)
	}
	return outcome
}

// proposeChanges proposes changes under an ID.
func (c *testCluster) proposeChanges(id string, changes ...clusterconfig.Change) clusterconfig.Outcome {
	c.t.Helper()
	return c.propose(&clusterconfig.Proposal{ID: id, Changes: changes})
}

func newChange(op, kind, name, value string) clusterconfig.Change {
	change := clusterconfig.Change{Op: op, Kind: kind, Name: name}
	if value != "" {
		change.Value = []byte(value)
	}
	return change
}

// putDescription returns a change that puts a description whose operation costs the given units.
func putDescription(units int) clusterconfig.Change {
	text := strconv.Quote(fmt.Sprintf(testDescription, units))
	return newChange("put", "description", "d", fmt.Sprintf(`{"file":"d.yaml","text":%s}`, text))
}

// initialProposal returns a proposal with a complete first configuration.
func (c *testCluster) initialProposal() *clusterconfig.Proposal {
	return &clusterconfig.Proposal{ID: "first", Changes: []clusterconfig.Change{
		newChange("put", "class", "check", `{"worth":1,"aim_ms":5000,"deadline_ms":10000}`),
		newChange("put", "plan", "wide", `{"rate":1e6,"burst":1e6,"price":1}`),
		newChange("put", "licensee", "bahari", `{"plan":"wide"}`),
		newChange("put", "hall", "hall-a", fmt.Sprintf(`{"register":%q}`, c.discovery.Addr())),
		putDescription(1),
	}}
}

// hasStatus reports whether an error is a response with a status whose message contains a text.
func hasStatus(err error, status int, text string) bool {
	e, ok := errors.AsType[*ResponseError](err)
	return ok && e.Status == status && strings.Contains(e.Message, text)
}
