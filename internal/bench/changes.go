package bench

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mulleinmux/choice"
	"mulleinmux/deploy"
	"mulleinmux/fleetconfig"
	"mulleinmux/internal/fleet"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/standin"
)

const (
	clusterSize = 3
	agreeMost   = 20 * time.Second // until the first configuration is in force
)

// startMember starts an instance that agrees with others on what it serves.
func startMember(ctx context.Context, p *Part) ([]string, error) {
	creds, err := raftnode.LoadCredentials(p.Dir, p.Member)
	if err != nil {
		return nil, err
	}
	cfg := &fleet.Config{Cluster: "bench", Member: p.Member, Data: filepath.Join(p.Dir, fmt.Sprint(p.Member, ".db")), Credentials: creds, Members: p.Members, Stream: p.Stream, StreamFull: p.StreamFull}
	if err := fleet.Init(cfg, false); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	gate := &gateway.Config{Name: fmt.Sprint("gate-", p.Member), Settings: settings()}
	gate.Settings.Plans = nil
	gate.On(ln, nil)
	begun, ended := make(chan *fleet.Fleet, 1), make(chan error, 1)
	go func() {
		ended <- fleet.Run(ctx, cfg, gate, log.New(os.Stderr, "", 0), func(f *fleet.Fleet) { begun <- f })
	}()
	select {
	case err := <-ended:
		return nil, err
	case <-begun:
		return []string{ln.Addr().String()}, nil
	}
}

// settings are those of an instance under measurement.
func settings() choice.Settings {
	return choice.Settings{Instances: 1, Zone: "hall-a", MaxAttempts: 5, Cancel: true,
		RetryAfter: true, MaxRetryAfter: 2 * time.Second, Tick: 2 * time.Millisecond, AnswerSlack: 8 * time.Millisecond, Probes: true,
		Report: choice.ReportAnswers, MostUnits: 50, ColdFrom: 0.17, RampTime: 15 * time.Second, FallMultiple: 2.5, OverloadFor: 2 * time.Second,
		DrainGrace: 250 * time.Millisecond, PriceCross: 0.01, PriceProbe: 0.01,
		Plans: []choice.Plan{{Name: "kubwa", Rate: 1e5, Burst: 1e5, CeilingRate: 2e5, CeilingBurst: 2e5, Price: 1}}}
}

// Changes measures one of three instances that agree, by turns without changes of what is
// agreed on and with one at each gap. tell gets the results, "still" and "changing", and how
// many changes took place during the latter.
func Changes(ctx context.Context, opt Options, gap time.Duration, tell func(r Result, changes int)) (err error) {
	c, err := startCluster(ctx, opt, false, false)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.end()) }()
	front, cl := c.members[0], c.client
	for range opt.Rounds {
		r, err := measure(opt, "still", opt.Procs[0], front.addrs, front)
		if err != nil {
			return err
		}
		tell(r, 0)
		changing, stop := context.WithCancel(ctx)
		done := make(chan int, 1)
		go func() { done <- change(changing, cl, gap) }()
		r, err = measure(opt, "changing", opt.Procs[0], front.addrs, front)
		stop()
		n := <-done
		if err != nil {
			return err
		}
		tell(r, n)
	}
	return nil
}

// benchCluster is three members as processes, of which the first has the measured processors, with servers behind them.
type benchCluster struct {
	dir     string
	auth    *raftnode.Authority
	members []*process
	streams map[uint64]string // addresses for followers
	client  *fleet.Client
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
	if c.dir, err = os.MkdirTemp("", "mulleingate-bench-"); err != nil {
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
	reg, err := standin.NewRegister()
	if err != nil {
		return c, err
	}
	c.ends = append(c.ends, func() error { reg.Close(); return nil })
	for i, s := range back.addrs {
		reg.Put(standin.Entry{InstanceID: fmt.Sprint("s", i), HostPort: s, Zone: "hall-a", MachineType: "k", Lifecycle: "up", Weight: 1})
	}
	members, at := map[uint64]fleetconfig.Member{}, []string{}
	for id := uint64(1); id <= clusterSize; id++ {
		var addrs [3]string
		for i := range addrs {
			if addrs[i], err = standin.FreeAddr("tcp"); err != nil {
				return c, err
			}
		}
		members[id] = fleetconfig.Member{Raft: addrs[0], Admin: addrs[1]}
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
	creds, err := raftnode.LoadNamed(c.dir, raftnode.OperatorFile("op"))
	if err != nil {
		return c, err
	}
	c.client = fleet.NewClient("bench", creds, at...)
	c.ends = append(c.ends, func() error { c.client.Close(); return nil })
	return c, agree(ctx, c.client, reg.Addr().String())
}

// agree has the instances agree on the bench's configuration and waits until it is in force.
func agree(ctx context.Context, cl *fleet.Client, register string) error {
	p := &fleetconfig.Proposal{ID: "first", Changes: []fleetconfig.Change{
		fleetconfig.Put("class", "slot-check", fleetconfig.Class{Worth: 3, AimMs: 2000, DeadlineMs: 4000}), fleetconfig.Put("class", "visit-book", fleetconfig.Class{Worth: 9, AimMs: 2000, DeadlineMs: 4000}),
		fleetconfig.Put("plan", "kubwa", fleetconfig.Plan{Rate: 1e5, Burst: 1e5, CeilingRate: 2e5, CeilingBurst: 2e5, Price: 1}),
		fleetconfig.Put("hall", "hall-a", fleetconfig.Hall{Register: register}),
		fleetconfig.Put("description", "booking", fleetconfig.Description{File: "booking.yaml", Text: string(deploy.Booking)})}}
	for i := range 100 {
		p.Changes = append(p.Changes, fleetconfig.Put("licensee", fmt.Sprint("licensee-", i), fleetconfig.Licensee{Plan: "kubwa"}))
	}
	ctx, cancel := context.WithTimeout(ctx, agreeMost)
	defer cancel()
	for {
		o, err := cl.Propose(ctx, p)
		if err == nil {
			return cl.AwaitEverywhere(ctx, o.Version, 0)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// change changes a licensee at each gap until ctx ends, and counts.
func change(ctx context.Context, cl *fleet.Client, gap time.Duration) (n int) {
	tick := time.NewTicker(gap)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return n
		case <-tick.C:
		}
		p := &fleetconfig.Proposal{ID: fmt.Sprint(time.Now().UnixNano()), Changes: []fleetconfig.Change{fleetconfig.Put("licensee", fmt.Sprint("other-", i%50), fleetconfig.Licensee{Plan: "kubwa"})}}
		if _, err := cl.Propose(ctx, p); err == nil {
			n++
		}
	}
}
