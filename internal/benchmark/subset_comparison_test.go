package benchmark

import (
	"reflect"
	"testing"
)

// The table comes out the same each time, and tells the methods apart: random subsets move, rendezvous hashing leaves
// loads uneven, that of package subset does neither.
func TestCompareSubsetsTellsMethodsApart(t *testing.T) {
	rows, err := CompareSubsets(120, 70, 16, 3)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := CompareSubsets(120, 70, 16, 3)
	if !reflect.DeepEqual(rows, again) {
		t.Error("the same seed gives another table")
	}
	by := map[string]SubsetFigures{}
	for _, r := range rows {
		by[r.Method] = r
		if r.MeanSize < 10 || r.MeanSize > 20 || r.MaxLoad < 1 || r.MinSize < 1 {
			t.Errorf("%+v", r)
		}
	}
	tier := by["lots"]
	if by["random"].ServerGone < 10*tier.ServerGone ||
		by["rendezvous"].LoadDeviation < 2*tier.LoadDeviation ||
		by["ring"].LoadDeviation > 0.01 ||
		by["lots, uncounted"].LoadDeviation < 2*tier.LoadDeviation ||
		by["rounds"].ServerGone < 1.5*by["rendezvous"].ServerGone {
		t.Errorf("%+v", rows)
	}
	if _, err := CompareSubsets(0, 70, 16, 3); err == nil {
		t.Error("no nodes: no error")
	}
}
