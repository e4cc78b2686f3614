package clusterconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// placementKinds are the kinds of objects whose changes make a new placement version. Key owners do not depend on
// followers, but the instances whose announcements of keys have to be awaited do.
var placementKinds = []string{KindSite, KindLostSite, KindFollower}

// PlacementVersion is the version of the last change that may have moved keys between sites.
func (s *State) PlacementVersion() uint64 { return s.placementVersion }

// ChangesPlacement reports whether a log entry may move keys between sites when it is applied. For an entry that cannot
// be decoded it returns true.
func ChangesPlacement(entry []byte) bool {
	if !mentionsPlacement(entry) {
		return false
	}
	p, err := decodeProposal(entry)
	return err != nil || slices.ContainsFunc(p.Changes, func(c Change) bool { return c.changesPlacement() })
}

// mentionsPlacement reports whether an entry contains the name of a placement kind. If not, a long entry, such as one
// with a description, need not be decoded here.
func mentionsPlacement(entry []byte) bool {
	return slices.ContainsFunc(placementKinds, func(kind string) bool {
		return bytes.Contains(entry, []byte(`"`+kind+`"`))
	})
}

func (c *Change) changesPlacement() bool { return slices.Contains(placementKinds, c.Kind) }

// hasAvailableSite reports whether any site can own keys: it is neither closed nor lost.
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

// isLost reports whether a site owns no keys because it is lost. A recovering site owns some.
func isLost(objects *Tree, site string) bool {
	text, ok := objects.Get(objectKey(KindLostSite, site))
	if !ok {
		return false
	}
	var lost LostSite
	return json.Unmarshal(text, &lost) != nil || lost.RecoveredEighths == 0
}
