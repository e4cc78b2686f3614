package policy

import (
	"slices"
	"time"
)

const (
	idleConnectionTimeout = 10 * time.Second // idle time after which a connection may have been closed
	maxConnectFailures    = 8                // failed connections that are recorded per server
)

// recordConnectFailure records that a connection could not be established: the server process may have restarted. At
// the limit the first failure is kept and the next one dropped: a response on a connection that is older than the
// latest failures must not clear the record of a restart before it.
func (s *server) recordConnectFailure(now time.Duration) {
	if len(s.connectFailures) >= maxConnectFailures {
		s.connectFailures = slices.Delete(s.connectFailures, 1, 2)
	}
	s.connectFailures = append(s.connectFailures, now)
	s.connectFailedAt = now
}

// clearConnectFailuresSince removes the failed connections recorded at or after a clock reading. The server process is
// known to have been running since then, so that they are no sign of a restart. A reading of 0 means that this is not
// known, and removes nothing.
func (s *server) clearConnectFailuresSince(upSince time.Duration) {
	if upSince <= 0 {
		return
	}
	kept := len(s.connectFailures)
	for kept > 0 && s.connectFailures[kept-1] >= upSince {
		kept--
	}
	if kept == len(s.connectFailures) {
		return
	}
	s.connectFailures = s.connectFailures[:kept]
	s.connectFailedAt = 0
	if kept > 0 {
		s.connectFailedAt = s.connectFailures[kept-1]
	}
}

// hasIdleConnection reports whether a connection to the server is expected to be open and idle.
func (s *server) hasIdleConnection(now time.Duration) bool {
	return s.expectedConnections > s.inFlight && now-s.lastUsedAt < idleConnectionTimeout
}

// recordConnectionUse records that an attempt starts to use a connection.
func (s *server) recordConnectionUse(now time.Duration) {
	if !s.hasIdleConnection(now) {
		s.expectedConnections = s.inFlight + 1
	}
}

// recordConnectionEnd records how the attempt on a connection ended.
func (s *server) recordConnectionEnd(now time.Duration, result Result) {
	switch result {
	case OK, RejectedByServer, ErrorResponse:
		s.lastUsedAt = now
	case TimedOut, ConnectFailed:
		s.expectedConnections = 0 // the host closes the idle connections as well
	default:
		s.expectedConnections = max(s.expectedConnections-1, 0)
	}
}

// recordHealthCheckAnswer records a response to a health check, which uses a connection of its own.
func (s *server) recordHealthCheckAnswer(now time.Duration) {
	s.expectedConnections = max(s.expectedConnections, s.inFlight+1)
	s.lastUsedAt = now
}
