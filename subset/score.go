package subset

import (
	"hash/fnv"
	"math"

	"mulleinmux/internal/splitmix"
)

// goldenGamma is the increment of SplitMix64: 2^64 over the golden ratio. It keeps the nodes' inputs apart.
const goldenGamma = 0x9e3779b97f4a7c15

// mantissaBits is how many bits of a hash a score keeps: as many as a float64 holds exactly.
const mantissaBits = 53

// serverHash is a server's part of its scores: FNV-1a over its id, mixed with the seed.
func (t Tier) serverHash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return splitmix.Mix(h.Sum64() + t.Seed)
}

// score is the score of a node and a server, by the server's hash, from 0 to 1.
func score(node int, serverHash uint64) float64 {
	mixed := splitmix.Mix(serverHash + uint64(node+1)*goldenGamma)
	return float64(mixed>>(64-mantissaBits)) / (1 << mantissaBits)
}

// threshold is the score under which a server is in a node's subset; density is the subset's size over the total
// weight of all servers.
func threshold(server *Server, density float64) float64 {
	return math.Min(density*server.weight(), 1)
}

// countHolders counts the nodes whose score for a server is under its threshold: those that have it in their subset,
// but for the few whose subsets were filled up. It is at least 1.
func (t Tier) countHolders(serverHash uint64, threshold float64) int {
	count := 0
	for node := range t.Nodes {
		if score(node, serverHash) < threshold {
			count++
		}
	}
	return max(count, 1)
}
