package multisite

import (
	"slices"

	"mulleinmux/internal/splitmix"
)

// Constants of the 64-bit FNV-1a hash (Fowler, Noll and Vo).
const (
	fnvOffset64 = 14695981039346656037
	fnvPrime64  = 1099511628211
)

// hashEighthShift reduces a 64-bit hash to its upper three bits, which number one of eight equal parts.
const hashEighthShift = 61

// OwnershipEpoch is an agreed assignment of keys to sites.
type OwnershipEpoch struct {
	// Service numbers the control service that has agreed on the epoch. A service that replaces another one has a higher
	// number and may number its epochs from a lower one again.
	Service   uint64
	Number    uint64   // higher for later epochs of a service, not necessarily by 1
	Sites     []Site   // in any order
	Instances []uint64 // IDs of the instances that may route by it, in any order; may change within an epoch
}

func (e *OwnershipEpoch) clone() *OwnershipEpoch {
	return &OwnershipEpoch{
		Service:   e.Service,
		Number:    e.Number,
		Sites:     slices.Clone(e.Sites),
		Instances: slices.Clone(e.Instances),
	}
}

func (e *OwnershipEpoch) isOlderThan(other *OwnershipEpoch) bool {
	return e.Service < other.Service || e.Service == other.Service && e.Number < other.Number
}

// isSameAs reports whether two epochs have the same number and instances.
func (e *OwnershipEpoch) isSameAs(other *OwnershipEpoch) bool {
	return e.Service == other.Service && e.Number == other.Number && slices.Equal(e.Instances, other.Instances)
}

// owner returns the open site with the highest weight for a key among those that accept it, or among all open sites if
// none does. It returns an empty name if no site is open. A recovering site accepts a part of its keys, and a larger
// part includes a smaller one. The other keys belong to the site with the next lower weight. The arithmetic is exact,
// since all instances must find the same owner.
func (e *OwnershipEpoch) owner(key uint64) string {
	best, bestWeight, bestAccepts := "", uint64(0), false
	for i := range e.Sites {
		site := &e.Sites[i]
		if !site.IsOpen {
			continue
		}
		weight := rendezvousWeight(site.Name, key)
		accepts := site.accepts(key)
		isHeavier := weight > bestWeight || weight == bestWeight && site.Name < best
		if best == "" || accepts && !bestAccepts || accepts == bestAccepts && isHeavier {
			best, bestWeight, bestAccepts = site.Name, weight, accepts
		}
	}
	return best
}

func (e *OwnershipEpoch) isOpen(name string) bool {
	return slices.ContainsFunc(e.Sites, func(site Site) bool { return site.Name == name && site.IsOpen })
}

// accepts reports whether a key is in the part of its keys that a site accepts. The key's complement is hashed, so that
// the part is independent of the weight.
func (s *Site) accepts(key uint64) bool {
	return s.KeyEighths == 0 || int(rendezvousWeight(s.Name, ^key)>>hashEighthShift) < s.KeyEighths
}

// rendezvousWeight returns the hash of a site's name (by FNV-1a) and a key.
func rendezvousWeight(name string, key uint64) uint64 {
	hash := uint64(fnvOffset64)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime64
	}
	return splitmix.Mix(hash ^ key)
}
