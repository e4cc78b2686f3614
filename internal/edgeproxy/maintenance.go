package edgeproxy

import (
	"sync"
	"sync/atomic"
	"time"
)

// Times of a drain that an operator requests. The load balancer notices it within 0.1 s, and new clients arrive for
// 0.2 s more; clients continue to use the connections that they have.
const (
	evictionInterval   = 50 * time.Millisecond
	evictionDelay      = 600 * time.Millisecond  // from the call to the first evictions; no new client arrives any more
	evictionIdleTime   = 1 * time.Second         // minimum idle time of evicted connections after evictionDelay
	evictAllDelay      = 1700 * time.Millisecond // from the call to the eviction of every idle connection
	evictionSilentTime = 400 * time.Millisecond  // minimum age of evicted connections without any request
)

// maintenance is the state of a drain that an operator requested: the node is not ready, each response closes its
// connection, and idle connections are evicted until the node returns to service.
type maintenance struct {
	isOutOfService atomic.Bool // changes under mu

	mu  sync.Mutex
	end chan struct{} // closed by returnToService; nil while the node is in service
}

// maintenanceEviction returns how long a connection has to be idle to be evicted, given the time since the call, and
// whether any is evicted. Before evictionDelay none is evicted, because the response to the next request on a
// connection closes it without loss. Then connections that have been idle for evictionIdleTime are evicted, and from
// evictAllDelay on all idle ones.
func maintenanceEviction(sinceCall time.Duration) (minIdle time.Duration, evicts bool) {
	switch {
	case sinceCall < evictionDelay:
		return 0, false
	case sinceCall < evictAllDelay:
		return evictionIdleTime, true
	default:
		return 0, true
	}
}

// takeOutOfService starts to drain the node, until returnToService is called. It does not wait until all clients have
// disconnected. A second call has no effect.
func (s *clientServer) takeOutOfService() {
	s.maintenance.mu.Lock()
	defer s.maintenance.mu.Unlock()
	if s.maintenance.end != nil {
		return
	}
	end := make(chan struct{})
	s.maintenance.end = end
	s.maintenance.isOutOfService.Store(true)
	s.node.logger.Info("out of service")
	s.node.spawn(func() { s.evictClients(end) })
}

// evictClients evicts idle connections until end is closed or the node's context ends.
func (s *clientServer) evictClients(end <-chan struct{}) {
	startedAt := time.Now()
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-s.node.ctx.Done():
			return
		case <-ticker.C:
		}
		minIdle, evicts := maintenanceEviction(time.Since(startedAt))
		if !evicts {
			continue
		}
		for _, c := range s.limiter.evictIdle(minIdle, evictionSilentTime) {
			c.Conn.Close()
		}
	}
}

// returnToService ends the drain that takeOutOfService started: the node is ready again.
func (s *clientServer) returnToService() {
	s.maintenance.mu.Lock()
	defer s.maintenance.mu.Unlock()
	if s.maintenance.end == nil {
		return
	}
	close(s.maintenance.end)
	s.maintenance.end = nil
	s.maintenance.isOutOfService.Store(false)
	s.node.logger.Info("in service")
}
