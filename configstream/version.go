package configstream

import (
	"encoding/json"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"mulleinmux/clusterconfig"
)

// Format is the newest format of a version's content that this program reads. It is that of the log entries.
const Format = clusterconfig.Format

// headerKey stands for a version's fields other than its objects in the digest. No object has it: keys of objects
// don't begin with a zero byte.
const headerKey = "\x00head"

// Version is one version of the configuration. It must not be modified.
type Version struct {
	Ref
	Hash             string   // of the chain of entries up to it
	PlacementVersion uint64   // see [clusterconfig.State.PlacementVersion]
	PlanOrder        []string // see [clusterconfig.State.PlanOrder]
	Tree             *clusterconfig.Tree
	objectsDigest    Digest // Digest without the header
}

// NewVersion returns the version that a state is. If before is not nil, it is an earlier version, from whose digest
// the new one is made.
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

// State returns the configuration of a version, without history.
func (v *Version) State() (*clusterconfig.State, error) {
	return clusterconfig.NewFrozenState(v.Number, v.PlacementVersion, v.Hash, v.PlanOrder, v.Tree)
}

// setDigest sets Digest from that of the objects and the other fields.
func (v *Version) setDigest() {
	v.Digest = v.objectsDigest
	header, _ := json.Marshal([]any{v.Epoch, v.Number, v.Hash, v.PlacementVersion, v.PlanOrder}) // plain values: no error
	v.Digest.replace([]byte(headerKey), nil, header)
}
