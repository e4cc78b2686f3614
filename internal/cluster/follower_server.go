package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/configstreampb"
	"mulleinmux/internal/logging"
)

// Parameters of the configuration stream (see package configstream).
const (
	streamHeartbeatInterval   = time.Second
	streamSilenceTimeout      = 4 * time.Second
	pushReplyTimeout          = 30 * time.Second // checking a description of 16 MB takes several seconds
	streamConfirmationTimeout = 500 * time.Millisecond
	maxRetainedVersions       = 256
	maxFollowers              = 4096
	maxHandshakesPerSecond    = 500
	maxHandshakeBurst         = 500
	streamTickInterval        = 50 * time.Millisecond
	followerSummaryInterval   = time.Second            // between broadcasts about all followers
	followerChangeInterval    = 100 * time.Millisecond // between broadcasts about changed ones
	maxFollowersPerMessage    = 60
	streamSendQueueSize       = 8 // messages to one peer, such as a push and several pongs
	streamReadHeaderTimeout   = 5 * time.Second
	streamIdleTimeout         = time.Minute
	maxStreamHeaderBytes      = 16 << 10
	followerMessagePrefix     = 's' // first byte of messages about followers; those about keys begin with a brace
)

// FollowerList is a member's response with the followers' statuses.
type FollowerList struct {
	MemberID      uint64                        `json:"member"` // ID of the responding member
	NewestVersion uint64                        `json:"newest"` // newest version at that member
	Followers     []configstream.ObservedStatus `json:"followers"`
}

// followerServer serves the configuration stream to followers. The publisher decides what is sent; a session's
// goroutines send it. The methods publish, confirm and receiveMessage do nothing on a nil server.
type followerServer struct {
	member    *Member
	startedAt time.Time

	mu            sync.Mutex
	publisher     *configstream.Publisher
	sessions      map[uint64]*followerSession
	lastSessionID uint64
	newest        *configstream.Version
	encoded       map[*configstream.Body]*configstreampb.Push // bodies of the newest version's pushes
}

func newFollowerServer(m *Member) *followerServer {
	cfg := configstream.PublisherConfig{
		MemberID:            m.cfg.MemberID,
		SilenceTimeout:      streamSilenceTimeout,
		PushReplyTimeout:    pushReplyTimeout,
		ConfirmationTimeout: streamConfirmationTimeout,
		MaxRetainedVersions: maxRetainedVersions,
		MaxFollowers:        maxFollowers,
		AdmissionRate:       maxHandshakesPerSecond,
		AdmissionBurst:      maxHandshakeBurst,
		DisableDeltas:       m.cfg.SendFullVersions,
	}
	return &followerServer{
		member:    m,
		startedAt: time.Now(),
		publisher: configstream.NewPublisher(cfg, rand.Uint64()),
		sessions:  map[uint64]*followerSession{},
		encoded:   map[*configstream.Body]*configstreampb.Push{},
	}
}

func (s *followerServer) now() time.Duration { return time.Since(s.startedAt) }

// publisherEvent passes an event to the publisher and returns the resulting actions.
type publisherEvent func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction

// handle passes an event to the publisher and queues the messages to send. It does not block on a session.
func (s *followerServer) handle(event publisherEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range event(s.publisher, s.now()) {
		session := s.sessions[action.SessionID]
		switch {
		case session == nil:
		case action.CloseReason != "":
			session.end(action.CloseReason)
		case action.Push != nil:
			session.enqueue(configstreampb.NewPush(action.Push, s.encodedBody(action.Push.Body)))
		default:
			session.enqueue(action.Pong)
		}
	}
}

// encodedBody returns the encoded body of a push, which all pushes of the same body share. The caller holds the mutex.
func (s *followerServer) encodedBody(body *configstream.Body) *configstreampb.Push {
	encoded, ok := s.encoded[body]
	if !ok {
		encoded = configstreampb.EncodeBody(body)
		s.encoded[body] = encoded
	}
	return encoded
}

// publish pushes an agreed state to the followers.
func (s *followerServer) publish(state *clusterconfig.State) {
	if s == nil {
		return
	}
	s.mu.Lock()
	newest := s.newest
	s.mu.Unlock()
	if state.Version() == 0 || newest != nil && newest.Number >= state.Version() {
		return
	}
	version := configstream.NewVersion(state, newest) // takes long for a large state
	s.handle(func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction {
		if s.newest == nil || version.Number > s.newest.Number {
			s.newest = version
			clear(s.encoded)
		}
		return p.Publish(now, version)
	})
}

