package edgeproxy

import (
	"time"
)

// A drain by an operator's call: the node is no longer ready and each response closes its connection. The load
// balancer notices within 0.1 s and new clients come for 0.2 s more; clients go on using the connections that they
// have. So idle connections stay open for the next request at first, which loses nothing; then those that nobody used
// are evicted, and soon the rest. Delays count from the call.
const (
	evictionInterval = 50 * time.Millisecond
	evictionDelay    = 600 * time.Millisecond // no new client comes any more
	evictionIdleTime = 1 * time.Second        // connections idle for so long are evicted from then on

	// From evictAllDelay on every idle connection is evicted: a request that still came on one would keep the node
	// busy.
	evictAllDelay      = 1700 * time.Millisecond
	evictionSilentTime = 400 * time.Millisecond // connections silent for so long are evicted
)

// takeOutOfService drains the node until returnToService. It does not wait until no client is left; a second call
// changes nothing.
func (s *clientServer) takeOutOfService() {
	s.maintenanceMu.Lock()
	defer s.maintenanceMu.Unlock()
	if s.maintenanceEnd != nil {
		return
	}
	end := make(chan struct{})
	s.maintenanceEnd = end
	s.isOutOfService.Store(true)
	s.node.logger.Info("out of service")
	s.node.spawn(func() { s.evictClients(end) })
}

// evictClients evicts idle clients until end is closed or the node ends.
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
		minIdle := evictionIdleTime
		switch age := time.Since(startedAt); {
		case age < evictionDelay:
			continue
		case age >= evictAllDelay:
			minIdle = 0
		}
		for _, c := range s.limiter.evictIdle(minIdle, evictionSilentTime) {
			c.Conn.Close()
		}
	}
}

// returnToService ends a drain by takeOutOfService: the node is ready again.
func (s *clientServer) returnToService() {
	s.maintenanceMu.Lock()
	defer s.maintenanceMu.Unlock()
	if s.maintenanceEnd == nil {
		return
	}
	close(s.maintenanceEnd)
	s.maintenanceEnd = nil
	s.isOutOfService.Store(false)
	s.node.logger.Info("in service")
}
