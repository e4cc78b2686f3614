package conntable

import "time"

const (
	// OutsideSubsetIdleTimeout is the idle timeout of connections to servers outside the instance's subset.
	OutsideSubsetIdleTimeout = time.Second
	// MinIdleTimeout is the shortest idle timeout that is learned. The reset of a connection that was idle for less is
	// not attributed to the server's idle timeout.
	MinIdleTimeout = 50 * time.Millisecond
	// StaleResetWindow limits the time from the write to the reset for which the connection is taken to have been
	// closed as idle.
	StaleResetWindow = 20 * time.Millisecond
	// IdleTimeoutDoublingInterval is the interval at which a learned idle timeout doubles.
	IdleTimeoutDoublingInterval = 10 * time.Second

	maxIdleTimeoutDoublings = 20 // after this many, any learned timeout exceeds the configured one
)

// learnedIdleTimeout is the idle timeout of a server whose resets show that it closes idle connections sooner than
// configured.
type learnedIdleTimeout struct {
	timeout   time.Duration // as of learnedAt; 0 if nothing was learned
	learnedAt time.Time
}

// learn records the reset of a connection before the first byte of the response. The connection had been idle for
// idleTime, and the reset came sinceWrite after the request was written. learn reports whether the server, or a proxy
// in between, had closed the connection as idle. If so, half of idleTime is learned as the timeout: the margin is wide
// because a request that coincides with such a close may have been executed.
func (l *learnedIdleTimeout) learn(now time.Time, idleTime, sinceWrite time.Duration) (wasClosedAsIdle bool) {
	if idleTime < MinIdleTimeout || sinceWrite >= StaleResetWindow {
		return false
	}
	*l = learnedIdleTimeout{timeout: max(idleTime/2, MinIdleTimeout), learnedAt: now}
	return true
}

// current returns how long an idle connection may be reused: the learned timeout, doubled for each
// IdleTimeoutDoublingInterval since it was learned, up to the configured timeout.
func (l *learnedIdleTimeout) current(now time.Time, configured time.Duration) time.Duration {
	if l.timeout == 0 {
		return configured
	}
	doublings := now.Sub(l.learnedAt) / IdleTimeoutDoublingInterval
	if doublings > maxIdleTimeoutDoublings || l.timeout<<doublings >= configured {
		l.timeout = 0
		return configured
	}
	return l.timeout << doublings
}

// RecordReset records that conn was reset before the first byte of the response, sinceWrite after the request was
// written to it. If the server had closed it as idle, RecordReset returns the server's other idle connections for the
// caller to close.
func (t *Table[C]) RecordReset(now time.Time, conn *Conn[C], sinceWrite time.Duration) (stale []*Conn[C]) {
	if !conn.server.idleTimeout.learn(now, conn.idleTime, sinceWrite) {
		return nil
	}
	return t.takeIdle(conn.server)
}

// Prune removes the connections that have been idle for at least their timeout, configured or learned, and returns them
// for the caller to close. A nil subset means that all servers are in the subset.
func (t *Table[C]) Prune(now time.Time, subset map[string]bool) (stale []*Conn[C]) {
	for id, server := range t.servers {
		configured := t.config.pruneTimeout(subset == nil || subset[id])
		learned := server.idleTimeout.current(now, t.config.MaxIdleTimeout)
		timeout := min(configured, learned)
		stale = append(stale, server.takeIdleFor(now, timeout)...)
	}
	t.openCount -= len(stale)
	return stale
}

// pruneTimeout returns how long idle connections to a server are kept. Outside the instance's subset the time is short,
// because each server accepts a limited number of connections and a fleet has many instances.
func (c Config) pruneTimeout(isInSubset bool) time.Duration {
	if isInSubset {
		return c.MaxIdleTimeout
	}
	return min(c.MaxIdleTimeout, OutsideSubsetIdleTimeout)
}

// takeIdleFor removes and returns the connections that have been idle for at least timeout.
func (s *Server[C]) takeIdleFor(now time.Time, timeout time.Duration) []*Conn[C] {
	count := 0
	for count < len(s.idle) && now.Sub(s.idle[count].idleSince) >= timeout {
		count++
	}
	stale := s.idle[:count]
	s.idle = append([]*Conn[C](nil), s.idle[count:]...)
	return stale
}
