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

// A log line has the time to the microsecond, the level, the message and the attributes.
func TestNew(t *testing.T) {
	var out bytes.Buffer
	New(&out).With(slog.String(KeyInstance, "gate-1")).Warn(
		"reload failed", slog.Int(KeyVersion, 2), Error(errors.New("a b")),
	)
	want := regexp.MustCompile(`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}(Z|[+-]\d\d:\d\d) level=WARN ` +
		`msg="reload failed" instance=gate-1 version=2 error="a b"\n$`)
	if !want.Match(out.Bytes()) {
		t.Errorf("log %q, want a warning with time, instance, version and error", out.String())
	}
}

// An event of the engine is logged with its severity, message and attributes.
func TestPolicyEvent(t *testing.T) {
	for want, event := range map[string]policy.LogEvent{
		`level=WARN msg="server ejected" server=s.a result=timed_out consecutive_ejections=1`: policy.ServerEjected{
			Server: "s.a", Result: policy.TimedOut, ConsecutiveEjections: 1},
		`level=INFO msg="server responsive" server=s.a`: policy.ServerResponsive{Server: "s.a"},
	} {
		var out bytes.Buffer
		PolicyEvent(New(&out), event)
		if !strings.HasSuffix(out.String(), want+"\n") {
			t.Errorf("log %q, want the suffix %q", out.String(), want)
		}
	}
}

// uncalledEvent fails the test if a method other than Severity is called.
type uncalledEvent struct{ t *testing.T }

func (e uncalledEvent) String() string             { e.t.Error("String was called"); return "" }
func (e uncalledEvent) Message() string            { e.t.Error("Message was called"); return "" }
func (e uncalledEvent) Attrs() []policy.LogAttr    { e.t.Error("Attrs was called"); return nil }
func (uncalledEvent) Severity() policy.LogSeverity { return policy.SeverityInfo }

// A disabled logger doesn't format the event.
func TestIdleLoggerDoesNotFormat(t *testing.T) {
	PolicyEvent(slog.New(slog.DiscardHandler), uncalledEvent{t})
}

// Each line of an HTTP server's error log is logged as a warning.
func TestHTTPErrors(t *testing.T) {
	var out bytes.Buffer
	HTTPErrors(New(&out)).Printf("http: %s", "bad")
	if !strings.HasSuffix(out.String(), "level=WARN msg=\"http server error\" error=\"http: bad\"\n") {
		t.Errorf("log %q, want a warning with the line", out.String())
	}
}

// The log line of a panic has the stack.
func TestPanic(t *testing.T) {
	var out bytes.Buffer
	func() {
		defer func() { Panic(New(&out), recover(), debug.Stack()) }()
		panic("broken")
	}()
	if text := out.String(); !strings.Contains(text, `level=ERROR msg="panic recovered" error=broken stack=`) ||
		!strings.Contains(text, "TestPanic") || strings.Count(text, "\n") != 1 {
		t.Errorf("log %q, want one line with the error and the stack of TestPanic", text)
	}
}
