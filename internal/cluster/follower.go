package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinmux/configstream"
	"mulleinmux/internal/configstreampb"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/multisite"
)

// FollowerConfig is what a follower is told at its start.
type FollowerConfig struct {
	Cluster             string
	Name                string // that in its certificate
	DataFile            string // its file
	Credentials         raftnode.Credentials
	MemberStreamAddrs   map[uint64]string // addresses of their streams
	DisableKeyOwnership bool
	HeartbeatInterval   time.Duration // between two signs of life; 0: streamBeat
}

// Figures of a follower.
const (
	keyBeat       = 300 * time.Millisecond // where bookings are sent: keyLease must not end between two answers
	quietBeats    = 5                      // after which a member is given up
	followerTries = 2
	followerLeast = 100 * time.Millisecond // bound of the first wait before another member is tried
	followerMost  = 3 * time.Second
)

// Numbers under which package sites knows the followers, none of which tells what it has sent, and to a follower the
// members, which it does not hear either. So with followers a key whose home moves waits for the fence of time.
const (
	anyFollower = 1 << 32
	anyMember   = anyFollower + 1
)

// FollowerStatus is how a follower stands, by itself.
type FollowerStatus struct {
	Name           string                 `json:"name"`
	Running        *configstream.Ref      `json:"running,omitempty"`
	MemberID       uint64                 `json:"member,omitempty"` // that it hears; 0: none
	ConfirmedAgeMs int64                  `json:"age_ms"`           // since a quorum last confirmed what runs; -1: not since it is in force
	IsServing      bool                   `json:"serves"`
	Note           string                 `json:"note,omitempty"`
	Rejected       []configstream.Refusal `json:"refused,omitempty"`
}

// StreamHandlers is what a [StreamClient] has others do. Keep, Check and Install are called one at a time and may take long.
type StreamHandlers struct {
	Persist func(*configstream.Disk) error                     // returns once it is synced
	Check   func(*configstream.Version) []configstream.Problem // may it be put in force?
	Install func(*configstream.Version) error                  // puts it in force
	Confirm func(at, homes time.Time, sure, homesSure bool)    // what runs, and its homes, were confirmed to be the newest then
}

// StreamClient is a follower's end of the stream, without an instance.
type StreamClient struct {
	cfg   *FollowerConfig
	hands StreamHandlers
	log   *log.Logger
	begun time.Time

	mu     sync.Mutex
	f      *configstream.Follower
	client *configstreampb.FollowerStream // nil: no stream
	member uint64
	hears  bool                     // it has said something on this stream
	work   chan configstream.Action // Keep, Check and Install, of which one is under way
	send   chan any                 // of the stream
}

// NewStreamClient returns a feed of a follower that has kept a disk. It does nothing before [StreamClient.Run].
func NewStreamClient(cfg *FollowerConfig, disk configstream.Disk, hands StreamHandlers, logger *log.Logger) *StreamClient {
	f := &StreamClient{cfg: cfg, hands: hands, log: logger, begun: time.Now(), work: make(chan configstream.Action, 1), send: make(chan any, streamQueue)}
	var first []configstream.Action
	f.f, first = configstream.NewFollower(configstream.FollowerConfig{Name: cfg.Name, Process: rand.Uint64(), Beat: cmp.Or(cfg.HeartbeatInterval, streamBeat), Silence: min(quietBeats*cmp.Or(cfg.HeartbeatInterval, streamBeat), streamSilence), Tries: followerTries}, disk)
	f.carry(first)
	return f
}

// Run keeps the feed going until ctx ends.
func (f *StreamClient) Run(ctx context.Context) {
	var side sync.WaitGroup
	side.Go(func() { f.worker(ctx) })
	f.stream(ctx)
	side.Wait()
}

// Follower is an instance that is no member and is told the configuration.
type Follower struct {
	cfg  *FollowerConfig
	gate *gateway.Config
	file *followerFile
	in   *gateway.Instance
	feed *StreamClient

	// Of the feed's worker.
	setup setups
	ready gateway.Setup // of the version checked last
	kept  bool          // what is to be put in force first was in force before
}

