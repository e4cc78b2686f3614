package clusterconfig

import (
	"encoding/json"
	"fmt"
)

// Limits of a proposal.
const (
	// MaxProposalBytes is the maximum length of an encoded proposal.
	MaxProposalBytes = 12 << 20

	maxChanges     = 10_000
	maxIDBytes     = 200
	maxNameBytes   = 200
	forbiddenNames = "/\n\x00" // characters that no object's name contains
)

// Operations of a [Change].
const (
	OpPut    = "put"
	OpRemove = "remove"
)

// Change puts or removes one object.
type Change struct {
	Op    string          `json:"op"` // OpPut or OpRemove
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"` // of a put
}

// NewPutChange returns the change that puts an object. It panics on a value that JSON cannot represent; all types of
// this package can be.
func NewPutChange(kind, name string, value any) Change {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("clusterconfig: %s %s: %v", kind, name, err))
	}
	return Change{Op: OpPut, Kind: kind, Name: name, Value: text}
}

// summary returns the change without its value, such as "put plan kubwa".
func (c *Change) summary() string { return c.Op + " " + c.Kind + " " + c.Name }

// Proposal is a set of changes by an operator or an instance: all of them are applied, or none.
type Proposal struct {
	ID           string   `json:"id"`             // of the proposal: a repeat with the same ID has no further effect
	BaseVersion  *uint64  `json:"base,omitempty"` // the version that the changes were made against; nil: any
	Author       string   `json:"author,omitempty"`
	Reason       string   `json:"why,omitempty"`
	ProposedAtMs int64    `json:"at_ms,omitempty"` // by the proposer's clock, in Unix milliseconds; informational
	Changes      []Change `json:"changes"`
}

// EncodeProposal returns a proposal as a log entry, in the oldest format that contains all of its changes. It returns
// an error if the entry would be longer than [MaxProposalBytes].
func EncodeProposal(p *Proposal) ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("proposal: %w", err)
	}
	if len(text) > MaxProposalBytes {
		return nil, fmt.Errorf("proposal: %d bytes: %d are the most", len(text), MaxProposalBytes)
	}
	format := byte(formatInitial)
	for _, c := range p.Changes {
		format = max(format, formatForKind(c.Kind))
	}
	return append([]byte{format}, text...), nil
}

// decodeProposal decodes a log entry. The error wraps [ErrMalformed] or [ErrNewerFormat].
func decodeProposal(entry []byte) (*Proposal, error) {
	if len(entry) == 0 || entry[0] == 0 {
		return nil, ErrMalformed
	}
	if entry[0] > Format {
		return nil, ErrNewerFormat
	}
	var p Proposal
	if err := decodeStrict(entry[1:], &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return &p, nil
}
