package benchmark

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/deploy"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// startMember starts an instance that is a member of a cluster, and returns the address on which it serves.
func startMember(ctx context.Context, p *Part) ([]string, error) {
	credentials, err := raftnode.LoadMemberCredentials(p.Dir, p.Member)
	if err != nil {
		return nil, err
	}
	memberConfig := &cluster.MemberConfig{
		Cluster:          clusterName,
		MemberID:         p.Member,
		DataFile:         filepath.Join(p.Dir, fmt.Sprint(p.Member, ".db")),
		Credentials:      credentials,
		Members:          p.Members,
		StreamListenAddr: p.StreamAddr,
		SendFullVersions: p.SendFullVersions,
	}
	if err := cluster.InitMember(memberConfig, false); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	instanceConfig := &gateway.Config{Name: fmt.Sprint("gate-", p.Member), Settings: settings()}
	instanceConfig.Settings.Plans = nil // plans come from the cluster's configuration
	instanceConfig.UseSockets(listener, nil)
	logger := logging.New(os.Stderr)
	started := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		ended <- cluster.RunMember(ctx, memberConfig, instanceConfig, logger, func(*cluster.Member) { close(started) })
	}()
	select {
	case err := <-ended:
		return nil, err
	case <-started:
		return []string{listener.Addr().String()}, nil
	}
}

const (
	clusterName  = "bench"
	operatorName = "op"
	clusterSize  = 3

	installTimeout        = 20 * time.Second // until the first configuration is installed
	proposalRetryInterval = 50 * time.Millisecond
)

// followerService is whether members serve followers, and in which form they send them versions.
type followerService int

const (
	noFollowers followerService = iota
	followersGetDeltas
	followersGetFullVersions
)

// benchCluster is a cluster of three members in processes of their own, with servers behind them. The first member is
// measured and runs with the GOMAXPROCS of the measurement.
type benchCluster struct {
	dir       string // holds certificates and members' files
	authority *raftnode.Authority
	members   []*process
	streams   map[uint64]string // addresses on which members serve followers
	client    *cluster.Client
	cleanups  []func() error // run by stop in reverse order
}

// stop stops the members and the servers, and removes the cluster's directory.
func (c *benchCluster) stop() (err error) {
	for _, cleanup := range slices.Backward(c.cleanups) {
		err = errors.Join(err, cleanup())
	}
	return err
}

// startCluster starts a cluster and waits until the benchmark's configuration is installed.
func startCluster(ctx context.Context, opt Options, service followerService) (c *benchCluster, err error) {
	c = &benchCluster{streams: map[uint64]string{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.stop())
		}
	}()
	if err := c.writeCertificates(); err != nil {
		return c, err
	}
	registry, err := c.startServers(ctx, opt.Program)
	if err != nil {
		return c, err
	}
	members, err := c.reserveAddresses(service)
	if err != nil {
		return c, err
	}
	if err := c.startMembers(ctx, opt, members, service); err != nil {
		return c, err
	}
	if err := c.connect(members); err != nil {
		return c, err
	}
	return c, installConfiguration(ctx, c.client, registry.Addr().String())
}

// writeCertificates creates the cluster's directory, with the certificates of its members and of an operator.
func (c *benchCluster) writeCertificates() (err error) {
	if c.dir, err = os.MkdirTemp("", "gateway-bench-"); err != nil {
		return err
	}
	c.cleanups = append(c.cleanups, func() error { return os.RemoveAll(c.dir) })
	if c.authority, err = raftnode.NewAuthority(clusterName); err != nil {
		return err
	}
	err = errors.Join(c.authority.Write(c.dir), c.authority.WriteOperator(c.dir, operatorName))
	for id := uint64(1); id <= clusterSize && err == nil; id++ {
		err = c.authority.WriteMembers(c.dir, []uint64{id})
	}
	return err
}

// startServers starts a process that runs the servers, and a service discovery that lists them.
func (c *benchCluster) startServers(ctx context.Context, program string) (*testserver.Discovery, error) {
	servers, err := startPart(ctx, program, 0, Part{Role: roleServers})
	if err != nil {
		return nil, err
	}
	c.cleanups = append(c.cleanups, servers.stop)
	registry, err := startDiscovery(servers.addrs)
	if err != nil {
		return nil, err
	}
	c.cleanups = append(c.cleanups, func() error { registry.Close(); return nil })
	return registry, nil
}

