package configstream

import (
	"encoding/json"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"mulleinmux/clusterconfig"
)

// Format is the newest format of a version's content that this program can read. It is the format of log entries.
const Format = clusterconfig.Format

// headerKey is the key under which the digest includes a version's fields other than its objects. It differs from the
// keys of all objects, which do not begin with a zero byte.
const headerKey = "\x00head"

// Version is one version of the configuration. It must not be modified.
type Version struct {
	Ref
	Hash             string   // hash chain of the log entries up to the version
	PlacementVersion uint64   // see [clusterconfig.State.PlacementVersion]
	PlanOrder        []string // see [clusterconfig.State.PlanOrder]
	Tree             *clusterconfig.Tree
	objectsDigest    Digest // sum of the hashes of the objects only
}

// NewVersion returns the version of a state. If before, an earlier version, is not nil, only the objects that differ
// from it are hashed.
func NewVersion(s *clusterconfig.State, before *Version) *Version {
	v := &Version{
		Ref:              Ref{Epoch: s.Epoch(), Number: s.Version()},
		Hash:             s.Hash(),
		PlacementVersion: s.PlacementVersion(),
		PlanOrder:        s.PlanOrder(),
		Tree:             s.Tree(),
	}
	if before == nil {
		before = &Version{Tree: iradix.New[json.RawMessage]()}
	}
	v.objectsDigest = before.objectsDigest
	forEachDifference(before.Tree, v.Tree, func(key []byte, old, current json.RawMessage) {
		v.objectsDigest.replace(key, old, current)
	})
	v.setDigest()
	return v
}

// State returns the version's configuration, without a history. The error wraps [clusterconfig.ErrMalformed].
func (v *Version) State() (*clusterconfig.State, error) {
	return clusterconfig.NewFrozenState(v.Number, v.PlacementVersion, v.Hash, v.PlanOrder, v.Tree)
}

// setDigest sets Digest from objectsDigest and the fields other than the objects.
func (v *Version) setDigest() {
	v.Digest = v.objectsDigest
	// Encoding these values never fails.
	header, _ := json.Marshal([]any{v.Epoch, v.Number, v.Hash, v.PlacementVersion, v.PlanOrder})
	v.Digest.replace([]byte(headerKey), nil, header)
}
