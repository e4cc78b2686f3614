package policy

import (
	"slices"
	"time"
)

// serverFinding is a node's evidence of a server: that it is unresponsive, or that it responds again.
type serverFinding struct {
	serverID uint16 // gossipID of the server
	isUp     bool
	foundAt  time.Duration // clock reading; only of own findings
}

// maxFindings limits the findings of a message, to the latest ones.
const maxFindings = 4

// addFinding adds a finding to the next messages to peers.
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

// suspectedCount returns the number of servers in the subset that this node or its peers consider down.
func (e *Engine) suspectedCount() (n int) {
	for _, s := range e.subset.members {
		n += boolToInt(s.isSuspected(e.now))
	}
	return n
}

// suspicionReports holds the last reports of one finding by two peers. Invariant: the peers differ.
type suspicionReports struct {
	from       [2]int           // index of the peer
	reportedAt [2]time.Duration // clock reading; 0: no report
}

// add records a peer's report, and returns whether another peer made the same one within findingTTL.
func (r *suspicionReports) add(from int, now time.Duration) bool {
	i := r.indexFor(from)
	r.from[i] = from
	r.reportedAt[i] = now
	other := r.reportedAt[1-i]
	return other != 0 && r.from[1-i] != from && now-other < findingTTL
}

// indexFor returns the index for a peer's report: that of its last one, a free one, or that of the older report.
func (r *suspicionReports) indexFor(from int) int {
	if r.reportedAt[0] == 0 || r.from[0] == from {
		return 0
	}
	if r.from[1] == from || r.reportedAt[1] < r.reportedAt[0] {
		return 1
	}
	return 0
}
