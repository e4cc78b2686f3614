package clusterconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// snapshot is the encoded form of a [State].
type snapshot struct {
	Format           int                        `json:"format"`
	Version          uint64                     `json:"version"`
	Hash             string                     `json:"hash"`
	Objects          map[string]json.RawMessage `json:"objects"`
	PlanOrder        []string                   `json:"places"`
	PlacementVersion uint64                     `json:"homes"`
	OutcomeIDs       []string                   `json:"ids"`
	Outcomes         []Outcome                  `json:"outcomes"` // in the order of OutcomeIDs
	History          []HistoryRecord            `json:"history"`
}

// Snapshot encodes the state in the oldest format that supports all of its objects. Equal states have equal encodings.
// The error is that of the encoder.
func (s *State) Snapshot() ([]byte, error) {
	format := byte(formatInitial)
	objects := make(map[string]json.RawMessage, s.objects.Len())
	s.objects.Root().Walk(func(key []byte, value json.RawMessage) bool {
		kind, _ := splitKey(string(key))
		format = max(format, formatForKind(kind))
		objects[string(key)] = value
		return false
	})
	snap := snapshot{
		Format:           int(format),
		Version:          s.version,
		Hash:             s.Hash(),
		Objects:          objects,
		PlanOrder:        s.planOrder,
		PlacementVersion: s.placementVersion,
		OutcomeIDs:       s.outcomes.order,
		History:          s.history.latest(),
	}
	for _, id := range s.outcomes.order {
		snap.Outcomes = append(snap.Outcomes, s.outcomes.byID[id])
	}
	return json.Marshal(snap)
}

// Restore replaces the state with that of a snapshot. On an error, which wraps [ErrMalformed] or [ErrNewerFormat], the
// state is unchanged.
func (s *State) Restore(text []byte) error {
	snap, hash, err := decodeSnapshot(text)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	txn := iradix.New[json.RawMessage]().Txn()
	for key, value := range snap.Objects {
		txn.Insert([]byte(key), value)
	}
	outcomes := newOutcomeLog()
	outcomes.order = snap.OutcomeIDs
	for i, id := range snap.OutcomeIDs {
		outcomes.byID[id] = snap.Outcomes[i]
	}
	*s = State{
		validate:         s.validate,
		version:          snap.Version,
		hash:             hash,
		objects:          txn.Commit(),
		placementVersion: snap.PlacementVersion,
		planOrder:        snap.PlanOrder,
		outcomes:         outcomes,
		history:          history{snap.History},
	}
	return nil
}

// decodeSnapshot decodes a snapshot and its hash. It decodes the format first, since newer formats may have other
// fields.
func decodeSnapshot(text []byte) (snap *snapshot, hash [sha256.Size]byte, err error) {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return nil, hash, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if header.Format > Format {
		return nil, hash, fmt.Errorf("format %d: %w", header.Format, ErrNewerFormat)
	}
	snap = &snapshot{}
	if err := decodeStrict(text, snap); err != nil {
		return nil, hash, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	sum, err := hex.DecodeString(snap.Hash)
	isComplete := len(sum) == len(hash) && len(snap.OutcomeIDs) == len(snap.Outcomes)
	if err != nil || !isComplete || header.Format < formatInitial {
		return nil, hash, ErrMalformed
	}
	copy(hash[:], sum)
	return snap, hash, nil
}
