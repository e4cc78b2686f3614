package benchmark

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"mulleinmux/subset"
)

// SubsetFigures are what one method of subsetting comes to in a fleet of one size. Loads are of servers by their
// weight, as multiples of the mean over the fleet.
type SubsetFigures struct {
	Method         string  `json:"Way"`
	Nodes          int     `json:"Nodes"`
	Servers        int     `json:"Servers"`
	MeanSize       float64 `json:"Members"` // servers in a subset, on average
	MinSize        int     `json:"Fewest"`  // in the smallest subset
	MaxSubsets     int     `json:"Held"`    // that one server is in: connections that it must hold at the least
	LoadDeviation  float64 `json:"Spread"`  // standard deviation of the load, with all nodes alike
	MaxLoad        float64 `json:"Most"`    // with all nodes alike
	UnevenNodes    float64 `json:"Uneven"`  // standard deviation of the load, where nodes' own loads vary by their mean
	MaxLoadZoneOut float64 `json:"Zone"`    // of the servers left when one of two zones is lost
	// Members that nodes change when one server goes, or one comes, as multiples of the fewest possible.
	ServerGone float64 `json:"Gone"`
	ServerCame float64 `json:"Came"`
	// Fraction of its members that a node changes when it takes the tier for a tenth larger than it is.
	WrongNodeCount float64 `json:"Miscut"`
}

// fleet is nodes of which each has a subset of the servers.
type fleet struct {
	servers []subset.Server
	nodes   int
	size    int // of a subset, as asked for
	seed    uint64
}

// selectSubset is a method of subsetting: it returns the subset of a node.
type selectSubset func(f *fleet, node int) []subset.Member

// totalWeight is the weight of all servers.
func (f *fleet) totalWeight() (total float64) {
	for _, server := range f.servers {
		total += server.Weight
	}
	return total
}

// tier returns what package subset knows of the fleet.
func (f *fleet) tier() subset.Tier {
	return subset.Tier{Nodes: f.nodes, Seed: f.seed, Sizing: subset.Sizing{TargetServers: f.size}}
}

// byWeight gives the servers at some indexes fractions of the traffic by their weights alone.
func byWeight(servers []subset.Server, indexes []int) (members []subset.Member) {
	for _, i := range indexes {
		members = append(members, subset.Member{Index: i, TrafficFraction: servers[i].Weight})
	}
	return subset.NormalizeFractions(members)
}

