package policy

import "strconv"

// enumName returns the name of an enum value, or the type's name with the number of a value that is unknown.
func enumName[T ~int](names []string, value T, typeName string) string {
	if value < 0 || int(value) >= len(names) {
		return typeName + "(" + strconv.Itoa(int(value)) + ")"
	}
	return names[value]
}

// Names of the enum values, indexed by value. They are for logs and test messages; stored and transmitted texts have
// their own encodings.
var (
	serverStateNames    = []string{"up", "draining", "removed"}
	endpointUpdateNames = []string{"delta", "complete", "saved", "unavailable"}
	idempotencyNames    = []string{"idempotent", "idempotent with key", "non-idempotent"}
	dedupScopeNames     = []string{"all servers", "zone", "cell"}
	loadReportModeNames = []string{"none", "in responses", "in health checks"}
	resultNames         = []string{
		"OK", "error response", "rejected by server", "timed out",
		"connect failed", "connection reset", "cancelled", "not sent",
	}
)

// String returns the state's name.
func (s ServerState) String() string { return enumName(serverStateNames, s, "ServerState") }

// String returns the kind's name.
func (k EndpointUpdateKind) String() string {
	return enumName(endpointUpdateNames, k, "EndpointUpdateKind")
}

// String returns the result's name.
func (r Result) String() string { return enumName(resultNames, r, "Result") }

// String returns the idempotency's name.
func (i Idempotency) String() string { return enumName(idempotencyNames, i, "Idempotency") }

// String returns the scope's name.
func (s DedupScope) String() string { return enumName(dedupScopeNames, s, "DedupScope") }

// String returns the mode's name.
func (m LoadReportMode) String() string { return enumName(loadReportModeNames, m, "LoadReportMode") }
