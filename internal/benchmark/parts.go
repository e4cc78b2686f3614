package benchmark

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"mulleinmux/subset"
)

// PartsResult is what one way to share out servers comes to in a fleet of one size. Loads are of servers by their
// size, as multiples of the mean over the fleet.
type PartsResult struct {
	Way     string
	Nodes   int
	Servers int
	Members float64 // servers in a part, on average
	Fewest  int     // in the smallest part
	Held    int     // parts that the server in most of them is in: connections that it must hold at the least
	Spread  float64 // standard deviation of the load, with all nodes alike
	Most    float64 // highest load, with all nodes alike
	Uneven  float64 // standard deviation of the load, where nodes' own loads vary by as much as their mean
	Zone    float64 // highest load of the servers left when one of two zones is lost
	Gone    float64 // members that a node changes when one server goes, in a part of the size of a whole fleet's need: 1 is the least
	Came    float64 // the same when one comes
	Miscut  float64 // share of its members that a node changes when it takes the tier for a tenth larger than it is
}

// way forms the part of a node.
type way func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member

// even gives the members shares by their sizes alone.
func even(list []subset.Server, at []int) (members []subset.Member) {
	for _, i := range at {
		members = append(members, subset.Member{Index: i, TrafficFraction: list[i].Weight})
	}
	return subset.NormalizeFractions(members)
}

// shuffled returns the places of the list in an order that depends on the servers' ids and a turn alone.
func shuffled(list []subset.Server, turn, seed uint64) []int {
	type key struct {
		at   int
		rank uint64
	}
	keys := make([]key, len(list))
	for i, s := range list {
		h := turn*0x9e3779b97f4a7c15 + seed
		for _, c := range []byte(s.ID) {
			h = (h ^ uint64(c)) * 1099511628211
			h ^= h >> 29
		}
		h *= 0xbf58476d1ce4e5b9
		keys[i] = key{i, h ^ h>>32}
	}
	slices.SortFunc(keys, func(a, b key) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	at := make([]int, len(keys))
	for i, k := range keys {
		at[i] = k.at
	}
	return at
}

// laid cuts a node's stretch out of a row of sizes: the members that it covers, with the part covered of each.
func laid(list []subset.Server, order []int, from, length, total float64) (members []subset.Member) {
	for from >= total {
		from -= total
	}
	for start := 0.0; length > 1e-9 && len(members) <= 2*len(order); start = 0 {
		for _, i := range order {
			size := list[i].Weight
			if over := min(start+size, from+length) - max(start, from); over > 1e-9 {
				members = append(members, subset.Member{Index: i, TrafficFraction: over})
			}
			start += size
		}
		length -= total - from
		from = 0
	}
	return subset.NormalizeFractions(members)
}

var ways = []struct {
	name string
	form way
}{
	{"random", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		// Another list is another draw: a node that draws by chance keeps nothing over a restart.
		rng := rand.New(rand.NewPCG(seed+uint64(node), uint64(len(list)*1009+nodes)))
		return even(list, rng.Perm(len(list))[:min(size, len(list))])
	}},
	{"rendezvous", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		return even(list, shuffled(list, uint64(node)+1, seed)[:min(size, len(list))])
	}},
	{"rounds", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		perRound := max(len(list)/size, 1)
		order := shuffled(list, uint64(node/perRound)+1, seed)
		at := (node % perRound) * size
		return even(list, order[min(at, len(order)-1):min(at+size, len(order))])
	}},
	{"ring", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		var total float64
		for _, s := range list {
			total += s.Weight
		}
		length := total * float64(size) / float64(len(list))
		return laid(list, shuffled(list, 0, seed), total*float64(node)/float64(nodes), length, total)
	}},
	{"rings", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		var total float64
		for _, s := range list {
			total += s.Weight
		}
		// As many rings as the parts cover the servers, each cut into stretches without a rest.
		rings := max(size*nodes/len(list), 1)
		perRing := (nodes + rings - 1) / rings
		length := total / float64(perRing)
		return laid(list, shuffled(list, uint64(node/perRing)+1, seed), length*float64(node%perRing), length, total)
	}},
	{"lots", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		return subset.Tier{Nodes: nodes, Seed: seed, Sizing: subset.Sizing{TargetServers: size}}.Select(list, node, 1)
	}},
	{"lots, uncounted", func(list []subset.Server, nodes, node, size int, seed uint64) []subset.Member {
		var at []int
		for _, m := range (subset.Tier{Nodes: nodes, Seed: seed, Sizing: subset.Sizing{TargetServers: size}}).Select(list, node, 1) {
			at = append(at, m.Index)
		}
		return even(list, at)
	}},
}

