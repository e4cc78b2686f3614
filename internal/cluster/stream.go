package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/configstreampb"
	"mulleinmux/internal/raftnode"
)

// Figures of the stream: see package confstream.
const (
	streamBeat    = time.Second
	streamSilence = 4 * time.Second
	streamAnswer  = 30 * time.Second // a description of 16 MB is checked in some seconds
	streamUnsure  = 500 * time.Millisecond
	streamHeld    = 256
	streamMost    = 4096
	streamPerS    = 500 // handshakes
	streamBurst   = 500
	streamTick    = 50 * time.Millisecond
	streamTell    = time.Second            // of all followers; of those that changed:
	streamStir    = 100 * time.Millisecond //
	streamWord    = 60                     // followers in a word
	streamQueue   = 8                      // messages to a follower: a push, pongs, and no more
)

// streamPrefix tells words on followers from words on keys, which are JSON.
const streamPrefix = 's'

// streams serves followers. The publisher decides; what it returns goes out after the lock.
type streams struct {
	f     *Member
	begun time.Time

	mu     sync.Mutex
	pub    *configstream.Publisher
	conns  map[uint64]*conn
	next   uint64
	last   *configstream.Version
	worded map[*configstream.Body]*configstreampb.Push
}

// conn is a stream to a follower.
type conn struct {
	out chan any
	end chan string // why; the first counts
}

func newStreams(f *Member) *streams {
	return &streams{f: f, begun: time.Now(), conns: map[uint64]*conn{}, worded: map[*configstream.Body]*configstreampb.Push{},
		pub: configstream.NewPublisher(configstream.PublisherConfig{Member: f.cfg.MemberID, Silence: streamSilence, Answer: streamAnswer, Unsure: streamUnsure,
			Held: streamHeld, Most: streamMost, PerS: streamPerS, Burst: streamBurst, FullOnly: f.cfg.SendFullVersions}, rand.Uint64())}
}

func (s *streams) now() time.Duration { return time.Since(s.begun) }

// do has the publisher decide, and sends what comes of it.
func (s *streams) do(f func(p *configstream.Publisher, now time.Duration) []configstream.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range f(s.pub, s.now()) {
		c := s.conns[o.Session]
		if c == nil {
			continue
		}
		var msg any
		switch {
		case o.Close != "":
			c.finish(o.Close)
			continue
		case o.Push != nil:
			body, ok := s.worded[o.Push.Body]
			if !ok {
				body = configstreampb.EncodeBody(o.Push.Body)
				s.worded[o.Push.Body] = body
			}
			msg = configstreampb.NewPush(o.Push, body)
		default:
			msg = o.Pong
		}
		select {
		case c.out <- msg:
		default:
			c.finish("does not read")
		}
	}
}

func (c *conn) finish(why string) {
	select {
	case c.end <- why:
	default:
	}
}

// publish takes over a state that is agreed on.
func (s *streams) publish(state *clusterconfig.State) {
	if s == nil {
		return
	}
	s.mu.Lock()
	last := s.last
	s.mu.Unlock()
	if state.Version() == 0 || last != nil && last.Number >= state.Version() {
		return
	}
	v := configstream.Of(state, last)
	s.do(func(p *configstream.Publisher, now time.Duration) []configstream.Out {
		if s.last == nil || v.Number > s.last.Number {
			s.last = v
			clear(s.worded)
		}
		return p.Publish(now, v)
	})
}

// confirm says that a quorum has confirmed that a state was the newest.
func (s *streams) confirm(c confirmation) {
	if s == nil {
		return
	}
	s.publish(c.state)
	s.do(func(p *configstream.Publisher, now time.Duration) []configstream.Out {
		if s.last == nil || s.last.Number != c.state.Version() {
			return nil // what is newer was agreed on later, and is confirmed later
		}
		return p.Confirm(now, c.at.Sub(s.begun), s.last.Ref)
	})
}

// serve serves followers until ctx ends.
func (s *streams) serve(ctx context.Context, ln net.Listener, side *sync.WaitGroup) *http.Server {
	srv := &http.Server{ErrorLog: s.f.log, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, TLSConfig: s.f.cfg.Credentials.TLS(),
		BaseContext: func(net.Listener) context.Context { return ctx }, Handler: configstreampb.NewHandler(s.follow)}
	side.Go(func() { srv.ServeTLS(admitted{ln, s}, "", "") }) // ends with Close
	side.Go(func() {
		tick, tell, stir := time.NewTicker(streamTick), time.NewTicker(streamTell), time.NewTicker(streamStir)
		defer tick.Stop()
		defer tell.Stop()
		defer stir.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				s.do(func(p *configstream.Publisher, now time.Duration) []configstream.Out { return p.Tick(now) })
			case <-tell.C:
				s.tell(true)
			case <-stir.C:
				s.tell(false)
			}
		}
	})
	return srv
}

// admitted is a listener that closes what comes faster than it may, before any handshake.
type admitted struct {
	net.Listener
	s *streams
}

func (a admitted) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		a.s.mu.Lock()
		ok := a.s.pub.Admit(a.s.now())
		a.s.mu.Unlock()
		if ok {
			return c, nil
		}
		c.Close()
	}
}

func (s *streams) tell(whole bool) {
	s.mu.Lock()
	words := s.pub.Tell(s.now(), streamWord, whole)
	s.mu.Unlock()
	for _, w := range words {
		text, err := json.Marshal(w)
		if err == nil {
			err = s.f.node.Tell(append([]byte{streamPrefix}, text...))
		}
		if err != nil {
			s.f.log.Printf("followers: %v", err)
		}
	}
}

