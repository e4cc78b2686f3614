package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func servers(n int, seed uint64) (list []Server) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Zone: []string{"a", "b"}[i%2], Weight: 0.8 + 0.4*rng.Float64()})
	}
	return list
}

var rule = Sizing{TargetServers: 16, MinHolders: 24, MaxOmitted: 8}

func ids(list []Server, members []Member) map[string]bool {
	set := map[string]bool{}
	for _, m := range members {
		set[list[m.Index].ID] = true
	}
	return set
}

// Small fleets, of servers or of nodes, keep all servers; so does a rule that says nothing.
func TestWholeParts(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, size int
		rule                 Sizing
	}{
		{300, 24, 24, rule}, {300, 25, 16, rule}, {300, 3, 3, rule}, {3, 300, 300, rule}, {24, 300, 300, rule},
		{30, 300, 240, rule}, {300, 170, 16, rule}, {1000, 1000, 24, rule}, {300, 170, 170, Sizing{}}, {300, 0, 0, rule},
	} {
		f := Tier{Nodes: c.nodes, Sizing: c.rule}
		if got := f.SubsetSize(c.servers); got != c.size {
			t.Errorf("%d nodes, %d servers: a part of %d, want %d", c.nodes, c.servers, got, c.size)
		}
		if members := f.Select(servers(c.servers, 1), 0, 1); c.size == c.servers && len(members) != c.servers {
			t.Errorf("%d nodes, %d servers: %d members", c.nodes, c.servers, len(members))
		}
	}
}

// The load that even nodes put on servers is even by their size, and no server is in many more parts than others;
// without the count of holders its spread would be several times as large.
func TestBalance(t *testing.T) {
	for seed := range uint64(8) {
		list := servers(170, seed)
		f := Tier{Nodes: 300, Seed: seed, Sizing: rule}
		work, uncounted := make([]float64, len(list)), make([]float64, len(list))
		for node := range f.Nodes {
			members := f.Select(list, node, 1)
			if len(members) < 8 || len(members) > 32 {
				t.Fatalf("seed %d: node %d has %d members", seed, node, len(members))
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
				uncounted[m.Index] += 1 / sizes
			}
			if math.Abs(sum-1) > 1e-9 || zones["a"] < 4 || zones["b"] < 4 {
				t.Fatalf("seed %d: node %d: shares sum to %v, zones %v", seed, node, sum, zones)
			}
		}
		dev := func(x []float64) float64 {
			mean, sq := 0.0, 0.0
			for _, v := range x {
				mean += v / float64(len(x))
			}
			for _, v := range x {
				sq += (v/mean - 1) * (v/mean - 1)
			}
			return math.Sqrt(sq / float64(len(x)))
		}
		if d, u := dev(work), dev(uncounted); d > 0.08 || u < 2*d {
			t.Errorf("seed %d: load spread by %.3f, %.3f without the count of holders", seed, d, u)
		}
	}
}

// What comes or goes moves its own places and, as the bar follows the list's length, as many again: 28 of 4,800.
func TestMovement(t *testing.T) {
	moved, places := 0, 0
	for seed := range uint64(10) {
		list := servers(170, seed)
		f := Tier{Nodes: 300, Seed: seed, Sizing: rule}
		less := slices.Delete(slices.Clone(list), 60, 61)
		for node := range f.Nodes {
			was, now := ids(list, f.Select(list, node, 1)), ids(less, f.Select(less, node, 1))
			for id := range now {
				if !was[id] {
					moved++
				}
			}
			places += len(was)
		}
	}
	if limit := 3 * places / 170; moved > limit {
		t.Errorf("%d members changed when one server of 170 went, in ten fleets; its places are %d", moved, places/170)
	}
	// Another number of nodes, as some take it to be, changes bars a little and lots not at all.
	list, changed := servers(170, 3), 0
	for node := range 300 {
		was := ids(list, Tier{Nodes: 300, Sizing: rule}.Select(list, node, 1))
		for id := range ids(list, Tier{Nodes: 330, Sizing: rule}.Select(list, node, 1)) {
			if !was[id] {
				changed++
			}
		}
	}
	if changed > 0 {
		t.Errorf("%d members changed with the number of nodes", changed)
	}
}

