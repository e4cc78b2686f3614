package routing

import (
	"net/url"
	"strings"

	"mulleinmux/policy"
)

// Operation is one operation of a description. It is immutable.
type Operation struct {
	ID        string // operationId, or method and path
	Method    string
	Template  string // with its base path
	Pos       Pos
	Index     int // among the table's operations, from 0
	Class     policy.Class
	KeySource ParamSource // of the idempotency key; InNowhere: it has none
	Units     Units
	// InheritedFields are the required fields (class, units) that an operation that is not idempotent inherits from
	// the document, for a warning: a new operation may have been left without its own by mistake.
	InheritedFields []string

	table        *Table
	declaredPath string // as the document writes it, without a base path
}

// PathParams returns the path template as written in the document, and the decoded values of its parameters in a target
// that was matched to the operation.
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
