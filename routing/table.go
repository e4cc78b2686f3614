package routing

import (
	"time"

	"mulleinmux/policy"
)

// Table is a compiled description. It is immutable. Invariant: of the templates that match a path, one is more specific
// than all others.
type Table struct {
	File       string
	Version    string // info.version of the description
	Operations []*Operation
	Classes    []policy.Class // with unique names

	literalPaths      map[string]*pathItem // templates without parameters, by path
	root              *node
	literalDelimiters [256]bool // delimiters that the literal parts of templates contain
}

// MatchResult is the result of matching the method and path of a request against the templates.
type MatchResult int

// Results of [Table.Match].
const (
	Found         MatchResult = iota
	UnknownPath               // no template matches
	UnknownMethod             // a template matches, but has no operation with the method
	Preflight                 // OPTIONS request for a path without an OPTIONS operation
)

var matchResultNames = [...]string{"found", "unknown path", "unknown method", "preflight"}

// String returns the name of the result.
func (r MatchResult) String() string { return matchResultNames[r] }

// Match finds the operation of a request with a method and a path, which [Table.CheckPath] must have accepted. It does
// not allocate. If the result is UnknownMethod or Preflight, allow is the value of the Allow header of the response.
// HEAD matches the operation of GET unless the path has an operation of HEAD.
func (t *Table) Match(method, path string) (op *Operation, allow string, result MatchResult) {
	item := t.literalPaths[path]
	if item == nil && path != "" {
		item = t.root.find(path[1:])
	}
	if item == nil {
		return nil, "", UnknownPath
	}
	if op = item.operation(method); op != nil {
		return op, "", Found
	}
	if method == "OPTIONS" {
		return nil, item.allowHeader, Preflight
	}
	return nil, item.allowHeader, UnknownMethod
}

// KeyLifetimes returns the longest deadline and the shortest deduplication window of all operations with an idempotency
// key. Both are 0 if there is no such operation.
func (t *Table) KeyLifetimes() (deadline, dedupWindow time.Duration) {
	for _, op := range t.Operations {
		if op.KeySource.In == InNowhere {
			continue
		}
		deadline = max(deadline, op.Class.Deadline)
		if dedupWindow == 0 || op.Class.DedupWindow < dedupWindow {
			dedupWindow = op.Class.DedupWindow
		}
	}
	return deadline, dedupWindow
}

// addLiterals records the delimiters in the literal parts of a template. If the template has no parameters, it also
// maps its path to the item.
func (t *Table) addLiterals(segments []segment, item *pathItem) {
	path := ""
	for _, s := range segments {
		path += "/" + s.prefix
		t.addDelimiters(s.prefix)
		t.addDelimiters(s.suffix)
	}
	if !hasParam(segments) {
		t.literalPaths[path] = item
	}
}

// addDelimiters records the delimiters in a literal part.
func (t *Table) addDelimiters(literal string) {
	for i := range len(literal) {
		c := literal[i]
		t.literalDelimiters[c] = pathBytes[c] == delimiter
	}
}
