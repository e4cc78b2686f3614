package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Limits of a proposal.
const (
	// MaxProposalBytes is the maximum length of an encoded proposal.
	MaxProposalBytes = 12 << 20

	maxChanges         = 10_000
	maxIDBytes         = 200
	maxNameBytes       = 200
	forbiddenNameChars = "/\n\x00" // keys are "kind/name"
)

// Change puts or removes one object.
type Change struct {
	Op    string          `json:"op"` // [OpPut] or [OpRemove]
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"` // JSON value of a put
}

// NewPutChange returns a change that puts an object. It panics if the value cannot be encoded as JSON; values of this
// package's object types always can.
func NewPutChange(kind, name string, value any) Change {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("clusterconfig: cannot encode value of %s %s: %v", kind, name, err))
	}
	return Change{Op: OpPut, Kind: kind, Name: name, Value: text}
}

// summary returns the change without its value, such as "put plan kubwa".
func (c *Change) summary() string { return c.Op + " " + c.Kind + " " + c.Name }

// canonicalizer returns the function that checks and encodes the change's value, or why the change's name or kind is
// rejected.
func (c *Change) canonicalizer() (canonicalizer, error) {
	if c.Name == "" || len(c.Name) > maxNameBytes || strings.ContainsAny(c.Name, forbiddenNameChars) {
		return nil, fmt.Errorf("name: 1 to %d bytes without a slash are wanted", maxNameBytes)
	}
	canonicalize, ok := canonicalizers[c.Kind]
	if !ok {
		return nil, fmt.Errorf("kind: one of %s is wanted", strings.Join(Kinds(), ", "))
	}
	return canonicalize, nil
}

// Proposal is a set of changes by an operator or an instance. Either all of them are applied or none.
type Proposal struct {
	ID           string   `json:"id"`             // a repeated proposal with the same ID has no further effect
	BaseVersion  *uint64  `json:"base,omitempty"` // version that the changes were made against; nil for any
	Author       string   `json:"author,omitempty"`
	Reason       string   `json:"why,omitempty"`
	ProposedAtMs int64    `json:"at_ms,omitempty"` // Unix milliseconds by the proposer's clock; informational only
	Changes      []Change `json:"changes"`
}

// check returns why a proposal is rejected regardless of its individual changes, or nil. current is the version in
// force. A proposal made against another version is rejected, so that it does not overwrite changes that its author has
// not seen.
func (p *Proposal) check(current uint64) error {
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes:
		return fmt.Errorf("id: 1 to %d bytes are wanted", maxIDBytes)
	case len(p.Changes) == 0:
		return errors.New("changes: none")
	case len(p.Changes) > maxChanges:
		return fmt.Errorf("changes: %d are the most", maxChanges)
	case p.BaseVersion != nil && *p.BaseVersion != current:
		const text = "base: version %d is in force, not %d: look at what changed and propose again"
		return fmt.Errorf(text, current, *p.BaseVersion)
	}
	return nil
}

// EncodeProposal encodes a proposal as a log entry, in the oldest format that supports all of its changes. It returns
// an error if the encoded proposal is longer than [MaxProposalBytes].
func EncodeProposal(p *Proposal) ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("proposal: %w", err)
	}
	if len(text) > MaxProposalBytes {
		return nil, fmt.Errorf("proposal: %d bytes exceed the maximum of %d", len(text), MaxProposalBytes)
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
