package cluster

import (
	"maps"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/multisite"
)

// Parameters of key ownership (see package multisite). Clients wait for at most 2 s over all attempts with a key, and
// sites drop repeated requests for 4 s.
const (
	ownershipLeaseTTL      = time.Second // lifetime of a confirmed ownership
	keyTTL                 = 2500 * time.Millisecond
	keyDeduplicationWindow = 4 * time.Second
	maxKeys                = 1 << 20 // recorded at a time
)

// Instance IDs in the key ownership that no member has. anyFollower represents all followers, which do not broadcast
// their keys, and anyMember all members, from which a follower receives no broadcasts. So while there are followers,
// a key whose owner changes is rejected until the fence time of package multisite has passed.
const (
	anyFollower = 1 << 32
	anyMember   = anyFollower + 1
)

func keyOwnershipConfig(instance, incarnation uint64) *multisite.KeyConfig {
	return &multisite.KeyConfig{
		InstanceID:          instance,
		Incarnation:         incarnation,
		LeaseTTL:            ownershipLeaseTTL,
		KeyTTL:              keyTTL,
		DeduplicationWindow: keyDeduplicationWindow,
		MaxKeys:             maxKeys,
	}
}

// keyOwnership is a state's assignment of keys to sites.
type keyOwnership struct {
	epoch      multisite.OwnershipEpoch
	sites      []multisite.Site // all agreed sites; open unless an operator has closed them
	keyEighths map[string]int   // by lost site: eighths of its keys that it owns again
}

// ownsKeys reports whether a site owns keys. A site that an operator has closed owns none, and a lost site owns keys
// only once it has recovered some eighths of them.
func ownsKeys(isClosed, isLost bool, recoveredEighths int) bool {
	return !isClosed && (!isLost || recoveredEighths > 0)
}

// keyOwnershipOf derives the key ownership from a state. instances are the IDs of the instances whose announcements
// are awaited; [anyFollower] is added if the state has followers.
func keyOwnershipOf(state *clusterconfig.State, instances []uint64) keyOwnership {
	o := keyOwnership{
		epoch:      multisite.OwnershipEpoch{Number: state.PlacementVersion(), Instances: slices.Clone(instances)},
		keyEighths: map[string]int{},
	}
	followers := clusterconfig.ObjectsByName[clusterconfig.Follower](state, clusterconfig.KindFollower)
	if len(followers) > 0 && !slices.Contains(instances, anyFollower) {
		o.epoch.Instances = append(o.epoch.Instances, anyFollower)
	}
	sites := clusterconfig.ObjectsByName[clusterconfig.Site](state, clusterconfig.KindSite)
	lostSites := clusterconfig.ObjectsByName[clusterconfig.LostSite](state, clusterconfig.KindLostSite)
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		lost, isLost := lostSites[name]
		if isLost {
			o.keyEighths[name] = lost.RecoveredEighths
		}
		isClosed := sites[name].IsClosed
		owner := multisite.Site{
			Name:       name,
			IsOpen:     ownsKeys(isClosed, isLost, lost.RecoveredEighths),
			KeyEighths: lost.RecoveredEighths,
		}
		o.epoch.Sites = append(o.epoch.Sites, owner)
		o.sites = append(o.sites, multisite.Site{Name: name, IsOpen: !isClosed})
	}
	return o
}
