package policy

import (
	"time"
)

const idleConnectionTimeout = 10 * time.Second // a connection idle for so long may have been closed

// maxConnectFailures is how many failed connections are remembered of a server.
const maxConnectFailures = 8

// recordConnectFailure takes in a connection that did not come up: the process may have restarted.
func (s *server) recordConnectFailure(now time.Duration) {
	if len(s.connectFailures) == maxConnectFailures {
		s.connectFailures = s.connectFailures[:maxConnectFailures-1]
	}
	s.connectFailures = append(s.connectFailures, now)
	s.connectFailedAt = now
}

// confirmUpSince takes in that the process has been up since a time, if one is told: connections that failed
// from then on were no sign of a restart.
func (s *server) confirmUpSince(at time.Duration) {
	if at <= 0 {
		return
	}
	n := len(s.connectFailures)
	for n > 0 && s.connectFailures[n-1] >= at {
		n--
	}
	if n == len(s.connectFailures) {
		return
	}
	s.connectFailures = s.connectFailures[:n]
	s.connectFailedAt = 0
	if n > 0 {
		s.connectFailedAt = s.connectFailures[n-1]
	}
}

// hasIdleConnection reports whether a connection to the server should be open and idle.
func (s *server) hasIdleConnection(now time.Duration) bool {
	return s.expectedConnections > s.inFlight && now-s.lastUsedAt < idleConnectionTimeout
}

// connectionUsed takes in that an attempt begins, which needs a connection.
func (s *server) connectionUsed(now time.Duration) {
	if !s.hasIdleConnection(now) {
		s.expectedConnections = s.inFlight + 1
	}
}

// connectionEnded takes in how the attempt on a connection ended.
func (s *server) connectionEnded(now time.Duration, result Result) {
	switch result {
	case OK, RejectedByServer, ErrorResponse:
		s.lastUsedAt = now
	case TimedOut, ConnectFailed:
		s.expectedConnections = 0 // the host closes the idle ones as well
	default:
		s.expectedConnections = max(s.expectedConnections-1, 0)
	}
}

// connectionChecked takes in that a health check was answered, on a connection of its own.
func (s *server) connectionChecked(now time.Duration) {
	s.expectedConnections = max(s.expectedConnections, s.inFlight+1)
	s.lastUsedAt = now
}