// RunFollower runs a follower and its instance until ctx ends. What was in force before is served on with no word from
// any member, as far as when_stale allows.
func RunFollower(ctx context.Context, cfg *FollowerConfig, gate *gateway.Config, logger *log.Logger, begun func(*Follower)) (err error) {
	if h, err := cfg.Credentials.Holder(); err != nil || h.Cluster != cfg.Cluster || h.Follower != cfg.Name {
		return fmt.Errorf("certificate: is that of follower %q of %q, not of %q of %q: %w", h.Follower, h.Cluster, cfg.Name, cfg.Cluster, err)
	}
	file, disk, err := openFollowerFile(cfg.DataFile, cfg.Cluster, cfg.Name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.close()) }()
	if disk.Good == nil {
		logger.Printf("follower %s: nothing is kept in %s: waits for a version that a quorum confirms", cfg.Name, cfg.DataFile)
	}
	if !cfg.DisableKeyOwnership {
		gate.Keys = &multisite.Config{Me: anyFollower, Incarnation: disk.Starts, Lease: keyLease, Life: keyLife, Memory: keyMemory, Most: keysMost}
	}
	if gate.Agreed == nil {
		gate.Agreed = &gateway.Agreed{}
	}
	serving, drain := context.WithCancel(context.Background())
	defer drain()
	ended, ready := make(chan error, 1), make(chan *gateway.Instance, 1)
	go func() {
		ended <- gateway.Run(serving, gate, gateway.Setup{}, logger, func(in *gateway.Instance) { ready <- in })
	}()
	f := &Follower{cfg: cfg, gate: gate, file: file, kept: disk.Good != nil}
	select {
	case f.in = <-ready:
	case err := <-ended:
		return err
	}
	if !cfg.DisableKeyOwnership && cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = keyBeat
	}
	f.feed = NewStreamClient(cfg, disk, StreamHandlers{file.save, f.check, f.install, f.confirm}, logger)
	life, stop := context.WithCancel(context.Background())
	var side sync.WaitGroup
	defer side.Wait()
	defer stop()
	side.Go(func() { f.feed.Run(life) })
	begun(f)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drain()
	return <-ended
}

// check has a version compiled.
func (f *Follower) check(v *configstream.Version) []configstream.Problem {
	state, err := v.State()
	if err == nil {
		f.ready, err = f.setup.of(state, f.gate.FullValidation)
	}
	if err != nil {
		return problemsOf(err)
	}
	return nil
}

// install puts a version in force at the instance.
func (f *Follower) install(v *configstream.Version) error {
	state, err := v.State()
	if err == nil && f.ready.Number != v.Number {
		f.ready, err = f.setup.of(state, f.gate.FullValidation)
	}
	if err == nil {
		err = f.in.Install(f.ready)
	}
	if err != nil {
		return err
	}
	if f.gate.Keys != nil {
		h, _, _ := homesOf(state, []uint64{anyFollower, anyMember})
		f.in.InstallHomes(h, 0, nil, false)
	}
	if f.kept {
		f.kept = false
		f.in.Confirm(f.feed.begun) // what was in force before is served on, for as long as when_stale allows
	}
	return nil
}

// confirm tells the instance what a quorum has confirmed.
func (f *Follower) confirm(at, homes time.Time, sure, homesSure bool) {
	if sure {
		f.in.Confirm(at)
	}
	if homesSure && f.gate.Keys != nil {
		f.in.ConfirmHomes(homes)
	}
}

// Instance is the gateway's.
func (f *Follower) Instance() *gateway.Instance { return f.in }

// Status is how the follower stands.
func (f *Follower) Status() FollowerStatus {
	s := f.feed.Status()
	_, s.IsServing = f.in.Standing(time.Now())
	return s
}

func (f *StreamClient) now() time.Duration { return time.Since(f.begun) }

// do has the follower's side decide, and carries out what comes of it.
func (f *StreamClient) do(step func(f *configstream.Follower, now time.Duration) []configstream.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carry(step(f.f, f.now()))
}

// carry hands actions on: nothing here waits. Called under the mutex.
func (f *StreamClient) carry(as []configstream.Action) {
	for _, a := range as {
		switch {
		case a.Send != nil:
			f.post(*a.Send)
		case a.Ping != 0:
			f.post(a.Ping)
		case a.Leave != "":
			f.leave(a.Leave)
		case a.Log != "":
			f.log.Printf("stream: %s", a.Log)
		default:
			f.work <- a // one is under way at a time
		}
	}
}

func (f *StreamClient) post(msg any) {
	select {
	case f.send <- msg:
	default:
		f.leave("the member does not read")
	}
}

func (f *StreamClient) leave(why string) {
	if f.client != nil {
		f.log.Printf("stream: member %d is left: %s", f.member, why)
		f.client.Abort()
	}
}

// worker does what may take long: it writes, checks and installs.
func (f *StreamClient) worker(ctx context.Context) {
	for {
		var a configstream.Action
		select {
		case <-ctx.Done():
			return
		case a = <-f.work:
		}
		switch {
		case a.Keep != nil:
			err := f.hands.Persist(a.Keep)
			f.do(func(f *configstream.Follower, now time.Duration) []configstream.Action { return f.Kept(now, err) })
		case a.Check != nil:
			problems := f.hands.Check(a.Check)
			f.do(func(f *configstream.Follower, now time.Duration) []configstream.Action {
				return f.Checked(now, problems)
			})
		case a.Install != nil:
			err := f.hands.Install(a.Install)
			if err == nil {
				f.log.Printf("stream: version %v is in force", a.Install.Ref)
			}
			f.do(func(f *configstream.Follower, now time.Duration) []configstream.Action { return f.Installed(now, err) })
		}
	}
}

