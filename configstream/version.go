// Package confstream decides how the agreed configuration reaches instances that are no members of the cluster
// ("followers"): what a member pushes to whom ([Publisher]), and what a follower takes ([Follower]). It does no I/O. Hosts
// carry out what it returns; time comes in as an argument and is the time since the process began, so that only durations
// go between machines.
//
// Invariants. No follower puts a version in force that it has refused, or one that is older than one that it had in force,
// across restarts too. A version is in force only after it was checked and kept. What is said of a follower is what it said
// itself, or "unknown".
package configstream

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"mulleinmux/clusterconfig"
)

// Format is the newest form of a version's content that this program knows. It is that of the agreed entries.
const Format = clusterconfig.Format

// Epoch is one control service: see [clusterconfig.Epoch].
type Epoch = clusterconfig.Epoch

// Digest tells contents apart.
type Digest [4]uint64

func (d Digest) String() string {
	var b []byte
	for _, x := range d {
		b = binary.BigEndian.AppendUint64(b, x)
	}
	return hex.EncodeToString(b)
}

// MarshalText words a digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads one back.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != 8*len(d) {
		return fmt.Errorf("digest %q: %w", text, ErrCorrupt)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return nil
}

// Ref names a version.
type Ref struct {
	Epoch  Epoch  `json:"epoch"`
	Number uint64 `json:"number"`
	Digest Digest `json:"digest"`
}

func (r Ref) String() string {
	if r.Epoch.Number == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d of epoch %d", r.Number, r.Epoch.Number)
}

// Order is how a version stands to another one.
type Order int

// Orders.
const (
	OrderSame     Order = iota
	OrderOlder          // of an earlier epoch, or with a lower number in the same
	OrderNewer          // the opposite
	OrderDiverged       // neither: two services say that they are the same one
)

func (o Order) String() string { return [...]string{"same", "older", "newer", "diverged"}[o] }

// Compare tells how r stands to other.
func (r Ref) Compare(other Ref) Order {
	switch {
	case r.Epoch.Number != other.Epoch.Number:
		return either(r.Epoch.Number < other.Epoch.Number)
	case r.Epoch.ID != other.Epoch.ID:
		return OrderDiverged
	case r.Number != other.Number:
		return either(r.Number < other.Number)
	case r.Digest != other.Digest:
		return OrderDiverged
	}
	return OrderSame
}

func either(older bool) Order {
	if older {
		return OrderOlder
	}
	return OrderNewer
}

// Version is one version of the configuration. Nothing in it may be changed.
type Version struct {
	Ref
	Hash             string   // of the chain of entries up to it
	PlacementVersion uint64   // epoch of the homes of keys
	PlanOrder        []string // of plans: see [clusterconfig.State.PlanOrder]
	Tree             *clusterconfig.Tree
	sum              Digest // of the objects alone
}

// NewVersion is the version that a state is. before, if not nil, is an earlier one, whose digest saves work.
func NewVersion(s *clusterconfig.State, before *Version) *Version {
	v := &Version{Ref: Ref{Epoch: s.Epoch(), Number: s.Version()}, Hash: s.Hash(), PlacementVersion: s.PlacementVersion(), PlanOrder: s.PlanOrder(), Tree: s.Tree()}
	empty := iradix.New[json.RawMessage]()
	if before == nil {
		before = &Version{Tree: empty}
	}
	v.sum = before.sum
	diff(before.Tree, v.Tree, func(key []byte, was, is json.RawMessage) { v.sum.replace(key, was, is) })
	v.seal()
	return v
}

// State is the configuration that a version is.
func (v *Version) State() (*clusterconfig.State, error) {
	return clusterconfig.NewFrozenState(v.Number, v.PlacementVersion, v.Hash, v.PlanOrder, v.Tree)
}

// replace has d count one value in place of another; nil is none. The digest of a set is the sum of its members' hashes, so
// that it follows changes without a look at the rest: M. Bellare and D. Micciancio, "A New Paradigm for Collision-Free
// Hashing", 1997 (AdHash). It guards against mistakes; that nobody forges is the connection's part.
func (d *Digest) replace(key []byte, was, is json.RawMessage) {
	for i, value := range []json.RawMessage{was, is} {
		if value == nil {
			continue
		}
		h := sha256.New()
		h.Write(binary.AppendUvarint(nil, uint64(len(key))))
		h.Write(key)
		h.Write(value)
		sum := h.Sum(nil)
		for k := range d {
			x := binary.BigEndian.Uint64(sum[8*k:])
			if i == 0 {
				x = -x
			}
			d[k] += x
		}
	}
}

// seal makes the digest of all from that of the objects.
func (v *Version) seal() {
	v.Digest = v.sum
	head, _ := json.Marshal([]any{v.Epoch, v.Number, v.Hash, v.PlacementVersion, v.PlanOrder}) // plain values: no error
	v.Digest.replace([]byte("\x00head"), nil, head)
}

