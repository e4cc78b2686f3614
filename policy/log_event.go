package policy

import "fmt"

// LogSeverity is the severity of a log event.
type LogSeverity int

// The severities of log events.
const (
	SeverityInfo    LogSeverity = iota // a change of state
	SeverityWarning                    // something that an operator should look at
)

// LogAttr is a key-value attribute of a log event.
type LogAttr struct {
	Key   string
	Value any
}

// The attribute keys of log events.
const (
	logKeyServer               = "server"
	logKeyZone                 = "zone"
	logKeyResult               = "result"
	logKeyConsecutiveEjections = "consecutive_ejections"
	logKeyAdmitFraction        = "admit_fraction"
	logKeyOccupancy            = "occupancy"
)

// LogEvent is an event for the operators' log: a constant message with attributes. String returns both as one line,
// for hosts whose log has no attributes. Other programs read these lines: they must not change.
type LogEvent interface {
	fmt.Stringer
	// Message returns the message, which is the same for all events of a type.
	Message() string
	Severity() LogSeverity
	Attrs() []LogAttr
}

// ServerEjected reports that a server was ejected as an outlier: for a limited time it gets only requests that no other
// server can serve.
type ServerEjected struct {
	Server               string
	Result               Result // of the attempt that caused the ejection
	ConsecutiveEjections int
}

// String returns the event as one line.
func (e ServerEjected) String() string {
	return fmt.Sprintf("ejected server %s after result %d, strike %d", e.Server, e.Result, e.ConsecutiveEjections)
}

// Message implements [LogEvent].
func (ServerEjected) Message() string { return "server ejected" }

// Severity implements [LogEvent].
func (ServerEjected) Severity() LogSeverity { return SeverityWarning }

// Attrs implements [LogEvent].
func (e ServerEjected) Attrs() []LogAttr {
	return []LogAttr{
		{logKeyServer, e.Server},
		{logKeyResult, logResultName(e.Result)},
		{logKeyConsecutiveEjections, e.ConsecutiveEjections},
	}
}

// ServerUnresponsive reports that a server does not respond. Until it responds, usually to a health check, it gets only
// requests that no other server can serve.
type ServerUnresponsive struct{ Server string }

// String returns the event as one line.
func (e ServerUnresponsive) String() string {
	return fmt.Sprintf("server %s is silent: out until it answers a probe", e.Server)
}

// Message implements [LogEvent].
func (ServerUnresponsive) Message() string { return "server unresponsive" }

// Severity implements [LogEvent].
func (ServerUnresponsive) Severity() LogSeverity { return SeverityWarning }

// Attrs implements [LogEvent].
func (e ServerUnresponsive) Attrs() []LogAttr { return []LogAttr{{logKeyServer, e.Server}} }

// ServerResponsive reports that an unresponsive server responds again.
type ServerResponsive struct{ Server string }

// String returns the event as one line.
func (e ServerResponsive) String() string { return fmt.Sprintf("server %s answers again", e.Server) }

// Message implements [LogEvent].
func (ServerResponsive) Message() string { return "server responsive" }

// Severity implements [LogEvent].
func (ServerResponsive) Severity() LogSeverity { return SeverityInfo }

// Attrs implements [LogEvent].
func (e ServerResponsive) Attrs() []LogAttr { return []LogAttr{{logKeyServer, e.Server}} }

// OverloadThrottled reports that the overload controller has begun to reject requests that quotas admit.
type OverloadThrottled struct {
	AdmitFraction float64 // fraction, 0 to 1, of the requests that quotas admit
	Occupancy     float64
}

// String returns the event as one line.
func (e OverloadThrottled) String() string {
	return fmt.Sprintf("overload: sending on %.2f of what quotas admit, occupancy %.2f", e.AdmitFraction, e.Occupancy)
}

// Message implements [LogEvent].
func (OverloadThrottled) Message() string { return "overload throttling started" }

// Severity implements [LogEvent].
func (OverloadThrottled) Severity() LogSeverity { return SeverityWarning }

// Attrs implements [LogEvent].
func (e OverloadThrottled) Attrs() []LogAttr {
	return []LogAttr{{logKeyAdmitFraction, e.AdmitFraction}, {logKeyOccupancy, e.Occupancy}}
}

// ZoneUnresponsive reports that a zone does not respond: its servers are suspected until one of them responds.
type ZoneUnresponsive struct{ Zone string }

// String returns the event as one line.
func (e ZoneUnresponsive) String() string {
	return "zone " + e.Zone + " is silent: its servers are held to be lost until one answers"
}

// Message implements [LogEvent].
func (ZoneUnresponsive) Message() string { return "zone unresponsive" }

// Severity implements [LogEvent].
func (ZoneUnresponsive) Severity() LogSeverity { return SeverityWarning }

// Attrs implements [LogEvent].
func (e ZoneUnresponsive) Attrs() []LogAttr { return []LogAttr{{logKeyZone, e.Zone}} }

// logResultName returns the value of a result in log attributes.
func logResultName(result Result) string {
	names := [...]string{
		OK:               "ok",
		ErrorResponse:    "error_response",
		RejectedByServer: "rejected_by_server",
		TimedOut:         "timed_out",
		ConnectFailed:    "connect_failed",
		ConnectionReset:  "connection_reset",
		Cancelled:        "cancelled",
		NotSent:          "not_sent",
	}
	if result < 0 || int(result) >= len(names) {
		return fmt.Sprintf("result_%d", int(result))
	}
	return names[result]
}
