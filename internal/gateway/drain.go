package gateway

import (
	"sync/atomic"
	"time"

	"mulleinmux/policy"
)

// drainPollInterval is the time between two looks at the connections that are left.
const drainPollInterval = 10 * time.Millisecond

// drainState says how far an instance's life has come. Its fields are atomic: any goroutine may read them.
type drainState struct {
	isReady    atomic.Bool // since it listens, until it drains
	isDraining atomic.Bool
	finishBy   atomic.Int64 // Unix time in ns by which every request must have its answer; 0: not known yet
}

// requestTimeout decides how long a request may take that is served from now on, and whether any time is left: its own
// timeout, or what the drain leaves after slack for writing the answer.
func (d *drainState) requestTimeout(now time.Time, timeout, slack time.Duration) (limited time.Duration, isLeft bool) {
	finishBy := d.finishBy.Load()
	if finishBy == 0 {
		return timeout, true
	}
	limited = min(timeout, time.Unix(0, finishBy).Sub(now)-slack)
	return limited, limited > 0
}

// isOver decides whether every request must have its answer by now.
func (d *drainState) isOver(now time.Time) bool {
	finishBy := d.finishBy.Load()
	return finishBy != 0 && now.UnixNano() >= finishBy
}

// begin has the instance drain: it is not ready any more, so that load balancers send it no new connections.
func (d *drainState) begin() {
	d.isReady.Store(false)
	d.isDraining.Store(true)
}

// isReadyToServe decides what a load balancer's health check is told: an instance serves from when it listens until it
// drains, as long as requests are served on its setup.
func (s *clientServer) isReadyToServe(now time.Time) bool {
	_, serves := s.instance.versions.confirmation(now)
	return serves && s.drainState.isReady.Load()
}

// drain ends serving. Clients still come for DrainTimeout and are answered, on connections that close behind the
// answer; then the listeners close, and what was taken is finished within maxFinishDuration: what the kernel has
// accepted by then, and every request that was received, read or not. Connections that have nothing to read are closed,
// new ones after newConnGrace.
func (s *clientServer) drain() {
	s.drainState.begin()
	<-time.After(s.instance.config.DrainTimeout)
	for _, listener := range s.listeners {
		listener.Finish()
	}
	s.acceptors.Wait() // what is accepted in the moment of the close is drained with the others
	ended := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(ended)
	}()
	s.interruptUntil(ended)
	s.conns.each(func(c *clientConn) { c.nc.Close() })
	<-ended
}

// interruptUntil interrupts connections as they become idle, until all have ended or maxFinishDuration is over. What
// was received is answered before: what is still being read then may need requestReadTimeout, and is rejected.
func (s *clientServer) interruptUntil(ended <-chan struct{}) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	finish := maxFinishDuration(s.instance.Table().Classes, s.instance.config.Settings.ResponseSlack)
	s.drainState.finishBy.Store(time.Now().Add(finish - requestReadTimeout).UnixNano())
	over := time.After(finish)
	for {
		now := time.Now()
		s.conns.each(func(c *clientConn) { c.life.interrupt(now) })
		select {
		case <-ticker.C:
		case <-over:
			return
		case <-ended:
			return
		}
	}
}

// maxFinishDuration decides for how long a draining instance finishes what it has taken: a request that is being read
// may need requestReadTimeout and then its class's deadline, with the slack for its response.
func maxFinishDuration(classes []policy.Class, responseSlack time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest + responseSlack + requestReadTimeout
}
