package clusterconfig

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Check returns why a proposal would be rejected now, or nil. It changes nothing. It is meant for use before a proposal
// is replicated; [State.Apply] checks it again.
func (s *State) Check(p *Proposal) error {
	_, err := s.preview(p)
	return err
}

// Apply applies the next log entry and returns the ID of its proposal with the outcome. A proposal whose ID was
// applied before gets the same outcome again. An error, which wraps [ErrMalformed] or [ErrNewerFormat], means that the
// entry cannot be decoded: the state is unchanged, and the member must stop, since others may have decoded it.
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

// extendHash extends the hash chain by an entry and whether it was applied.
func (s *State) extendHash(entry []byte, isApplied bool) {
	h := sha256.New()
	h.Write(s.hash[:])
	h.Write(entry)
	if isApplied {
		h.Write([]byte{1})
	}
	h.Sum(s.hash[:0])
}

// commit makes the objects the next version. The hash chain must include the proposal already.
func (s *State) commit(p *Proposal, objects *Tree) {
	s.version++
	s.objects = objects
	for _, c := range p.Changes {
		if c.changesPlacement() {
			s.placementVersion = s.version
		}
		if c.addsPlan() && !slices.Contains(s.planOrder, c.Name) {
			s.planOrder = append(s.planOrder, c.Name)
		}
	}
	s.history.add(newHistoryRecord(p, s.version, s.Hash()))
}

// preview returns the objects after a proposal, or why it is rejected.
func (s *State) preview(p *Proposal) (*Tree, error) {
	if err := s.checkProposal(p); err != nil {
		return nil, err
	}
	txn := s.objects.Txn()
	touched := touchedSet{}
	for i, c := range p.Changes {
		if err := applyChange(txn, &c, touched); err != nil {
			return nil, fmt.Errorf("changes[%d] (%s): %w", i, c.summary(), err)
		}
	}
	if touched.hasKind(KindPlan) && s.planCountAfter(p) > maxPlans {
		const text = "changes: more than %d plans were ever put: put one that was removed anew, under its name"
		return nil, fmt.Errorf(text, maxPlans)
	}
	objects := txn.Commit()
	return objects, s.checkReferences(objects, touched)
}

// checkProposal checks a proposal without its changes.
func (s *State) checkProposal(p *Proposal) error {
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes:
		return errors.New("id: 1 to 200 bytes are wanted")
	case len(p.Changes) == 0:
		return errors.New("changes: none")
	case len(p.Changes) > maxChanges:
		return fmt.Errorf("changes: %d are the most", maxChanges)
	case p.BaseVersion != nil && *p.BaseVersion != s.version:
		const text = "base: version %d is in force, not %d: look at what changed and propose again"
		return fmt.Errorf(text, s.version, *p.BaseVersion)
	}
	return nil
}

// applyChange checks a change by itself, applies it to the transaction and adds it to the touched objects.
func applyChange(txn *iradix.Txn[json.RawMessage], c *Change, touched touchedSet) error {
	if c.Name == "" || len(c.Name) > maxNameBytes || strings.ContainsAny(c.Name, forbiddenNames) {
		return errors.New("name: 1 to 200 bytes without a slash are wanted")
	}
	canonicalize, ok := canonicalizers[c.Kind]
	if !ok {
		return fmt.Errorf("kind: one of %s is wanted", strings.Join(Kinds(), ", "))
	}
	key := objectKey(c.Kind, c.Name)
	touched.add(c.Kind, key)
	switch c.Op {
	case OpPut:
		value, err := canonicalize(c.Value)
		if err != nil {
			return err
		}
		before, exists := txn.Get(key)
		if exists && c.Kind == KindLostSite && isSameLoss(before, value) {
			return errors.New("it is so already")
		}
		txn.Insert(key, value)
	case OpRemove:
		if _, ok := txn.Delete(key); !ok {
			return errors.New("there is none")
		}
		if c.Kind == KindSite {
			txn.Delete(objectKey(KindLostSite, c.Name))
		}
	default:
		return errors.New("op: put or remove is wanted")
	}
	return nil
}

// isSameLoss reports whether two values of a [LostSite] differ in nothing but their reason.
func isSameLoss(a, b json.RawMessage) bool {
	var x, y LostSite
	isReadable := json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil
	return isReadable && x.RecoveredEighths == y.RecoveredEighths
}

// touchedSet contains the kinds and the keys of the objects that a proposal changes. All keys contain a slash, and no
// kind does.
type touchedSet map[string]bool

func (t touchedSet) add(kind string, key []byte) {
	t[kind] = true
	t[string(key)] = true
}

func (t touchedSet) hasKind(kind string) bool { return t[kind] }

func (t touchedSet) hasKey(key string) bool { return t[key] }