// shuffled returns the indexes of the servers in an order that depends on their IDs and a round alone.
func shuffled(servers []subset.Server, round, seed uint64) []int {
	type rankedIndex struct {
		index int
		rank  uint64
	}
	ranked := make([]rankedIndex, len(servers))
	for i, server := range servers {
		hash := round*0x9e3779b97f4a7c15 + seed
		for _, c := range []byte(server.ID) {
			hash = (hash ^ uint64(c)) * 1099511628211
			hash ^= hash >> 29
		}
		hash *= 0xbf58476d1ce4e5b9
		ranked[i] = rankedIndex{index: i, rank: hash ^ hash>>32}
	}
	slices.SortFunc(ranked, func(a, b rankedIndex) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	indexes := make([]int, len(ranked))
	for i, r := range ranked {
		indexes[i] = r.index
	}
	return indexes
}

// minOverlap is the weight below which a server is not taken for covered.
const minOverlap = 1e-9

// ringSegment lays the servers on a ring by their weights, in an order, and returns those that a node's segment covers,
// with the part covered of each.
func ringSegment(servers []subset.Server, order []int, from, length, total float64) (members []subset.Member) {
	for from >= total {
		from -= total
	}
	for start := 0.0; length > minOverlap && len(members) <= 2*len(order); start = 0 {
		for _, i := range order {
			weight := servers[i].Weight
			overlap := min(start+weight, from+length) - max(start, from)
			if overlap > minOverlap {
				members = append(members, subset.Member{Index: i, TrafficFraction: overlap})
			}
			start += weight
		}
		length -= total - from
		from = 0
	}
	return subset.NormalizeFractions(members)
}

// subsetMethods are the methods that CompareSubsets compares.
var subsetMethods = []struct {
	name         string
	selectSubset selectSubset
}{
	{"random", selectRandom},
	{"rendezvous", selectRendezvous},
	{"rounds", selectRounds},
	{"ring", selectRing},
	{"rings", selectRings},
	{"lots", selectByTier},
	{"lots, uncounted", selectByTierUnweighted},
}

// selectRandom draws by chance: another list of servers is another draw, and a node keeps nothing over a restart.
func selectRandom(f *fleet, node int) []subset.Member {
	rng := rand.New(rand.NewPCG(f.seed+uint64(node), uint64(len(f.servers)*1009+f.nodes)))
	return byWeight(f.servers, rng.Perm(len(f.servers))[:min(f.size, len(f.servers))])
}

// selectRendezvous is rendezvous hashing: each node has an order of its own.
func selectRendezvous(f *fleet, node int) []subset.Member {
	order := shuffled(f.servers, uint64(node)+1, f.seed)
	return byWeight(f.servers, order[:min(f.size, len(f.servers))])
}

// selectRounds is deterministic subsetting in rounds: the nodes of a round share out one order.
func selectRounds(f *fleet, node int) []subset.Member {
	perRound := max(len(f.servers)/f.size, 1)
	order := shuffled(f.servers, uint64(node/perRound)+1, f.seed)
	start := (node % perRound) * f.size
	return byWeight(f.servers, order[min(start, len(order)-1):min(start+f.size, len(order))])
}

// selectRing cuts one ring into a segment for each node.
func selectRing(f *fleet, node int) []subset.Member {
	total := f.totalWeight()
	length := total * float64(f.size) / float64(len(f.servers))
	order := shuffled(f.servers, 0, f.seed)
	return ringSegment(f.servers, order, total*float64(node)/float64(f.nodes), length, total)
}

// selectRings cuts as many rings as the subsets cover the servers, each into segments without a rest.
func selectRings(f *fleet, node int) []subset.Member {
	total := f.totalWeight()
	rings := max(f.size*f.nodes/len(f.servers), 1)
	perRing := (f.nodes + rings - 1) / rings
	length := total / float64(perRing)
	order := shuffled(f.servers, uint64(node/perRing)+1, f.seed)
	return ringSegment(f.servers, order, length*float64(node%perRing), length, total)
}

// selectByTier is what instances use.
func selectByTier(f *fleet, node int) []subset.Member { return f.tier().Select(f.servers, node, 1) }

// selectByTierUnweighted is selectByTier without its fractions of the traffic.
func selectByTierUnweighted(f *fleet, node int) []subset.Member {
	var indexes []int
	for _, member := range selectByTier(f, node) {
		indexes = append(indexes, member.Index)
	}
	return byWeight(f.servers, indexes)
}

// CompareSubsets compares methods of subsetting in a fleet of one size: subsets of size servers for each of the nodes.
func CompareSubsets(nodes, servers, size int, seed uint64) ([]SubsetFigures, error) {
	if nodes < 1 || servers < 2 || size < 1 {
		return nil, fmt.Errorf("parts of %d servers for %d nodes over %d servers: "+
			"all must be above 0, and servers above 1", size, nodes, servers)
	}
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)<<32|uint64(servers)))
	f := &fleet{servers: randomServers(rng, servers), nodes: nodes, size: min(size, servers), seed: seed}
	rates := make([]float64, nodes)
	for i := range rates {
		rates[i] = rng.ExpFloat64()
	}
	var all []SubsetFigures
	for _, method := range subsetMethods {
		figures := f.measure(method.selectSubset, rates)
		figures.Method = method.name
		all = append(all, figures)
	}
	return all, nil
}

// randomServers returns servers of two zones whose weights vary by half.
func randomServers(rng *rand.Rand, count int) []subset.Server {
	servers := make([]subset.Server, count)
	for i := range servers {
		servers[i] = subset.Server{
			ID:     fmt.Sprintf("s-%08x", rng.Uint32()),
			Zone:   []string{"a", "b"}[i%2],
			Weight: 0.75 + rng.Float64()/2,
		}
	}
	return servers
}

// movementSamples is for how many servers that go, or come, the members that change are counted.
const movementSamples = 4

