package serverpool

import (
	"context"
	"time"
)

const (
	prunesPerIdleTimeout = 8
	minPruneInterval     = 10 * time.Millisecond

	// idleTimeoutFraction is the fraction of the servers' own idle timeout during which an idle connection may be reused.
	// A request must not be sent at the moment when the server closes the connection.
	idleTimeoutFraction = 0.8
)

// MaxIdleTimeout returns how long an idle connection may be reused if servers close it after serverIdleTimeout.
func MaxIdleTimeout(serverIdleTimeout time.Duration) time.Duration {
	return time.Duration(idleTimeoutFraction * float64(serverIdleTimeout))
}

// RunPruning prunes the pool at regular intervals until ctx is done.
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

// Prune closes the connections that have been idle for longer than their timeout.
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

// RecordReset records that a connection was reset before the first byte of the response; sinceWrite is the time from
// writing the request to the reset. It closes the server's idle connections if the reset shows that the server closes
// them sooner than configured: see [conntable.Table.RecordReset].
func (p *Pool[C]) RecordReset(conn *Conn[C], sinceWrite time.Duration) {
	p.mu.Lock()
	stale := p.table.RecordReset(p.config.Now(), conn, sinceWrite)
	p.mu.Unlock()
	StaleConns[C](stale).Close()
}

// CloseIdleOf closes the idle connections of the server of conn after conn was unresponsive. If the server's machine
// crashed or is partitioned, all of them stay open but silent. A request written to one of them would time out as well
// and might have been executed, whereas a failed dial proves that the request was not executed.
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
