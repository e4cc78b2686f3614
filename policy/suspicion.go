package policy

import (
	"slices"
	"time"
)

// serverFinding is what a node found out of a server: that it is unresponsive, or that it responds again.
type serverFinding struct {
	serverID uint16
	isUp     bool
	foundAt  time.Duration // of an own finding
}

// maxFindings is how many findings a message holds at most: the latest.
const maxFindings = 4

// addFinding keeps a finding for the next messages to peers.
func (e *Engine) addFinding(finding serverFinding) {
	if e.usesAllServers() {
		return
	}
	e.findings = slices.DeleteFunc(e.findings, func(f serverFinding) bool {
		return f.serverID == finding.serverID || e.now-f.foundAt >= findingTTL
	})
	e.findings = append(e.findings, finding)
	if len(e.findings) > maxFindings {
		e.findings = e.findings[1:]
	}
}

// suspectedCount counts the servers of the subset that are held to be down, by this node or by its peers.
func (e *Engine) suspectedCount() (n int) {
	for _, s := range e.subset.members {
		n += boolToInt(s.isSuspected(e.now))
	}
	return n
}

// suspicionReports are the two peers that reported one finding of a server last. Invariant: they differ.
type suspicionReports struct {
	from       [2]int
	reportedAt [2]time.Duration // 0: none
}

// confirms takes in a peer's report, and reports whether another peer made the same of late.
func (r *suspicionReports) confirms(from int, now time.Duration) bool {
	i := r.placeFor(from)
	r.from[i], r.reportedAt[i] = from, now
	other := r.reportedAt[1-i]
	return other != 0 && r.from[1-i] != from && now-other < findingTTL
}

// placeFor returns the place of a peer's report: its own, or the free or older one.
func (r *suspicionReports) placeFor(from int) int {
	if r.reportedAt[0] == 0 || r.from[0] == from {
		return 0
	}
	if r.from[1] == from || r.reportedAt[1] < r.reportedAt[0] {
		return 1
	}
	return 0
}