// hear takes in what another member tells of its followers; false: that is no such word.
func (s *streams) hear(from uint64, text []byte) bool {
	if len(text) == 0 || text[0] != streamPrefix {
		return false
	}
	var w configstream.Word
	if s != nil && json.NewDecoder(bytes.NewReader(text[1:])).Decode(&w) == nil && w.Member == from {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pub.HearWord(s.now(), w)
	}
	return true
}

// follow serves one follower.
func (s *streams) follow(ctx context.Context, st *configstreampb.MemberStream) error {
	name, err := s.who(st.Request)
	if err != nil {
		return configstreampb.NewEndError(err.Error())
	}
	c := &conn{out: make(chan any, streamQueue), end: make(chan string, 1)}
	received := make(chan any)
	over := make(chan struct{})
	var work sync.WaitGroup
	defer work.Wait()
	defer st.Abort()
	defer close(over)
	work.Go(func() {
		for {
			msg, err := st.Receive()
			if err != nil {
				c.finish(err.Error())
				return
			}
			select {
			case received <- msg:
			case <-over:
				return
			}
		}
	})
	work.Go(func() {
		for {
			select {
			case msg := <-c.out:
				if err := st.Send(msg); err != nil {
					c.finish(err.Error())
					return
				}
			case <-over:
				return
			}
		}
	})
	late := time.NewTimer(streamSilence)
	defer late.Stop()
	var id uint64
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pub.Gone(s.now(), id)
		delete(s.conns, id)
	}()
	for {
		select {
		case <-ctx.Done():
			return configstreampb.NewEndError("the member stops")
		case why := <-c.end:
			return configstreampb.NewEndError(why)
		case <-late.C:
			if id == 0 {
				return configstreampb.NewEndError("no hello came")
			}
		case msg := <-received:
			switch m := msg.(type) {
			case configstream.Hello:
				if id != 0 {
					return configstreampb.NewEndError("a second hello")
				}
				m.Name = name
				s.do(func(p *configstream.Publisher, now time.Duration) []configstream.Out {
					s.next++
					id = s.next
					s.conns[id] = c
					return p.Hello(now, id, m)
				})
			case configstream.Report:
				if m.Result == configstream.Refused {
					s.f.log.Printf("follower %s refuses version %v: %v", name, m.Ref, m.Problems)
				}
				s.do(func(p *configstream.Publisher, now time.Duration) []configstream.Out { return p.Hear(now, id, m) })
			case uint64:
				s.do(func(p *configstream.Publisher, now time.Duration) []configstream.Out { return p.Ping(now, id, m) })
			}
		}
	}
}

// who names the follower at the other end. A member or an operator is none, whatever it says.
func (s *streams) who(r *http.Request) (string, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("no certificate")
	}
	h, err := raftnode.HolderOf(r.TLS.PeerCertificates[0])
	if err != nil {
		return "", err
	}
	if h.Cluster != s.f.cfg.Cluster || h.Follower == "" {
		return "", fmt.Errorf("the certificate is not of a follower of cluster %q", s.f.cfg.Cluster)
	}
	return h.Follower, nil
}

// FollowerList is what a member answers of the followers.
type FollowerList struct {
	MemberID      uint64                  `json:"member"` // that was asked
	NewestVersion uint64                  `json:"newest"` // version here
	Followers     []configstream.Standing `json:"followers"`
}

func (f *Member) standings(ctx context.Context, _ *http.Request) (any, error) {
	if f.streams == nil {
		return nil, bad("stream: this member serves no followers: it has no cluster.stream")
	}
	f.streams.mu.Lock()
	defer f.streams.mu.Unlock()
	out := &FollowerList{MemberID: f.cfg.MemberID, Followers: f.streams.pub.Standings(f.streams.now())}
	if v := f.streams.pub.Newest(); v != nil {
		out.NewestVersion = v.Number
	}
	return out, nil
}

// metrics words how many followers stand how, as far as the members know.
func (s *streams) metrics(w io.Writer) {
	s.mu.Lock()
	all := s.pub.Standings(s.now())
	s.mu.Unlock()
	states := map[string]int{"running": 0, "waiting": 0, "unknown": 0, "never": 0}
	behind, refusing, twins := 0, 0, 0
	for _, st := range all {
		states[st.State]++
		if st.Behind {
			behind++
		}
		if st.Refused != nil && (st.Running == nil || st.Refused.Order(*st.Running) == configstream.Newer) {
			refusing++
		}
		if st.Twin != "" {
			twins++
		}
	}
	fmt.Fprint(w, "# HELP mulleingate_followers Followers agreed on, by how they stand.\n# TYPE mulleingate_followers gauge\n")
	for _, state := range slices.Sorted(maps.Keys(states)) {
		fmt.Fprintf(w, "mulleingate_followers{state=%q} %d\n", state, states[state])
	}
	for _, g := range []struct {
		name, help string
		v          int
	}{{"behind", "Followers that run and do not have the newest version.", behind}, {"refusing", "Followers that have refused a version newer than what they run.", refusing},
		{"twins", "Names that two processes have.", twins}} {
		fmt.Fprintf(w, "# HELP mulleingate_followers_%s %s\n# TYPE mulleingate_followers_%s gauge\nmulleingate_followers_%s %d\n", g.name, g.help, g.name, g.name, g.v)
	}
}
