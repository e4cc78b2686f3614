// Package splitmix has the finalizer that hashes here are mixed by.
package splitmix

// Mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014): it
// spreads each bit of x over all bits, and gives each result for one x.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
