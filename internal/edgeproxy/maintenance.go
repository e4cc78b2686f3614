package edgeproxy

import (
	"time"
)

// A drain by an operator's word: the node is no longer ready and each answer closes its
// connection. The front notices within 0.1 s and clients still come for 0.2 s more; they go
// on using the connections that they have. So idle ones stay open for the next request at
// first, which loses nothing; then those that nobody used go, and soon the rest.
const (
	evictionInterval   = 50 * time.Millisecond
	evictionDelay      = 600 * time.Millisecond  // from the word; no new client comes any more
	evictionIdleTime   = 1 * time.Second         // idle for so long goes from then on
	evictAllDelay      = 1700 * time.Millisecond // every idle connection goes from then on: a request that still came
	evictionSilentTime = 400 * time.Millisecond  // on one would keep the node from being empty
)

// takeOutOfService takes the node out of service until enter. It does not wait for the node to be
// empty; a second call changes nothing.
func (s *clientServer) takeOutOfService() {
	s.maintenanceMu.Lock()
	defer s.maintenanceMu.Unlock()
	if s.maintenanceEnd != nil {
		return
	}
	end := make(chan struct{})
	s.maintenanceEnd = end
	s.isOutOfService.Store(true)
	s.node.log.Printf("out of service")
	s.node.spawn(func() {
		began, tick := time.Now(), time.NewTicker(evictionInterval)
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-s.node.ctx.Done():
				return
			case <-tick.C:
			}
			idle := evictionIdleTime
			switch age := time.Since(began); {
			case age < evictionDelay:
				continue
			case age >= evictAllDelay:
				idle = 0
			}
			for _, c := range s.limiter.evictIdle(idle, evictionSilentTime) {
				c.Conn.Close()
			}
		}
	})
}

// returnToService ends a drain: the node is ready again.
func (s *clientServer) returnToService() {
	s.maintenanceMu.Lock()
	defer s.maintenanceMu.Unlock()
	if s.maintenanceEnd == nil {
		return
	}
	close(s.maintenanceEnd)
	s.maintenanceEnd = nil
	s.isOutOfService.Store(false)
	s.node.log.Printf("in service")
}
