package policy

import (
	"slices"
	"time"
)

// serverFinding is what a gateway found out of a server: that it is silent, or that it answers again.
type serverFinding struct {
	serverID uint16
	isUp     bool
	foundAt  time.Duration // of its own notes: when
}

// maxFindings is the most notes in a message, the latest of those kept.
const maxFindings = 4

// addFinding keeps a finding for the next messages to peers.
func (e *Engine) addFinding(s *server, up bool) {
	if e.usesAllServers() {
		return
	}
	e.findings = slices.DeleteFunc(e.findings, func(f serverFinding) bool {
		return f.serverID == s.gossipID || e.now-f.foundAt >= findingTTL
	})
	e.findings = append(e.findings, serverFinding{s.gossipID, up, e.now})
	if len(e.findings) > maxFindings {
		e.findings = e.findings[1:]
	}
}

// suspectedCount counts the servers of the part that are silent to this gateway or, as peers say, to them.
func (e *Engine) suspectedCount() (n int) {
	for _, s := range e.subset.members {
		n += boolToInt(s.isSuspected(e.now))
	}
	return n
}

// suspicionReports are the two peers that said something last.
type suspicionReports struct {
	from       [2]int
	reportedAt [2]time.Duration
}

// confirms takes in that a peer says it, and tells whether another one did so of late.
func (v *suspicionReports) confirms(from int, now time.Duration) bool {
	k := 0
	if v.reportedAt[0] != 0 && v.from[0] != from && (v.from[1] == from || v.reportedAt[1] < v.reportedAt[0]) {
		k = 1
	}
	v.from[k], v.reportedAt[k] = from, now
	other := v.reportedAt[1-k]
	return other != 0 && v.from[1-k] != from && now-other < findingTTL
}
