package routing

import (
	"net/url"
	"strings"
	"time"

	"mulleinmux/policy"
)

// Operation is one operation of a description. It does not change.
type Operation struct {
	ID        string // operationId, or method and path
	Method    string
	Template  string // with its base path
	Pos       Pos
	Index     int // among the table's operations, from 0
	Class     policy.Class
	KeySource ParamSource // where a keyed operation's key stands
	Units     Units
	// Inherited names what an operation that changes something takes from the document's
	// extension, which is easily forgotten when one is added: class, units.
	InheritedFields []string

	table        *Table
	declaredPath string // template as written
}

// PathParams returns the path of the operation as its document writes it, and the values that
// its parameters have, decoded, in a target that was matched to it.
func (o *Operation) PathParams(target string) (template string, values map[string]string) {
	path, _, _ := strings.Cut(target, "?")
	values = map[string]string{}
	segs, names, err := parseTemplate(o.Template)
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if err != nil || len(parts) != len(segs) {
		return o.declaredPath, values
	}
	for i, s := range segs {
		if s.isParam && s.matches(parts[i]) {
			v := parts[i][len(s.prefix) : len(parts[i])-len(s.suffix)]
			if d, err := url.PathUnescape(v); err == nil {
				v = d
			}
			values[names[0]], names = v, names[1:]
		}
	}
	return o.declaredPath, values
}

// Class is what an operator's file says of a class: what its requests are worth, and
// the figures of operations that declare none.
type Class struct {
	Name             string
	PriorityWeight   float64
	LateFraction     float64 // share of Worth between Aim and Deadline
	LatencyObjective time.Duration
	Deadline         time.Duration
}

// Options go with a description.
type Options struct {
	Classes  []Class
	MaxUnits int // of one request; 0: no limit
}
