package cluster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinmux/configstream"
	"mulleinmux/internal/configstreampb"
)

const (
	streamDialTimeout      = time.Second
	streamHandshakeTimeout = 2 * time.Second
	ticksPerHeartbeat      = 4
)

// newTransport returns a transport for one stream. The caller closes its idle connections.
func (c *StreamClient) newTransport() *http.Transport {
	tlsConfig := c.cfg.Credentials.TLSConfig()
	tlsConfig.NextProtos = []string{"h2"}
	return &http.Transport{
		TLSClientConfig:     tlsConfig,
		ForceAttemptHTTP2:   true,
		TLSHandshakeTimeout: streamHandshakeTimeout,
		DialContext:         (&net.Dialer{Timeout: streamDialTimeout}).DialContext,
	}
}

// runStream runs one stream with a member until it ends. It returns whether the member has sent a message, and the
// reason why the stream ended.
func (c *StreamClient) runStream(ctx context.Context, member uint64) (hasReceived bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport := c.newTransport()
	defer transport.CloseIdleConnections()
	addr := c.cfg.MemberStreamAddrs[member]
	stream := configstreampb.Dial(ctx, &http.Client{Transport: transport}, addr, cancel)
	hello := c.setStream(stream, member)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer c.clearStream(stream)
	sendResult := make(chan error, 1)
	tasks.Go(func() {
		err := c.send(ctx, stream, hello)
		cancel()
		sendResult <- err
	})
	for {
		message, err := stream.Receive()
		if err != nil {
			cancel()
			stream.Close()
			return hasReceived, endOfStream(err, <-sendResult)
		}
		if !hasReceived {
			hasReceived = true
			c.mu.Lock()
			c.hasReceived = true
			c.mu.Unlock()
		}
		c.handleMessage(message)
	}
}

// endOfStream returns the most informative error of a stream's end: the member's reason, or else a failure to send,
// or else the failure to receive.
func endOfStream(receiveErr, sendErr error) error {
	hasReason := configstreampb.EndReason(receiveErr) != ""
	if sendErr == nil || errors.Is(sendErr, context.Canceled) || hasReason {
		return receiveErr
	}
	return sendErr
}

// setStream sets the current stream, and returns the hello message that opens it.
func (c *StreamClient) setStream(stream *configstreampb.FollowerStream, member uint64) configstream.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.sendQueue) > 0 { // messages of the previous stream
		<-c.sendQueue
	}
	c.stream = stream
	c.member = member
	return c.follower.OpenStream(c.now())
}

// clearStream removes the current stream and ends it.
func (c *StreamClient) clearStream(stream *configstreampb.FollowerStream) {
	c.mu.Lock()
	c.stream = nil
	c.member = 0
	c.hasReceived = false
	c.follower.StreamClosed()
	c.mu.Unlock()
	stream.Abort()
}

// send sends the hello message and the queued messages, and calls the state machine's Tick, until ctx or the stream
// ends.
func (c *StreamClient) send(ctx context.Context, stream *configstreampb.FollowerStream,
	hello configstream.Hello) error {
	if err := stream.Send(hello); err != nil {
		return err
	}
	tick := time.NewTicker(c.heartbeatInterval() / ticksPerHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			c.handle(func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction { return f.Tick(now) })
		case message := <-c.sendQueue:
			if err := stream.Send(message); err != nil {
				return err
			}
		}
	}
}

// handleMessage passes a member's message to the state machine.
func (c *StreamClient) handleMessage(message any) {
	switch message := message.(type) {
	case *configstream.Push:
		c.handle(func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction {
			return f.PushReceived(now, message)
		})
	case *configstream.Pong:
		c.handle(func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction {
			return f.PongReceived(now, *message)
		})
		c.confirm()
	}
}
