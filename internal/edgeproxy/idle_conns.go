package edgeproxy

import (
	"context"
	"time"
)

const (
	idleTimeoutFraction         = 0.8                   // of the servers' idle timeout: then a connection is not reused
	outsideSubsetIdleTimeout    = time.Second           // for connections to servers outside of this node's subset
	minIdleTimeout              = 50 * time.Millisecond // a connection idle for less is not reset for that
	staleResetWindow            = 20 * time.Millisecond // from the write to the reset of a connection closed as idle
	idleTimeoutDoublingInterval = 10 * time.Second      // after which a shortened idle timeout doubles
	maxIdleTimeoutDoublings     = 20                    // by then any shortened timeout is over the configured one
	minPruneInterval            = 10 * time.Millisecond
)

// runIdlePruning closes what has been idle for too long, once every period until ctx ends.
func (p *serverPool) runIdlePruning(ctx context.Context) {
	tick := time.NewTicker(max(p.maxIdleTimeout/8, minPruneInterval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		closeConns(p.pruneIdle())
	}
}

// pruneIdle takes the connections that have been idle for too long out of their pools, for the caller to close: at servers
// outside of this node's part soon, for each server holds only so many and a fleet's nodes are many.
func (p *serverPool) pruneIdle() (stale []*serverConn) {
	var near map[string]bool
	if p.subsetServers != nil {
		near = p.subsetServers()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, b := range p.servers {
		most := p.maxIdleTimeout
		if near != nil && !near[id] {
			most = min(most, outsideSubsetIdleTimeout)
		}
		fresh := 0
		for fresh < len(b.idle) && time.Since(b.idle[fresh].idleSince) >= most {
			fresh++
		}
		stale = append(stale, b.idle[:fresh]...)
		b.idle = append([]*serverConn(nil), b.idle[fresh:]...)
	}
	p.openCount -= len(stale)
	return stale
}

// shortenIdleTimeout learns from a kept connection that was reset as soon as it was written to: the
// server, or something on the way, gives idle connections up sooner than it tells. A
// request that meets one may have run. From then on the server's connections are kept
// for half as long as this one stood idle, which doubles again in time.
func (p *serverPool) shortenIdleTimeout(c *serverConn) {
	p.mu.Lock()
	b := c.server
	b.learnedIdleTimeout, b.learnedAt = max(c.idleTime/2, minIdleTimeout), time.Now()
	p.mu.Unlock()
	p.closeIdleOf(b)
}

// idleTimeout is how long an idle connection of the backend may be used again. Called under
// the mutex.
func (p *serverPool) idleTimeout(b *serverConns) time.Duration {
	if b.learnedIdleTimeout == 0 {
		return p.maxIdleTimeout
	}
	doubled := time.Since(b.learnedAt) / idleTimeoutDoublingInterval
	if doubled > maxIdleTimeoutDoublings || b.learnedIdleTimeout<<doubled >= p.maxIdleTimeout {
		b.learnedIdleTimeout = 0
		return p.maxIdleTimeout
	}
	return b.learnedIdleTimeout << doubled
}

// closeIdleOf closes a backend's idle connections after silence on one. A machine that
// vanished or is cut off leaves all of them open and silent; a request written to one
// more would time out as well and might have run, while a new connection that does
// not come up proves that it has not.
func (p *serverPool) closeIdleOf(b *serverConns) {
	p.mu.Lock()
	stale := b.idle
	b.idle = nil
	p.openCount -= len(stale)
	p.mu.Unlock()
	closeConns(stale)
}

// defaultMinIdleTime is how long a connection stands idle before its next request. A server's, or a proxy's, fault may send an answer twice, the second
// some milliseconds late: what comes meanwhile shows in quiet, where later it would be taken for the next request's answer.
const defaultMinIdleTime = 50 * time.Millisecond
