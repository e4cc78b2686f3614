package conntable

import "time"

const (
	// OutsideSubsetIdleTimeout is the idle timeout of connections to servers outside of the instance's subset.
	OutsideSubsetIdleTimeout = time.Second
	// MinIdleTimeout is the shortest idle timeout that is learned: a connection idle for less is not reset for that.
	MinIdleTimeout = 50 * time.Millisecond
	// StaleResetWindow is the time from the write to the reset of a connection that was closed as idle.
	StaleResetWindow = 20 * time.Millisecond
	// IdleTimeoutDoublingInterval is the time after which a shortened idle timeout doubles.
	IdleTimeoutDoublingInterval = 10 * time.Second

	maxIdleTimeoutDoublings = 20 // by then any shortened timeout is over the configured one
)

// Reset takes in that conn was reset so long after the request was written to it, before a byte of the response.
//
// If it had been idle and was reset at once, the server, or a proxy in between, closes idle connections sooner than the
// settings say, and a request that meets one may have run. From then on the server's connections are kept for half as
// long as this one was idle, which doubles again in time. The idle ones are returned for the caller to close.
func (t *Table[C]) Reset(now time.Time, conn *Conn[C], sinceWrite time.Duration) (stale []*Conn[C]) {
	if conn.idleTime < MinIdleTimeout || sinceWrite >= StaleResetWindow {
		return nil
	}
	conn.server.learnedIdleTimeout = max(conn.idleTime/2, MinIdleTimeout)
	conn.server.learnedAt = now
	return t.takeIdle(conn.server)
}

// idleTimeout is how long an idle connection of a server may be used again.
func (t *Table[C]) idleTimeout(now time.Time, server *Server[C]) time.Duration {
	if server.learnedIdleTimeout == 0 {
		return t.config.MaxIdleTimeout
	}
	doublings := now.Sub(server.learnedAt) / IdleTimeoutDoublingInterval
	if doublings > maxIdleTimeoutDoublings || server.learnedIdleTimeout<<doublings >= t.config.MaxIdleTimeout {
		server.learnedIdleTimeout = 0
		return t.config.MaxIdleTimeout
	}
	return server.learnedIdleTimeout << doublings
}

// Prune returns the connections that have been idle for too long, for the caller to close: those to servers outside of
// the instance's subset soon, for each server accepts only so many and a fleet has many instances. A nil subset stands
// for all servers.
func (t *Table[C]) Prune(now time.Time, subset map[string]bool) (stale []*Conn[C]) {
	for id, server := range t.servers {
		timeout := t.config.MaxIdleTimeout
		if subset != nil && !subset[id] {
			timeout = min(timeout, OutsideSubsetIdleTimeout)
		}
		staleCount := 0
		for staleCount < len(server.idle) && now.Sub(server.idle[staleCount].idleSince) >= timeout {
			staleCount++
		}
		stale = append(stale, server.idle[:staleCount]...)
		server.idle = append([]*Conn[C](nil), server.idle[staleCount:]...)
	}
	t.openCount -= len(stale)
	return stale
}
