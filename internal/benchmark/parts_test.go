package benchmark

import (
	"reflect"
	"testing"
)

// The table comes out the same each time, and tells the ways apart: random parts move, ranks leave loads uneven, lots do neither.
func TestPartsTellsWaysApart(t *testing.T) {
	rows, err := Parts(120, 70, 16, 3)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Parts(120, 70, 16, 3)
	if !reflect.DeepEqual(rows, again) {
		t.Error("the same seed gives another table")
	}
	by := map[string]PartsResult{}
	for _, r := range rows {
		by[r.Way] = r
		if r.Members < 10 || r.Members > 20 || r.Most < 1 || r.Fewest < 1 {
			t.Errorf("%+v", r)
		}
	}
	if by["random"].Gone < 10*by["lots"].Gone || by["rendezvous"].Spread < 2*by["lots"].Spread || by["ring"].Spread > 0.01 ||
		by["lots, uncounted"].Spread < 2*by["lots"].Spread || by["rounds"].Gone < 1.5*by["rendezvous"].Gone {
		t.Errorf("%+v", rows)
	}
	if _, err := Parts(0, 70, 16, 3); err == nil {
		t.Error("no nodes: no error")
	}
}
