package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"runtime/debug"
	"strings"
	"testing"

	"mulleinmux/policy"
)

// A line has its time to the microsecond, the level, the constant message and the attributes.
func TestNew(t *testing.T) {
	var out bytes.Buffer
	New(&out).With(slog.String(KeyInstance, "gate-1")).Warn(
		"reload failed", slog.Int(KeyVersion, 2), Error(errors.New("a b")),
	)
	want := regexp.MustCompile(`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}(Z|[+-]\d\d:\d\d) level=WARN ` +
		`msg="reload failed" instance=gate-1 version=2 error="a b"\n$`)
	if !want.Match(out.Bytes()) {
		t.Errorf("logged %q", out.String())
	}
}

// An event of the engine keeps its message and details; a warning is one in the log.
func TestPolicyEvent(t *testing.T) {
	for want, event := range map[string]policy.LogEvent{
		`level=WARN msg="server ejected" server=s.a result=timed_out consecutive_ejections=1`: policy.ServerEjected{
			Server: "s.a", Result: policy.TimedOut, ConsecutiveEjections: 1},
		`level=INFO msg="server responsive" server=s.a`: policy.ServerResponsive{Server: "s.a"},
	} {
		var out bytes.Buffer
		PolicyEvent(New(&out), event)
		if !strings.HasSuffix(out.String(), want+"\n") {
			t.Errorf("logged %q, want %q", out.String(), want)
		}
	}
}

// uncalledEvent fails the test where anything but its severity is asked.
type uncalledEvent struct{ t *testing.T }

func (e uncalledEvent) String() string             { e.t.Error("formatted"); return "" }
func (e uncalledEvent) Message() string            { e.t.Error("asked for its message"); return "" }
func (e uncalledEvent) Attrs() []policy.LogAttr    { e.t.Error("asked for its details"); return nil }
func (uncalledEvent) Severity() policy.LogSeverity { return policy.SeverityInfo }

// An event that is not logged is not formatted.
func TestIdleLoggerDoesNotFormat(t *testing.T) {
	PolicyEvent(slog.New(slog.DiscardHandler), uncalledEvent{t})
}

// Lines of an HTTP server become warnings, one each.
func TestHTTPErrors(t *testing.T) {
	var out bytes.Buffer
	HTTPErrors(New(&out)).Printf("http: %s", "bad")
	if !strings.HasSuffix(out.String(), "level=WARN msg=\"http server error\" error=\"http: bad\"\n") {
		t.Errorf("logged %q", out.String())
	}
}

// A panic's line has its stack.
func TestPanic(t *testing.T) {
	var out bytes.Buffer
	func() {
		defer func() { Panic(New(&out), recover(), debug.Stack()) }()
		panic("broken")
	}()
	if text := out.String(); !strings.Contains(text, `level=ERROR msg="panic recovered" error=broken stack=`) ||
		!strings.Contains(text, "TestPanic") || strings.Count(text, "\n") != 1 {
		t.Errorf("logged %q", text)
	}
}
