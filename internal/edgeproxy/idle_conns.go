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
	prunesPerIdleTimeout        = 8
	minPruneInterval            = 10 * time.Millisecond
)

// runIdlePruning closes connections that have been idle for too long, at intervals until ctx ends.
func (p *serverPool) runIdlePruning(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdleTimeout/prunesPerIdleTimeout, minPruneInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		closeConns(p.pruneIdle())
	}
}

// pruneIdle takes out the connections that have been idle for too long, for the caller to close: those to servers
// outside of this node's subset soon, for each server accepts only so many and a fleet has many nodes.
func (p *serverPool) pruneIdle() (stale []*serverConn) {
	var subset map[string]bool
	if p.subsetServers != nil {
		subset = p.subsetServers()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, server := range p.servers {
		timeout := p.maxIdleTimeout
		if subset != nil && !subset[id] {
			timeout = min(timeout, outsideSubsetIdleTimeout)
		}
		staleCount := 0
		for staleCount < len(server.idle) && time.Since(server.idle[staleCount].idleSince) >= timeout {
			staleCount++
		}
		stale = append(stale, server.idle[:staleCount]...)
		server.idle = append([]*serverConn(nil), server.idle[staleCount:]...)
	}
	p.openCount -= len(stale)
	return stale
}

// shortenIdleTimeout learns from an idle connection that was reset as soon as it was written to: the server, or a
// proxy in between, closes idle connections sooner than the settings say, and a request that meets one may have
// run. From then on the server's connections are kept for half as long as this one was idle, which doubles again in
// time.
func (p *serverPool) shortenIdleTimeout(c *serverConn) {
	p.mu.Lock()
	server := c.server
	server.learnedIdleTimeout = max(c.idleTime/2, minIdleTimeout)
	server.learnedAt = time.Now()
	p.mu.Unlock()
	p.closeIdleOf(server)
}

// idleTimeout is how long an idle connection of a server may be used again. Called under the mutex.
func (p *serverPool) idleTimeout(server *serverConns) time.Duration {
	if server.learnedIdleTimeout == 0 {
		return p.maxIdleTimeout
	}
	doublings := time.Since(server.learnedAt) / idleTimeoutDoublingInterval
	if doublings > maxIdleTimeoutDoublings || server.learnedIdleTimeout<<doublings >= p.maxIdleTimeout {
		server.learnedIdleTimeout = 0
		return p.maxIdleTimeout
	}
	return server.learnedIdleTimeout << doublings
}

// closeIdleOf closes a server's idle connections after one was unresponsive. A machine that vanished or is cut off
// leaves all of them open and silent; a request written to another would time out as well and might have run, while
// a new connection that can't be established proves that it has not.
func (p *serverPool) closeIdleOf(server *serverConns) {
	p.mu.Lock()
	stale := server.idle
	server.idle = nil
	p.openCount -= len(stale)
	p.mu.Unlock()
	closeConns(stale)
}

// defaultMinIdleTime is how long a connection is idle before its next request. A faulty server or proxy may send a
// response twice, the second some milliseconds late: isQuiet finds what is received meanwhile, where later it would
// be taken for the response to the next request.
const defaultMinIdleTime = 50 * time.Millisecond
