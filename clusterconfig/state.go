// Package fleetconfig is the configuration that the instances of a gateway agree on: a
// state machine whose entries are proposals of operators, applied in one order by all.
// It does no I/O; package raftnode brings the order.
//
// Invariant: the state is a function of the entries applied, in their order. [State.Apply]
// therefore reads no clock and iterates no map in its own order, and what it refuses, it
// refuses everywhere alike.
package clusterconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Tree holds objects by "kind/name". It is persistent: trees of one version after the other share what did not change.
type Tree = iradix.Tree[json.RawMessage]

// Format is the newest format of entries and snapshots that this program knows.
const Format = 3

// formatOf is the oldest format that knows a kind: older programs in a cluster go on until the
// first entry that they could not read.
func formatOf(kind string) byte {
	switch kind {
	case "lost":
		return 2
	case "follower", "epoch":
		return 3
	}
	return 1
}

// FormatForKey is the oldest format that knows the kind of an object, by its key "kind/name".
func FormatForKey(key string) int {
	kind, _, _ := strings.Cut(key, "/")
	return int(formatOf(kind))
}

// Bounds.
const (
	MaxProposalBytes = 12 << 20 // bytes of an encoded proposal
	maxChanges       = 10_000   // in one proposal
	keptIDs          = 10_000   // request ids that are remembered, the oldest forgotten first
	keptHistory      = 2_000    // versions whose history is kept
	maxPlaces        = 1_000    // plans that were ever put
)

// Errors.
var (
	// ErrNewerFormat says that an entry or a snapshot was written by a newer program. To
	// go on would drop what it says.
	ErrNewerFormat = errors.New("written in a newer format than this program knows: update it")
	// ErrMalformed says that an entry or a snapshot can't be read.
	ErrMalformed = errors.New("malformed")
)

// Change puts or removes one object.
type Change struct {
	Op    string          `json:"op"` // "put" or "remove"
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"` // of a put
}

// NewPutChange is the change that puts an object. It panics on a value that JSON can't hold, which
// none of this package's kinds is.
func NewPutChange(kind, name string, value any) Change {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("fleetconfig: %s %s: %v", kind, name, err))
	}
	return Change{Op: "put", Kind: kind, Name: name, Value: text}
}

// Proposal is what an operator asks for: all of its changes take place, or none.
type Proposal struct {
	ID           string   `json:"id"`             // of the request: a repeated one is applied once
	BaseVersion  *uint64  `json:"base,omitempty"` // the version that the changes were made against; nil: any
	Author       string   `json:"author,omitempty"`
	Reason       string   `json:"why,omitempty"`
	ProposedAtMs int64    `json:"at_ms,omitempty"` // when it was proposed, by the proposer's clock; decides nothing
	Changes      []Change `json:"changes"`
}

// Outcome is what became of a proposal.
type Outcome struct {
	Version         uint64 `json:"version"`           // in force after it
	IsApplied       bool   `json:"applied"`           // the version is the proposal's own
	RejectionReason string `json:"refused,omitempty"` // why not
}

// HistoryRecord is one version in the history.
type HistoryRecord struct {
	Version      uint64   `json:"version"`
	ID           string   `json:"id"`
	Author       string   `json:"author,omitempty"`
	Reason       string   `json:"why,omitempty"`
	ProposedAtMs int64    `json:"at_ms,omitempty"`
	Changes      []string `json:"changes"` // such as "put plan kubwa"
	Hash         string   `json:"hash"`    // of the chain after it
}

// Validator checks a description against the classes and the limit of units in force. It
// must be a function of its arguments alone.
type Validator func(file, text string, classes []Class, mostUnits int) error

// State is the agreed configuration. It is not safe for concurrent use.
type State struct {
	validate Validator
	version  uint64
	hash     [sha256.Size]byte // of all entries so far, refused ones too
	objects  *Tree             // replaced by each change
	homes    uint64            // version of the last change of a hall or a follower
	places   []string          // of plans, in the order in which they were first put
	outcomes map[string]Outcome
	ids      []string // of outcomes, the oldest first
	history  []HistoryRecord
}

