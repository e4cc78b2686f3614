package policy

import (
	"math"
	"time"
)

const (
	healthChecksPerForward       = 0.5             // maximum number of health checks per request forwarded
	subsetHealthChecksPerForward = 0.17            // the same with a subset, where several nodes check each server
	unresponsiveCheckLead        = 3 * time.Second // an unresponsive server is checked earlier by this time
)

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
	s.lastHealthCheckAt = now
	actions.CheckHealth(s.ID)
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
