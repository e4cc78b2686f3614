package lateness

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// start is the clock reading at the start of a test; clocks do not start near 0.
const start = 1000 * time.Hour

// The estimate is the maximum lateness in the latest one to two windows.
func TestEstimator(t *testing.T) {
	type record struct{ due, now time.Duration }
	for _, test := range []struct {
		name    string
		records []record
		want    time.Duration // estimate after the last record
	}{
		{"in time", []record{{0, 0}, {10 * ms, 10 * ms}}, 0},
		{"the longest", []record{{0, 40 * ms}, {50 * ms, 60 * ms}}, 40 * ms},
		{"of the window before", []record{{0, 40 * ms}, {40*ms + window, 41*ms + window}}, 40 * ms},
		{"two windows ago", []record{{0, 40 * ms}, {41*ms + window, 41*ms + window},
			{42*ms + 2*window, 42*ms + 2*window}}, 0},
		{"long ago", []record{{0, 40 * ms}, {time.Hour, time.Hour + ms}}, ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			var e Estimator
			var got time.Duration
			for _, r := range test.records {
				got = e.Record(start+r.due, start+r.now)
			}
			if got != test.want {
				t.Errorf("got estimate %v, want %v", got, test.want)
			}
		})
	}
}

// The margin covers the lateness of reading a request and of writing its answer, and is at most a quarter of the
// timeout. A lateness that the response slack covers needs no margin.
func TestMargin(t *testing.T) {
	for _, test := range []struct{ estimate, timeout, want time.Duration }{
		{0, 2 * time.Second, 0},
		{2 * ms, 2 * time.Second, 0},
		{40 * ms, 2 * time.Second, 80 * ms},
		{400 * ms, 100 * ms, 25 * ms},
		{40 * ms, 0, 0},
		{40 * ms, -time.Second, 0},
	} {
		if got := Margin(test.estimate, test.timeout); got != test.want {
			t.Errorf("lateness %v, timeout %v: got margin %v, want %v", test.estimate, test.timeout, got, test.want)
		}
	}
}