// reserveAddresses picks free addresses for the members and returns the members with them. If members serve followers,
// it also sets c.streams.
func (c *benchCluster) reserveAddresses(service followerService) (map[uint64]clusterconfig.Member, error) {
	members := map[uint64]clusterconfig.Member{}
	for id := uint64(1); id <= clusterSize; id++ {
		var addrs [3]string
		for i := range addrs {
			var err error
			if addrs[i], err = testserver.FreeAddr("tcp"); err != nil {
				return nil, err
			}
		}
		members[id] = clusterconfig.Member{RaftAddress: addrs[0], AdminAddress: addrs[1]}
		if service != noFollowers {
			c.streams[id] = addrs[2]
		}
	}
	return members, nil
}

// startMembers starts a process for each member. The first one gets the profile and the processors of the measurement.
func (c *benchCluster) startMembers(
	ctx context.Context, opt Options, members map[uint64]clusterconfig.Member, service followerService,
) error {
	for id := uint64(1); id <= clusterSize; id++ {
		part := Part{
			Role:             roleMember,
			Member:           id,
			Dir:              c.dir,
			Members:          members,
			StreamAddr:       c.streams[id],
			SendFullVersions: service == followersGetFullVersions,
		}
		procs := 1
		if id == 1 {
			part.Profile, procs = opt.Profile, opt.Procs[0]
		}
		member, err := startPart(ctx, opt.Program, procs, part)
		if err != nil {
			return err
		}
		c.members = append(c.members, member)
		c.cleanups = append(c.cleanups, func() error { member.stop(); return nil }) // a killed member's error is expected
	}
	return nil
}

// connect creates the operator's client, which tries the last member first.
func (c *benchCluster) connect(members map[uint64]clusterconfig.Member) error {
	credentials, err := raftnode.LoadCredentialFiles(c.dir, raftnode.OperatorFilePrefix(operatorName))
	if err != nil {
		return err
	}
	var addrs []string
	for id := uint64(clusterSize); id >= 1; id-- {
		addrs = append(addrs, members[id].AdminAddress)
	}
	c.client = cluster.NewClient(clusterName, credentials, addrs...)
	c.cleanups = append(c.cleanups, func() error { c.client.Close(); return nil })
	return nil
}

// installConfiguration proposes the benchmark's configuration, retrying until a leader commits it, and waits until the
// version is installed.
func installConfiguration(ctx context.Context, client *cluster.Client, registryAddr string) error {
	proposal := firstProposal(registryAddr)
	ctx, cancel := context.WithTimeout(ctx, installTimeout)
	defer cancel()
	for {
		outcome, err := client.Propose(ctx, proposal)
		if err == nil {
			return client.AwaitInstalled(ctx, outcome.Version, 0)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(proposalRetryInterval):
		}
	}
}

// firstProposal returns a proposal with the benchmark's configuration, which is that of startGateway.
func firstProposal(registryAddr string) *clusterconfig.Proposal {
	put := clusterconfig.NewPutChange
	changes := []clusterconfig.Change{
		put(clusterconfig.KindClass, "slot-check",
			clusterconfig.Class{PriorityWeight: 3, LatencyObjectiveMs: 2000, DeadlineMs: 4000}),
		put(clusterconfig.KindClass, "visit-book",
			clusterconfig.Class{PriorityWeight: 9, LatencyObjectiveMs: 2000, DeadlineMs: 4000}),
		put(clusterconfig.KindPlan, "kubwa", clusterconfig.Plan{
			Rate: 1e5, Burst: 1e5, HardLimitRate: 2e5, HardLimitBurst: 2e5, PriorityFactor: 1}),
		put(clusterconfig.KindSite, serverSite, clusterconfig.Site{DiscoveryAddress: registryAddr}),
		put(clusterconfig.KindDescription, "booking",
			clusterconfig.Description{File: "booking.yaml", Text: string(deploy.Booking)}),
	}
	for i := range licenseeCount {
		changes = append(changes, put(clusterconfig.KindLicensee, licenseeName(i), clusterconfig.Licensee{Plan: "kubwa"}))
	}
	return &clusterconfig.Proposal{ID: "first", Changes: changes}
}
