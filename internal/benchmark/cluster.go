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

// startMember starts an instance that agrees with others on what it serves.
func startMember(ctx context.Context, p *Part) ([]string, error) {
	creds, err := raftnode.LoadMemberCredentials(p.Dir, p.Member)
	if err != nil {
		return nil, err
	}
	cfg := &cluster.MemberConfig{
		Cluster:          "bench",
		MemberID:         p.Member,
		DataFile:         filepath.Join(p.Dir, fmt.Sprint(p.Member, ".db")),
		Credentials:      creds,
		Members:          p.Members,
		StreamListenAddr: p.Stream,
		SendFullVersions: p.StreamFull,
	}
	if err := cluster.InitMember(cfg, false); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	gate := &gateway.Config{Name: fmt.Sprint("gate-", p.Member), Settings: settings()}
	gate.Settings.Plans = nil
	gate.UseSockets(ln, nil)
	begun, ended := make(chan *cluster.Member, 1), make(chan error, 1)
	go func() {
		ended <- cluster.RunMember(ctx, cfg, gate, logging.New(os.Stderr), func(f *cluster.Member) { begun <- f })
	}()
	select {
	case err := <-ended:
		return nil, err
	case <-begun:
		return []string{ln.Addr().String()}, nil
	}
}

// benchCluster is three members as processes, of which the first has the measured processors, with servers behind them.
type benchCluster struct {
	dir     string
	auth    *raftnode.Authority
	members []*process
	streams map[uint64]string // addresses for followers
	client  *cluster.Client
	ends    []func() error
}

func (c *benchCluster) end() (err error) {
	for _, end := range slices.Backward(c.ends) {
		err = errors.Join(err, end())
	}
	return err
}

// startCluster starts members that have agreed on the bench's configuration; with streams they serve followers, by whole
// versions alone if full.
func startCluster(ctx context.Context, opt Options, streams, full bool) (c *benchCluster, err error) {
	c = &benchCluster{streams: map[uint64]string{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.end())
		}
	}()
	if c.dir, err = os.MkdirTemp("", "gateway-bench-"); err != nil {
		return c, err
	}
	c.ends = append(c.ends, func() error { return os.RemoveAll(c.dir) })
	if c.auth, err = raftnode.NewAuthority("bench"); err != nil {
		return c, err
	}
	if err := errors.Join(c.auth.Write(c.dir), c.auth.WriteOperator(c.dir, "op")); err != nil {
		return c, err
	}
	back, err := begin(ctx, opt.Self, 0, Part{Role: "halls"})
	if err != nil {
		return c, err
	}
	c.ends = append(c.ends, back.end)
	reg, err := testserver.NewDiscovery()
	if err != nil {
		return c, err
	}
	c.ends = append(c.ends, func() error { reg.Close(); return nil })
	for i, s := range back.addrs {
		reg.Put(testserver.Entry{InstanceID: fmt.Sprint("s", i), HostPort: s, Zone: "hall-a", MachineType: "k", Lifecycle: "up", Weight: 1})
	}
	members, at := map[uint64]clusterconfig.Member{}, []string{}
	for id := uint64(1); id <= clusterSize; id++ {
		var addrs [3]string
		for i := range addrs {
			if addrs[i], err = testserver.FreeAddr("tcp"); err != nil {
				return c, err
			}
		}
		members[id] = clusterconfig.Member{RaftAddress: addrs[0], AdminAddress: addrs[1]}
		if streams {
			c.streams[id] = addrs[2]
		}
		at = append([]string{addrs[1]}, at...) // operators ask the last one first
		if err := c.auth.WriteMembers(c.dir, []uint64{id}); err != nil {
			return c, err
		}
	}
	for id := uint64(1); id <= clusterSize; id++ {
		part, procs := Part{Role: "member", Member: id, Dir: c.dir, Members: members, Stream: c.streams[id], StreamFull: full}, 1
		if id == 1 {
			part.Profile, procs = opt.Profile, opt.Procs[0]
		}
		p, err := begin(ctx, opt.Self, procs, part)
		if err != nil {
			return c, err
		}
		c.members = append(c.members, p)
		c.ends = append(c.ends, func() error { p.end(); return nil }) // it may have been killed
	}
	creds, err := raftnode.LoadCredentialFiles(c.dir, raftnode.OperatorFilePrefix("op"))
	if err != nil {
		return c, err
	}
	c.client = cluster.NewClient("bench", creds, at...)
	c.ends = append(c.ends, func() error { c.client.Close(); return nil })
	return c, agree(ctx, c.client, reg.Addr().String())
}

const (
	clusterSize = 3
	agreeMost   = 20 * time.Second // until the first configuration is in force
)

// agree has the instances agree on the bench's configuration and waits until it is in force.
func agree(ctx context.Context, cl *cluster.Client, register string) error {
	p := &clusterconfig.Proposal{ID: "first", Changes: []clusterconfig.Change{
		clusterconfig.NewPutChange("class", "slot-check", clusterconfig.Class{PriorityWeight: 3, LatencyObjectiveMs: 2000, DeadlineMs: 4000}), clusterconfig.NewPutChange("class", "visit-book", clusterconfig.Class{PriorityWeight: 9, LatencyObjectiveMs: 2000, DeadlineMs: 4000}),
		clusterconfig.NewPutChange("plan", "kubwa", clusterconfig.Plan{Rate: 1e5, Burst: 1e5, HardLimitRate: 2e5, HardLimitBurst: 2e5, PriorityFactor: 1}),
		clusterconfig.NewPutChange("hall", "hall-a", clusterconfig.Site{DiscoveryAddress: register}),
		clusterconfig.NewPutChange("description", "booking", clusterconfig.Description{File: "booking.yaml", Text: string(deploy.Booking)})}}
	for i := range 100 {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("licensee", fmt.Sprint("licensee-", i), clusterconfig.Licensee{Plan: "kubwa"}))
	}
	ctx, cancel := context.WithTimeout(ctx, agreeMost)
	defer cancel()
	for {
		o, err := cl.Propose(ctx, p)
		if err == nil {
			return cl.AwaitInstalled(ctx, o.Version, 0)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}
