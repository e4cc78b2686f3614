package policy

import (
	"time"
)

const idleConnectionTimeout = 10 * time.Second // a connection idle for so long may have been closed

// recordConnectFailure takes in a connection that did not come up: the process may have restarted.
func (s *server) recordConnectFailure(now time.Duration) {
	if len(s.connectFailures) == maxConnectFailures {
		s.connectFailures = s.connectFailures[:maxConnectFailures-1]
	}
	s.connectFailures = append(s.connectFailures, now)
	s.connectFailedAt = now
}

// confirmUpSince takes in that the process has been up since a time: connections that failed from then on
// were no sign of a restart.
func (s *server) confirmUpSince(at time.Duration) {
	n := len(s.connectFailures)
	for n > 0 && s.connectFailures[n-1] >= at {
		n--
	}
	if n == len(s.connectFailures) {
		return
	}
	s.connectFailures = s.connectFailures[:n]
	if s.connectFailedAt = 0; n > 0 {
		s.connectFailedAt = s.connectFailures[n-1]
	}
}

// maxConnectFailures is the most failed connections that are remembered of a server.
const maxConnectFailures = 8

// hasIdleConnection tells whether a connection to the server should stand open and idle.
func (s *server) hasIdleConnection(now time.Duration) bool {
	return s.expectedConnections > s.inFlight && now-s.lastUsedAt < idleConnectionTimeout
}
