// Package subset assigns the servers of a large site to the nodes of a tier (deterministic subsetting). Each node
// uses a subset of the servers, so that its few requests find open connections and servers whose state is known.
//
// Subsets are selected by hashing. Each pair of a node and a server has a score in [0, 1), which depends only on the
// node's number, the server's ID and the tier's seed; a server is in a node's subset if the score is below the
// server's threshold. That is rendezvous hashing with a threshold in place of a rank (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998): a server that is added, removed or unknown to some node does
// not affect the assignment of others, and a higher threshold gives a superset. With scores alone some servers would
// have half as many holders (nodes with it in their subset) as others. Each node therefore counts a server's
// holders, since it can compute all scores, and sends the server requests in proportion to its weight divided by
// their number.
//
// The package does no I/O, reads no clock and draws no random numbers.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// minZoneMembers is the least number of each zone's servers in a subset, unless the zone has fewer: the loss of one
// zone must not empty a subset.
const minZoneMembers = 2

// Server is a server of the endpoint list that accepts requests.
type Server struct {
	ID     string
	Zone   string
	Weight float64 // relative; 0 or less counts as 1
}

// weight returns the server's weight, or 1 if it is not a positive finite number.
func (s *Server) weight() float64 {
	if s.Weight > 0 && !math.IsInf(s.Weight, 1) {
		return s.Weight
	}
	return 1
}

// Tier holds the parameters on which all nodes of a tier have to agree. Nodes whose endpoint lists differ for a while
// assign the servers that differ, and few others, differently.
type Tier struct {
	Nodes int    // number of nodes; at least 1
	Seed  uint64 // seed of the scores
	Sizing
}

// Member is a server of a subset.
type Member struct {
	Index           int     // in the list passed to Select
	TrafficFraction float64 // fraction of the node's requests; the fractions of all members sum to 1
	HolderCount     int     // nodes that have the server in their subset, this one included
}

// Select returns the subset of a node (numbered from 0), in the order of the list. A width above 1 multiplies the
// size of the subset, which then includes the one of width 1. Every zone has members in proportion to its servers,
// and at least two if it has two servers.
func (t Tier) Select(servers []Server, node int, width float64) []Member {
	size := t.SubsetSize(len(servers))
	if size >= len(servers) {
		return t.selectAll(servers)
	}
	members := make([]Member, 0, size)
	density := float64(size) / totalWeight(servers)
	maxRank := math.Max(width, 1)
	for _, zone := range indicesByZone(servers) {
		candidates := t.rank(servers, zone, node, density)
		least := minMembers(size, len(candidates), len(servers))
		for i, c := range candidates {
			if isSelected := i < least || c.rank < maxRank; !isSelected {
				break
			}
			server := &servers[c.index]
			holders := t.countHolders(t.serverHash(server.ID), threshold(server, density))
			members = append(members, Member{
				Index:           c.index,
				HolderCount:     holders,
				TrafficFraction: server.weight() / float64(holders),
			})
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Index, b.Index) })
	return NormalizeFractions(members)
}

// selectAll returns a subset that holds every server.
func (t Tier) selectAll(servers []Server) []Member {
	members := make([]Member, 0, len(servers))
	for i := range servers {
		members = append(members, Member{Index: i, HolderCount: max(t.Nodes, 1), TrafficFraction: servers[i].weight()})
	}
	return NormalizeFractions(members)
}

// candidate is a server of a zone and its rank for a node.
type candidate struct {
	index int
	rank  float64 // score divided by threshold; if below 1, the server is in the subset of width 1
}

// rank returns the servers of a zone, given by their indices, in the order in which the node selects them.
func (t Tier) rank(servers []Server, zone []int, node int, density float64) []candidate {
	candidates := make([]candidate, 0, len(zone))
	for _, i := range zone {
		server := &servers[i]
		rank := score(node, t.serverHash(server.ID)) / threshold(server, density)
		candidates = append(candidates, candidate{index: i, rank: rank})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	return candidates
}

// minMembers returns the least number of a zone's servers in a subset. The number of scores below the threshold varies
// randomly between nodes (its standard deviation is the root of the size). A subset with less than half of the mean
// size could not afford the loss of members and is filled up.
func minMembers(size, zoneServers, allServers int) int {
	half := math.Ceil(float64(size) * float64(zoneServers) / float64(2*allServers))
	return min(max(int(half), minZoneMembers), zoneServers)
}

// indicesByZone returns the servers' indices, grouped by zone, in the order of the zones' names.
func indicesByZone(servers []Server) [][]int {
	zones := map[string][]int{}
	var names []string
	for i := range servers {
		zone := servers[i].Zone
		if _, ok := zones[zone]; !ok {
			names = append(names, zone)
		}
		zones[zone] = append(zones[zone], i)
	}
	slices.Sort(names)
	groups := make([][]int, 0, len(names))
	for _, name := range names {
		groups = append(groups, zones[name])
	}
	return groups
}

func totalWeight(servers []Server) float64 {
	var sum float64
	for i := range servers {
		sum += servers[i].weight()
	}
	return sum
}

// NormalizeFractions scales the members' traffic fractions in place to sum to 1, and returns the members.
func NormalizeFractions(members []Member) []Member {
	var sum float64
	for _, m := range members {
		sum += m.TrafficFraction
	}
	for i := range members {
		members[i].TrafficFraction /= sum
	}
	return members
}
