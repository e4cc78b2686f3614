package edgeproxy

import (
	"time"
)

// defaultDrainDelay is how long new clients are still accepted: the load balancer sends some for 0.4 s after a planned
// restart begins.
const defaultDrainDelay = 500 * time.Millisecond

// The platform kills a process that was told to end after the longest deadline, which it counts as maxKillDeadline at
// most, and killGrace more.
const (
	maxKillDeadline   = 3 * time.Second
	killGrace         = 700 * time.Millisecond
	killMargin        = 150 * time.Millisecond // before that everything is answered
	drainPollInterval = 10 * time.Millisecond  // between looks at the connections that are left
)

// startShutdownTimer begins the shutdown, once, before a drain or a handover: requests that are received from now
// on or are in flight are answered before the platform kills the process.
func (s *clientServer) startShutdownTimer() {
	left := min(s.longestDeadline(), maxKillDeadline) + killGrace - killMargin
	s.shutdownAt.Store(time.Now().Add(left).UnixNano())
	time.AfterFunc(left, func() { close(s.shutdownExpired) })
}

// timeUntilShutdown is how long a request may take, and whether there is such a limit.
func (s *clientServer) timeUntilShutdown() (time.Duration, bool) {
	at := s.shutdownAt.Load()
	return time.Until(time.Unix(0, at)), at != 0
}

// drain ends serving. For a time (0 after a handover) clients are still accepted and answered, on connections that
// close after the response; then the kernel's backlog is accepted, the listeners close, and what was accepted is
// finished. A connection is owed a response once a request was received on it, read or not: only those with nothing
// to read are evicted, and a request that comes late is answered in the time that is left.
func (s *clientServer) drain(delay time.Duration) {
	s.isReady.Store(false)
	s.isDraining.Store(true)
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
		l.finish()
		select {
		case <-l.done: // all are accepted
		case <-s.shutdownExpired:
		}
	}
}

// evictUntilNoneLeft evicts connections as they become idle, until none is left or the time after the shutdown timer
// for the last answers is over.
func (s *clientServer) evictUntilNoneLeft() {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	shutdownExpired := s.shutdownExpired
	var lastAnswersWritten <-chan time.Time
	for s.limiter.count() > 0 {
		for _, c := range s.limiter.evictIdle(0, evictionSilentTime) {
			c.Conn.Close()
		}
		select {
		case <-ticker.C:
		case <-shutdownExpired: // requests in flight are being answered
			shutdownExpired = nil
			lastAnswersWritten = time.After(killMargin / 2)
		case <-lastAnswersWritten:
			return
		}
	}
}