// diff calls f for each object that differs, in the order of keys; nil stands for none.
func diff(a, b *clusterconfig.Tree, f func(key []byte, was, is json.RawMessage)) {
	if a == b {
		return
	}
	x, y := a.Root().Iterator(), b.Root().Iterator()
	kx, vx, okx := x.Next()
	ky, vy, oky := y.Next()
	for okx || oky {
		order := 0
		switch {
		case !oky:
			order = -1
		case !okx:
			order = 1
		default:
			order = bytes.Compare(kx, ky)
		}
		if order == 0 && !same(vx, vy) {
			f(ky, vx, vy)
		} else if order < 0 {
			f(kx, vx, nil)
		} else if order > 0 {
			f(ky, nil, vy)
		}
		if order <= 0 {
			kx, vx, okx = x.Next()
		}
		if order >= 0 {
			ky, vy, oky = y.Next()
		}
	}
}

// same compares values, most of which are shared by both trees.
func same(a, b json.RawMessage) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}

// Object is one object of a body.
type Object struct {
	Key   string // "kind/name"
	Value json.RawMessage
}

// Body is what makes a version: all of it, or what differs from a base. It is shared by pushes and may not be changed.
type Body struct {
	Ref
	Base             *Ref // nil: it is the whole version
	Format           int  // the oldest that says all of it
	Hash             string
	PlacementVersion uint64
	PlanOrder        []string // all of them, or those that the base lacks
	Put              []Object
	Removed          []string // keys
}

// Size is about the bytes of a body.
func (b *Body) Size() (n int) {
	for _, o := range b.Put {
		n += len(o.Key) + len(o.Value) + 8
	}
	for _, k := range append(slices.Clone(b.Removed), b.PlanOrder...) {
		n += len(k) + 4
	}
	return n + 100
}

// Body returns what makes v of base, or all of v where base is nil.
func (v *Version) Body(base *Version) *Body {
	b := &Body{Ref: v.Ref, Format: 1, Hash: v.Hash, PlacementVersion: v.PlacementVersion, PlanOrder: v.PlanOrder}
	from := iradix.New[json.RawMessage]()
	if base != nil {
		from = base.Tree
		ref := base.Ref
		b.Base = &ref
		b.PlanOrder = v.PlanOrder[min(len(base.PlanOrder), len(v.PlanOrder)):]
	}
	diff(from, v.Tree, func(key []byte, _, is json.RawMessage) {
		if is == nil {
			b.Removed = append(b.Removed, string(key))
			return
		}
		b.Put = append(b.Put, Object{string(key), is})
		b.Format = max(b.Format, clusterconfig.FormatForKey(string(key)))
	})
	return b
}

// ErrCorrupt says that a body does not make the version that it names.
var ErrCorrupt = errors.New("the content does not make the version that it is said to be")

// Build returns the version that a body makes, of base where it has one.
func (b *Body) Build(base *Version) (*Version, error) {
	v := &Version{Ref: b.Ref, Hash: b.Hash, PlacementVersion: b.PlacementVersion, PlanOrder: b.PlanOrder}
	tree := iradix.New[json.RawMessage]()
	if b.Base != nil {
		if base == nil || base.Ref != *b.Base {
			return nil, fmt.Errorf("made against version %v: %w", *b.Base, ErrCorrupt)
		}
		tree, v.sum, v.PlanOrder = base.Tree, base.sum, slices.Concat(base.PlanOrder, b.PlanOrder)
	}
	txn := tree.Txn()
	for _, o := range b.Put {
		was, _ := txn.Insert([]byte(o.Key), o.Value)
		v.sum.replace([]byte(o.Key), was, o.Value)
	}
	for _, k := range b.Removed {
		was, ok := txn.Delete([]byte(k))
		if !ok {
			return nil, fmt.Errorf("%s is to be removed and is not there: %w", k, ErrCorrupt)
		}
		v.sum.replace([]byte(k), was, nil)
	}
	v.Tree = txn.Commit()
	v.seal()
	if v.Digest != b.Digest {
		return nil, ErrCorrupt
	}
	return v, nil
}

// Problem is why a version is refused: the object that it lies in, the field, and what is wrong with it.
type Problem struct {
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
	Text   string `json:"text"`
}

func (p Problem) String() string {
	text := p.Text
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Object != "" {
		text = p.Object + ": " + text
	}
	return text
}

// Rejection is a version that a follower does not put in force.
type Rejection struct {
	Ref
	Problems            []Problem `json:"problems"`
	IsUnsupportedFormat bool      `json:"unread,omitempty"` // it is in a newer form than the program knows: a newer program may take it
}

// keptRefusals bounds the refusals that either side remembers of a follower: the newest.
const keptRefusals = 16

func addRefusal(list []Rejection, r Rejection) []Rejection {
	list = slices.DeleteFunc(slices.Clone(list), func(o Rejection) bool { return o.Ref == r.Ref })
	list = append(list, r)
	return list[max(len(list)-keptRefusals, 0):]
}

// newestOf is the refusal of the newest version; nil: there is none.
func newestOf(list []Rejection) (newest *Rejection) {
	for i := range list {
		if newest == nil || list[i].Compare(newest.Ref) == OrderNewer {
			newest = &list[i]
		}
	}
	return newest
}

func refusalOf(list []Rejection, ref Ref) *Rejection {
	if i := slices.IndexFunc(list, func(r Rejection) bool { return r.Ref == ref }); i >= 0 {
		return &list[i]
	}
	return nil
}