// confirm notifies the publisher that a quorum has confirmed a state as the newest.
func (s *followerServer) confirm(c confirmation) {
	if s == nil {
		return
	}
	s.publish(c.state)
	s.handle(func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction {
		if s.newest == nil || s.newest.Number != c.state.Version() {
			return nil // a newer version has been agreed on, and is confirmed later
		}
		return p.Confirm(now, c.requestedAt.Sub(s.startedAt), s.newest.Ref)
	})
}

// serve serves followers until the caller cancels ctx and closes the returned server.
func (s *followerServer) serve(ctx context.Context, ln net.Listener, tasks *sync.WaitGroup) *http.Server {
	server := &http.Server{
		ErrorLog:          logging.HTTPErrors(s.member.logger),
		ReadHeaderTimeout: streamReadHeaderTimeout,
		IdleTimeout:       streamIdleTimeout,
		MaxHeaderBytes:    maxStreamHeaderBytes,
		TLSConfig:         s.member.cfg.Credentials.TLSConfig(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           configstreampb.NewHandler(s.serveSession),
	}
	tasks.Go(func() { server.ServeTLS(&rateLimitedListener{ln, s}, "", "") })
	tasks.Go(func() { s.tick(ctx) })
	return server
}

// tick calls the publisher's Tick and broadcasts the followers' status, until ctx ends.
func (s *followerServer) tick(ctx context.Context) {
	tick := time.NewTicker(streamTickInterval)
	defer tick.Stop()
	summary := time.NewTicker(followerSummaryInterval)
	defer summary.Stop()
	changes := time.NewTicker(followerChangeInterval)
	defer changes.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.handle(func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction {
				return p.Tick(now)
			})
		case <-summary.C:
			s.broadcast(allFollowers)
		case <-changes.C:
			s.broadcast(changedFollowers)
		}
	}
}

// rateLimitedListener closes connections that arrive faster than the publisher admits, before the TLS handshake.
type rateLimitedListener struct {
	net.Listener
	server *followerServer
}

func (l *rateLimitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.admit() {
			return conn, nil
		}
		conn.Close()
	}
}

func (s *followerServer) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publisher.Admit(s.now())
}

// broadcastScope is the set of followers in a broadcast to the other members.
type broadcastScope int

const (
	changedFollowers broadcastScope = iota
	allFollowers
)

func (s *followerServer) broadcast(scope broadcastScope) {
	s.mu.Lock()
	messages := s.publisher.GossipMessages(s.now(), maxFollowersPerMessage, scope == allFollowers)
	s.mu.Unlock()
	for _, message := range messages {
		if err := s.member.broadcastJSON([]byte{followerMessagePrefix}, message); err != nil {
			s.member.logger.Warn("follower broadcast failed", logging.Error(err))
		}
	}
}

func isFollowerMessage(text []byte) bool { return len(text) > 0 && text[0] == followerMessagePrefix }

// receiveMessage handles another member's message about its followers. An invalid message is ignored.
func (s *followerServer) receiveMessage(from uint64, text []byte) {
	if s == nil {
		return
	}
	var message configstream.GossipMessage
	// A decoder, unlike Unmarshal, ignores what follows the first value.
	if err := json.NewDecoder(bytes.NewReader(text[1:])).Decode(&message); err != nil || message.Member != from {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.GossipReceived(s.now(), message)
}

// authenticate returns the name of the follower in the caller's certificate. It returns an error for the certificate of
// a member or an operator.
func (s *followerServer) authenticate(r *http.Request) (name string, err error) {
	holder, err := callerIdentity(r)
	if err != nil {
		return "", err
	}
	if cluster := s.member.cfg.Cluster; holder.Cluster != cluster || holder.Follower == "" {
		return "", fmt.Errorf("the certificate does not belong to a follower of cluster %q", cluster)
	}
	return holder.Follower, nil
}

// followerList returns the followers' statuses.
func (a *adminServer) followerList(context.Context, *http.Request) (*FollowerList, error) {
	s := a.member.followers
	if s == nil {
		return nil, newBadRequest("stream: this member serves no followers: its configuration does not set cluster.stream")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &FollowerList{MemberID: a.member.cfg.MemberID, Followers: s.publisher.Statuses(s.now())}
	if newest := s.publisher.Newest(); newest != nil {
		list.NewestVersion = newest.Number
	}
	return list, nil
}
