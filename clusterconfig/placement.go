package clusterconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// placementKinds are the kinds of objects whose changes make a new placement version. Followers do not affect which
// site owns a key, but they are among the instances whose announcements of keys have to be awaited.
var placementKinds = []string{KindSite, KindLostSite, KindFollower}

// PlacementVersion is the version of the last change that may have moved keys between sites.
func (s *State) PlacementVersion() uint64 { return s.placementVersion }

// placementBefore is the placement version that directly preceded the one in force. It is known only if this process
// has applied the entry that replaced it.
type placementBefore struct {
	version uint64
	isKnown bool
}

// PlacementBefore returns the placement version that directly preceded the one in force. ok is false if this process
// has not applied the change of the placement itself, but restored it from a snapshot or received it as a frozen state.
func (s *State) PlacementBefore() (version uint64, ok bool) {
	return s.placementBefore.version, s.placementBefore.isKnown
}

// changePlacement makes the version in force the placement version.
func (s *State) changePlacement() {
	s.placementBefore = placementBefore{version: s.placementVersion, isKnown: true}
	s.placementVersion = s.version
}

// ChangesPlacement reports whether a log entry may move keys between sites when it is applied. It returns true for an
// entry that cannot be decoded.
func ChangesPlacement(entry []byte) bool {
	if !mentionsPlacement(entry) {
		return false
	}
	p, err := decodeProposal(entry)
	return err != nil || slices.ContainsFunc(p.Changes, func(c Change) bool { return c.changesPlacement() })
}

// mentionsPlacement reports whether an entry contains the name of a placement kind. If it does not, a long entry, such
// as one with a description, need not be decoded.
func mentionsPlacement(entry []byte) bool {
	return slices.ContainsFunc(placementKinds, func(kind string) bool {
		return bytes.Contains(entry, []byte(`"`+kind+`"`))
	})
}

func (c *Change) changesPlacement() bool { return slices.Contains(placementKinds, c.Kind) }

// hasAvailableSite reports whether any site can own keys, which requires that it is neither closed nor lost.
func hasAvailableSite(objects *Tree) (found bool) {
	forEachObject(objects, KindSite, func(name string, value json.RawMessage) {
		var site Site
		if isLost(objects, name) || json.Unmarshal(value, &site) != nil {
			return
		}
		found = found || !site.IsClosed
	})
	return found
}

// isLost reports whether a site is lost and owns no keys. A recovering site owns some keys and does not count as lost.
func isLost(objects *Tree, site string) bool {
	text, ok := objects.Get(objectKey(KindLostSite, site))
	if !ok {
		return false
	}
	var lost LostSite
	return json.Unmarshal(text, &lost) != nil || lost.RecoveredEighths == 0
}
