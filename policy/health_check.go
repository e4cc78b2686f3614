package policy

import (
	"math"
	"slices"
	"time"
)

const (
	healthChecksPerForward       = 0.5             // maximum number of health checks per request forwarded
	subsetHealthChecksPerForward = 0.17            // the same with a subset, where several nodes check each server
	unresponsiveCheckLead        = 3 * time.Second // an unresponsive server is checked earlier by this time
	healthCheckExpiry            = 2 * time.Second // a result counts as lost then; hosts time checks out much earlier
)

// sentHealthCheck is a health check whose result has not been received.
type sentHealthCheck struct {
	sentAt             time.Duration
	isForFailedConnect bool // see [failureDetector.recordConnectFailure]
}

// healthChecker selects the server of each scheduled health check, and limits the checks to a fraction of the requests
// forwarded, since they have a price and cause work at the servers. Invariant: 0 <= credit <= 1, where 1 is one check.
type healthChecker struct {
	settings *Settings
	subset   *serverSubset
	credit   float64
}

// nextServer returns the server to be checked after a sample, or nil: the one whose last check is the oldest, if the
// credit suffices. The credit grows with the number of requests forwarded in the sample.
func (h *healthChecker) nextServer(forwarded float64) *server {
	checksPerForward, lead := healthChecksPerForward, time.Duration(0)
	if !h.subset.usesAllServers() {
		checksPerForward, lead = subsetHealthChecksPerForward, unresponsiveCheckLead
	}
	h.addCredit(forwarded * checksPerForward)
	if !h.settings.usesHealthChecks() || len(h.subset.members) == 0 || !h.spendCredit() {
		return nil
	}
	return longestUnchecked(h.subset.members, lead)
}

// send sends a health check to a server.
func (h *healthChecker) send(now time.Duration, s *server, actions Actions) {
	s.recordHealthCheck(sentHealthCheck{sentAt: now})
	actions.CheckHealth(s.ID)
}

// sendForFailedConnect sends a health check to a server to which a connection has just failed.
func (h *healthChecker) sendForFailedConnect(now time.Duration, s *server, actions Actions) {
	s.recordHealthCheck(sentHealthCheck{sentAt: now, isForFailedConnect: true})
	actions.CheckHealth(s.ID)
}

// recordHealthCheck records that a health check is sent to the server.
func (s *server) recordHealthCheck(check sentHealthCheck) {
	s.expireHealthChecks(check.sentAt)
	s.checksInFlight = append(s.checksInFlight, check)
	s.lastHealthCheckAt = check.sentAt
}

// endHealthCheck removes the health check that a result is taken for: the oldest in flight. It returns the zero value
// if there is none.
func (s *server) endHealthCheck(now time.Duration) (ended sentHealthCheck) {
	s.expireHealthChecks(now)
	if len(s.checksInFlight) > 0 {
		ended, s.checksInFlight = s.checksInFlight[0], s.checksInFlight[1:]
	}
	return ended
}

// awaitsFailedConnectCheck reports whether a health check that a failed connection has caused is in flight.
func (s *server) awaitsFailedConnectCheck(now time.Duration) bool {
	s.expireHealthChecks(now)
	return slices.ContainsFunc(s.checksInFlight, func(check sentHealthCheck) bool { return check.isForFailedConnect })
}

// expireHealthChecks removes the health checks whose results count as lost.
func (s *server) expireHealthChecks(now time.Duration) {
	expired := 0
	for expired < len(s.checksInFlight) && now-s.checksInFlight[expired].sentAt >= healthCheckExpiry {
		expired++
	}
	s.checksInFlight = s.checksInFlight[expired:]
}

// addCredit adds checks to the credit.
func (h *healthChecker) addCredit(checks float64) { h.credit = math.Min(h.credit+checks, 1) }

// spendCredit spends the credit of one check, and reports whether there was enough.
func (h *healthChecker) spendCredit() bool {
	if h.credit < 1 {
		return false
	}
	h.credit = 0
	return true
}

// longestUnchecked returns the server whose last check is the oldest, or nil. The last check of an unresponsive server
// counts as older by the lead. Ties are broken at random, since server selection shuffles the servers.
func longestUnchecked(servers []*server, lead time.Duration) *server {
	var next *server
	var nextCheckedAt time.Duration
	for _, s := range servers {
		if !s.acceptsRequests() {
			continue
		}
		checkedAt := s.lastHealthCheckAt
		if s.isUnresponsive {
			checkedAt -= lead
		}
		if next == nil || checkedAt < nextCheckedAt {
			next, nextCheckedAt = s, checkedAt
		}
	}
	return next
}
