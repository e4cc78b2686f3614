package loadreport

import (
	"fmt"
	"testing"
)

// TestReportsAsRead fixes the result of parsing valid and invalid load reports, so that changes to it are noticed.
func TestReportsAsRead(t *testing.T) {
	for text, want := range map[string]string{
		"TEXT inflight=7, queue=2, util=0.61":          "7 2 0.61",
		"TEXT outstanding=3,backlog=4.5,utilization=1": "3 4.5 1",
		"  TEXT queue=9 ":                              "-1 9 -1",
		"TEXT novel=1, inflight=2":                     "2 -1 -1",
		"TEXT inflight=1e3, queue=-1, util=+1":         "-1 -1 -1",
		"TEXT inflight=100000, queue=100001, util=2":   "100000 -1 2",
		"TEXT util=2.01":                               "-1 -1 -1",
		"TEXT inflight=0x10, queue=inf, util=NaN":      "-1 -1 -1",
		"TEXT inflight =5, queue= 6":                   "-1 -1 -1",
		"TEXT inflight=1, inflight=2":                  "2 -1 -1",
		"TEXT":                                         "-1 -1 -1",
		"TEXTinflight=4":                               "4 -1 -1",
		"TEXT inflight=000000000000000000001":          "-1 -1 -1",
		"text inflight=7":                              "none",
		"JSON {}":                                      "none",
		"":                                             "none",
	} {
		got := "none"
		if l := Parse(text); l != nil {
			got = fmt.Sprint(l.InFlight, l.QueueLength, l.Utilization)
		}
		if got != want {
			t.Errorf("Parse(%q): got %s, want %s", text, got, want)
		}
	}
}