// New returns an empty state at version 0.
func New(v Validator) *State {
	return &State{validate: v, objects: iradix.New[json.RawMessage](), outcomes: map[string]Outcome{}}
}

// Version is the version in force; 0: nothing has been applied.
func (s *State) Version() uint64 { return s.version }

// Hash is the hash of the chain of all entries so far, in hex. Two states with the same
// hash have applied the same entries in the same order.
func (s *State) Hash() string { return hex.EncodeToString(s.hash[:]) }

// History is the records kept, the oldest first.
func (s *State) History() []HistoryRecord { return slices.Clone(s.kept()) }

func (s *State) kept() []HistoryRecord { return s.history[max(len(s.history)-keptHistory, 0):] }

// Outcome is what became of a proposal, as long as its id is remembered.
func (s *State) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes[id]
	return o, ok
}

// Get returns an object's value, or false.
func (s *State) Get(kind, name string) (json.RawMessage, bool) {
	return s.objects.Get(key(kind, name))
}

// Tree is the agreed objects. Nobody may change a value in it.
func (s *State) Tree() *Tree { return s.objects }

// NewFrozenState is a configuration as [State.Freeze] returns it, from what was told of one: its version, hash, places and epoch
// of homes, and its objects.
func NewFrozenState(version, homes uint64, hash string, places []string, objects *Tree) (*State, error) {
	s := &State{version: version, homes: homes, places: places, objects: objects, outcomes: map[string]Outcome{}}
	if n, err := hex.Decode(s.hash[:], []byte(hash)); err != nil || n != len(s.hash) || len(hash) != 2*n {
		return nil, fmt.Errorf("hash: %w", ErrMalformed)
	}
	return s, nil
}

// PlanOrder are the names of all plans that were ever put, removed ones too, in an order that
// is the same at all instances and in which none moves: instances name plans to each other
// by their place.
func (s *State) PlanOrder() []string { return slices.Clone(s.places) }

// PlacementVersion is the version of the last change of a hall: an epoch of homes.
func (s *State) PlacementVersion() uint64 { return s.homes }

// Freeze returns the configuration as it is now, without the history and the outcomes of
// proposals. It stays as it is while s goes on, and may be read by others.
func (s *State) Freeze() *State {
	return &State{validate: s.validate, version: s.version, hash: s.hash, objects: s.objects, places: slices.Clone(s.places), homes: s.homes, outcomes: map[string]Outcome{}}
}

// Each calls f for each object of a kind, by name.
func (s *State) Each(kind string, f func(name string, value json.RawMessage)) {
	each(s.objects, kind, f)
}

func each(objects *Tree, kind string, f func(name string, value json.RawMessage)) {
	objects.Root().WalkPrefix(key(kind, ""), func(k []byte, v json.RawMessage) bool {
		f(string(k[len(kind)+1:]), v)
		return false
	})
}

func key(kind, name string) []byte { return []byte(kind + "/" + name) }

// EncodeProposal words a proposal as an entry.
func EncodeProposal(p *Proposal) ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("proposal: %w", err)
	}
	if len(text) > MaxProposalBytes {
		return nil, fmt.Errorf("proposal: %d bytes: %d are the most", len(text), MaxProposalBytes)
	}
	format := byte(1)
	for _, c := range p.Changes {
		format = max(format, formatOf(c.Kind))
	}
	return append([]byte{format}, text...), nil
}

// decode reads an entry.
func decode(entry []byte) (*Proposal, error) {
	if len(entry) == 0 || entry[0] == 0 {
		return nil, ErrMalformed
	}
	if entry[0] > Format {
		return nil, ErrNewerFormat
	}
	var p Proposal
	if err := strict(entry[1:], &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return &p, nil
}

func strict(text []byte, to any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(to); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("something follows")
	}
	return nil
}

// Check tells what a proposal would come to now. It changes nothing: it is asked before a
// proposal goes out, and Apply asks again.
func (s *State) Check(p *Proposal) error {
	_, err := s.try(p)
	return err
}

