package edgeproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/graceful"
)

// defaultDrainDelay is how long new clients are still accepted: the load balancer sends some for 0.4 s after a planned
// restart has begun.
const defaultDrainDelay = 500 * time.Millisecond

const (
	drainPollInterval   = 10 * time.Millisecond // between checks of the connections that are left
	immediateDrainDelay = 0                     // after a handover no new clients arrive
)

// shutdownTimer expires when every request has to be answered. It is started once.
type shutdownTimer struct {
	startedAt time.Time                 // set by start, on the goroutine that shuts the process down
	endsAt    atomic.Pointer[time.Time] // nil before the start
	expired   chan struct{}             // closed when the timer expires
}

// newShutdownTimer returns a timer that is not started.
func newShutdownTimer() *shutdownTimer { return &shutdownTimer{expired: make(chan struct{})} }

// start starts the timer.
func (t *shutdownTimer) start(timeout time.Duration) {
	t.startedAt = time.Now()
	endsAt := t.startedAt.Add(timeout)
	t.endsAt.Store(&endsAt)
	time.AfterFunc(timeout, func() { close(t.expired) })
}

// handoverDeadline returns until when the timer's process waits for its successor to take over: for half of its time,
// so that it can answer in the other half what the successor does not take, and no longer than clients still arrive.
func (t *shutdownTimer) handoverDeadline() time.Time {
	half := t.endsAt.Load().Sub(t.startedAt) / 2
	return t.startedAt.Add(min(half, defaultDrainDelay))
}

// requestTimeout limits the timeout of a request that is received now to the time until the timer expires, minus slack
// for writing the response. It also reports whether any time is left.
func (t *shutdownTimer) requestTimeout(timeout, slack time.Duration) (limited time.Duration, isLeft bool) {
	endsAt := t.endsAt.Load()
	if endsAt == nil {
		return timeout, true
	}
	limited = min(timeout, time.Until(*endsAt)-slack)
	return limited, limited > 0
}

// startShutdownTimer starts the shutdown timer. It is called once, before a drain or a handover.
func (s *clientServer) startShutdownTimer() {
	s.shutdown.start(graceful.AnswerTimeout(s.longestDeadline(), defaultDrainDelay))
}

// drain stops the server. Clients are accepted and answered, on connections that close after the response, until
// acceptDuration has passed since the shutdown timer was started. Then the kernel's backlog is accepted, the listeners
// are closed, and the accepted connections are finished. A request has to be answered once it was received, whether or
// not it was read: only connections without unread data are evicted, and a request that is received late is answered in
// the time that is left. Once no more clients are accepted it calls onFinished, which may be nil.
func (s *clientServer) drain(acceptDuration time.Duration, onFinished func()) {
	s.phase.Store(phaseDraining)
	s.node.logger.Info("draining")
	<-time.After(time.Until(s.shutdown.startedAt.Add(acceptDuration)))
	listenersFinished := make(chan struct{})
	go func() { // ends with the shutdown timer; beside it evictions free descriptors for the backlog
		defer close(listenersFinished)
		s.finishListeners()
		if onFinished != nil {
			onFinished()
		}
	}()
	s.evictUntilNoneLeft(listenersFinished)
	s.httpServer.Close()
}

// finishListeners closes all listeners: a process that has taken over has its predecessor's listener and its own. It
// returns once their backlogs are accepted, or when the shutdown timer expires.
func (s *clientServer) finishListeners() {
	s.listenersMu.Lock()
	listeners := s.listeners
	s.listenersMu.Unlock()
	var finishing sync.WaitGroup
	for _, l := range listeners {
		finishing.Go(func() {
			l.Finish(*s.shutdown.endsAt.Load())
			select {
			case <-l.done: // the backlog is accepted
			case <-s.shutdown.expired:
			}
		})
	}
	finishing.Wait()
}

// evictUntilNoneLeft evicts connections as they become idle, until the listeners are finished and none is left or
// LastAnswersTimeout has passed after the expiry of the shutdown timer.
func (s *clientServer) evictUntilNoneLeft(listenersFinished <-chan struct{}) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	shutdownExpired := s.shutdown.expired
	var lastAnswersExpired <-chan time.Time
	for listenersFinished != nil || s.limiter.count() > 0 {
		for _, c := range s.limiter.evictIdle(0, evictionSilentTime) {
			c.Conn.Close()
		}
		select {
		case <-ticker.C:
		case <-listenersFinished:
			listenersFinished = nil
		case <-shutdownExpired: // requests in flight are being answered
			shutdownExpired = nil
			lastAnswersExpired = time.After(graceful.LastAnswersTimeout)
		case <-lastAnswersExpired:
			return
		}
	}
}
