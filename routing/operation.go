package routing

import (
	"net/url"
	"strings"

	"mulleinmux/policy"
)

// Operation is one operation of a description. It is immutable.
type Operation struct {
	ID        string // operationId, or method and path if there is none
	Method    string
	Template  string // path template, including the base path
	Pos       Pos
	Index     int // in Table.Operations
	Class     policy.Class
	KeySource ParamSource // of the idempotency key; In is InNowhere if the operation has no key
	Units     Units
	// InheritedFields are the names of the required fields (class, units) that the operation inherits from the
	// document, for a warning: they may be missing from a new operation by mistake. It is empty for idempotent
	// operations.
	InheritedFields []string

	table        *Table
	declaredPath string // path template as written in the document, without a base path
}

// PathParams returns the path template as written in the document, and the decoded values of its parameters in a
// request target that was matched to the operation.
func (o *Operation) PathParams(target string) (template string, values map[string]string) {
	path, _, _ := strings.Cut(target, "?")
	values = map[string]string{}
	segments, names, err := parseTemplate(o.Template)
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if err != nil || len(parts) != len(segments) {
		return o.declaredPath, values
	}
	for i, s := range segments {
		if !s.isParam || !s.matches(parts[i]) {
			continue
		}
		value := parts[i][len(s.prefix) : len(parts[i])-len(s.suffix)]
		if decoded, err := url.PathUnescape(value); err == nil {
			value = decoded
		}
		values[names[0]], names = value, names[1:]
	}
	return o.declaredPath, values
}
