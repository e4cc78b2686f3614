package cluster

import (
	"maps"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/multisite"
)

// Key ownership (see package multisite): clients wait for 2 s at most over all attempts with a key, and sites drop
// repeated requests for 4 s.
const (
	ownershipLeaseTTL      = time.Second
	keyTTL                 = 2500 * time.Millisecond
	keyDeduplicationWindow = 4 * time.Second
	maxKeys                = 1 << 20
)

// Instance numbers of key ownership that no member has. anyFollower stands for all followers, none of which broadcasts
// its keys, and anyMember for all members, which a follower does not receive from. So while there are followers, a key
// that moves to another site waits until the time that package multisite sets has passed.
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

// keyOwnership is what a state says of the sites that own keys.
type keyOwnership struct {
	epoch      multisite.OwnershipEpoch
	sites      []multisite.Site // all agreed sites; open unless an operator has closed them
	keyEighths map[string]int   // by lost site: how many eighths of its keys it has back
}

// keyOwnershipOf derives key ownership from a state. instances are those whose broadcasts count; where the state has
// followers, [anyFollower] is added.
func keyOwnershipOf(state *clusterconfig.State, instances []uint64) keyOwnership {
	o := keyOwnership{
		epoch:      multisite.OwnershipEpoch{Number: state.PlacementVersion(), Instances: slices.Clone(instances)},
		keyEighths: map[string]int{},
	}
	followers := clusterconfig.ObjectsByName[clusterconfig.Follower](state, kindFollower)
	if len(followers) > 0 && !slices.Contains(instances, anyFollower) {
		o.epoch.Instances = append(o.epoch.Instances, anyFollower)
	}
	sites := clusterconfig.ObjectsByName[clusterconfig.Site](state, kindSite)
	lostSites := clusterconfig.ObjectsByName[clusterconfig.LostSite](state, kindLostSite)
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		lost, isLost := lostSites[name]
		if isLost {
			o.keyEighths[name] = lost.RecoveredEighths
		}
		isClosed := sites[name].IsClosed
		ownsKeys := !isClosed && (!isLost || lost.RecoveredEighths > 0)
		o.epoch.Sites = append(o.epoch.Sites, multisite.Site{Name: name, IsOpen: ownsKeys, KeyEighths: lost.RecoveredEighths})
		o.sites = append(o.sites, multisite.Site{Name: name, IsOpen: !isClosed})
	}
	return o
}
