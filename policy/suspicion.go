package policy

import (
	"cmp"
	"slices"
	"time"

	"mulleinmux/policy/quota"
	"mulleinmux/zonehealth"
)

const (
	freshEvidenceAge = 500 * time.Millisecond // younger evidence of this node overrides findings of peers
	findingTTL       = 2 * time.Second        // how long a finding is valid

	// zoneSuspicionTTL is how long the servers of a zone are suspected after an evaluation that finds the zone down.
	zoneSuspicionTTL = 2 * sampleInterval
)

// failureDetector detects servers that have failed or are unreachable, which the endpoint list shows much later. It
// uses unanswered messages, the findings of peers as in SWIM, and evidence on whole zones. Findings of peers and zones
// are used only by nodes with a subset: a node that uses all servers detects the failure of each soon enough by itself.
type failureDetector struct {
	settings *Settings
	servers  *serverTable
	subset   *serverSubset

	zones    *zonehealth.Detector
	findings []quota.Finding // recent findings of this node, for the next messages to peers

	newlyDown []string // zones newly found down by the evaluation in progress
}

// recordAttempt records whether a server responded to an attempt. It returns the event to log if the server has become
// responsive or unresponsive, else nil.
func (d *failureDetector) recordAttempt(now time.Duration, s *server, outcome AttemptResult) LogEvent {
	switch outcome.Result {
	case OK, RejectedByServer, ErrorResponse:
		s.clearConnectFailuresSince(outcome.ConnectedAt)
		s.lastProgressAt = now
		return d.recordResponse(now, s)
	case TimedOut, ConnectFailed:
		return d.recordNoResponse(now, s, now-outcome.Latency)
	}
	return nil
}

// recordNoResponse records that a server did not respond to an attempt or health check sent at sentAt. If it has sent
// no other response since then, the server is marked as unresponsive. Until it responds, it gets no retries or hedged
// requests, and first attempts only if all other servers that can serve them are ejected or unresponsive as well.
// Without health checks, which would detect that the server is up again, no server is marked. A server that pauses for
// as long as the timeout of a health check is marked although it has not failed. recordNoResponse returns the event to
// log if the server was responsive before, else nil.
func (d *failureDetector) recordNoResponse(now time.Duration, s *server, sentAt time.Duration) LogEvent {
	if !d.settings.usesHealthChecks() || s.lastResponseAt >= sentAt {
		return nil
	}
	if !d.subset.usesAllServers() {
		d.zones.ObserveFailure(s.Zone, uint64(s.gossipID), sentAt, now)
	}
	if s.isUnresponsive {
		return nil
	}
	s.isUnresponsive = true
	d.addFinding(quota.Finding{ServerID: s.gossipID, IsUp: false, FoundAt: now})
	return ServerUnresponsive{Server: s.ID}
}

// recordResponse records that a server sent a response of any kind, and thus is up. It returns the event to log if the
// server was unresponsive before, else nil.
func (d *failureDetector) recordResponse(now time.Duration, s *server) (change LogEvent) {
	if s.isUnresponsive {
		s.isUnresponsive = false
		s.resetEjection()
		d.addFinding(quota.Finding{ServerID: s.gossipID, IsUp: true, FoundAt: now})
		change = ServerResponsive{Server: s.ID}
	}
	s.lastResponseAt = now
	s.suspectedUntil = 0
	if !d.subset.usesAllServers() {
		d.zones.ObserveResponse(s.Zone, now)
	}
	return change
}

// recordConnectFailure treats a failed connection as a sign that the server's process has restarted and is warming up,
// which the endpoint list shows much later. A connection reset is not treated so: where connections break one by one,
// all servers would count as cold. It reports whether the server needs a health check at once: connections also fail at
// servers that are up, and the check or a response on an older connection corrects the assumption.
func (d *failureDetector) recordConnectFailure(now time.Duration, s *server) (needsCheck bool) {
	s.recordConnectFailure(now)
	return d.settings.usesHealthChecks() && s.acceptsRequests() && !s.awaitsFailedConnectCheck(now)
}

// addFinding adds a finding to those for the next messages to peers. It replaces older findings on the same server.
func (d *failureDetector) addFinding(finding quota.Finding) {
	if d.subset.usesAllServers() {
		return
	}
	d.findings = slices.DeleteFunc(d.findings, func(f quota.Finding) bool {
		return f.ServerID == finding.ServerID || hasExpired(f, finding.FoundAt)
	})
	d.findings = append(d.findings, finding)
	if len(d.findings) > quota.MaxFindings {
		d.findings = d.findings[1:]
	}
}

// hasExpired reports whether a finding of this node is no longer valid.
func hasExpired(f quota.Finding, now time.Duration) bool { return now-f.FoundAt >= findingTTL }

// currentFindings returns this node's findings that have not expired.
func (d *failureDetector) currentFindings(now time.Duration) []quota.Finding {
	d.findings = slices.DeleteFunc(d.findings, func(f quota.Finding) bool { return hasExpired(f, now) })
	return d.findings
}

