package routing

import (
	"slices"
	"time"

	"mulleinmux/policy"
)

// safeMethods are the safe methods of HTTP (RFC 9110, 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// idempotency returns the idempotency of the operation. Unless the extension declares it, it follows from the HTTP
// method (RFC 9110, 9.2), except that idempotent methods that are not safe count as non-idempotent: a repeated request
// would undo a change that another request made in between.
func (r *extensionReader) idempotency() policy.Idempotency {
	isSafeMethod := slices.Contains(safeMethods, r.method.Name)
	isRepeatable := r.isRepeatable()
	declared, isDeclared := r.fields[fieldIdempotency]
	if isDeclared && !isSafeMethod && !r.isDeclaredByOperation(declared) && declared.Value.Text == idempotent {
		isDeclared = false // an inherited default applies to safe methods only
	}
	if !isDeclared {
		if isSafeMethod {
			return policy.Idempotent
		}
		return policy.NonIdempotent
	}
	switch r.enum(fieldIdempotency, idempotent, idempotentWithKey, nonIdempotent) {
	case idempotentWithKey:
		return policy.IdempotentWithKey
	case nonIdempotent:
		return policy.NonIdempotent
	case idempotent:
		if !isSafeMethod && !isRepeatable {
			r.report(declared, "%s is not a safe method of HTTP: "+
				"if requests of this operation may be repeated, add repeatable: true to it", r.method.Name)
		}
	}
	return policy.Idempotent
}

// isRepeatable reports whether the operation itself declares that its requests may be repeated.
func (r *extensionReader) isRepeatable() bool {
	field, ok := r.fields[fieldRepeatable]
	if !ok {
		return false
	}
	if field.Value.Kind != BoolValue {
		r.report(field, "must be true or false")
	}
	return field.Value.Text == "true" && r.isDeclaredByOperation(field)
}

// dedupScope reads which servers deduplicate requests with the same idempotency key.
func (r *extensionReader) dedupScope() policy.DedupScope {
	switch r.enum(fieldDedupScope, dedupAllServers, dedupZone, dedupCell) {
	case dedupZone:
		return policy.DedupZone
	case dedupCell:
		return policy.DedupCell
	case dedupAllServers:
		return policy.DedupAllServers
	}
	if _, ok := r.fields[fieldDedupScope]; !ok {
		r.reportMissing(fieldDedupScope,
			"a keyed operation must declare which servers drop repeats: group: all, zone or cell")
	}
	return policy.DedupAllServers
}

// dedupWindow reads how long servers remember an idempotency key to deduplicate requests.
func (r *extensionReader) dedupWindow() time.Duration {
	window := r.duration(fieldDedupWindow, 0)
	if window == 0 {
		r.reportMissing(fieldDedupWindow,
			"a keyed operation must declare how long servers drop repeats, such as window: 4s")
	}
	return window
}

// keySource reads which parameter holds the idempotency key.
func (r *extensionReader) keySource() ParamSource {
	field, ok := r.fields[fieldKeySource]
	if !ok {
		r.reportMissing(fieldKeySource,
			"a keyed operation must name the parameter of its key, such as key: {header: Idempotency-Key}")
		return ParamSource{}
	}
	if field.Value.Kind != MappingValue || len(field.Value.Fields) != 1 {
		r.report(field, "must name exactly one parameter, such as {header: Idempotency-Key}")
		return ParamSource{}
	}
	source, _, err := r.paramSource(field.Value.Fields[0])
	if err != nil {
		r.report(field, "%v", err)
	}
	return source
}
