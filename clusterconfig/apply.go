package clusterconfig

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Check returns why a proposal would be rejected in the current state, or nil. It does not modify the state. Callers
// use it before a proposal is replicated; [State.Apply] checks the proposal again.
func (s *State) Check(p *Proposal) error {
	_, err := s.preview(p)
	return err
}

// Apply applies the next log entry and returns the ID of its proposal with the outcome. A proposal whose ID is that of
// an earlier entry has no effect and the same outcome as that entry. An error, which wraps [ErrMalformed] or
// [ErrNewerFormat], means that the entry cannot be decoded. The state is unchanged then, and the member must stop,
// since others may have decoded the entry.
func (s *State) Apply(entry []byte) (id string, o Outcome, err error) {
	p, err := decodeProposal(entry)
	if err != nil {
		return "", Outcome{}, err
	}
	if before, ok := s.outcomes.get(p.ID); ok {
		return p.ID, before, nil
	}
	objects, rejection := s.preview(p)
	s.extendHash(entry, rejection == nil)
	if rejection != nil {
		o = Outcome{Version: s.version, RejectionReason: rejection.Error()}
	} else {
		s.commit(p, objects)
		o = Outcome{Version: s.version, IsApplied: true}
	}
	s.outcomes.add(p.ID, o)
	return p.ID, o, nil
}

// extendHash extends the hash chain by an entry and by whether it was applied.
func (s *State) extendHash(entry []byte, isApplied bool) {
	h := sha256.New()
	h.Write(s.hash[:])
	h.Write(entry)
	if isApplied {
		h.Write([]byte{1})
	}
	h.Sum(s.hash[:0])
}

// commit makes the objects the next version. The hash chain must already include the proposal's entry.
func (s *State) commit(p *Proposal, objects *Tree) {
	s.version++
	s.objects = objects
	if slices.ContainsFunc(p.Changes, func(c Change) bool { return c.changesPlacement() }) {
		s.changePlacement()
	}
	for _, c := range p.Changes {
		if c.addsPlan() {
			s.planOrder = s.planOrder.withName(c.Name)
		}
	}
	s.history.add(newHistoryRecord(p, s.version, s.Hash()))
}

// preview returns the objects as they would be after a proposal, or why the proposal is rejected.
func (s *State) preview(p *Proposal) (*Tree, error) {
	if err := p.check(s.version); err != nil {
		return nil, err
	}
	txn := s.objects.Txn()
	touched := touchedSet{}
	for i, c := range p.Changes {
		if err := applyChange(txn, &c, touched); err != nil {
			return nil, fmt.Errorf("changes[%d] (%s): %w", i, c.summary(), err)
		}
	}
	if err := s.planOrder.checkGrowth(p.Changes); err != nil {
		return nil, err
	}
	objects := txn.Commit()
	return objects, s.checkReferences(objects, touched)
}

// applyChange applies a change to the transaction and adds the changed object to touched. It returns why the change is
// rejected on its own, without regard to references between objects.
func applyChange(txn *iradix.Txn[json.RawMessage], c *Change, touched touchedSet) error {
	canonicalize, err := c.canonicalizer()
	if err != nil {
		return err
	}
	key := objectKey(c.Kind, c.Name)
	touched.add(c.Kind, key)
	switch c.Op {
	case OpPut:
		value, err := canonicalize(c.Value)
		if err != nil {
			return err
		}
		return putObject(txn, c, key, value)
	case OpRemove:
		return removeObject(txn, c, key)
	default:
		return errors.New("op: put or remove is wanted")
	}
}

// putObject puts an object. A site's loss is rejected if the same loss is already recorded: several instances propose
// each loss, and only one proposal must make a version.
func putObject(txn *iradix.Txn[json.RawMessage], c *Change, key []byte, value json.RawMessage) error {
	before, exists := txn.Get(key)
	if exists && c.Kind == KindLostSite && isSameLoss(before, value) {
		return errors.New("it is so already")
	}
	txn.Insert(key, value)
	return nil
}

// removeObject removes an object, which must exist. With a site it also removes the record of the site's loss.
func removeObject(txn *iradix.Txn[json.RawMessage], c *Change, key []byte) error {
	if _, ok := txn.Delete(key); !ok {
		return errors.New("there is none")
	}
	if c.Kind == KindSite {
		txn.Delete(objectKey(KindLostSite, c.Name))
	}
	return nil
}

// isSameLoss reports whether two [LostSite] values are equal except for their reasons.
func isSameLoss(a, b json.RawMessage) bool {
	var x, y LostSite
	isReadable := json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil
	return isReadable && x.RecoveredEighths == y.RecoveredEighths
}

// touchedSet is the set of kinds and keys of the objects that a proposal changes. They cannot be confused: every key
// contains a slash, and no kind does.
type touchedSet map[string]bool

func (t touchedSet) add(kind string, key []byte) {
	t[kind] = true
	t[string(key)] = true
}

func (t touchedSet) hasKind(kind string) bool { return t[kind] }

func (t touchedSet) hasKey(key string) bool { return t[key] }
