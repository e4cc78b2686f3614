// Package clusterconfig implements the replicated configuration of a cluster of gateways as a state machine. Its log
// entries are proposals, which all members apply in the same order. The package does no I/O; package raftnode
// replicates the log.
//
// Invariant: the state is a function of the applied entries and their order. [State.Apply] therefore reads no clock and
// does not depend on the iteration order of maps. A proposal is rejected by all members or none, with the same text.
package clusterconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Tree holds objects by their key, "kind/name". It is a persistent data structure: successive versions share unchanged
// objects.
type Tree = iradix.Tree[json.RawMessage]

// Validator checks an OpenAPI description against the classes and the limit of units. Its result must depend only on
// its arguments.
type Validator func(file, text string, classes []Class, maxUnits int) error

// State is the replicated configuration. It is not safe for concurrent use.
type State struct {
	validate         Validator
	version          uint64
	hash             [sha256.Size]byte // hash chain of all entries so far, including rejected ones
	objects          *Tree             // replaced by each commit, never modified
	placementVersion uint64            // version of the last change that may have moved keys
	placementBefore  placementBefore   // not replicated
	planOrder        planOrder
	outcomes         outcomeLog
	history          history
}

// New returns an empty state at version 0. A nil validator accepts all descriptions.
func New(v Validator) *State {
	return &State{validate: v, objects: iradix.New[json.RawMessage](), outcomes: newOutcomeLog()}
}

// NewFrozenState returns a state like that of [State.Freeze] from its parts. The hash must have the form of
// [State.Hash]; otherwise the error wraps [ErrMalformed].
func NewFrozenState(version, placementVersion uint64, hash string, plans []string, objects *Tree) (*State, error) {
	s := &State{
		version:          version,
		objects:          objects,
		placementVersion: placementVersion,
		planOrder:        plans,
		outcomes:         newOutcomeLog(),
	}
	if len(hash) != hex.EncodedLen(len(s.hash)) { // hex.Decode panics if s.hash is too short
		return nil, fmt.Errorf("hash of %d digits: %w", len(hash), ErrMalformed)
	}
	if _, err := hex.Decode(s.hash[:], []byte(hash)); err != nil {
		return nil, fmt.Errorf("hash: %w", ErrMalformed)
	}
	return s, nil
}

// Freeze returns a copy of the state without the history and the outcomes of proposals. Later changes to s do not
// affect the copy, and it may be read concurrently.
func (s *State) Freeze() *State {
	return &State{
		validate:         s.validate,
		version:          s.version,
		hash:             s.hash,
		objects:          s.objects,
		placementVersion: s.placementVersion,
		placementBefore:  s.placementBefore,
		planOrder:        slices.Clone(s.planOrder),
		outcomes:         newOutcomeLog(),
	}
}

// Version returns the version in force, or 0 if no proposal has been applied.
func (s *State) Version() uint64 { return s.version }

// Hash returns the hash chain of all entries so far, in hex. Two states with the same hash have processed the same
// entries in the same order.
func (s *State) Hash() string { return hex.EncodeToString(s.hash[:]) }

// History returns the retained history, oldest first.
func (s *State) History() []HistoryRecord { return slices.Clone(s.history.latest()) }

// Outcome returns the outcome of the proposal with an ID. It returns false if the ID is unknown or the outcome no
// longer retained.
func (s *State) Outcome(id string) (Outcome, bool) { return s.outcomes.get(id) }

// Get returns the value of an object, or false if the object does not exist.
func (s *State) Get(kind, name string) (json.RawMessage, bool) {
	return s.objects.Get(objectKey(kind, name))
}

// Tree returns all objects. The values must not be modified.
func (s *State) Tree() *Tree { return s.objects }

// Each calls f for each object of a kind, in the order of their names.
func (s *State) Each(kind string, f func(name string, value json.RawMessage)) {
	forEachObject(s.objects, kind, f)
}
