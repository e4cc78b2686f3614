package routing

import (
	"slices"
	"strings"
)

// pathItem holds the operations of one path. Invariant: the operations have different methods, and get and allowHeader
// are derived from operations.
type pathItem struct {
	template     string
	segments     []segment
	declaredPath string // path template as written in the document, without a base path
	pos          Pos
	operations   []*Operation
	get          *Operation // operation of GET or nil; stored separately because GET is the most frequent method
	allowHeader  string     // value of the Allow header
}

// operation returns the operation for a method, or nil. HEAD falls back to the operation of GET.
func (item *pathItem) operation(method string) *Operation {
	if method == "GET" {
		return item.get
	}
	for _, o := range item.operations {
		if o.Method == method {
			return o
		}
	}
	if method == "HEAD" {
		// RFC 9110, 9.3.2: HEAD is answered like GET, without the content.
		return item.get
	}
	return nil
}

// hasMethod reports whether an operation with the method is described.
func (item *pathItem) hasMethod(method string) bool {
	return slices.ContainsFunc(item.operations, func(o *Operation) bool { return o.Method == method })
}

// add adds an operation. No operation of the path may have its method yet.
func (item *pathItem) add(op *Operation) {
	item.operations = append(item.operations, op)
	if op.Method == "GET" {
		item.get = op
	}
	item.allowHeader = item.buildAllowHeader()
}

// firstMethod returns the method of the path's first operation, or "" if it has none. It is used in problems.
func (item *pathItem) firstMethod() string {
	if len(item.operations) == 0 {
		return ""
	}
	return item.operations[0].Method
}

// buildAllowHeader returns the value of the Allow header: the described methods, OPTIONS, and HEAD if GET is described.
func (item *pathItem) buildAllowHeader() string {
	var methods []string
	for _, o := range item.operations {
		methods = append(methods, o.Method)
	}
	if item.get != nil && !slices.Contains(methods, "HEAD") {
		methods = append(methods, "HEAD")
	}
	if !slices.Contains(methods, "OPTIONS") {
		methods = append(methods, "OPTIONS")
	}
	slices.Sort(methods)
	return strings.Join(methods, ", ")
}
