package subset

// Sizing says how large a subset is. The zero value gives every node all servers.
type Sizing struct {
	// TargetServers is the number of servers in a subset, if there are nodes enough.
	TargetServers int
	// MinHolders is how many subsets a server is in at least, on average: fewer nodes have larger subsets.
	MinHolders int
	// MaxOmitted is how many servers a subset leaves out at least: one that would omit no more holds all servers.
	MaxOmitted int
}

// SubsetSize is the number of servers in the subset of each node, on average.
func (t Tier) SubsetSize(servers int) int {
	if t.TargetServers <= 0 || servers <= 0 || t.Nodes < 1 {
		return max(servers, 0)
	}
	byHolders := (t.MinHolders*servers + t.Nodes - 1) / t.Nodes
	size := max(t.TargetServers, byHolders)
	if size+t.MaxOmitted >= servers {
		return servers
	}
	return size
}