// measure returns the figures of one method. rates are the loads of the nodes, where they differ.
func (f *fleet) measure(method selectSubset, rates []float64) SubsetFigures {
	serverCount := len(f.servers)
	figures := SubsetFigures{Nodes: f.nodes, Servers: serverCount, MinSize: serverCount}
	subsets := make([][]subset.Member, f.nodes)
	subsetsOfServer := make([]int, serverCount)
	for node := range subsets {
		subsets[node] = method(f, node)
		figures.MeanSize += float64(len(subsets[node])) / float64(f.nodes)
		figures.MinSize = min(figures.MinSize, len(subsets[node]))
		for _, member := range subsets[node] {
			subsetsOfServer[member.Index]++
		}
	}
	figures.MaxSubsets = slices.Max(subsetsOfServer)
	figures.LoadDeviation, figures.MaxLoad = load(f.servers, subsets, nil, nil)
	figures.UnevenNodes, _ = load(f.servers, subsets, rates, nil)
	isZoneA := func(server subset.Server) bool { return server.Zone == "a" }
	_, figures.MaxLoadZoneOut = load(f.servers, subsets, nil, isZoneA)

	fewestChanges := figures.MeanSize * float64(f.nodes) / float64(serverCount)
	for sample := range movementSamples {
		i := (sample*2 + 1) * serverCount / (2 * movementSamples)
		without, with := *f, *f
		without.servers = slices.Delete(slices.Clone(f.servers), i, i+1)
		figures.ServerGone += f.newMembers(subsets, &without, method) / fewestChanges / movementSamples
		added := subset.Server{ID: fmt.Sprintf("new-%d", sample), Zone: "a", Weight: 1}
		with.servers = append(slices.Clone(f.servers), added)
		figures.ServerCame += f.newMembers(subsets, &with, method) / fewestChanges / movementSamples
	}
	larger := *f
	larger.nodes += (f.nodes + 9) / 10
	figures.WrongNodeCount = f.newMembers(subsets, &larger, method) / (figures.MeanSize * float64(f.nodes))
	return figures
}

// newMembers counts the members that f's nodes have in another fleet and not in their subsets of f.
func (f *fleet) newMembers(subsets [][]subset.Member, other *fleet, method selectSubset) (count float64) {
	for node := range subsets {
		before := f.memberIDs(subsets[node])
		for id := range other.memberIDs(method(other, node)) {
			if !before[id] {
				count++
			}
		}
	}
	return count
}

// memberIDs returns the IDs of the servers in a subset.
func (f *fleet) memberIDs(members []subset.Member) map[string]bool {
	ids := map[string]bool{}
	for _, member := range members {
		ids[f.servers[member.Index].ID] = true
	}
	return ids
}

// load returns the standard deviation and the highest of the servers' loads by their weight. Nodes without rates have
// 1 each; a node shares its load among the members that are not lost, or over all that are left if it has none. lost
// is nil where no server is.
func load(
	servers []subset.Server, subsets [][]subset.Member, rates []float64, lost func(subset.Server) bool,
) (deviation, highest float64) {
	isLeft := make([]bool, len(servers))
	var weightLeft float64
	for i, server := range servers {
		isLeft[i] = lost == nil || !lost(server)
		if isLeft[i] {
			weightLeft += server.Weight
		}
	}
	work := make([]float64, len(servers))
	var total float64
	for node, members := range subsets {
		rate := 1.0
		if rates != nil {
			rate = rates[node]
		}
		total += rate
		addWork(work, servers, members, isLeft, rate, weightLeft)
	}
	mean, count := total/weightLeft, 0.0
	for i, server := range servers {
		if !isLeft[i] {
			continue
		}
		relative := work[i] / server.Weight / mean
		highest = math.Max(highest, relative)
		deviation += (relative - 1) * (relative - 1)
		count++
	}
	return math.Sqrt(deviation / count), highest
}

// addWork adds the work of one node, of some rate, to that of the servers.
func addWork(
	work []float64, servers []subset.Server, members []subset.Member, isLeft []bool, rate, weightLeft float64,
) {
	var fractionLeft float64
	for _, member := range members {
		if isLeft[member.Index] {
			fractionLeft += member.TrafficFraction
		}
	}
	if fractionLeft == 0 {
		for i, server := range servers {
			if isLeft[i] {
				work[i] += rate * server.Weight / weightLeft
			}
		}
		return
	}
	for _, member := range members {
		if isLeft[member.Index] {
			work[member.Index] += rate * member.TrafficFraction / fractionLeft
		}
	}
}
