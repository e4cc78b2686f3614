package routing

import (
	"slices"
	"time"

	"mulleinmux/policy"
)

// safeMethods are the safe methods of HTTP (RFC 9110, 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// idempotency reads the effect of repeating the operation. By default that is HTTP's (RFC 9110, 9.2), except that
// idempotent methods that are not safe count as non-idempotent: a repeat would undo a change that another request
// made in between.
func (r *extensionReader) idempotency() policy.Idempotency {
	isSafeMethod := slices.Contains(safeMethods, r.method.Name)
	isRepeatable := r.isRepeatable()
	effect, isDeclared := r.fields[fieldEffect]
	if isDeclared && !isSafeMethod && !r.isOwn(effect) && effect.Value.Text == effectSafe {
		isDeclared = false // an inherited default, meant for safe methods only
	}
	if !isDeclared {
		if isSafeMethod {
			return policy.Idempotent
		}
		return policy.NonIdempotent
	}
	switch r.enum(fieldEffect, effectSafe, effectKeyed, effectUnsafe) {
	case effectKeyed:
		return policy.IdempotentWithKey
	case effectUnsafe:
		return policy.NonIdempotent
	case effectSafe:
		if !isSafeMethod && !isRepeatable {
			r.report(effect, "%s changes something by HTTP, so it is not safe to repeat: "+
				"if it is here, add repeatable: true to this operation", r.method.Name)
		}
	}
	return policy.Idempotent
}

// isRepeatable reports whether the operation itself declares that it may be repeated.
func (r *extensionReader) isRepeatable() bool {
	field, ok := r.fields[fieldRepeatable]
	if !ok {
		return false
	}
	if field.Value.Kind != BoolValue {
		r.report(field, "true or false is wanted")
	}
	return field.Value.Text == "true" && r.isOwn(field)
}

// dedupScope reads which servers drop a repeat of a request with a key.
func (r *extensionReader) dedupScope() policy.DedupScope {
	switch r.enum(fieldGroup, groupAll, groupZone, groupCell) {
	case groupZone:
		return policy.DedupZone
	case groupCell:
		return policy.DedupCell
	case groupAll:
		return policy.DedupAllServers
	}
	if _, ok := r.fields[fieldGroup]; !ok {
		r.reportMissing(fieldGroup, "a keyed operation must tell which servers drop a repeat: group: all, zone or cell")
	}
	return policy.DedupAllServers
}

// dedupWindow reads for how long servers drop a repeat of a request with a key.
func (r *extensionReader) dedupWindow() time.Duration {
	window := r.duration(fieldWindow, 0)
	if window == 0 {
		r.reportMissing(fieldWindow, "a keyed operation must tell for how long a repeat is dropped, such as window: 4s")
	}
	return window
}

// keySource reads which parameter holds the idempotency key.
func (r *extensionReader) keySource() ParamSource {
	field, ok := r.fields[fieldKey]
	if !ok {
		r.reportMissing(fieldKey,
			"a keyed operation must name the parameter with its key, such as key: {header: Idempotency-Key}")
		return ParamSource{}
	}
	if field.Value.Kind != MappingValue || len(field.Value.Fields) != 1 {
		r.report(field, "one place is wanted, such as {header: Idempotency-Key}")
		return ParamSource{}
	}
	source, _, err := r.paramSource(field.Value.Fields[0])
	if err != nil {
		r.report(field, "%v", err)
	}
	return source
}
