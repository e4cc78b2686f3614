// Package splitmix provides the finalizer of SplitMix64, a mixing function for hashes.
package splitmix

// Mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
// It is a bijection in which each bit of x affects all bits of the result.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
