package edgeproxy

import (
	"sync/atomic"
	"time"
)

// defaultDrainDelay is how long new clients are still accepted: the load balancer sends some for 0.4 s after a planned
// restart begins.
const defaultDrainDelay = 500 * time.Millisecond

// The platform kills a process that was told to end after the longest deadline, which it counts as maxKillDeadline at
// most, and killGrace more.
const (
	maxKillDeadline     = 3 * time.Second
	killGrace           = 700 * time.Millisecond
	killMargin          = 150 * time.Millisecond // before that everything is answered
	lastAnswersTime     = killMargin / 2         // for the answers that the end of the shutdown timer brings about
	drainPollInterval   = 10 * time.Millisecond  // between looks at the connections that are left
	immediateDrainDelay = 0                      // after a handover no new client comes
)

// shutdownTimeout is how long a process that was told to end goes on answering, by the longest deadline of all classes:
// until shortly before the platform kills it.
func shutdownTimeout(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, maxKillDeadline) + killGrace - killMargin
}

// shutdownTimer runs out when everything has to be answered. It is started once.
type shutdownTimer struct {
	endsAt  atomic.Int64  // Unix time in ns; 0 before the start
	expired chan struct{} // closed then
}

// newShutdownTimer returns a timer that does not run yet.
func newShutdownTimer() *shutdownTimer { return &shutdownTimer{expired: make(chan struct{})} }

// start starts the timer.
func (t *shutdownTimer) start(timeout time.Duration) {
	t.endsAt.Store(time.Now().Add(timeout).UnixNano())
	time.AfterFunc(timeout, func() { close(t.expired) })
}

// requestTimeout decides how long a request may take that is received now, and whether any time is left: its own
// timeout, or what the timer leaves after slack for writing the response.
func (t *shutdownTimer) requestTimeout(timeout, slack time.Duration) (limited time.Duration, isLeft bool) {
	endsAt := t.endsAt.Load()
	if endsAt == 0 {
		return timeout, true
	}
	limited = min(timeout, time.Until(time.Unix(0, endsAt))-slack)
	return limited, limited > 0
}

// startShutdownTimer begins the shutdown, once, before a drain or a handover.
func (s *clientServer) startShutdownTimer() { s.shutdown.start(shutdownTimeout(s.longestDeadline())) }

// drain ends serving. For a time clients are still accepted and answered, on connections that close after the response;
// then the kernel's backlog is accepted, the listeners close, and what was accepted is finished. A connection is owed a
// response once a request was received on it, read or not: only those with nothing to read are evicted, and a request
// that comes late is answered in the time that is left.
func (s *clientServer) drain(delay time.Duration) {
	s.phase.Store(phaseDraining)
	<-time.After(delay)
	s.finishListeners()
	s.evictUntilNoneLeft()
	s.httpServer.Close()
}

// finishListeners ends accepting: a process that has taken over has its predecessor's listener as well as its own.
func (s *clientServer) finishListeners() {
	s.listenersMu.Lock()
	listeners := s.listeners
	s.listenersMu.Unlock()
	for _, l := range listeners {
		l.Finish()
		select {
		case <-l.done: // all are accepted
		case <-s.shutdown.expired:
		}
	}
}

// evictUntilNoneLeft evicts connections as they become idle, until none is left or the time for the last answers is
// over.
func (s *clientServer) evictUntilNoneLeft() {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	shutdownExpired := s.shutdown.expired
	var lastAnswersWritten <-chan time.Time
	for s.limiter.count() > 0 {
		for _, c := range s.limiter.evictIdle(0, evictionSilentTime) {
			c.Conn.Close()
		}
		select {
		case <-ticker.C:
		case <-shutdownExpired: // requests in flight are being answered
			shutdownExpired = nil
			lastAnswersWritten = time.After(lastAnswersTime)
		case <-lastAnswersWritten:
			return
		}
	}
}
