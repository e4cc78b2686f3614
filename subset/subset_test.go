package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func makeServers(n int, seed uint64) (list []Server) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		id := fmt.Sprintf("s-%08x", rng.Uint32())
		list = append(list, Server{ID: id, Zone: []string{"a", "b"}[i%2], Weight: 0.8 + 0.4*rng.Float64()})
	}
	return list
}

var sizing = Sizing{TargetServers: 16, MinHolders: 24, MaxOmitted: 8}

func memberIDs(list []Server, members []Member) map[string]bool {
	set := map[string]bool{}
	for _, m := range members {
		set[list[m.Index].ID] = true
	}
	return set
}

// With few servers or nodes, or without a sizing, each node has all servers in its subset.
func TestSubsetOfAllServers(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, size int
		sizing               Sizing
	}{
		{300, 24, 24, sizing}, {300, 25, 16, sizing},
		{300, 3, 3, sizing}, {3, 300, 300, sizing},
		{24, 300, 300, sizing},
		{30, 300, 240, sizing}, {300, 170, 16, sizing}, {1000, 1000, 24, sizing}, {300, 170, 170, Sizing{}},
		{300, 0, 0, sizing},
	} {
		tier := Tier{Nodes: c.nodes, Sizing: c.sizing}
		if got := tier.SubsetSize(c.servers); got != c.size {
			t.Errorf("%d nodes, %d servers: got subset size %d, want %d", c.nodes, c.servers, got, c.size)
		}
		if members := tier.Select(makeServers(c.servers, 1), 0, 1); c.size == c.servers && len(members) != c.servers {
			t.Errorf("%d nodes, %d servers: got %d members, want all servers", c.nodes, c.servers, len(members))
		}
	}
}

// relativeDeviation returns the standard deviation as a fraction of the mean.
func relativeDeviation(values []float64) float64 {
	mean, squares := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		squares += (v/mean - 1) * (v/mean - 1)
	}
	return math.Sqrt(squares / float64(len(values)))
}

// If all nodes send the same load, each server's load is nearly proportional to its weight. Without the division by the
// number of holders, the deviation would be at least twice as large.
func TestBalance(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		list := makeServers(170, seed)
		tier := Tier{Nodes: 300, Seed: seed, Sizing: sizing}
		work, loadWithoutHolderCount := make([]float64, len(list)), make([]float64, len(list))
		for node := range tier.Nodes {
			members := tier.Select(list, node, 1)
			if len(members) < 8 || len(members) > 32 {
				t.Fatalf("seed %d: node %d has %d members, want 8 to 32", seed, node, len(members))
			}
			sum, sizes := 0.0, 0.0
			zones := map[string]int{}
			for _, m := range members {
				sizes += list[m.Index].Weight
				zones[list[m.Index].Zone]++
			}
			for _, m := range members {
				sum += m.TrafficFraction
				work[m.Index] += m.TrafficFraction / list[m.Index].Weight
				loadWithoutHolderCount[m.Index] += 1 / sizes
			}
			if math.Abs(sum-1) > 1e-9 || zones["a"] < 4 || zones["b"] < 4 {
				t.Fatalf("seed %d: node %d: fractions sum to %v, want 1; members by zone %v, want at least 4",
					seed, node, sum, zones)
			}
		}
		if d, u := relativeDeviation(work), relativeDeviation(loadWithoutHolderCount); d > 0.08 || u < 2*d {
			t.Errorf("seed %d: load deviation: got %.3f, want at most 0.08; without holder counts %.3f, want twice that",
				seed, d, u)
		}
	}
}

// A server that is added or removed changes its own memberships and, as the threshold depends on the list's length,
// as many others: 28 of 4,800.
func TestChurn(t *testing.T) {
	t.Parallel()
	moved, places := 0, 0
	for seed := range uint64(10) {
		list := makeServers(170, seed)
		tier := Tier{Nodes: 300, Seed: seed, Sizing: sizing}
		shorter := slices.Delete(slices.Clone(list), 60, 61)
		for node := range tier.Nodes {
			was, now := memberIDs(list, tier.Select(list, node, 1)), memberIDs(shorter, tier.Select(shorter, node, 1))
			for id := range now {
				if !was[id] {
					moved++
				}
			}
			places += len(was)
		}
	}
	if limit := 3 * places / 170; moved > limit {
		t.Errorf("%d members added after the removal of one server of 170, in ten tiers; it had %d memberships itself",
			moved, places/170)
	}
	// A different number of nodes, as some nodes may assume, changes the thresholds a little and the scores not at all.
	list, changed := makeServers(170, 3), 0
	for node := range 300 {
		was := memberIDs(list, Tier{Nodes: 300, Sizing: sizing}.Select(list, node, 1))
		for id := range memberIDs(list, Tier{Nodes: 330, Sizing: sizing}.Select(list, node, 1)) {
			if !was[id] {
				changed++
			}
		}
	}
	if changed > 0 {
		t.Errorf("%d members changed with the number of nodes, want 0", changed)
	}
}

// A subset does not depend on the order of the list, and a wider subset includes the narrower one.
func TestListOrderAndWidth(t *testing.T) {
	list := makeServers(170, 4)
	other := slices.Clone(list)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
	tier := Tier{Nodes: 300, Sizing: sizing}
	for node := range tier.Nodes {
		narrow := memberIDs(list, tier.Select(list, node, 1))
		wide := memberIDs(other, tier.Select(other, node, 1.5))
		for id := range narrow {
			if !wide[id] {
				t.Fatalf("node %d: server %s is in the narrow subset but not in the wide one", node, id)
			}
		}
		if len(wide) <= len(narrow) {
			t.Fatalf("node %d: the wide subset is not larger: %d members, wide %d", node, len(narrow), len(wide))
		}
	}
}

// A zone with few servers still has two members in each subset.
func TestSmallZone(t *testing.T) {
	list := makeServers(170, 6)
	for i := range list {
		list[i].Zone = "a"
	}
	list[5].Zone, list[90].Zone, list[133].Zone = "b", "b", "b"
	tier := Tier{Nodes: 300, Sizing: sizing}
	for node := range tier.Nodes {
		n := 0
		for _, m := range tier.Select(list, node, 1) {
			if list[m.Index].Zone == "b" {
				n++
			}
		}
		if n < 2 {
			t.Fatalf("node %d has %d members of the small zone, want at least 2", node, n)
		}
	}
}

func FuzzSelect(f *testing.F) {
	f.Add(uint16(300), uint16(170), uint16(3), 1.0, 1.0)
	f.Fuzz(func(t *testing.T, nodes, n, node uint16, size, wide float64) {
		list := makeServers(int(n%400), 5)
		for i := range list {
			if i%3 == 0 {
				list[i].Weight = size
			}
		}
		tier := Tier{Nodes: int(nodes%500) + 1, Sizing: sizing}
		members := tier.Select(list, int(node)%tier.Nodes, wide)
		sum := 0.0
		for i, m := range members {
			if m.Index < 0 || m.Index >= len(list) || m.HolderCount < 1 ||
				!(m.TrafficFraction >= 0) || i > 0 && m.Index <= members[i-1].Index {
				t.Fatalf("invalid member %+v", m)
			}
			sum += m.TrafficFraction
		}
		if len(list) > 0 && (len(members) < min(len(list), 2) || math.Abs(sum-1) > 1e-6) {
			t.Fatalf("%d members of %d servers, want at least 2; fractions sum to %v, want 1", len(members), len(list), sum)
		}
	})
}
