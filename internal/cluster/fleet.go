// Package fleet runs an instance of the gateway as a member of a cluster: what the members
// agree on (package raftnode) is put in force at the instance (package gateway), and
// operators are answered.
//
// Invariant: an instance serves on a version only after a quorum has confirmed, since its
// start, that this version was the newest then. So it never serves on an older version than
// it has answered on before, across its restarts too.
package cluster

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"log"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/raftnode"
	"mulleinmux/multisite"
)

// MemberConfig is what a member is told at its start.
type MemberConfig struct {
	Cluster             string
	MemberID            uint64
	DataFile            string // its file
	Credentials         raftnode.Credentials
	Members             map[uint64]clusterconfig.Member // to begin with; those agreed on take their place
	RaftListenAddr      string                          // for the other members; Members has it where empty
	AdminListenAddr     string                          // for operators; likewise
	StreamListenAddr    string                          // for followers; empty: none are served
	SendFullVersions    bool                            // pushes are whole versions, for comparison
	DisableKeyOwnership bool                            // keyed requests have no home: see package sites
	TickInterval        time.Duration                   // 50 ms where 0: an election comes after 10 to 20 ticks without a leader

	// For the lab's faults, nil elsewhere.
	WrapStorage func(raftnode.Disk) raftnode.Disk
	WrapSend    func(send func(*pb.Message)) func(*pb.Message)
}

// ErrNotInitialized says that a member has no file yet. It must be made on purpose: a member that
// began anew under its number could vote twice.
var ErrNotInitialized = errors.New("there is no such file: make it once with gateway init, --new-cluster for the first members or --join for a further one")

const (
	confirmEvery = 4               // ticks between two asks whether the version is the newest
	handOver     = 2 * time.Second // for a leader that leaves to hand its lead over
	staleLog     = 5 * time.Second // between two lines on a configuration that is not confirmed
)

// ValidateDescription checks a description as all members do.
func ValidateDescription(file, text string, classes []clusterconfig.Class, most int) error {
	_, _, err := openapi.Compile(file, []byte(text), compileOptions(classes, most))
	return err
}

// InitMember makes a member's file: that of a new cluster whose voters are all members that the
// configuration has, or an empty one for a member that joins. One that is there is left.
func InitMember(cfg *MemberConfig, join bool) error {
	if _, err := os.Stat(cfg.DataFile); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", cfg.DataFile, fs.ErrExist)
	}
	disk, err := raftnode.OpenBolt(cfg.DataFile, cfg.Cluster, cfg.MemberID)
	if err != nil {
		return err
	}
	if !join {
		// Every member of a new cluster begins with the same snapshot of nothing.
		_, err = raftnode.Open(raftnode.Config{ID: cfg.MemberID, Voters: slices.Sorted(maps.Keys(cfg.Members)), Validate: ValidateDescription}, disk)
	}
	return errors.Join(err, disk.Close())
}

// Member is a member and its instance.
type Member struct {
	cfg   *MemberConfig
	gate  *gateway.Config
	log   *log.Logger
	node  *raftnode.Node
	wake  chan struct{} // the state has changed
	setup setups
	begun time.Time

	streams *streams // nil: no followers are served

	mu       sync.Mutex
	in       *gateway.Instance
	members  map[uint64]clusterconfig.Member // as known
	note     string                          // why what is agreed can't be served on
	installs atomic.Int64
}