// ChangesPlacement tells whether an entry may change homes of keys once it is applied. One that can't be read may.
func ChangesPlacement(entry []byte) bool {
	if !bytes.Contains(entry, []byte(`"hall"`)) && !bytes.Contains(entry, []byte(`"lost"`)) && !bytes.Contains(entry, []byte(`"follower"`)) {
		return false // a description may be long: it is read once, when it is applied
	}
	p, err := decode(entry)
	return err != nil || slices.ContainsFunc(p.Changes, func(c Change) bool { return c.movesHomes() })
}

// movesHomes counts followers as well, though no key's home goes by them: one that comes or goes is an instance more or
// less whose word on keys is to be waited for.
func (c *Change) movesHomes() bool {
	return c.Kind == "hall" || c.Kind == "lost" || c.Kind == "follower"
}

// Apply applies the next entry. An error means that the entry can't be read: the state is
// as it was, and the instance must stop, since others may have read it.
func (s *State) Apply(entry []byte) (id string, o Outcome, err error) {
	p, err := decode(entry)
	if err != nil {
		return "", Outcome{}, err
	}
	if before, ok := s.outcomes[p.ID]; ok {
		return p.ID, before, nil // repeated: its answer was lost
	}
	objects, err := s.try(p)
	s.chain(entry, err == nil)
	if err != nil {
		o = Outcome{Version: s.version, RejectionReason: err.Error()}
	} else {
		s.version++
		s.objects = objects
		for _, c := range p.Changes {
			if c.movesHomes() {
				s.homes = s.version
			}
			if c.Op == "put" && c.Kind == "plan" && !slices.Contains(s.places, c.Name) {
				s.places = append(s.places, c.Name)
			}
		}
		o = Outcome{Version: s.version, IsApplied: true}
		r := HistoryRecord{Version: s.version, ID: p.ID, Author: p.Author, Reason: p.Reason, ProposedAtMs: p.ProposedAtMs, Hash: s.Hash()}
		for _, c := range p.Changes {
			r.Changes = append(r.Changes, c.Op+" "+c.Kind+" "+c.Name)
		}
		if s.history = append(s.history, r); len(s.history) >= 2*keptHistory {
			s.history = slices.Clone(s.kept()) // now and then: not for each version
		}
	}
	s.outcomes[p.ID] = o
	if s.ids = append(s.ids, p.ID); len(s.ids) > keptIDs {
		delete(s.outcomes, s.ids[0])
		s.ids = s.ids[1:]
	}
	return p.ID, o, nil
}

func (s *State) chain(entry []byte, applied bool) {
	h := sha256.New()
	h.Write(s.hash[:])
	h.Write(entry)
	if applied {
		h.Write([]byte{1})
	}
	h.Sum(s.hash[:0])
}

// try returns the objects as a proposal would leave them, or why it is refused.
func (s *State) try(p *Proposal) (*Tree, error) {
	switch {
	case p.ID == "" || len(p.ID) > 200:
		return nil, errors.New("id: 1 to 200 bytes are wanted")
	case len(p.Changes) == 0:
		return nil, errors.New("changes: none")
	case len(p.Changes) > maxChanges:
		return nil, fmt.Errorf("changes: %d are the most", maxChanges)
	case p.BaseVersion != nil && *p.BaseVersion != s.version:
		return nil, fmt.Errorf("base: version %d is in force, not %d: look at what changed and propose again", s.version, *p.BaseVersion)
	}
	next := s.objects.Txn()
	touched := map[string]bool{} // kinds and objects
	for i, c := range p.Changes {
		at := fmt.Sprintf("changes[%d] (%s %s %s)", i, c.Op, c.Kind, c.Name)
		if c.Name == "" || len(c.Name) > 200 || strings.ContainsAny(c.Name, "/\n\x00") {
			return nil, fmt.Errorf("%s: name: 1 to 200 bytes without a slash are wanted", at)
		}
		kind, ok := kinds[c.Kind]
		if !ok {
			return nil, fmt.Errorf("%s: kind: one of %s is wanted", at, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
		}
		k := key(c.Kind, c.Name)
		touched[c.Kind], touched[string(k)] = true, true
		switch c.Op {
		case "put":
			value, err := kind(c.Value)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", at, err)
			}
			if before, there := next.Get(k); there && c.Kind == "lost" && sameLoss(before, value) {
				return nil, fmt.Errorf("%s: it is so already", at)
			}
			next.Insert(k, value)
		case "remove":
			if _, ok := next.Delete(k); !ok {
				return nil, fmt.Errorf("%s: there is none", at)
			}
			if c.Kind == "hall" {
				next.Delete(key("lost", c.Name))
			}
		default:
			return nil, fmt.Errorf("%s: op: put or remove is wanted", at)
		}
	}
	if touched["plan"] && s.newPlaces(p) > maxPlaces {
		return nil, fmt.Errorf("changes: more than %d plans were ever put: put one that was removed anew, under its name", maxPlaces)
	}
	objects := next.Commit()
	return objects, s.consistent(objects, touched)
}

