package configstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"mulleinmux/clusterconfig"
)

// ErrCorrupt reports that the version built from a body does not have the digest in the body's reference, or that a
// body or a digest is invalid.
var ErrCorrupt = errors.New("content does not match the digest of its version")

// Estimated encoding overheads in [Body.Size], in bytes.
const (
	bodyOverhead   = 100
	objectOverhead = 8
	nameOverhead   = 4
)

// Object is one object of a body.
type Object struct {
	Key   string          `json:"Key"` // "kind/name"
	Value json.RawMessage `json:"Value"`
}

// Body is the content of a version, either complete or as the difference from a base version. It is shared by pushes
// and must not be modified.
type Body struct {
	Ref
	Base             *Ref     `json:"Base"`   // base of the difference; nil if the body is complete
	Format           int      `json:"Format"` // oldest format that can represent all objects in Put
	Hash             string   `json:"Hash"`
	PlacementVersion uint64   `json:"Homes"`
	PlanOrder        []string `json:"Places"` // all names, or those appended since the base
	Put              []Object `json:"Put"`
	Removed          []string `json:"Removed"` // keys of the base's objects that the version does not contain
}

// Size estimates the length of the encoded body in bytes.
func (b *Body) Size() int {
	size := bodyOverhead
	for _, o := range b.Put {
		size += len(o.Key) + len(o.Value) + objectOverhead
	}
	for _, key := range b.Removed {
		size += len(key) + nameOverhead
	}
	for _, name := range b.PlanOrder {
		size += len(name) + nameOverhead
	}
	return size
}

// Body returns the difference from base to v, or the complete content if base is nil.
func (v *Version) Body(base *Version) *Body {
	b := &Body{
		Ref:              v.Ref,
		Format:           1,
		Hash:             v.Hash,
		PlacementVersion: v.PlacementVersion,
		PlanOrder:        v.PlanOrder,
	}
	from := iradix.New[json.RawMessage]()
	if base != nil {
		from = base.Tree
		ref := base.Ref
		b.Base = &ref
		b.PlanOrder = v.PlanOrder[min(len(base.PlanOrder), len(v.PlanOrder)):]
	}
	forEachDifference(from, v.Tree, func(key []byte, _, current json.RawMessage) {
		if current == nil {
			b.Removed = append(b.Removed, string(key))
			return
		}
		b.Put = append(b.Put, Object{string(key), current})
		b.Format = max(b.Format, clusterconfig.FormatForKey(string(key)))
	})
	return b
}

// Build returns the version that a body describes. If the body is a difference, base must be the version that it refers
// to as its base. The error wraps [ErrCorrupt].
func (b *Body) Build(base *Version) (*Version, error) {
	v := &Version{Ref: b.Ref, Hash: b.Hash, PlacementVersion: b.PlacementVersion, PlanOrder: b.PlanOrder}
	tree := iradix.New[json.RawMessage]()
	if b.Base != nil {
		if base == nil || base.Ref != *b.Base {
			return nil, fmt.Errorf("base version %v is not available: %w", *b.Base, ErrCorrupt)
		}
		tree, v.objectsDigest = base.Tree, base.objectsDigest
		v.PlanOrder = slices.Concat(base.PlanOrder, b.PlanOrder)
	}
	txn := tree.Txn()
	for _, o := range b.Put {
		old, _ := txn.Insert([]byte(o.Key), o.Value)
		v.objectsDigest.replace([]byte(o.Key), old, o.Value)
	}
	for _, key := range b.Removed {
		old, ok := txn.Delete([]byte(key))
		if !ok {
			return nil, fmt.Errorf("removed object %s is not in the base version: %w", key, ErrCorrupt)
		}
		v.objectsDigest.replace([]byte(key), old, nil)
	}
	v.Tree = txn.Commit()
	v.setDigest()
	if v.Digest != b.Digest {
		return nil, ErrCorrupt
	}
	return v, nil
}
