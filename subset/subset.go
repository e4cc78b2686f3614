// Package subset assigns the servers of a large site to the nodes of a tier: each node keeps to a subset
// of the servers, so that its few requests find connections that stand open and servers that it knows.
//
// A subset is drawn by hashing. Each pair of a node and a server has a score from 0 to 1 that follows from
// the node's number, the server's id and the tier's seed alone; a server is in a node's subset where the score
// lies under the server's threshold. That is rendezvous hashing by a threshold in place of a rank (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): a server that is added, removed or unknown
// to some node changes its own places and no others, and a higher threshold gives a subset that holds the lower one's.
// Scores alone would leave some servers with half as many holders as others. Each node therefore counts a server's
// holders, which it can since it knows all the scores, and the server's fraction of the node's requests is its weight
// over their number: a server in few subsets gets more requests from each.
//
// The package does no I/O, keeps no clock and draws no random numbers.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// minZoneMembers is how many servers of each zone a subset has at least, where the zone has them: the loss of one
// zone must not empty a subset.
const minZoneMembers = 2

// Server is a server that takes requests, as in the endpoint list.
type Server struct {
	ID     string
	Zone   string
	Weight float64 // relative; at or under 0 counts as 1
}

// weight returns the server's weight, or 1 where the list gives none that can be used.
func (s *Server) weight() float64 {
	if s.Weight > 0 && !math.IsInf(s.Weight, 1) {
		return s.Weight
	}
	return 1
}

// Tier is what all nodes of a tier have to agree on for their subsets to fit together. Nodes that disagree for
// a while, since their lists are of different ages, differ in the servers concerned and in little else.
type Tier struct {
	Nodes int    // number of nodes; at least 1
	Seed  uint64 // of the scores: another seed, other subsets
	Sizing
}

// Member is a server of a subset.
type Member struct {
	Index           int     // in the list that the subset was selected from
	TrafficFraction float64 // of the node's requests; all members' fractions sum to 1
	HolderCount     int     // nodes that have the server in their subset, this one included
}

// Select returns the subset of a node (numbered from 0), by the servers' order in the list. With a width over 1 the
// subset is so many times larger and holds the subset that width 1 gives. Every zone has members in proportion,
// two at the least where it has two servers.
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

// candidate is a server of a zone with its rank for a node.
type candidate struct {
	index int
	rank  float64 // score over threshold: under 1 the server is in the subset
}

// rank returns the servers of a zone, by their indices, in the order in which the node takes them.
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

// minMembers is how many of a zone's servers a subset of a size holds at least. A score under its threshold is what the
// other nodes count as a holder. A subset's number of members spreads by its root; one with under half of its size
// would be too small to lose some, and is filled up.
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
