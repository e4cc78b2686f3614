package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// Scenarios with processes run each instance in a process of its own. The members agree on their configuration by Raft
// while operators change it, and members are killed, partitioned and restarted.

// Sizes and times of scenarios with processes.
const (
	clusterName      = "lab"
	operatorCount    = 3
	operatorInterval = 30 * time.Millisecond // mean time between two operations of one operator
	tickInterval     = 20 * time.Millisecond // elections start after 200 to 400 ms
	startTimeout     = 20 * time.Second
	lostLogWindow    = time.Second     // access log records of this time before a kill may be missing
	staleTimeout     = 2 * time.Second // staleness bound of the last member, which rejects requests beyond it
	settleTimeout    = 20 * time.Second
	maxDrainTime     = 2500 * time.Millisecond // for an instance to finish the requests that it has accepted
)

// faultRandomStream is the stream of the random numbers of faults. The operators use other streams.
const faultRandomStream = 0xc1

// clusterRun is the state of a running scenario with processes.
type clusterRun struct {
	environment     *environment
	dir             string
	members         []*clusterInstance
	followers       []*clusterInstance           // instances that follow the configuration stream
	streamLinks     map[linkKey]*testserver.Link // from a follower to a member
	raftLinks       map[linkKey]*testserver.Link // from a member to another
	relayLinks      map[linkKey]*testserver.Link // from a member to one at the other site
	operatorClients []*cluster.Client            // one for each operator
	hasChaos        bool
	rng             *rand.Rand
	afterClose      func() // called after siteCloses has closed a site; may be nil

	mu               sync.Mutex
	configOperations []configOperation
	killCount        int
	failedDiskCount  int // members whose process ended because their disk failed
	flapCount        int // partitions of a site or of links, and returns
	losses           []siteLoss
	outage           *siteOutage     // of siteLostSurge, else nil
	isolations       []interval      // during which the sites were partitioned from each other
	leaderLossDelays []time.Duration // from each kill of the leader to the next applied change
}

// siteLoss records how long the instances took to agree on a site's loss and on its return.
type siteLoss struct {
	lossDelay   time.Duration // from its partition
	returnDelay time.Duration // from its return
}

// newClusterRun returns a run with a new directory, which the caller removes.
func newClusterRun(env *environment) (*clusterRun, error) {
	dir, err := os.MkdirTemp("", "gateway-lab-")
	return &clusterRun{
		environment: env,
		dir:         dir,
		streamLinks: map[linkKey]*testserver.Link{},
		raftLinks:   map[linkKey]*testserver.Link{},
		relayLinks:  map[linkKey]*testserver.Link{},
		rng:         rand.New(rand.NewPCG(env.options.Seed, faultRandomStream)),
		hasChaos:    env.scenario.Name == "chaos-config",
	}, err
}

