package clusterconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// placementKinds are the kinds of objects whose changes begin a new placement version. The owner of no key depends on
// followers, but each of them is one more or one fewer instance whose message on keys is to be waited for.
var placementKinds = []string{KindSite, KindLostSite, KindFollower}

// PlacementVersion is the version of the last change that may have moved keys between sites.
func (s *State) PlacementVersion() uint64 { return s.placementVersion }

// ChangesPlacement reports whether a log entry may move keys between sites once it is applied. An entry that can't be
// decoded may.
func ChangesPlacement(entry []byte) bool {
	if !mentionsPlacement(entry) {
		return false
	}
	p, err := decodeProposal(entry)
	return err != nil || slices.ContainsFunc(p.Changes, func(c Change) bool { return c.changesPlacement() })
}

// mentionsPlacement reports whether an entry contains the name of a placement kind. It saves decoding long entries,
// such as those with descriptions, twice.
func mentionsPlacement(entry []byte) bool {
	return slices.ContainsFunc(placementKinds, func(kind string) bool {
		return bytes.Contains(entry, []byte(`"`+kind+`"`))
	})
}

func (c *Change) changesPlacement() bool { return slices.Contains(placementKinds, c.Kind) }

// hasAvailableSite reports whether there is a site that takes keys: neither closed nor lost.
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

// isLost reports whether a site takes no keys because it is lost. One that is recovering takes some.
func isLost(objects *Tree, site string) bool {
	text, ok := objects.Get(objectKey(KindLostSite, site))
	if !ok {
		return false
	}
	var lost LostSite
	return json.Unmarshal(text, &lost) != nil || lost.RecoveredEighths == 0
}
