package gateway

import (
	"sync/atomic"
	"time"

	"mulleinmux/internal/graceful"
)

// drainPollInterval is the interval at which a draining instance interrupts connections that have become idle.
const drainPollInterval = 10 * time.Millisecond

// drainState is the state of an instance's readiness and drain. Its fields are atomic, so any goroutine may read them.
type drainState struct {
	isReady        atomic.Bool // from when the instance listens until it drains
	isDraining     atomic.Bool
	finishDeadline atomic.Pointer[time.Time] // by which every request must have its answer; nil: not set yet
}

// requestTimeout limits the timeout of a request that is served from now on. Once finishDeadline is set, the limit is
// the time until then, less slack for writing the answer. hasTime is false if no time is left.
func (d *drainState) requestTimeout(now time.Time, timeout, slack time.Duration) (limited time.Duration, hasTime bool) {
	finishDeadline := d.finishDeadline.Load()
	if finishDeadline == nil {
		return timeout, true
	}
	limited = min(timeout, finishDeadline.Sub(now)-slack)
	return limited, limited > 0
}

// isPastFinishDeadline reports whether the time by which every request must have its answer has come.
func (d *drainState) isPastFinishDeadline(now time.Time) bool {
	finishDeadline := d.finishDeadline.Load()
	return finishDeadline != nil && !now.Before(*finishDeadline)
}

// setFinishDeadline sets the time by which every request must have its answer.
func (d *drainState) setFinishDeadline(at time.Time) { d.finishDeadline.Store(&at) }

// begin starts the drain: the instance is no longer ready, so that load balancers send it no new connections.
func (d *drainState) begin() {
	d.isReady.Store(false)
	d.isDraining.Store(true)
}

// isReadyToServe decides the result of a load balancer's health check: an instance is ready from when it listens until
// it drains, provided that requests are served on its setup.
func (s *clientServer) isReadyToServe(now time.Time) bool {
	_, serves := s.instance.versions.confirmation(now)
	return serves && s.drainState.isReady.Load()
}

// drain stops serving. It begins at once; all its times count from signaledAt, when the instance was told to end (see
// [graceful.Schedule]). Until FinishListeningAt new requests are still accepted, and each answer closes its connection.
// Then the listeners close. By AnswerBy the instance answers every request that was received, whether or not it was
// read, also those on connections in the kernel's backlog. Connections that have nothing to read are closed, new ones
// after newConnGrace.
func (s *clientServer) drain(signaledAt time.Time) {
	s.drainState.begin()
	schedule := graceful.NewSchedule(signaledAt, s.instance.config.DrainTimeout, s.instance.longestDeadline())
	s.drainState.setFinishDeadline(schedule.AnswerBy)
	s.instance.logger.Info("draining")
	<-time.After(time.Until(schedule.FinishListeningAt))
	ended := make(chan struct{})
	go func() { // beside it interrupts free descriptors for the backlog
		defer close(ended)
		for _, listener := range s.listeners {
			s.acceptors.Go(func() { listener.Finish(schedule.AnswerBy) })
		}
		s.acceptors.Wait() // connections accepted during the close are drained with the others
		s.handlers.Wait()
	}()
	s.interruptUntil(ended, schedule)
	s.closeConnsUntil(ended)
}

// closeConnsUntil closes connections until all have ended, also those that are accepted last.
func (s *clientServer) closeConnsUntil(ended <-chan struct{}) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		s.conns.each(func(c *clientConn) { c.nc.Close() })
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

// interruptUntil interrupts connections as they become idle, until all have ended or CloseBy has passed. At AnswerBy
// the requests that are still open fail: their deadlines are later than the end of this process.
func (s *clientServer) interruptUntil(ended <-chan struct{}, schedule graceful.Schedule) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	answersDue := time.After(time.Until(schedule.AnswerBy))
	closesDue := time.After(time.Until(schedule.CloseBy))
	for {
		now := time.Now()
		s.conns.each(func(c *clientConn) { c.lifecycle.interrupt(now) })
		select {
		case <-ticker.C:
		case <-answersDue:
			s.instance.failOpenRequests()
		case <-closesDue:
			return
		case <-ended:
			return
		}
	}
}
