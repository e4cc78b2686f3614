package policy

import "fmt"

// LogSeverity says how much a log event matters to operators.
type LogSeverity int

// The severities of log events.
const (
	SeverityInfo    LogSeverity = iota // a change of state
	SeverityWarning                    // something that an operator should look at
)

// LogAttr is a named detail of a log event.
type LogAttr struct {
	Key   string
	Value any
}

// The keys of log events' details.
const (
	logKeyServer               = "server"
	logKeyZone                 = "zone"
	logKeyResult               = "result"
	logKeyConsecutiveEjections = "consecutive_ejections"
	logKeyAdmitFraction        = "admit_fraction"
	logKeyOccupancy            = "occupancy"
)

// LogEvent is something that operators are told in the log: a constant message and its details. Its String is one
// line with both, for hosts whose log has no fields; others read these lines, which must not change.
type LogEvent interface {
	fmt.Stringer
	// Message is the same for all events of a type.
	Message() string
	Severity() LogSeverity
	Attrs() []LogAttr
}

// ServerEjected tells that an outlier gets no request for a while.
type ServerEjected struct {
	Server               string
	Result               Result // of the attempt that ejected it
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
		{logKeyResult, resultName(e.Result)},
		{logKeyConsecutiveEjections, e.ConsecutiveEjections},
	}
}

// ServerUnresponsive tells that a server gets no request until it responds to a health check.
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

// ServerResponsive tells that a server responds again.
type ServerResponsive struct{ Server string }

// String returns the event as one line.
func (e ServerResponsive) String() string { return fmt.Sprintf("server %s answers again", e.Server) }

// Message implements [LogEvent].
func (ServerResponsive) Message() string { return "server responsive" }

// Severity implements [LogEvent].
func (ServerResponsive) Severity() LogSeverity { return SeverityInfo }

// Attrs implements [LogEvent].
func (e ServerResponsive) Attrs() []LogAttr { return []LogAttr{{logKeyServer, e.Server}} }

// OverloadThrottled tells that the overload controller has begun to reject requests that quotas admit.
type OverloadThrottled struct {
	AdmitFraction float64 // of what quotas admit
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

// ZoneUnresponsive tells that the servers of a zone are suspected until one responds.
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

// resultName is a result's name in the log.
func resultName(result Result) string {
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
