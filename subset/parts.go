// Package parts shares out the servers of a large fleet among the nodes of a tier: each node keeps to a part
// of the servers, so that its few requests find connections that stand open and servers that it knows.
//
// A part is drawn by lots. Each pair of a node and a server has a lot, a number from 0 to 1 that follows from
// the node's number, the server's id and the fleet's seed alone; a server is in a node's part where the lot
// lies under the server's bar. That is rendezvous hashing by a threshold in place of a rank (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): what comes, goes or is unknown at some
// node moves its own places and no others, and a higher bar gives a part that holds the lower one's. Lots alone
// would leave some servers with half as many holders as others. Each node therefore counts a server's holders,
// which it can since it knows all the lots, and the server's share of the node's requests is its size over their
// number: a server in few parts is asked more often by each.
//
// The package does no I/O, keeps no clock and draws no random numbers.
package subset

import (
	"hash/fnv"
	"math"
	"slices"

	"mulleinmux/internal/splitmix"
)

// Server is a server that takes requests, as the list has it.
type Server struct {
	ID     string
	Zone   string
	Weight float64 // relative; at or under 0 counts as 1
}

// Tier is what all nodes of a tier have to agree on for their parts to fit together. Nodes that disagree for
// a while, since their lists are of different ages, differ in the servers concerned and in little else.
type Tier struct {
	Nodes int    // number of nodes; at least 1
	Seed  uint64 // sets the lots: another seed, other parts
	Sizing
}

// Sizing says how large a part is. The zero value gives every node all servers.
type Sizing struct {
	TargetServers int // servers in a part, if there are nodes enough
	MinHolders    int // least number of parts that a server is in, on average: fewer nodes have larger parts
	MaxOmitted    int // a part that would leave out no more than so many servers holds all
}

// Member is a server of a part.
type Member struct {
	Index           int     // in the list that the part was formed from
	TrafficFraction float64 // of the node's requests, as a part of the sum over its members
	HolderCount     int     // nodes that have the server in their part, this one included
}

// SubsetSize is the number of servers in the part of each node, on average.
func (f Tier) SubsetSize(servers int) int {
	if f.TargetServers <= 0 || servers <= 0 || f.Nodes < 1 {
		return max(servers, 0)
	}
	size := max(f.TargetServers, (f.MinHolders*servers+f.Nodes-1)/f.Nodes)
	if size+f.MaxOmitted >= servers {
		return servers
	}
	return size
}

// mark is a server's half of its lots: FNV-1a over its id, mixed with the seed.
func (f Tier) mark(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return splitmix.Mix(h.Sum64() + f.Seed)
}

// lot is the lot of a node and a server's mark, from 0 to 1.
func lot(node int, mark uint64) float64 {
	return float64(splitmix.Mix(mark+uint64(node+1)*0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

func (s *Server) size() float64 {
	if s.Weight > 0 && !math.IsInf(s.Weight, 1) {
		return s.Weight
	}
	return 1
}

// Select returns the part of a node (numbered from 0), by the servers' order in the list. With wide over 1 the part is
// so many times larger and holds the part that wide 1 gives. Every zone has members in the part in proportion,
// two at the least where it has two servers: the loss of one zone must not empty a part.
func (f Tier) Select(servers []Server, node int, wide float64) []Member {
	size := f.SubsetSize(len(servers))
	members := make([]Member, 0, size)
	if size >= len(servers) {
		for i := range servers {
			members = append(members, Member{Index: i, HolderCount: max(f.Nodes, 1), TrafficFraction: servers[i].size()})
		}
		return NormalizeFractions(members)
	}
	var sum float64
	zones := map[string][]int{}
	var names []string
	for i := range servers {
		sum += servers[i].size()
		if _, ok := zones[servers[i].Zone]; !ok {
			names = append(names, servers[i].Zone)
		}
		zones[servers[i].Zone] = append(zones[servers[i].Zone], i)
	}
	slices.Sort(names)
	share := float64(size) / sum
	type ticket struct {
		index int
		rank  float64 // lot over bar: under 1 the server is in the part
	}
	tickets := make([]ticket, 0, len(servers))
	for _, zone := range names {
		tickets = tickets[:0]
		for _, i := range zones[zone] {
			s := &servers[i]
			tickets = append(tickets, ticket{i, lot(node, f.mark(s.ID)) / math.Min(share*s.size(), 1)})
		}
		slices.SortFunc(tickets, func(a, b ticket) int {
			if a.rank < b.rank {
				return -1
			}
			return 1
		})
		// A lot under its bar is what the other nodes count as a place. A part's number of members spreads by its
		// root; one with under half of its size would be too small to lose some, and is filled up.
		least := min(max(int(math.Ceil(float64(size)*float64(len(tickets))/float64(2*len(servers)))), 2), len(tickets))
		want := 0
		for want < len(tickets) && (want < least || tickets[want].rank < math.Max(wide, 1)) {
			want++
		}
		for _, t := range tickets[:want] {
			s := &servers[t.index]
			held := f.holders(f.mark(s.ID), math.Min(share*s.size(), 1))
			members = append(members, Member{Index: t.index, HolderCount: held, TrafficFraction: s.size() / float64(held)})
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Index - b.Index })
	return NormalizeFractions(members)
}

// holders counts the nodes whose lot for a server is under its bar: those that have it in their part, but for
// the few whose parts were filled up.
func (f Tier) holders(mark uint64, bar float64) (n int) {
	for node := range f.Nodes {
		if lot(node, mark) < bar {
			n++
		}
	}
	return max(n, 1)
}

// NormalizeFractions scales the members' shares in place to sum to 1, and returns them.
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