// RunMember runs a member and its instance until ctx ends: a leader hands its lead over, the
// instance drains, the member stops. A member that can't go on (its disk failed, it was
// removed) ends both with its error. gate is a configuration without halls, plans,
// licensees and classes.
func RunMember(ctx context.Context, cfg *MemberConfig, gate *gateway.Config, logger *log.Logger, begun func(*Member)) (err error) {
	if _, err := os.Stat(cfg.DataFile); errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", cfg.DataFile, ErrNotInitialized)
	}
	if h, err := cfg.Credentials.Holder(); err != nil || h.Cluster != cfg.Cluster || h.Member != cfg.MemberID {
		return fmt.Errorf("certificate: is that of member %d of %q, not of %d of %q: %w", h.Member, h.Cluster, cfg.MemberID, cfg.Cluster, err)
	}
	bolt, err := raftnode.OpenBolt(cfg.DataFile, cfg.Cluster, cfg.MemberID)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, bolt.Close()) }()
	var disk raftnode.Disk = bolt
	if cfg.WrapStorage != nil {
		disk = cfg.WrapStorage(bolt)
	}
	if !cfg.DisableKeyOwnership {
		gate.Keys = &multisite.Config{Me: cfg.MemberID, Incarnation: bolt.Starts(), Lease: keyLease, Life: keyLife, Memory: keyMemory, Most: keysMost}
	}
	if gate.Keys != nil {
		gate.Health = &multisite.HealthConfig{Me: cfg.MemberID, Least: hallLeast, LostAfter: hallLost, Fresh: hallFresh, Hold: hallHold,
			HoldMost: hallHoldMost, Calm: hallCalm, Ramp: gate.Settings.SlowStartWindow}
		gate.Consent = &multisite.ConsentConfig{Me: cfg.MemberID, Incarnation: bolt.Starts()}
		if gate.Settings.ColdOverloadMultiple > 0 && gate.Settings.SlowStartWindow > 0 {
			gate.Ramp = &multisite.RampConfig{Me: cfg.MemberID, Incarnation: bolt.Starts(), Lease: rampLease, Fresh: hallFresh, Multiple: gate.Settings.ColdBudgetMultiple()}
		}
	}
	if l := gate.Link; l != nil {
		l.TLS = cfg.Credentials.TLS()
		// A ticket that is not read yet would make an idle connection look used.
		l.TLS.SessionTicketsDisabled = true
		l.Verify = func(s tls.ConnectionState) (uint64, error) { return raftnode.MemberOf(cfg.Cluster, s) }
	}
	if gate.Agreed == nil {
		gate.Agreed = &gateway.Agreed{}
	}
	own := cfg.Members[cfg.MemberID]
	var opened []net.Listener
	listen := func(what, at string) net.Listener {
		ln, e := net.Listen("tcp", at)
		if e != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", what, e))
			return nil
		}
		opened = append(opened, ln)
		return ln
	}
	abandon := func() {
		for _, ln := range opened {
			ln.Close()
		}
	}
	ln, admin := listen("cluster", orElse(cfg.RaftListenAddr, own.Raft)), listen("admin", orElse(cfg.AdminListenAddr, own.Admin))
	var followers net.Listener
	if cfg.StreamListenAddr != "" {
		followers = listen("stream", cfg.StreamListenAddr)
	}
	if err != nil {
		abandon()
		return err
	}
	f := &Member{cfg: cfg, gate: gate, log: logger, wake: make(chan struct{}, 1), members: maps.Clone(cfg.Members), begun: time.Now()}
	addrs := map[uint64]string{}
	for id, m := range cfg.Members {
		addrs[id] = m.Raft
	}
	if followers != nil {
		f.streams = newStreams(f)
	}
	f.node, err = raftnode.Start(raftnode.NodeConfig{Config: raftnode.Config{ID: cfg.MemberID, Validate: ValidateDescription}, Cluster: cfg.Cluster,
		Credentials: cfg.Credentials, Tick: cfg.TickInterval, Peers: addrs, Starts: bolt.Starts(), Logger: logger, Outgoing: cfg.WrapSend, Changed: f.changed, Word: f.hearKeys}, disk, ln)
	if err != nil {
		abandon()
		return err
	}
	defer f.node.Stop()
	life, stop := context.WithCancel(context.Background())
	var side sync.WaitGroup
	defer side.Wait()
	defer stop()
	srv := f.serveAdmin(admin, &side)
	defer srv.Close()
	if f.streams != nil {
		defer f.streams.serve(life, followers, &side).Close()
	}

	serving, drain := context.WithCancel(context.Background())
	defer drain()
	ended := make(chan error, 1)
	ready := make(chan *gateway.Instance, 1)
	go func() {
		ended <- gateway.Run(serving, gate, gateway.Setup{}, logger, func(in *gateway.Instance) { ready <- in })
	}()
	select {
	case in := <-ready:
		f.mu.Lock()
		f.in = in
		f.mu.Unlock()
	case err := <-ended:
		return err
	}
	side.Go(func() { f.follow(life) })
	if gate.Keys != nil {
		side.Go(func() { f.tellKeys(life) })
		side.Go(func() { f.judgeHalls(life) })
	}
	begun(f)
	select {
	case err := <-ended:
		return err
	case <-f.node.Ended():
		err = fmt.Errorf("member %d: %w", cfg.MemberID, f.node.Err())
		logger.Printf("%v: the instance drains", err)
	case <-ctx.Done():
		f.handOver()
	}
	drain()
	return errors.Join(err, <-ended)
}

