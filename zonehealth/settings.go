package zonehealth

import "time"

// Settings determine how much evidence is needed to declare a zone down.
type Settings struct {
	// DownThreshold is the total weight of evidence at which a zone is down. A failed attempt of the node
	// itself weighs 1.
	DownThreshold float64
	// SlowAttemptWeight is the weight of an attempt that has been waiting for long.
	SlowAttemptWeight float64
	// PeerReportWeight is the weight of a peer's report of an unresponsive server.
	PeerReportWeight float64
	// EvidenceTTL is the age from which evidence no longer counts.
	EvidenceTTL time.Duration
	// MinSilence is how long a zone must have been silent before it can be down.
	MinSilence time.Duration
	// MinSilenceByPeers takes the place of MinSilence if all evidence comes from peers.
	MinSilenceByPeers time.Duration
}

// DefaultSettings are for nodes that receive responses from each zone several times per second. A zone is down after
// failures or long waits at two servers, a failure and a peer's report, a long wait and two peers' reports, or three
// peers' reports.
var DefaultSettings = Settings{
	DownThreshold:     1.4,
	SlowAttemptWeight: 0.7,
	PeerReportWeight:  0.5,
	EvidenceTTL:       3 * time.Second,
	MinSilence:        200 * time.Millisecond,
	MinSilenceByPeers: time.Second,
}
