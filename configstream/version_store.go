package configstream

import (
	"encoding/json"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
)

// followerPrefix is the prefix of the keys of followers' objects.
const followerPrefix = clusterconfig.KindFollower + "/"

// versionStore holds the versions that a member can push to its followers, and decides which of them a follower should
// run.
//
// Invariant: newest is the last element of retained, and pins are those of newest.
type versionStore struct {
	maxRetained   int  // maximum length of retained
	disableDeltas bool // whether all bodies are complete

	newest       *Version   // nil before the first version
	retained     []*Version // oldest first
	confirmation confirmation
	pins         map[string]uint64 // pinned version numbers by follower
	bodies       map[bodyKey]*Body // bodies of the pushes since newest was published
}

// bodyKey identifies the body of a push by its version and its base, which is zero if the body is complete.
type bodyKey struct{ base, version Ref }

func newVersionStore(cfg *PublisherConfig) versionStore {
	return versionStore{
		maxRetained:   max(cfg.MaxRetainedVersions, 1),
		disableDeltas: cfg.DisableDeltas,
		pins:          map[string]uint64{},
		bodies:        map[bodyKey]*Body{},
	}
}

// publish makes a version the newest. It reports whether the version is newer than the last one; otherwise the version
// is ignored. The oldest version beyond maxRetained is dropped: followers that run it are sent complete versions from
// then on.
func (s *versionStore) publish(v *Version) bool {
	if s.newest != nil && v.Compare(s.newest.Ref) != OrderNewer {
		return false
	}
	s.newest = v
	s.confirmation.isValid = false
	s.retained = append(s.retained, v)
	s.retained = slices.Clone(s.retained[max(len(s.retained)-s.maxRetained, 0):])
	s.pins = pinnedVersions(v)
	clear(s.bodies)
	return true
}

// confirm records that a quorum has confirmed that no version newer than ref had been committed as of requestedAt. It
// reports whether ref is the newest version at this member; the confirmation of another version is ignored.
func (s *versionStore) confirm(requestedAt time.Duration, ref Ref) bool {
	if s.newest == nil || s.newest.Ref != ref {
		return false
	}
	if !s.confirmation.isValid || requestedAt > s.confirmation.requestedAt {
		s.confirmation = confirmation{requestedAt, true}
	}
	return true
}

// target returns the version that a follower should run: the newest, or the one that the follower is pinned to. It
// returns nil if that version is not retained; the follower then keeps its version.
func (s *versionStore) target(follower string) *Version {
	pin, ok := s.pins[follower]
	if !ok || s.newest == nil || pin >= s.newest.Number {
		return s.newest
	}
	return s.find(func(v *Version) bool { return v.Number == pin && v.Epoch == s.newest.Epoch })
}

// find returns the oldest retained version that matches, or nil if none does.
func (s *versionStore) find(matches func(*Version) bool) *Version {
	i := slices.IndexFunc(s.retained, matches)
	if i < 0 {
		return nil
	}
	return s.retained[i]
}

// body returns the content of version v for a follower that runs version running. That is the difference between the
// two if running is retained and the difference is smaller than the complete content, or else the complete content.
// running is nil for a follower that has no version in force or needs the complete content. Followers with the same
// base share the body.
func (s *versionStore) body(running *Ref, v *Version) *Body {
	var base Ref // zero: the body is complete
	if running != nil && !s.disableDeltas {
		base = *running
	}
	key := bodyKey{base, v.Ref}
	if b, ok := s.bodies[key]; ok {
		return b
	}
	full := s.fullBody(v)
	baseVersion := s.find(func(o *Version) bool { return o.Ref == base })
	if baseVersion == nil {
		return full // not cached under key, since a follower can report any version as running
	}
	body := v.Body(baseVersion)
	if body.Size() >= full.Size() {
		body = full
	}
	s.bodies[key] = body
	return body
}

// fullBody returns the complete content of a version.
func (s *versionStore) fullBody(v *Version) *Body {
	key := bodyKey{version: v.Ref}
	if s.bodies[key] == nil {
		s.bodies[key] = v.Body(nil)
	}
	return s.bodies[key]
}

// isFollower reports whether a follower of that name is configured in the newest version.
func (s *versionStore) isFollower(name string) bool {
	if s.newest == nil {
		return false
	}
	_, ok := s.newest.Tree.Get([]byte(followerPrefix + name))
	return ok
}

// followerNames returns the sorted names of the followers that are configured in the newest version.
func (s *versionStore) followerNames() (names []string) {
	if s.newest == nil {
		return nil
	}
	forEachFollower(s.newest, func(name string, _ json.RawMessage) { names = append(names, name) })
	return names
}

// forEachFollower calls f for each follower that is configured in a version, sorted by name.
func forEachFollower(v *Version, f func(name string, value json.RawMessage)) {
	v.Tree.Root().WalkPrefix([]byte(followerPrefix), func(key []byte, value json.RawMessage) bool {
		f(string(key[len(followerPrefix):]), value)
		return false
	})
}

// pinnedVersions returns the version numbers to which followers are pinned, by follower.
func pinnedVersions(v *Version) map[string]uint64 {
	pins := map[string]uint64{}
	forEachFollower(v, func(name string, value json.RawMessage) {
		var f clusterconfig.Follower
		if json.Unmarshal(value, &f) == nil && f.PinnedVersion > 0 {
			pins[name] = f.PinnedVersion
		}
	})
	return pins
}
