package clusterconfig

import "slices"

// Limits on the retained state of past proposals.
const (
	maxOutcomes = 10_000 // outcomes, by which repeated proposals are recognized
	maxHistory  = 2_000  // history records
)

// Outcome is the result of a proposal.
type Outcome struct {
	Version         uint64 `json:"version"`           // version in force after the proposal
	IsApplied       bool   `json:"applied"`           // whether the proposal made that version
	RejectionReason string `json:"refused,omitempty"` // empty if the proposal was applied
}

// outcomeLog retains the outcomes of the latest proposals, so that a repeated proposal is not applied again.
//
// Invariant: order contains each key of byID once, oldest first, and at most maxOutcomes keys.
type outcomeLog struct {
	byID  map[string]Outcome
	order []string
}

func newOutcomeLog() outcomeLog { return outcomeLog{byID: map[string]Outcome{}} }

func (l *outcomeLog) get(id string) (Outcome, bool) {
	o, ok := l.byID[id]
	return o, ok
}

// add adds the outcome of a proposal and drops the oldest outcome beyond maxOutcomes. The ID must not be in the log.
func (l *outcomeLog) add(id string, o Outcome) {
	l.byID[id] = o
	l.order = append(l.order, id)
	if len(l.order) > maxOutcomes {
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

// HistoryRecord describes the proposal that made a version.
type HistoryRecord struct {
	Version      uint64   `json:"version"`
	ID           string   `json:"id"` // ID of the proposal
	Author       string   `json:"author,omitempty"`
	Reason       string   `json:"why,omitempty"`
	ProposedAtMs int64    `json:"at_ms,omitempty"`
	Changes      []string `json:"changes"` // summaries such as "put plan kubwa"
	Hash         string   `json:"hash"`    // hash chain up to the version
}

func newHistoryRecord(p *Proposal, version uint64, hash string) HistoryRecord {
	r := HistoryRecord{
		Version:      version,
		ID:           p.ID,
		Author:       p.Author,
		Reason:       p.Reason,
		ProposedAtMs: p.ProposedAtMs,
		Hash:         hash,
	}
	for _, c := range p.Changes {
		r.Changes = append(r.Changes, c.summary())
	}
	return r
}

// history retains the records of the latest maxHistory versions, oldest first. It may hold up to as many older records,
// since dropping them in bulk is cheaper than one at a time.
type history struct {
	records []HistoryRecord
}

func (h *history) add(r HistoryRecord) {
	h.records = append(h.records, r)
	if len(h.records) >= 2*maxHistory {
		h.records = slices.Clone(h.latest())
	}
}

// latest returns the latest maxHistory records, oldest first. The slice is not a copy.
func (h *history) latest() []HistoryRecord { return h.records[max(len(h.records)-maxHistory, 0):] }