// problemsOf words why a version can't be served on: "hall a: register: ..." names its object.
func problemsOf(err error) []configstream.Problem {
	p := configstream.Problem{Text: err.Error()}
	for _, kind := range kinds {
		if rest, ok := strings.CutPrefix(p.Text, kind+" "); ok {
			name, text, _ := strings.Cut(rest, ": ")
			p = configstream.Problem{Object: kind + " " + name, Text: text}
			if field, text, ok := strings.Cut(text, ": "); ok && !strings.ContainsAny(field, " ") {
				p.Field, p.Text = field, text
			}
			break
		}
	}
	return []configstream.Problem{p}
}

// stream keeps a stream to one member after the other until ctx ends.
func (f *StreamClient) stream(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	seat := configstream.NewSeat(configstream.SeatConfig{Name: f.cfg.Name, Members: slices.Sorted(maps.Keys(f.cfg.MemberStreamAddrs)), Least: followerLeast, Most: followerMost}, rng)
	for ctx.Err() == nil {
		member := seat.Next()
		heard, err := f.follow(ctx, member)
		if ctx.Err() != nil {
			return
		}
		why := configstreampb.EndReason(err)
		if why == "" {
			why = err.Error()
		}
		wait := seat.Lost(heard)
		f.log.Printf("stream: member %d: %s: member %d is tried in %v", member, why, seat.Next(), wait.Round(time.Millisecond))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// follow has one stream, until it ends. heard tells whether the member said anything.
func (f *StreamClient) follow(ctx context.Context, member uint64) (heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tls := f.cfg.Credentials.TLS()
	tls.NextProtos = []string{"h2"}
	t := &http.Transport{TLSClientConfig: tls, ForceAttemptHTTP2: true, TLSHandshakeTimeout: 2 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	client := configstreampb.Dial(ctx, &http.Client{Transport: t}, f.cfg.MemberStreamAddrs[member], cancel)
	f.mu.Lock()
	for len(f.send) > 0 { // of the stream before
		<-f.send
	}
	f.client, f.member = client, member
	hello := f.f.Hello(f.now())
	f.mu.Unlock()
	var work sync.WaitGroup
	defer work.Wait()
	defer func() {
		f.mu.Lock()
		f.client, f.member, f.hears = nil, 0, false
		f.f.Broken()
		f.mu.Unlock()
		client.Abort()
	}()
	sent := make(chan error, 1)
	work.Go(func() {
		err := client.Send(hello)
		tick := time.NewTicker(cmp.Or(f.cfg.HeartbeatInterval, streamBeat) / 4)
		defer tick.Stop()
		for err == nil {
			select {
			case <-ctx.Done():
				err = ctx.Err()
			case <-tick.C:
				f.do(func(f *configstream.Follower, now time.Duration) []configstream.Action { return f.Tick(now) })
			case msg := <-f.send:
				err = client.Send(msg)
			}
		}
		cancel()
		sent <- err
	})
	for {
		msg, err := client.Receive()
		if err != nil {
			cancel()
			client.Close()
			if e := <-sent; e != nil && !errors.Is(e, context.Canceled) && configstreampb.EndReason(err) == "" {
				err = e
			}
			return heard, err
		}
		if !heard {
			heard = true
			f.mu.Lock()
			f.hears = true
			f.mu.Unlock()
		}
		switch m := msg.(type) {
		case *configstream.Push:
			f.do(func(f *configstream.Follower, now time.Duration) []configstream.Action { return f.Received(now, m) })
		case *configstream.Pong:
			f.do(func(f *configstream.Follower, now time.Duration) []configstream.Action { return f.Pong(now, *m) })
			f.confirm()
		}
	}
}

// confirm tells what a quorum has confirmed.
func (f *StreamClient) confirm() {
	f.mu.Lock()
	at, sure := f.f.Confirmed()
	homes, homesSure := f.f.Homes()
	f.mu.Unlock()
	f.hands.Confirm(f.begun.Add(at), f.begun.Add(homes), sure, homesSure)
}

// Status is how the follower stands; what serves is not the feed's to say.
func (f *StreamClient) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := FollowerStatus{Name: f.cfg.Name, Running: f.f.Running(), ConfirmedAgeMs: -1, Note: f.f.Note(), Rejected: slices.Clone(f.f.Refused())}
	if f.hears {
		s.MemberID = f.member
	}
	if at, sure := f.f.Confirmed(); sure {
		s.ConfirmedAgeMs = (f.now() - at).Milliseconds()
	}
	return s
}
