package serverpool

import (
	"context"
	"time"
)

const (
	prunesPerIdleTimeout = 8
	minPruneInterval     = 10 * time.Millisecond

	// idleTimeoutFraction is the part of the servers' own idle timeout for which a connection is used again: a
	// request must not cross the server's close.
	idleTimeoutFraction = 0.8
)

// MaxIdleTimeout is how long an idle connection may be used again to servers that close it after a time.
func MaxIdleTimeout(serverIdleTimeout time.Duration) time.Duration {
	return time.Duration(idleTimeoutFraction * float64(serverIdleTimeout))
}

// RunPruning closes connections that have been idle for too long, at intervals until ctx ends.
func (p *Pool[C]) RunPruning(ctx context.Context) {
	ticker := time.NewTicker(max(p.config.MaxIdleTimeout/prunesPerIdleTimeout, minPruneInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.Prune()
	}
}

// Prune closes the connections that have been idle for too long.
func (p *Pool[C]) Prune() {
	var subset map[string]bool
	if p.config.SubsetServers != nil {
		subset = p.config.SubsetServers()
	}
	p.mu.Lock()
	stale := p.table.Prune(p.config.Now(), subset)
	p.mu.Unlock()
	StaleConns[C](stale).Close()
}

// RecordReset learns from a connection that was reset so long after the request was written to it, before a byte of the
// response: see [conntable.Table.Reset].
func (p *Pool[C]) RecordReset(conn *Conn[C], sinceWrite time.Duration) {
	p.mu.Lock()
	stale := p.table.Reset(p.config.Now(), conn, sinceWrite)
	p.mu.Unlock()
	StaleConns[C](stale).Close()
}

// CloseIdleOf closes the idle connections of a server after conn was unresponsive. A machine that vanished or is cut
// off leaves all of them open and silent; a request written to another would time out as well and might have run, while
// a new connection that can't be established proves that it has not.
func (p *Pool[C]) CloseIdleOf(conn *Conn[C]) {
	p.mu.Lock()
	stale := p.table.TakeIdleOf(conn)
	p.mu.Unlock()
	StaleConns[C](stale).Close()
}

// CloseIdle closes all idle connections.
func (p *Pool[C]) CloseIdle() {
	p.mu.Lock()
	stale := p.table.TakeAllIdle()
	p.mu.Unlock()
	StaleConns[C](stale).Close()
}