// Parts compares the ways at one size of a fleet: parts of size servers for each of some nodes.
func Parts(nodes, servers, size int, seed uint64) ([]PartsResult, error) {
	if nodes < 1 || servers < 2 || size < 1 {
		return nil, fmt.Errorf("parts of %d servers for %d nodes over %d servers: all must be above 0, and servers above 1", size, nodes, servers)
	}
	size = min(size, servers)
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)<<32|uint64(servers)))
	list := make([]subset.Server, servers, servers+1)
	for i := range list {
		list[i] = subset.Server{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Zone: []string{"a", "b"}[i%2], Weight: 0.75 + rng.Float64()/2}
	}
	rates := make([]float64, nodes)
	for i := range rates {
		rates[i] = rng.ExpFloat64()
	}
	var all []PartsResult
	for _, w := range ways {
		r := PartsResult{Way: w.name, Nodes: nodes, Servers: servers, Fewest: servers}
		base := make([][]subset.Member, nodes)
		held := make([]int, servers)
		for node := range base {
			base[node] = w.form(list, nodes, node, size, seed)
			r.Members += float64(len(base[node])) / float64(nodes)
			r.Fewest = min(r.Fewest, len(base[node]))
			for _, m := range base[node] {
				held[m.Index]++
			}
		}
		r.Held = slices.Max(held)
		r.Spread, r.Most = load(list, base, nil, nil)
		r.Uneven, _ = load(list, base, rates, nil)
		_, r.Zone = load(list, base, nil, func(s subset.Server) bool { return s.Zone == "a" })
		ids := func(list []subset.Server, of []subset.Member) map[string]bool {
			set := map[string]bool{}
			for _, m := range of {
				set[list[m.Index].ID] = true
			}
			return set
		}
		// changed counts the members that are new to their nodes, as multiples of what one server's places come to.
		changed := func(other []subset.Server, nodesToo int) (n float64) {
			for node := range base {
				was := ids(list, base[node])
				for id := range ids(other, w.form(other, nodesToo, node, size, seed)) {
					n += map[bool]float64{false: 1}[was[id]]
				}
			}
			return n
		}
		places := r.Members * float64(nodes) / float64(servers)
		const tries = 4
		for t := range tries {
			k := (t*2 + 1) * servers / (2 * tries)
			r.Gone += changed(slices.Delete(slices.Clone(list), k, k+1), nodes) / places / tries
			come := append(slices.Clone(list), subset.Server{ID: fmt.Sprintf("new-%d", t), Zone: "a", Weight: 1})
			r.Came += changed(come, nodes) / places / tries
		}
		r.Miscut = changed(list, nodes+(nodes+9)/10) / (r.Members * float64(nodes))
		all = append(all, r)
	}
	return all, nil
}

// load is the standard deviation and the most of the servers' loads by their size. Nodes without rates have 1 each; a
// node shares its load among the members that are not lost, or over all that are left if it has none.
func load(list []subset.Server, of [][]subset.Member, rates []float64, lost func(subset.Server) bool) (dev, most float64) {
	work := make([]float64, len(list))
	var left float64
	for _, s := range list {
		if lost == nil || !lost(s) {
			left += s.Weight
		}
	}
	var total float64
	for node, members := range of {
		rate := 1.0
		if rates != nil {
			rate = rates[node]
		}
		total += rate
		var sum float64
		for _, m := range members {
			if lost == nil || !lost(list[m.Index]) {
				sum += m.TrafficFraction
			}
		}
		if sum == 0 {
			for i, s := range list {
				if !lost(s) {
					work[i] += rate * s.Weight / left
				}
			}
			continue
		}
		for _, m := range members {
			if lost == nil || !lost(list[m.Index]) {
				work[m.Index] += rate * m.TrafficFraction / sum
			}
		}
	}
	mean, n := total/left, 0.0
	for i, s := range list {
		if lost != nil && lost(s) {
			continue
		}
		x := work[i] / s.Weight / mean
		most = math.Max(most, x)
		dev += (x - 1) * (x - 1)
		n++
	}
	return math.Sqrt(dev / n), most
}
