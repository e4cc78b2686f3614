// Package splitmix has the finalizer of SplitMix64, by which hashes are mixed.
package splitmix

// Mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom
// Number Generators", 2014): it spreads each bit of x over all bits, and is a bijection.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
