package subset

// Sizing determines the size of subsets. The zero value gives every node all servers.
type Sizing struct {
	// TargetServers is the number of servers in a subset, if there are enough nodes for MinHolders.
	TargetServers int
	// MinHolders is the least number of subsets that a server is in, on average. A small number of nodes therefore have
	// larger subsets.
	MinHolders int
	// MaxOmitted is the number of servers that are not worth leaving out: a subset that would omit at most this many
	// servers holds all servers instead.
	MaxOmitted int
}

// SubsetSize returns the mean number of servers in the subset of a node.
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