// sameLoss tells whether two values of a lost hall differ in their words alone.
func sameLoss(a, b json.RawMessage) bool {
	var x, y LostSite
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && x.RecoveredEighths == y.RecoveredEighths
}

// newPlaces counts the places that there would be.
func (s *State) newPlaces(p *Proposal) int {
	all := map[string]bool{}
	for _, name := range s.places {
		all[name] = true
	}
	for _, c := range p.Changes {
		if c.Op == "put" && c.Kind == "plan" {
			all[c.Name] = true
		}
	}
	return len(all)
}

// snapshot is the form of a snapshot.
type snapshot struct {
	Format   int                        `json:"format"`
	Version  uint64                     `json:"version"`
	Hash     string                     `json:"hash"`
	Objects  map[string]json.RawMessage `json:"objects"`
	Places   []string                   `json:"places"`
	Homes    uint64                     `json:"homes"`
	IDs      []string                   `json:"ids"`
	Outcomes []Outcome                  `json:"outcomes"` // in the order of IDs
	History  []HistoryRecord            `json:"history"`
}

// Snapshot words the state. The same state gives the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	format, objects := byte(1), make(map[string]json.RawMessage, s.objects.Len())
	s.objects.Root().Walk(func(k []byte, v json.RawMessage) bool {
		kind, _, _ := strings.Cut(string(k), "/")
		format, objects[string(k)] = max(format, formatOf(kind)), v
		return false
	})
	snap := snapshot{Format: int(format), Version: s.version, Hash: s.Hash(), Objects: objects, Places: s.places, Homes: s.homes, IDs: s.ids, History: s.kept()}
	for _, id := range s.ids {
		snap.Outcomes = append(snap.Outcomes, s.outcomes[id])
	}
	return json.Marshal(snap)
}

// Restore replaces the state by a snapshot's. With an error the state is as it was.
func (s *State) Restore(text []byte) error {
	var form struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if form.Format > Format {
		return fmt.Errorf("snapshot: format %d: %w", form.Format, ErrNewerFormat)
	}
	var snap snapshot
	if err := strict(text, &snap); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	hash, err := hex.DecodeString(snap.Hash)
	if err != nil || len(hash) != sha256.Size || len(snap.IDs) != len(snap.Outcomes) || form.Format < 1 {
		return fmt.Errorf("snapshot: %w", ErrMalformed)
	}
	*s = State{validate: s.validate, version: snap.Version, places: snap.Places, homes: snap.Homes, outcomes: map[string]Outcome{}, ids: snap.IDs, history: snap.History}
	copy(s.hash[:], hash)
	objects := iradix.New[json.RawMessage]().Txn()
	for k, v := range snap.Objects {
		objects.Insert([]byte(k), v)
	}
	s.objects = objects.Commit()
	for i, id := range snap.IDs {
		s.outcomes[id] = snap.Outcomes[i]
	}
	return nil
}
