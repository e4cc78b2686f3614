package subset

import (
	"hash/fnv"
	"math"

	"mulleinmux/internal/splitmix"
)

// goldenGamma is the increment of SplitMix64: 2^64 divided by the golden ratio. It separates the nodes' inputs.
const goldenGamma = 0x9e3779b97f4a7c15

// mantissaBits is the number of a hash's bits in a score, the most that a float64 holds exactly.
const mantissaBits = 53

// serverHash returns a server's input to its scores: the FNV-1a hash of its ID, mixed with the seed.
func (t Tier) serverHash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return splitmix.Mix(h.Sum64() + t.Seed)
}

// score returns the score of a node and a server, given by its hash, in [0, 1).
func score(node int, serverHash uint64) float64 {
	mixed := splitmix.Mix(serverHash + uint64(node+1)*goldenGamma)
	return float64(mixed>>(64-mantissaBits)) / (1 << mantissaBits)
}

// threshold returns the score below which a server is in a node's subset. density is the subset's size divided by the
// total weight of all servers.
func threshold(server *Server, density float64) float64 {
	return math.Min(density*server.weight(), 1)
}

// countHolders counts the nodes whose score for a server is below its threshold. These nodes have the server in their
// subset, as do the few whose subsets were filled up with it, which are not counted. The result is at least 1.
func (t Tier) countHolders(serverHash uint64, threshold float64) int {
	count := 0
	for node := range t.Nodes {
		if score(node, serverHash) < threshold {
			count++
		}
	}
	return max(count, 1)
}