func orElse(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// handOver hands the lead over, if this member has it, so that a planned stop costs no
// election time-out.
func (f *Member) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOver)
	defer cancel()
	s, err := f.node.Status(ctx)
	if err != nil || s.Leader != s.ID {
		return
	}
	for _, v := range s.Voters {
		if behind, known, err := f.node.Behind(ctx, v); v != s.ID && err == nil && known && behind < caughtUp {
			if err := f.node.Transfer(ctx, v); err != nil {
				f.log.Printf("handing the lead over: %v", err)
			}
			return
		}
	}
}

// changed tells that the state has changed; it is called by the member.
func (f *Member) changed() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// confirmation is a state that a quorum has confirmed to be the newest at a time.
type confirmation struct {
	at    time.Time
	homes uint64 // epoch
	state *clusterconfig.State
}

// follow puts each version in force and has it confirmed now and then, until ctx ends.
func (f *Member) follow(ctx context.Context) {
	tick := orTick(f.cfg.TickInterval)
	confirmed := make(chan confirmation)
	var ask sync.WaitGroup
	defer ask.Wait()
	ask.Go(func() {
		for ctx.Err() == nil {
			c := confirmation{at: time.Now()}
			one, cancel := context.WithTimeout(ctx, 2*time.Second)
			err := f.node.Read(one, func(s *clusterconfig.State) { c.state, c.homes = s.Freeze(), s.Homes() })
			cancel()
			if err == nil {
				select {
				case confirmed <- c:
				case <-ctx.Done():
				}
			}
			select {
			case <-ctx.Done():
			case <-f.node.Ended():
				return
			case <-time.After(confirmEvery * tick):
			}
		}
	})
	told := time.Now()
	stale := time.NewTicker(time.Second)
	defer stale.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-confirmed:
			f.streams.confirm(c)
			if f.install(c.state) {
				f.in.Confirm(c.at)
				if f.gate.Keys != nil && f.takeHomes(ctx) >= c.homes {
					f.in.ConfirmHomes(c.at)
				}
			}
		case <-f.wake:
			if s, err := f.node.Freeze(ctx); err == nil {
				f.streams.publish(s)
				f.install(s)
				f.takeHomes(ctx)
			}
		case now := <-stale.C:
			if age, serves := f.in.Standing(now); age > 2*time.Second && now.Sub(told) > staleLog {
				told = now
				f.log.Printf("cut off: version %d was last confirmed %.1f s ago; served on: %v", f.in.Version(), age.Seconds(), serves)
			}
		}
	}
}

func orTick(d time.Duration) time.Duration {
	if d <= 0 {
		return 50 * time.Millisecond
	}
	return d
}

// install puts a version in force, unless it is; it is false if what is agreed can't be
// served on.
func (f *Member) install(s *clusterconfig.State) bool {
	if s.Version() == f.in.Version() && f.installs.Load() > 0 {
		return true
	}
	if s.Version() < f.in.Version() {
		return true // what is in force is newer, and was agreed on as well
	}
	setup, err := f.setup.of(s, f.gate.FullValidation)
	if err == nil {
		f.learnMembers(s)
		err = f.in.Install(setup)
	}
	f.mu.Lock()
	before := f.note
	f.note = ""
	if err != nil {
		f.note = err.Error()
	}
	changed := f.note != before
	f.mu.Unlock()
	if err != nil {
		if changed {
			f.log.Printf("version %d is not in force here: %v", s.Version(), err)
		}
		return false
	}
	f.installs.Add(1)
	return true
}

// learnMembers takes over where the members are reached.
func (f *Member) learnMembers(s *clusterconfig.State) {
	agreed := clusterconfig.Read[clusterconfig.Member](s, "member")
	if len(agreed) == 0 {
		return
	}
	f.mu.Lock()
	for name, m := range agreed {
		if id, err := strconv.ParseUint(name, 10, 64); err == nil {
			f.members[id] = m
		}
	}
	addrs := map[uint64]string{}
	for id, m := range f.members {
		addrs[id] = m.Raft
	}
	f.mu.Unlock()
	f.node.Peers(addrs)
}

// Instance is the gateway's.
func (f *Member) Instance() *gateway.Instance { return f.in }