// runCluster runs a scenario with processes.
func (env *environment) runCluster(ctx context.Context) (*Verdict, error) {
	c, err := newClusterRun(env)
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(c.dir)
	sites, closeSites, err := env.startSites()
	if err != nil {
		return nil, err
	}
	defer closeSites()
	if err := c.prepare(); err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.startInstances(ctx, sites); err != nil {
		return nil, err
	}
	began := time.Now()
	clientAttempts := c.runClients(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return c.checkRules(ctx, clientAttempts, began), nil
}

// startInstances starts all processes, applies the first configuration, and returns once all are ready.
func (c *clusterRun) startInstances(ctx context.Context, sites []gateway.Site) error {
	for _, m := range c.instances() {
		if err := c.start(m); err != nil {
			return err
		}
	}
	if err := c.applyFirstConfig(ctx, sites); err != nil {
		return err
	}
	for _, m := range c.instances() {
		if err := c.awaitReady(ctx, m); err != nil {
			return err
		}
		m.markUp()
	}
	return nil
}

// runClients runs the clients for the scenario's duration, concurrently with its faults and the operators' changes. It
// returns once all three have ended.
func (c *clusterRun) runClients(ctx context.Context) []testserver.Attempt {
	env := c.environment
	clientsCtx, end := context.WithTimeout(ctx, env.options.Duration)
	defer end()
	operatorsCtx, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	var background, operators sync.WaitGroup
	for i := range operatorCount {
		operators.Go(func() { c.runOperator(operatorsCtx, i) })
	}
	background.Go(func() { env.scenario.runOnCluster(clientsCtx, c) })
	background.Go(func() { c.reportProgress(clientsCtx) })
	clientAttempts := env.newClients().Run(clientsCtx)
	background.Wait()
	stopOperators()
	operators.Wait()
	return clientAttempts
}

// instances returns all instances: members and followers.
func (c *clusterRun) instances() []*clusterInstance { return slices.Concat(c.members, c.followers) }

// prepare creates certificates, addresses, links, configuration files, the members' data and the operators' clients.
func (c *clusterRun) prepare() error {
	authority, err := raftnode.NewAuthority(clusterName)
	if err != nil {
		return err
	}
	certs := filepath.Join(c.dir, "certs")
	if err := os.Mkdir(certs, 0o700); err != nil {
		return err
	}
	if err := authority.Write(certs); err != nil {
		return err
	}
	if err := c.addInstances(authority, certs); err != nil {
		return err
	}
	if err := c.openLinks(); err != nil {
		return err
	}
	if err := c.writeConfigs(); err != nil {
		return err
	}
	if err := c.initMembers(); err != nil {
		return err
	}
	return c.addClients(authority, certs)
}

// addInstances adds the members and the followers, with their addresses and certificates.
func (c *clusterRun) addInstances(authority *raftnode.Authority, certs string) error {
	for i := range c.environment.memberCount() + c.environment.scenario.followerCount {
		m := &clusterInstance{id: uint64(i + 1)}
		if i >= c.environment.memberCount() {
			m.followerName = fmt.Sprint("edge-", m.id)
		}
		if err := m.reserveAddrs(); err != nil {
			return err
		}
		var err error
		if m.followerName == "" {
			c.members = append(c.members, m)
			err = authority.WriteMembers(certs, []uint64{m.id})
		} else {
			c.followers = append(c.followers, m)
			err = authority.WriteFollower(certs, m.followerName)
		}
		if err != nil {
			return err
		}
		c.environment.addrs = append(c.environment.addrs, m.listen)
	}
	return nil
}

// reserveAddrs finds a free address for each listener of an instance.
func (m *clusterInstance) reserveAddrs() (err error) {
	for _, addr := range []*string{&m.listen, &m.admin, &m.raft, &m.relay, &m.stream} {
		if *addr, err = testserver.FreeAddr("tcp"); err != nil {
			return err
		}
	}
	m.gossip, err = testserver.FreeAddr("udp")
	return err
}

// openLinks opens a link for each path between two instances: the configuration stream from followers to members, Raft
// between members, and the relay between members of different sites.
func (c *clusterRun) openLinks() (err error) {
	for i := range c.followers {
		for j, to := range c.members {
			if c.streamLinks[linkKey{from: i, to: j}], err = testserver.NewLink(to.stream); err != nil {
				return err
			}
		}
	}
	for i := range c.members {
		for j, to := range c.members {
			if i == j {
				continue
			}
			if c.raftLinks[linkKey{from: i, to: j}], err = testserver.NewLink(to.raft); err != nil {
				return err
			}
			if c.environment.scenario.hasTwoSites && i%2 != j%2 {
				if c.relayLinks[linkKey{from: i, to: j}], err = testserver.NewLink(to.relay); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// writeConfigs writes the configuration file of each instance.
func (c *clusterRun) writeConfigs() error {
	for i, m := range c.instances() {
		path := filepath.Join(c.dir, m.configFile())
		if err := os.WriteFile(path, []byte(c.config(i)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// initMembers initializes each member's data for a new cluster. The commands run in parallel, as a process built with
// the race detector takes a second to exit.
func (c *clusterRun) initMembers() error {
	errs := make([]error, len(c.members))
	var running sync.WaitGroup
	for i, m := range c.members {
		running.Go(func() {
			path := filepath.Join(c.dir, m.configFile())
			if out, err := c.command("init", "--config", path, "--new-cluster").CombinedOutput(); err != nil {
				errs[i] = fmt.Errorf("initializing a cluster member: %w: %s", err, out)
			}
		})
	}
	running.Wait()
	return errors.Join(errs...)
}

// addClients creates the client of each operator. Each client tries a different member first.
func (c *clusterRun) addClients(authority *raftnode.Authority, certs string) error {
	for i := range operatorCount {
		name := fmt.Sprint("op", i)
		if err := authority.WriteOperator(certs, name); err != nil {
			return err
		}
		credentials, err := raftnode.LoadCredentialFiles(certs, raftnode.OperatorFilePrefix(name))
		if err != nil {
			return err
		}
		addrs := []string{}
		for k := range c.members {
			addrs = append(addrs, c.members[(i+k)%len(c.members)].admin)
		}
		c.operatorClients = append(c.operatorClients, cluster.NewClient(clusterName, credentials, addrs...))
	}
	return nil
}

// close kills all processes and closes links and clients.
func (c *clusterRun) close() {
	for _, m := range c.instances() {
		if m.cmd != nil && m.cmd.Process != nil {
			m.cmd.Process.Kill()
			<-m.process.done
		}
	}
	for _, l := range c.raftLinks {
		l.Close()
	}
	for _, l := range c.relayLinks {
		l.Close()
	}
	for _, l := range c.streamLinks {
		l.Close()
	}
	for _, cl := range c.operatorClients {
		cl.Close()
	}
}

// reportProgress reports the scenario's progress once a second, until ctx ends.
func (c *clusterRun) reportProgress(ctx context.Context) {
	for n := 1; ; n++ {
		if pause(ctx, time.Second); ctx.Err() != nil {
			return
		}
		if c.environment.options.Progress == nil {
			continue
		}
		applied, _ := c.countApplied()
		c.mu.Lock()
		kills := c.killCount
		c.mu.Unlock()
		c.environment.options.Progress(fmt.Sprintf(
			"%s %ds of %v: %d changes applied, %d kills, %d requests received by the sites",
			c.environment.scenario.Name, n, c.environment.options.Duration, applied, kills,
			len(c.environment.ledger.Arrivals())))
	}
}

// linkKey identifies a link by the indexes of the two instances that it connects.
type linkKey struct{ from, to int }
