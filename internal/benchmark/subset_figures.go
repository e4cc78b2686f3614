package benchmark

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"mulleinmux/subset"
)

// SubsetFigures are the figures of package subset's subsets in a fleet of one size. Loads are servers' loads divided by
// their weights, as multiples of the mean over the fleet.
type SubsetFigures struct {
	Method         string  `json:"Way"` // always subsetMethod
	Nodes          int     `json:"Nodes"`
	Servers        int     `json:"Servers"`
	MeanSize       float64 `json:"Members"` // mean size of a subset
	MinSize        int     `json:"Fewest"`  // size of the smallest subset
	MaxSubsets     int     `json:"Held"`    // most subsets with one server, which has at least one connection for each
	LoadDeviation  float64 `json:"Spread"`  // standard deviation of the load, if all nodes have the same load
	MaxLoad        float64 `json:"Most"`    // highest load, if all nodes have the same load
	UnevenNodes    float64 `json:"Uneven"`  // standard deviation of the load, if that of nodes' loads equals their mean
	MaxLoadZoneOut float64 `json:"Zone"`    // highest load of the remaining servers when one of two zones is lost
	// Subset members that all nodes replace when one server is removed (ServerGone) or added (ServerCame), as multiples of
	// the fewest possible.
	ServerGone float64 `json:"Gone"`
	ServerCame float64 `json:"Came"`
	// Fraction of its subset that a node replaces if it assumes a tier a tenth larger than it is.
	WrongNodeCount float64 `json:"Miscut"`
}

// subsetMethod is the name of package subset's method in the results.
const subsetMethod = "lots"

// fleet is a number of nodes, each with a subset of the servers.
type fleet struct {
	servers []subset.Server
	nodes   int
	size    int // target size of a subset
	seed    uint64
}

// subsetSelector is a method of subsetting. It returns the subset of a node.
type subsetSelector func(f *fleet, node int) []subset.Member

// selectByTier selects a subset by the method of package subset, as instances do.
func selectByTier(f *fleet, node int) []subset.Member {
	tier := subset.Tier{Nodes: f.nodes, Seed: f.seed, Sizing: subset.Sizing{TargetServers: f.size}}
	return tier.Select(f.servers, node, 1)
}

// MeasureSubsets measures the subsets of a fleet with random servers. size is the target size of a subset.
func MeasureSubsets(nodes, servers, size int, seed uint64) (SubsetFigures, error) {
	if nodes < 1 || servers < 2 || size < 1 {
		return SubsetFigures{}, fmt.Errorf("benchmark: subsets of %d servers for %d nodes and %d servers: "+
			"all numbers must be at least 1, and the servers at least 2", size, nodes, servers)
	}
	f, rates := newFleet(nodes, servers, size, seed)
	return f.measure(selectByTier, rates), nil
}

// newFleet returns a fleet of random servers, and a random load for each of its nodes.
func newFleet(nodes, servers, size int, seed uint64) (f *fleet, rates []float64) {
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)<<32|uint64(servers)))
	f = &fleet{servers: randomServers(rng, servers), nodes: nodes, size: min(size, servers), seed: seed}
	rates = make([]float64, nodes)
	for i := range rates {
		rates[i] = rng.ExpFloat64()
	}
	return f, rates
}

// randomServers returns servers of two zones with weights from 0.75 to 1.25.
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

// movementSamples is the number of removed, and of added, servers over which ServerGone and ServerCame are averaged.
const movementSamples = 4

// measure returns the figures of one method. rates are the loads of the nodes for UnevenNodes.
func (f *fleet) measure(method subsetSelector, rates []float64) SubsetFigures {
	serverCount := len(f.servers)
	figures := SubsetFigures{Method: subsetMethod, Nodes: f.nodes, Servers: serverCount, MinSize: serverCount}
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
	figures.LoadDeviation, figures.MaxLoad = loadStatistics(f.servers, subsets, nil, nil)
	figures.UnevenNodes, _ = loadStatistics(f.servers, subsets, rates, nil)
	isZoneA := func(server subset.Server) bool { return server.Zone == "a" }
	_, figures.MaxLoadZoneOut = loadStatistics(f.servers, subsets, nil, isZoneA)

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

// newMembers counts the members of the nodes' subsets in another fleet that their subsets in f lack.
func (f *fleet) newMembers(subsets [][]subset.Member, other *fleet, method subsetSelector) (count float64) {
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

// loadStatistics returns the standard deviation and the maximum of the servers' loads, divided by their weights and
// relative to the mean. rates are the nodes' loads; if nil, all nodes have the same load. A node divides its load among
// the members that are not lost, or among all remaining servers if all its members are lost. lost is nil if no server
// is lost.
func loadStatistics(
	servers []subset.Server, subsets [][]subset.Member, rates []float64, lost func(subset.Server) bool,
) (deviation, highest float64) {
	isAvailable := make([]bool, len(servers))
	var availableWeight float64
	for i, server := range servers {
		isAvailable[i] = lost == nil || !lost(server)
		if isAvailable[i] {
			availableWeight += server.Weight
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
		addNodeLoad(work, servers, members, isAvailable, rate, availableWeight)
	}
	mean, count := total/availableWeight, 0.0
	for i, server := range servers {
		if !isAvailable[i] {
			continue
		}
		relative := work[i] / server.Weight / mean
		highest = math.Max(highest, relative)
		deviation += (relative - 1) * (relative - 1)
		count++
	}
	return math.Sqrt(deviation / count), highest
}

// addNodeLoad adds the load of one node, which is rate, to that of the servers.
func addNodeLoad(
	work []float64, servers []subset.Server, members []subset.Member, isAvailable []bool, rate, availableWeight float64,
) {
	var availableFraction float64
	for _, member := range members {
		if isAvailable[member.Index] {
			availableFraction += member.TrafficFraction
		}
	}
	if availableFraction == 0 {
		for i, server := range servers {
			if isAvailable[i] {
				work[i] += rate * server.Weight / availableWeight
			}
		}
		return
	}
	for _, member := range members {
		if isAvailable[member.Index] {
			work[member.Index] += rate * member.TrafficFraction / availableFraction
		}
	}
}
