package policy

import (
	"slices"
	"testing"
)

// The lines must stay as the simulator's adapter has always printed them. The messages are constant.
func TestLogEvents(t *testing.T) {
	for _, c := range []struct {
		event    LogEvent
		line     string
		message  string
		severity LogSeverity
		attrs    []LogAttr
	}{
		{ServerEjected{Server: "s.a", Result: TimedOut, ConsecutiveEjections: 2},
			"ejected server s.a after result 3, strike 2", "server ejected", SeverityWarning,
			[]LogAttr{{"server", "s.a"}, {"result", "timed_out"}, {"consecutive_ejections", 2}}},
		{ServerUnresponsive{"s.a"}, "server s.a is silent: out until it answers a probe", "server unresponsive",
			SeverityWarning, []LogAttr{{"server", "s.a"}}},
		{ServerResponsive{"s.a"}, "server s.a answers again", "server responsive",
			SeverityInfo, []LogAttr{{"server", "s.a"}}},
		{OverloadThrottled{AdmitFraction: 0.756, Occupancy: 1.2},
			"overload: sending on 0.76 of what quotas admit, occupancy 1.20", "overload throttling started",
			SeverityWarning, []LogAttr{{"admit_fraction", 0.756}, {"occupancy", 1.2}}},
		{ZoneUnresponsive{"z1"}, "zone z1 is silent: its servers are held to be lost until one answers",
			"zone unresponsive", SeverityWarning, []LogAttr{{"zone", "z1"}}},
	} {
		e := c.event
		if e.String() != c.line || e.Message() != c.message {
			t.Errorf("%T: got line %q, message %q", e, e, e.Message())
		}
		if e.Severity() != c.severity || !slices.Equal(e.Attrs(), c.attrs) {
			t.Errorf("%T (line %q, message %q): got severity %d, attributes %v",
				e, e, e.Message(), e.Severity(), e.Attrs())
		}
	}
}

// Every result of an attempt has a name of its own in the log, also one that is unknown.
func TestResultNames(t *testing.T) {
	seen := map[string]bool{}
	for result := OK; result <= NotSent; result++ {
		name := logResultName(result)
		if name == "" || seen[name] {
			t.Errorf("result %d has the name %q, which is empty or not unique", result, name)
		}
		seen[name] = true
	}
	if name := logResultName(NotSent + 1); name != "result_8" {
		t.Errorf("unknown result: got name %q, want result_8", name)
	}
}
