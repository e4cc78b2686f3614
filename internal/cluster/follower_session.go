package cluster

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mulleinmux/configstream"
	"mulleinmux/internal/configstreampb"
	"mulleinmux/internal/logging"
)

// followerSession is a member's stream to one follower.
type followerSession struct {
	server    *followerServer
	follower  string // name in its certificate
	stream    *configstreampb.MemberStream
	sendQueue chan any    // *configstreampb.Push or *configstream.Pong
	endReason chan string // holds the first reason to end

	id uint64 // 0 before the hello message; set once by the goroutine that runs the session
}

// enqueue queues a message. It ends the session if the queue is full because the follower does not read.
func (c *followerSession) enqueue(message any) {
	select {
	case c.sendQueue <- message:
	default:
		c.end("the follower does not read its messages")
	}
}

// end ends the session. Only the first reason is kept.
func (c *followerSession) end(reason string) {
	select {
	case c.endReason <- reason:
	default:
	}
}

// serveSession serves one follower until ctx or its session ends. It returns the reason, which is sent to the
// follower.
func (s *followerServer) serveSession(ctx context.Context, stream *configstreampb.MemberStream) error {
	name, err := s.authenticate(stream.Request)
	if err != nil {
		return configstreampb.NewEndError(err.Error())
	}
	session := &followerSession{
		server:    s,
		follower:  name,
		stream:    stream,
		sendQueue: make(chan any, streamSendQueueSize),
		endReason: make(chan string, 1),
	}
	received := make(chan any)
	ended := make(chan struct{})
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stream.Abort()
	defer close(ended)
	tasks.Go(func() { session.receive(received, ended) })
	tasks.Go(func() { session.send(ended) })
	defer session.remove()
	return configstreampb.NewEndError(session.run(ctx, received))
}

// receive passes the follower's messages to run until the stream or the session ends.
func (c *followerSession) receive(received chan<- any, ended <-chan struct{}) {
	for {
		message, err := c.stream.Receive()
		if err != nil {
			c.end(err.Error())
			return
		}
		select {
		case received <- message:
		case <-ended:
			return
		}
	}
}

// send sends the queued messages until the stream or the session ends.
func (c *followerSession) send(ended <-chan struct{}) {
	for {
		select {
		case message := <-c.sendQueue:
			if err := c.stream.Send(message); err != nil {
				c.end(err.Error())
				return
			}
		case <-ended:
			return
		}
	}
}

// run handles the session's events, and returns the reason why the session ends.
func (c *followerSession) run(ctx context.Context, received <-chan any) (reason string) {
	helloTimeout := time.NewTimer(streamSilenceTimeout)
	defer helloTimeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return "the member is stopping"
		case reason := <-c.endReason:
			return reason
		case <-helloTimeout.C:
			if c.id == 0 {
				return "no hello was received within the timeout"
			}
		case message := <-received:
			if reason := c.handleMessage(message); reason != "" {
				return reason
			}
		}
	}
}

// handleMessage passes a follower's message to the publisher. It returns a reason to end the session, or "".
func (c *followerSession) handleMessage(message any) (endReason string) {
	switch message := message.(type) {
	case configstream.Hello:
		if c.id != 0 {
			return "a second hello was received"
		}
		message.Name = c.follower
		c.add(message)
	case configstream.Report:
		if message.Result == configstream.ResultRejected {
			c.server.member.logger.Warn("version rejected by follower",
				slog.String(logging.KeyFollower, c.follower), slog.Any(logging.KeyVersion, message.Ref),
				slog.Any(logging.KeyProblems, message.Problems))
		}
		c.server.handle(func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction {
			return p.ReportReceived(now, c.id, message)
		})
	case uint64: // the sequence number of a ping
		c.server.handle(func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction {
			return p.PingReceived(now, c.id, message)
		})
	}
	return ""
}

// add assigns the session an ID and opens its stream at the publisher.
func (c *followerSession) add(hello configstream.Hello) {
	s := c.server
	s.handle(func(p *configstream.Publisher, now time.Duration) []configstream.PublisherAction {
		s.lastSessionID++
		c.id = s.lastSessionID
		s.sessions[c.id] = c
		return p.OpenStream(now, c.id, hello)
	})
}

// remove closes the session's stream at the publisher.
func (c *followerSession) remove() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.StreamClosed(s.now(), c.id)
	delete(s.sessions, c.id)
}