// A part does not depend on the order of the list, and a wider one holds the narrower.
func TestOrderAndWidth(t *testing.T) {
	list := servers(170, 4)
	other := slices.Clone(list)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
	f := Tier{Nodes: 300, Sizing: rule}
	for node := range f.Nodes {
		narrow := ids(list, f.Select(list, node, 1))
		wide := ids(other, f.Select(other, node, 1.5))
		for id := range narrow {
			if !wide[id] {
				t.Fatalf("node %d: %s is in its part and not in the wider one", node, id)
			}
		}
		if len(wide) <= len(narrow) {
			t.Fatalf("node %d: %d members, %d when wider", node, len(narrow), len(wide))
		}
	}
}

// Half a part dead needs no more; with less than a third left it widens at once, as it does for a node whose attempts
// pile up, and it comes back a step at a time.
func TestWidth(t *testing.T) {
	var w WidthController
	if w.Update(0, 0.5, 16, 1); w.Factor() != 1 {
		t.Fatal("half of the part was not enough")
	}
	if !w.Update(time.Second, 0.2, 16, 1) || w.Factor() < 0.35/0.2-1e-9 {
		t.Fatalf("a fifth of the part left: width %v", w.Factor())
	}
	top := w.Factor()
	if w.Update(5*time.Second, 1, 32, 1); w.Factor() != top {
		t.Fatal("it shrank at once")
	}
	for at := 6 * time.Second; at < 10*time.Second; at += time.Second / 10 {
		w.Update(at, 1, 32, 1)
	}
	if f := w.Factor(); f >= top || f < top/2 {
		t.Fatalf("after a while the width is %v, it was %v", f, top)
	}
	for at := 12 * time.Second; at < 60*time.Second; at += time.Second / 10 {
		w.Update(at, 1, 16, 1)
	}
	if w.Factor() != 1 {
		t.Fatalf("after a minute the width is %v", w.Factor())
	}
	if !w.Update(61*time.Second, 1, 16, 35) || w.Factor() < 35.0/16-1e-9 {
		t.Fatalf("35 attempts out at 16 members: width %v", w.Factor())
	}
	var hasty WidthController
	if hasty.Update(0, 0, 16, 1); hasty.Factor() > 2.26 {
		t.Fatalf("nothing seems fit for a moment, and the part is %v times as wide", hasty.Factor())
	}
	if w.Update(61*time.Second+time.Millisecond, 0, 16, 1) {
		t.Fatal("it widened twice at one moment")
	}
	for i := range 100 {
		w.Update(62*time.Second+time.Duration(i)*time.Second, 0, 16, 1)
	}
	if w.Factor() > 26 || math.IsNaN(w.Factor()) {
		t.Fatalf("nothing left: width %v", w.Factor())
	}
}

// A zone with few servers is in each part all the same, with two.
func TestSmallZone(t *testing.T) {
	list := servers(170, 6)
	for i := range list {
		list[i].Zone = "a"
	}
	list[5].Zone, list[90].Zone, list[133].Zone = "b", "b", "b"
	f := Tier{Nodes: 300, Sizing: rule}
	for node := range f.Nodes {
		n := 0
		for _, m := range f.Select(list, node, 1) {
			if list[m.Index].Zone == "b" {
				n++
			}
		}
		if n < 2 {
			t.Fatalf("node %d has %d servers of the small zone", node, n)
		}
	}
}

func FuzzForm(f *testing.F) {
	f.Add(uint16(300), uint16(170), uint16(3), 1.0, 1.0)
	f.Fuzz(func(t *testing.T, nodes, n, node uint16, size, wide float64) {
		list := servers(int(n%400), 5)
		for i := range list {
			if i%3 == 0 {
				list[i].Weight = size
			}
		}
		fl := Tier{Nodes: int(nodes%500) + 1, Sizing: rule}
		members := fl.Select(list, int(node)%fl.Nodes, wide)
		sum := 0.0
		for i, m := range members {
			if m.Index < 0 || m.Index >= len(list) || m.HolderCount < 1 || !(m.TrafficFraction >= 0) || i > 0 && m.Index <= members[i-1].Index {
				t.Fatalf("member %+v", m)
			}
			sum += m.TrafficFraction
		}
		if len(list) > 0 && (len(members) < min(len(list), 2) || math.Abs(sum-1) > 1e-6) {
			t.Fatalf("%d members of %d servers, shares sum to %v", len(members), len(list), sum)
		}
	})
}