// receiveFinding handles a peer's finding that a server is unresponsive or responds again. It ignores findings on
// servers outside this node's subset. It returns the servers that need a health check at once, which gives this node
// evidence of its own.
func (d *failureDetector) receiveFinding(now time.Duration, from int, finding quota.Finding) (toCheck []*server) {
	if d.subset.usesAllServers() {
		return nil
	}
	for _, s := range d.subset.members {
		if s.gossipID != finding.ServerID {
			continue
		}
		d.observeZoneFinding(now, s, from, finding)
		isDue := now-s.lastHealthCheckAt >= freshEvidenceAge && d.settings.AllowsHealthChecks
		if d.recordPeerFinding(now, s, from, finding) && isDue {
			toCheck = append(toCheck, s)
		}
	}
	return toCheck
}

// recordPeerFinding records a peer's finding, and reports whether the finding is confirmed: two peers have made it, and
// it contradicts this node's view of the server. The finding of a single peer changes nothing about the server. If a
// confirmed finding is that the server is down, the server is suspected: it gets no requests while others of the subset
// can serve them. Such a finding is not confirmed if this node has fresh evidence that the server is up, nor once half
// of the subset is suspected: a faulty node or link cannot empty the subset. If the finding may be about another
// server, which has the same gossip ID, the server is not suspected.
func (d *failureDetector) recordPeerFinding(now time.Duration, s *server, from int, finding quota.Finding) bool {
	reports := &s.downReports
	if finding.IsUp {
		reports = &s.upReports
	}
	if isSecond := reports.add(from, now); !isSecond || s.isUnresponsive != finding.IsUp {
		return false
	}
	if finding.IsUp {
		return true
	}
	hasFreshEvidence := now-s.lastResponseAt < freshEvidenceAge
	if hasFreshEvidence || 2*d.subset.suspectedCount(now) >= len(d.subset.members) {
		return false
	}
	if !d.servers.hasGossipIDTwice(s.gossipID) {
		s.suspectedUntil = now + findingTTL
	}
	return true
}

// observeZoneFinding passes a peer's finding on a server to the failure detector of zones.
func (d *failureDetector) observeZoneFinding(now time.Duration, s *server, from int, finding quota.Finding) {
	if finding.IsUp {
		d.zones.ObservePeerResponse(s.Zone, from, now)
	} else {
		d.zones.ObservePeerFailure(s.Zone, uint64(s.gossipID), from, now)
	}
}

// updateZones evaluates each zone, with the unanswered attempts as evidence. It suspects the servers of zones that are
// down: they get no requests while others can serve them, and do not count in the in-flight bound. It returns the zones
// that have just been found down.
func (d *failureDetector) updateZones(now time.Duration, unanswered []unansweredAttempt) (newlyDown []string) {
	if d.subset.usesAllServers() {
		return nil
	}
	slices.SortStableFunc(unanswered, func(a, b unansweredAttempt) int { // reproducible, unlike a map's order
		return cmp.Compare(a.requestNumber, b.requestNumber)
	})
	for _, a := range unanswered {
		d.zones.ObserveSlowAttempt(a.zone, uint64(a.server.gossipID), a.sentAt, now)
	}
	isDown := map[string]bool{} // by zone
	for _, s := range d.subset.members {
		if _, isKnown := isDown[s.Zone]; !isKnown {
			isDown[s.Zone] = d.evaluateZone(now, s.Zone)
		}
		if isDown[s.Zone] {
			s.suspectedUntil = max(s.suspectedUntil, now+zoneSuspicionTTL)
		}
	}
	d.zones.RetainZones(isDown)
	newlyDown, d.newlyDown = d.newlyDown, nil
	return newlyDown
}

// evaluateZone reports whether a zone is down, and adds it to newlyDown if it was not down before.
func (d *failureDetector) evaluateZone(now time.Duration, zone string) bool {
	isDown, isNew := d.zones.Evaluate(zone, now)
	if isNew {
		d.newlyDown = append(d.newlyDown, zone)
	}
	return isDown
}

// suspicionReports holds the latest reports of one finding by up to two peers. Invariant: the peers differ.
type suspicionReports struct {
	from       [2]int           // index of the peer
	reportedAt [2]time.Duration // clock reading; 0: no report
}

// add records a peer's report, and reports whether another peer sent the same finding within findingTTL.
func (r *suspicionReports) add(from int, now time.Duration) bool {
	i := r.indexFor(from)
	r.from[i] = from
	r.reportedAt[i] = now
	other := r.reportedAt[1-i]
	return other != 0 && r.from[1-i] != from && now-other < findingTTL
}

// indexFor returns the index at which to store a peer's report: that of the peer's last report, an unused one, or that
// of the older report.
func (r *suspicionReports) indexFor(from int) int {
	if r.reportedAt[0] == 0 || r.from[0] == from {
		return 0
	}
	if r.from[1] == from || r.reportedAt[1] < r.reportedAt[0] {
		return 1
	}
	return 0
}
