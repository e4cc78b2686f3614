package edgeproxy

import (
	"time"
)

// defaultDrainDelay is how long new clients are still accepted: the load balancer sends some for 0.4 s after a planned
// restart begins.
const defaultDrainDelay = 500 * time.Millisecond

// The platform kills a process that was told to end after the longest deadline, which it counts as maxKillDeadline at most,
// and killGrace more.
const (
	maxKillDeadline   = 3 * time.Second
	killGrace         = 700 * time.Millisecond
	killMargin        = 150 * time.Millisecond // before that all is answered
	drainPollInterval = 10 * time.Millisecond  // between looks at the connections that are left
)

// startShutdownTimer begins the end, once, before a drain or a handover: whatever comes from now on, and what is under way, is answered before
// the platform kills the process.
func (s *clientServer) startShutdownTimer() {
	left := min(s.longestDeadline(), maxKillDeadline) + killGrace - killMargin
	s.shutdownAt.Store(time.Now().Add(left).UnixNano())
	time.AfterFunc(left, func() { close(s.shutdownExpired) })
}

// timeUntilShutdown is how long a request that has come may take, and whether there is such a bound.
func (s *clientServer) timeUntilShutdown() (time.Duration, bool) {
	at := s.shutdownAt.Load()
	return time.Until(time.Unix(0, at)), at != 0
}

// drain ends serving. Clients still come for some time (0 after a handover) and are still
// answered, on connections that close after the answer; then what the machine has accepted is taken in, the listener
// closes, and what was taken is finished. A connection is owed an answer once a request has come on it, read or not: only such
// are closed as have nothing to read, and a request that comes late is answered in the time that is left.
func (s *clientServer) drain(still time.Duration) {
	s.isReady.Store(false)
	s.isDraining.Store(true)
	<-time.After(still)
	s.listenersMu.Lock()
	lns := s.listeners
	s.listenersMu.Unlock()
	for _, ln := range lns { // a process that has taken over has its predecessor's as well
		ln.finish()
		select {
		case <-ln.done: // all are taken in
		case <-s.shutdownExpired:
		}
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for over, end := s.shutdownExpired, (<-chan time.Time)(nil); s.limiter.count() > 0; {
		for _, c := range s.limiter.evictIdle(0, evictionSilentTime) {
			c.Conn.Close()
		}
		select {
		case <-tick.C:
		case <-over: // requests under way are being answered
			over, end = nil, time.After(killMargin/2)
		case <-end:
			s.httpServer.Close()
			return
		}
	}
	s.httpServer.Close()
}
