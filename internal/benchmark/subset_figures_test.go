package benchmark

import (
	"math"
	"math/rand/v2"
	"testing"

	"mulleinmux/subset"
)

// selectRandom selects random servers. A different number of servers gives an unrelated selection.
func selectRandom(f *fleet, node int) []subset.Member {
	rng := rand.New(rand.NewPCG(f.seed+uint64(node), uint64(len(f.servers)*1009+f.nodes)))
	return byWeight(f.servers, rng.Perm(len(f.servers))[:min(f.size, len(f.servers))])
}

// selectUncounted selects the subsets of package subset, but divides the traffic by weight alone, without correcting
// for the number of subsets that a server is in.
func selectUncounted(f *fleet, node int) []subset.Member {
	var indexes []int
	for _, member := range selectByTier(f, node) {
		indexes = append(indexes, member.Index)
	}
	return byWeight(f.servers, indexes)
}

// byWeight returns the servers at some indexes as members with traffic fractions by their weights alone.
func byWeight(servers []subset.Server, indexes []int) (members []subset.Member) {
	for _, i := range indexes {
		members = append(members, subset.Member{Index: i, TrafficFraction: servers[i].Weight})
	}
	return subset.NormalizeFractions(members)
}

// Compared with random subsets, those of package subset change little when a server is removed. Their load is balanced
// better than that of random subsets and than that of the same subsets without the correction of traffic fractions.
func TestSubsetFiguresBesideControls(t *testing.T) {
	f, rates := newFleet(120, 70, 16, 3)
	tier := f.measure(selectByTier, rates)
	random := f.measure(selectRandom, rates)
	uncounted := f.measure(selectUncounted, rates)
	for name, figures := range map[string]SubsetFigures{"tier": tier, "random": random, "uncounted": uncounted} {
		if figures.MeanSize < 10 || figures.MeanSize > 20 || figures.MaxLoad < 1 || figures.MinSize < 1 {
			t.Errorf("%s: got %+v, want MeanSize 10 to 20, and MaxLoad and MinSize of at least 1", name, figures)
		}
	}
	if random.ServerGone < 10*tier.ServerGone {
		t.Errorf("ServerGone: got %v for tier and %v for random, want 10 times more for random",
			tier.ServerGone, random.ServerGone)
	}
	if random.LoadDeviation < 2*tier.LoadDeviation || uncounted.LoadDeviation < 2*tier.LoadDeviation {
		t.Errorf("LoadDeviation: got %v for tier, want at most half of random's %v and uncounted's %v",
			tier.LoadDeviation, random.LoadDeviation, uncounted.LoadDeviation)
	}
}

// loadStatistics returns the deviation and maximum that were calculated by hand for small fleets.
func TestLoadStatistics(t *testing.T) {
	subsetOf := func(indexes ...int) (members []subset.Member) {
		for _, i := range indexes {
			members = append(members, subset.Member{Index: i, TrafficFraction: 1 / float64(len(indexes))})
		}
		return members
	}
	isZoneA := func(server subset.Server) bool { return server.Zone == "a" }
	servers := []subset.Server{
		{ID: "0", Zone: "a", Weight: 1}, {ID: "1", Zone: "a", Weight: 1},
		{ID: "2", Zone: "b", Weight: 1}, {ID: "3", Zone: "b", Weight: 1},
	}
	for name, c := range map[string]struct {
		subsets   [][]subset.Member
		rates     []float64
		lost      func(subset.Server) bool
		deviation float64
		highest   float64
	}{
		"all alike":              {subsets: [][]subset.Member{subsetOf(0, 1), subsetOf(2, 3)}, highest: 1},
		"one server has all":     {subsets: [][]subset.Member{subsetOf(0)}, deviation: math.Sqrt(3), highest: 4},
		"half have all":          {subsets: [][]subset.Member{subsetOf(0, 2)}, deviation: 1, highest: 2},
		"zone lost":              {subsets: [][]subset.Member{subsetOf(0, 2)}, lost: isZoneA, deviation: 1, highest: 2},
		"subset lost altogether": {subsets: [][]subset.Member{subsetOf(0, 1)}, lost: isZoneA, highest: 1},
		"nodes that differ": {subsets: [][]subset.Member{subsetOf(0, 1), subsetOf(2, 3)}, rates: []float64{3, 1},
			deviation: 0.5, highest: 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			deviation, highest := loadStatistics(servers, c.subsets, c.rates, c.lost)
			if math.Abs(deviation-c.deviation) > 1e-9 || math.Abs(highest-c.highest) > 1e-9 {
				t.Errorf("got deviation %v, highest load %v; want %v, %v", deviation, highest, c.deviation, c.highest)
			}
		})
	}
}

// newMembers counts the servers that the old subset lacks, by ID and not by their index in the list.
func TestNewMembers(t *testing.T) {
	selectFirstTwo := func(_ *fleet, _ int) []subset.Member { return []subset.Member{{Index: 0}, {Index: 1}} }
	before := &fleet{nodes: 1, servers: []subset.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	for name, c := range map[string]struct {
		ids  []string
		want float64
	}{
		"same":           {[]string{"a", "b", "c"}, 0},
		"in other order": {[]string{"b", "a", "c"}, 0},
		"one gone":       {[]string{"b", "c"}, 1},
		"all new":        {[]string{"d", "e"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			after := &fleet{nodes: 1}
			for _, id := range c.ids {
				after.servers = append(after.servers, subset.Server{ID: id})
			}
			if got := before.newMembers([][]subset.Member{selectFirstTwo(before, 0)}, after, selectFirstTwo); got != c.want {
				t.Errorf("got %v new members, want %v", got, c.want)
			}
		})
	}
}

// MeasureSubsets returns the same figures for the same seed, and an error for a fleet without nodes.
func TestMeasureSubsetsRepeats(t *testing.T) {
	first, err := MeasureSubsets(120, 70, 16, 3)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := MeasureSubsets(120, 70, 16, 3); err != nil || again != first {
		t.Errorf("got %+v and %+v (error %v) for the same seed, want equal figures", first, again, err)
	}
	if _, err := MeasureSubsets(0, 70, 16, 3); err == nil {
		t.Error("got no error for 0 nodes, want one")
	}
}
